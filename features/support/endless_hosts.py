"""Real hosts before servers whose answers have no end."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import orjson
import trio

from features.support.endless_bytes import KINDS, EndlessStream, read_head
from features.support.platform_tier import HOST, ZONES, PlatformTier, StandinServer
from features.support.scripted_servers import field_of, reply_bytes
from features.support.tier import until

CALLERS = 4
SOUND_INTERVAL_S = 0.02
CLOSE_TIMEOUT_S = 5.0


class EndlessStandin(StandinServer):
    """A listed server all of whose answers have no end."""

    def __init__(self, server_id, upstream, zone, kind, is_fast):
        super().__init__(server_id, upstream, zone)
        self.kind = kind
        self.is_fast = is_fast
        self.streams = []

    async def serve(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host=self.address)
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._handle, listeners)

    async def _handle(self, stream):
        try:
            while True:
                head = await read_head(stream)
                request_id = field_of(head, b"attempt-id")
                instance = field_of(head, b"expect-instance") or self.server_id
                if instance != self.server_id or not request_id:
                    await stream.send_all(reply_bytes(400, fields=[(b"Not-Executed", b"1")]))
                    continue
                endless = EndlessStream(stream)
                self.streams.append(endless)
                await endless.send(self.kind, self.is_fast, request_id)
                return
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.EndOfChannel):
            return


class EndlessHosts:
    """Hosts, their servers, and callers that ask for sound answers all the time.

    Args:
        context: The scenario's context.
        kinds: Pairs of a kind's name and whether it comes at full speed. Each has a service with
            one endless server and one with a sound server beside it.
        shards: How many shards there are, each with two servers.
    """

    def __init__(self, context, kinds=(), shards=0):
        self.tier = PlatformTier(context, disks=3, diskless=0)
        self.kinds = list(kinds)
        self.shards = [f"shard-{index}" for index in range(shards)]
        self.sound = []
        """The status of each sound request, None without an answer, and how long it took."""
        self._stopped = threading.Event()
        self._routes = []
        self._services = []
        self.tier.add_servers("kitchen")
        for index, (kind, is_fast) in enumerate(self.kinds):
            self._add_endless(f"alone-{index}", 0, kind, is_fast)
            self._add_endless(f"pair-{index}", 0, kind, is_fast)
            self._add_sound(f"pair-{index}", 1)

    def _add(self, server):
        self.tier.loop.call(partial(self.tier.loop.nursery.start, server.serve))
        self.tier.servers[server.server_id] = server

    def _add_endless(self, upstream, index, kind, is_fast):
        server_id = f"i-{upstream}-{index}"
        self._add(EndlessStandin(server_id, upstream, ZONES[index], KINDS[kind], is_fast))

    def _add_sound(self, upstream, index):
        self._add(StandinServer(f"i-{upstream}-{index}", upstream, ZONES[index]))

    def add_shards(self, kind, endless_servers):
        """Add two servers for each shard, of which the first ones are endless."""
        for shard in self.shards:
            for index in range(2):
                if index < endless_servers:
                    self._add_endless(shard, index, kind, True)
                else:
                    self._add_sound(shard, index)

    def start(self):
        self.tier.start()
        self.tier.put(self._configuration())
        self.tier.first_start = False
        for index in self.tier.running():
            until(lambda index=index: self.tier.is_ready(index), f"node {index} is ready")

    def _configuration(self):
        cfg = orjson.loads(self.tier.configuration(self.shards or ["kitchen"]))
        base = {"host": HOST, "timeout-ms": 8000, "target-latency-ms": 500, "max-attempts": 3}
        base |= {"priority": 2}
        for index in range(len(self.kinds)):
            for name, kind in ((f"alone-{index}", "unsafe"), (f"pair-{index}", "safe")):
                route = {"name": name, "path-prefix": f"/{name}/", "route-type": kind}
                cfg["routes"].append(base | route | {"service": name})
                cfg["services"].append({"name": name, "max-connections": 28})
        return orjson.dumps(cfg)

    # Callers

    def ask_all(self, paths, budgets_ms):
        """Ask for all paths, some at a time, at one host after the other.

        Returns:
            The status of each, None without an answer, and how many milliseconds it took.
        """
        with ThreadPoolExecutor(CALLERS) as callers:
            return list(callers.map(self._ask, range(len(paths)), paths, budgets_ms))

    def _ask(self, number, path, budget_ms):
        began = time.monotonic()
        index = number % len(self.tier.addresses)
        answer = self.tier.ask(index, path, f"e{number:06}", Time_Budget_Ms=str(budget_ms))
        status = None if answer is None else answer.status
        return status, (time.monotonic() - began) * 1000

    def beside_sound_requests(self, work):
        """Run ``work`` while sound requests are sent to each host; return what it returns."""
        thread = threading.Thread(target=self._send_sound)
        thread.start()
        try:
            return work()
        finally:
            self._stopped.set()
            thread.join()

    def _send_sound(self):
        number = 0
        while not self._stopped.is_set():
            index = number % len(self.tier.addresses)
            began = time.monotonic()
            answer = self.tier.ask(index, "/orders/sound", f"s{number:06}")
            status = None if answer is None else answer.status
            self.sound.append((status, (time.monotonic() - began) * 1000))
            number += 1
            self._stopped.wait(SOUND_INTERVAL_S)

    # What it cost

    def open_streams(self):
        """Return how many endless answers are still being sent after a while, and of all."""
        streams = [one for server in self.tier.servers.values() for one in streams_of(server)]
        closes_by = time.monotonic() + CLOSE_TIMEOUT_S
        while any(not one.closed.is_set() for one in streams) and time.monotonic() < closes_by:
            time.sleep(0.05)
        return sum(not one.closed.is_set() for one in streams), len(streams)

    def peak_memory_mb(self):
        """Return the greatest peak memory of a host, in MB."""
        return max(_peak_kb(one.pid) for one in self.tier.processes.values()) / 1000

    def task_faults(self):
        logs = [self.tier.log_text(index) for index in self.tier.running()]
        return [line for log in logs for line in log.splitlines() if '"task_fault"' in line]


def streams_of(server):
    return list(getattr(server, "streams", ()))


def _peak_kb(pid):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise AssertionError(f"no peak memory of process {pid}")
