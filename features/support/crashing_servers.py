"""Servers that crash when they run certain requests, and callers that send these to a tier."""

from __future__ import annotations

import threading
import time
from functools import partial
from random import Random

import trio

from alderhatch.http.server import serve_http
from features.support.platform_tier import ZONES, PlatformTier, StandinServer
from features.support.tier import until

DOWN_TIME_S = 4.0
HARMLESS_INTERVAL_S = 0.1
CRASHING_INTERVAL_S = 1.0
CRASHING_PATH = "/paths/crashing"
LATE_AFTER_S = 4.0
"""Arrivals at servers later than this after the third crash are late."""


class CrashRecord:
    """What the servers saw of one crashing request."""

    def __init__(self):
        self.arrivals = []
        """When it arrived at servers that it crashes."""
        self.arrived_ids = []
        """The IDs of its requests that arrived then, in the same order."""
        self.crashes = []
        """When servers crashed."""

    def late_arrivals(self):
        return len(self.late_requests())

    def late_requests(self):
        """Return when late requests arrived, with their IDs."""
        if len(self.crashes) < 3:
            return []
        begin = sorted(self.crashes)[2] + LATE_AFTER_S
        arrived = zip(self.arrivals, self.arrived_ids, strict=True)
        return [(at, request_id) for at, request_id in arrived if at > begin]


class CrashingServer(StandinServer):
    """Ends a moment after a crashing request, and starts again seconds later under another ID.

    Args:
        records: A record for each path whose requests make it crash.
    """

    def __init__(self, server_id, upstream, zone, records, rng):
        super().__init__(server_id, upstream, zone)
        self._records = records
        self._rng = rng
        self._starts = 0
        self._first_id = server_id
        self.ids = {server_id}
        """The IDs that it has had."""
        self._crashed = trio.Event()
        self.is_fragile = True
        """Whether crashing requests make it crash."""
        self.crash_delay_s = (0.02, 0.08)

    async def serve(self, task_status):
        while True:
            listeners = await trio.open_tcp_listeners(self.port, host=self.address)
            self.port = listeners[0].socket.getsockname()[1]
            self._crashed = trio.Event()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_http, listeners, self.handle)
                if self._starts == 0:
                    task_status.started()
                await self._crashed.wait()
                nursery.cancel_scope.cancel()
            for listener in listeners:
                listener.socket.close()
            await trio.sleep(DOWN_TIME_S)
            self._starts += 1
            self.server_id = f"{self._first_id}-{self._starts}"
            self.ids.add(self.server_id)

    def crash(self):
        self._crashed.set()

    async def handle(self, req):
        record = self._records.get(req.target)
        if record is None:
            return await super().handle(req)
        if req.headers.get("expect-instance", self.server_id) != self.server_id:
            return await super().handle(req)
        if not self.is_fragile:
            return await super().handle(req)
        record.arrivals.append(time.monotonic())
        record.arrived_ids.append(req.headers.get("attempt-id", ""))
        await trio.sleep(self._rng.uniform(*self.crash_delay_s))
        if not self._crashed.is_set():
            record.crashes.append(time.monotonic())
        self.crash()
        return await super().handle(req)


def crashing_paths(count):
    """Return the paths of some gathers that crash servers."""
    return [CRASHING_PATH, *(f"{CRASHING_PATH}-{number}" for number in range(1, count))]


class CrashingScene:
    """Callers that send harmless gathers, and for each crashing gather one that sends it to each
    host in turn.
    """

    def __init__(self, context, shards, gathers=1, seed=1):
        self.shards = [f"shard-{index}" for index in range(shards)]
        self.records = {path: CrashRecord() for path in crashing_paths(gathers)}
        self.harmless = []
        """When each harmless gather was sent, and its status; None if it was not answered."""
        self.crashing_statuses = []
        self.tier = tier = PlatformTier(context)
        self._stopped = threading.Event()
        self._rng = Random(seed)
        for upstream in self.shards:
            for index in range(2):
                name = f"i-{upstream}-{index}"
                server = CrashingServer(name, upstream, ZONES[index], self.records, self._rng)
                server.delay = 0.005
                tier.loop.call(partial(tier.loop.nursery.start, server.serve))
                tier.servers[name] = server
        tier.add_servers("kitchen")
        tier.start()
        tier.put(tier.configuration(self.shards))
        tier.first_start = False
        for index in tier.running():
            until(lambda index=index: tier.is_ready(index), f"node {index} is ready")

    def crashing_servers(self):
        return [one for one in self.tier.servers.values() if isinstance(one, CrashingServer)]

    def crash_zone(self, zone):
        """End the servers of an availability zone at the same moment."""
        for server in self.crashing_servers():
            if server.zone == zone:
                self.tier.loop.call(_call, server.crash)

    def run(self, seconds, sends_crashing=True, events=()):
        """Send requests for some time; ``events`` are times and what happens then."""
        self.began = time.monotonic()
        threads = [threading.Thread(target=self._send_harmless)]
        if sends_crashing:
            threads += [
                threading.Thread(target=self._send_crashing, args=(number, path))
                for number, path in enumerate(self.records)
            ]
        for thread in threads:
            thread.start()
        try:
            for at, event in events:
                time.sleep(max(0.0, self.began + at - time.monotonic()))
                event()
            time.sleep(max(0.0, self.began + seconds - time.monotonic()))
        finally:
            self._stopped.set()
            for thread in threads:
                thread.join()

    def send_patiently(self, index):
        """Send the crashing gather to a host, from a caller that waits for its answer."""
        args = (index, CRASHING_PATH, "p000000000")
        thread = threading.Thread(target=self.tier.ask, args=args, daemon=True)
        thread.start()

    def _hosts(self):
        count = len(self.tier.addresses)
        number = 0
        while not self._stopped.is_set():
            if number % count in self.tier.running():
                yield number % count, number
            number += 1

    def _send_harmless(self):
        for index, number in self._hosts():
            sent_at = time.monotonic()
            path = f"/paths/{number}"
            answer = self.tier.ask(index, path, f"h{number:09}", timeout=4.0)
            self.harmless.append((sent_at, None if answer is None else answer.status))
            self._stopped.wait(HARMLESS_INTERVAL_S)

    def _send_crashing(self, gather, path):
        for index, number in self._hosts():
            answer = self.tier.ask(index, path, f"c{gather}-{number:07}", timeout=4.0)
            self.crashing_statuses.append(None if answer is None else answer.status)
            self._stopped.wait(CRASHING_INTERVAL_S)

    def served_share(self, begin, end):
        """Return the share of the harmless gathers sent between two times that were served."""
        chosen = [status for at, status in self.harmless if begin <= at - self.began < end]
        return sum(status == 200 for status in chosen) / len(chosen)


async def _call(function):
    function()
