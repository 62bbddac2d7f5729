"""The soak test with gathers that crash their servers."""

from __future__ import annotations

import threading
import time
from datetime import datetime
from functools import partial
from random import Random

import orjson

from features.support.crashing_servers import CrashingServer, CrashRecord, crashing_paths
from features.support.platform_soak import SHARDS, PlatformSoak
from features.support.platform_tier import ZONES

MAX_LATE = 3
"""Late arrivals that are allowed of each crashing gather."""
IN_TOUCH_AFTER_S = 4.0
"""How long a host has followed a leader, undisturbed, that has to know what the others know."""
CRASHING_INTERVAL_S = 0.7


class CrashingCaller(threading.Thread):
    """Sends one crashing gather again and again, to any host."""

    def __init__(self, soak, number, path):
        super().__init__()
        self._soak = soak
        self._number = number
        self._path = path
        self._rng = Random(f"{soak.seed} crashing {number}")

    def run(self):
        soak = self._soak
        count = 0
        while not soak.stopped:
            time.sleep(CRASHING_INTERVAL_S)
            running = soak.tier.running()
            if not running:
                continue
            count += 1
            index = self._rng.choice(running)
            request_id = f"d{self._number}-{index}-{count:05}"
            answer = soak.tier.ask(index, self._path, request_id, timeout=4.0)
            soak.counts[f"crashing {None if answer is None else answer.status}"] += 1


class CrashSoak(PlatformSoak):
    """Runs one seed with one to three gathers that crash the servers of all shards.

    The connections to servers are not disturbed, as a proxy before a server that has ended accepts
    connections for it.
    """

    max_calm_s = 3.0

    def __init__(self, context, seed, seconds):
        self.records = {
            path: CrashRecord() for path in crashing_paths(Random(seed).randrange(1, 4))
        }
        super().__init__(context, seed, seconds)
        self._faults = (self._kill, self._kill, self._pause, self._stop, self._reload)

    def _add_servers(self):
        tier = self.tier
        rng = Random(f"{self.seed} servers")
        for upstream in SHARDS:
            for index in range(2):
                name = f"i-{upstream}-{index}"
                server = CrashingServer(name, upstream, ZONES[index], self.records, rng)
                tier.loop.call(partial(tier.loop.nursery.start, server.serve))
                tier.servers[name] = server
        tier.add_servers("kitchen", 3)

    def _callers(self):
        crashing = [CrashingCaller(self, number, path) for number, path in enumerate(self.records)]
        return [*super()._callers(), *crashing]

    def _server(self, server_id):
        known = (one for one in self.tier.servers.values() if isinstance(one, CrashingServer))
        return next((one for one in known if server_id in one.ids), None)

    def _check_end(self):
        super()._check_end()
        for path, record in self.records.items():
            self.counts["servers crashed"] += len(record.crashes)
            late = [one for one in record.late_requests() if self._was_in_touch(*one)]
            self.counts["late arrivals"] += len(late)
            if len(late) > MAX_LATE:
                begin = sorted(record.crashes)[2]
                times = [f"{at - begin:.1f} s {request_id}" for at, request_id in late]
                self._report(f"{path} arrived late after its third crash: {times}")

    def _was_in_touch(self, at, request_id):
        """Return whether the host that a request was sent to had followed a leader for a while."""
        host = int(request_id.split("-")[1])
        is_disturbed = any(
            index == host and begin <= at <= end + IN_TOUCH_AFTER_S
            for index, begin, end in self._disruptions
        )
        followed_since = self._followed_since(host, at)
        is_following = followed_since is not None and at - followed_since >= IN_TOUCH_AFTER_S
        return is_following and not is_disturbed

    def _followed_since(self, host, at):
        """Return since when a host had followed a leader at some time; None if it had none."""
        since = None
        for line in self.tier.log_text(host).splitlines():
            if not line.startswith("{"):
                continue
            record = orjson.loads(line)
            logged_at = datetime.fromisoformat(record["time"].replace(",", ".") + "+00:00")
            began = logged_at.timestamp() - time.time() + time.monotonic()
            if began > at:
                break
            match record["event"]:
                case "leader_found":
                    since = began
                case "leader_lost" | "program_build":
                    since = None
        return since
