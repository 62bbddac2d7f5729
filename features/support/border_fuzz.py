"""A fuzzer of real nodes: odd inputs at one border beside traffic, with what callers see checked.

Hypothesis makes the inputs from a seed and makes one that does harm smaller, by trying simpler ones
on the same hosts. A host that has ended by itself is started again before the next input.
"""

from __future__ import annotations

import socket
import threading
import time
from contextlib import ExitStack, contextmanager, suppress
from itertools import count
from pathlib import Path
from types import SimpleNamespace

import trio
from hypothesis import HealthCheck, Phase, given, seed, settings

from alderhatch.codec import Codec
from alderhatch.control.log_messages import PEER_MESSAGE_TYPES
from alderhatch.link import LinkClosedError, Peer, open_link
from alderhatch.node.node import LINK_MESSAGE_TYPES
from alderhatch.node.tier_messages import TIER_MESSAGE_TYPES
from alderhatch.platform.settings import LINK_SECRET
from features.support.habit_callers import HabitCaller
from features.support.odd_inputs import (
    KEPT_INPUTS,
    REQUEST_ID,
    OddRequest,
    change_answer,
    odd_answers,
    odd_lists,
    odd_messages,
    odd_requests,
)
from features.support.platform_soak import SHARDS, PlatformSoak
from features.support.platform_tier import HOST, ZONES
from features.support.tier import free_ports, own_loopback_address

TRY_S = {"list": 1.6, "answers": 0.5, "callers": 0.1, "operators": 0.1, "hosts": 0.15}
"""How long an input of each border is there. A leader reads the list each 0.9 s, and the hosts then
connect to its servers."""
MIN_SERVED = 0.9
"""Fraction of the requests in a time without faults that are served: each of them could be served
by a sound server."""
MIN_JUDGED = 200
"""Fewer requests say little about the fraction."""
MAX_MEMORY_MB = 300
"""The memory of a host on the users' sheets."""
MAX_LOG_BYTES = 4_000_000
"""Of a host, over a run of some minutes."""
HABIT_CALLERS = 4
SMALLEST_TRIES = 40
"""Examples after a harmful one, for making it smaller."""
LINK_TYPES = (*PEER_MESSAGE_TYPES, *TIER_MESSAGE_TYPES, *LINK_MESSAGE_TYPES)
LINK_ROLES = ("host", "control", "hand_over", "quota", "bootstrap", "odd")
FRONT, DIRECTORY, READINESS, CONTROL, LINKS, METRICS = range(6)
GATHER = f"GET /paths/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {REQUEST_ID}\r\nTime-Budget-Ms: 900"
ORDER = (
    f"POST /orders/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {REQUEST_ID}\r\n"
    "Time-Budget-Ms: 900\r\nContent-Length: 1\r\n\r\nx"
)
CHUNKED = (
    f"POST /orders/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {REQUEST_ID}\r\n"
    "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
)
CALLER_REQUESTS = (
    GATHER + "\r\n\r\n",
    ORDER,
    CHUNKED,
    f"GET /-/resolve?name={HOST}&region=r&zone=z HTTP/1.1\r\nHost: x\r\n\r\n",
    "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n",
    "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
)
CHANGE = (
    f'{{"version":1,"routes":[{{"name":"odd","host":"{HOST}","path-prefix":"/odd/","route-type":"safe",'
    '"priority":1,"timeout-ms":8000,"target-latency-ms":4000,"max-attempts":2,"service":"kitchen"}]'
    ',"services":[{"name":"kitchen","max-connections":28}]}'
)
OPERATOR_REQUESTS = (
    "GET /-/config HTTP/1.1\r\nHost: x\r\n\r\n",
    f"PUT /-/config HTTP/1.1\r\nHost: x\r\nContent-Length: {len(CHANGE)}\r\n\r\n{CHANGE}",
    "GET /-/nothing HTTP/1.1\r\nHost: x\r\n\r\n",
)


class HarmError(AssertionError):
    """An input did harm."""


class BorderFuzz(PlatformSoak):
    """Tries odd inputs at one border; ``findings`` lists what callers saw of them.

    Args:
        context: Has ``add_cleanup``.
        seed: Of the inputs, and of the faults.
        seconds: How long to go on.
        border: ``list``, ``answers``, ``callers``, ``operators`` or ``hosts``.
        faults: Whether hosts are killed, paused and stopped meanwhile, and the network disturbed.
        sources: A folder with the package that the nodes run; None for that of the tests.
        kept: Whether inputs that once did harm are tried first.
        stops: Whether hosts are told to stop meanwhile, and other callers half-close, pipeline and
            read slowly or nothing.
    """

    def __init__(
        self, context, seed, seconds, border, faults=False, sources=None, kept=True, stops=False
    ):
        super().__init__(context, seed, seconds)
        self._stops = stops
        if stops:
            self._faults = (self._stop, self._stop, self._reload)
        self._context = context
        self._kept = KEPT_INPUTS.get(border, ()) if kept else ()
        self.tier.sources = sources
        self.border = border
        self.faults = faults or stops
        self.harmful = None
        """The smallest input that did harm; None if none did."""
        self.harmed_after = None
        """Seconds from the first input to the first harm."""
        self.tried = 0
        self._numbers = count()
        self._began = 0.0
        self._lock = threading.Lock()
        """Held while hosts are killed and started."""
        self._tries_after_harm = 0
        self.last_log = ""
        """The end of the log of a host that ended by itself."""

    def _callers(self):
        habits = range(HABIT_CALLERS) if self._stops else ()
        return [*super()._callers(), *(HabitCaller(self, number) for number in habits)]

    def run(self):
        with self.traffic(), self._beside_faults():
            self._began = time.monotonic()
            self._try_inputs()
        self._check_bounds()
        self._check_end()

    @contextmanager
    def _beside_faults(self):
        thread = threading.Thread(target=self._inject_faults)
        if self.faults:
            thread.start()
        yield
        self.stopped = True
        if self.faults:
            thread.join()

    def _inject_faults(self):
        try:
            while not self.stopped:
                with self._lock:
                    self._inject_fault()
                time.sleep(1.0)
        except AssertionError as exc:
            self._report(f"faults: {exc}")

    def _try_inputs(self):
        """Try inputs until the time is over, or an input that does harm was made small."""
        tries = max(1, int(self.seconds / TRY_S[self.border]))

        @seed(self.seed)
        @settings(
            max_examples=tries,
            database=None,
            deadline=None,
            phases=(Phase.generate, Phase.shrink),
            suppress_health_check=list(HealthCheck),
            print_blob=False,
        )
        @given(self._inputs())
        def try_all(odd):
            if self._is_over():
                return
            self._try(odd)

        with suppress(HarmError, ExceptionGroup):
            for odd in self._kept:
                self._try(odd)
            try_all()
        if self.harmful is not None:
            self._report(f"harmful at the border {self.border}: {self.harmful!r}")

    def _is_over(self):
        if self._tries_after_harm > SMALLEST_TRIES:
            return True
        return self._tries_after_harm == 0 and time.monotonic() - self._began > self.seconds

    def _try(self, odd):
        self.tried += 1
        findings = len(self.findings)
        with self._applied(odd):
            end = time.monotonic() + TRY_S[self.border]
            while time.monotonic() < end and not self._ended_hosts():
                time.sleep(0.02)
        ended = self._ended_hosts()
        seen = self.findings[findings:]
        if self._tries_after_harm or ended or seen:
            self._tries_after_harm += 1
        if not ended and not seen:
            return
        if self.harmed_after is None:
            self.harmed_after = time.monotonic() - self._began
        self.harmful = odd
        # Of the same harm, one finding is enough.
        del self.findings[findings + 1 :]
        if ended:
            self._start_again(ended)
        raise HarmError(f"{seen}, hosts {ended} ended by themselves")

    def _ended_hosts(self):
        """Return the hosts whose processes have ended by themselves."""
        with self._lock:
            codes = {index: one.poll() for index, one in self.tier.processes.items()}
        return [index for index, code in codes.items() if code is not None and code > 0]

    def _start_again(self, hosts):
        started_at = time.monotonic()
        for index in hosts:
            self.counts["ended by itself"] += 1
            self.last_log = ascii(self.tier.log_text(index)[-600:])
        # Each of the others may have ended meanwhile.
        time.sleep(1.0)
        hosts = self._ended_hosts()
        with self._lock:
            for index in hosts:
                self.tier.processes.pop(index)
            self.tier.start(*hosts)
        self._record_disruption(hosts, started_at - 3.0)
        self._wait_until_ready()

    # Inputs

    def _inputs(self):
        match self.border:
            case "list":
                return odd_lists(self._entry(), self._impostors())
            case "answers":
                return odd_answers()
            case "callers":
                return odd_requests((FRONT, FRONT, DIRECTORY, READINESS, METRICS), CALLER_REQUESTS)
            case "operators":
                return odd_requests((CONTROL,), OPERATOR_REQUESTS)
            case "hosts":
                return odd_messages(LINK_ROLES, LINK_TYPES, self._texts())

    def _entry(self, **changes):
        """Return an entry of a known upstream at an address that refuses connections."""
        address = own_loopback_address()
        entry = {
            "instance-id": "i-odd",
            "service": "kitchen",
            "address": f"{address}:{free_ports(address, 1)[0]}",
            "zone": ZONES[0],
            "version": "v1",
            "max-concurrency": 2,
            "state": "ready",
            "warmup-left-ms": 0,
        }
        return entry | changes

    def _impostors(self):
        """Return well-formed entries that are no servers."""
        tier = self.tier
        addresses = [
            *(f"{tier.addresses[index]}:{port}" for index in (0, 3) for port in tier.ports[:4]),
            f"{tier.list_address}:{tier.list_port}",
            self._silent_address(),
        ]
        names = [f"i-{SHARDS[0]}-0", "i-kitchen-1", "i-odd-1", "i-odd-2"]
        entries = [
            self._entry(address=address, **{"instance-id": name, "service": upstream})
            for address in addresses
            for name in names
            for upstream in (SHARDS[0], "kitchen")
        ]
        entries.append(self._entry())
        return entries

    def _silent_address(self):
        """Return an address that accepts connections and never answers."""
        listener = socket.socket()
        listener.bind((own_loopback_address(), 0))
        listener.listen(1000)
        self._context.add_cleanup(listener.close)
        return "{}:{}".format(*listener.getsockname())

    def _texts(self):
        tier = self.tier
        return [
            "node-0",
            "node-9",
            ZONES[0],
            "i-kitchen-0",
            "kitchen",
            SHARDS[0],
            *tier.addresses,
            f"{tier.addresses[1]}:{tier.ports[FRONT]}",
            "127.0.0.1:70000",
            "GET",
            "/paths/1",
        ]

    @contextmanager
    def _applied(self, odd):
        match self.border:
            case "list":
                self.tier.other_entries = odd
            case "answers":
                for server_id in (f"i-{SHARDS[0]}-0", "i-kitchen-0"):
                    proxy = self.tier.servers[server_id].proxy
                    proxy.rewrite = lambda data: change_answer(data, odd)
            case "callers" | "operators":
                self._send(odd)
            case "hosts":
                self._send_messages(odd)
        try:
            yield
        finally:
            self.tier.other_entries = None
            for server in self.tier.servers.values():
                server.proxy.rewrite = lambda data: data

    def _send(self, odd: OddRequest):
        """Send bytes to a host and read what comes back for a moment."""
        index = self.tried % len(self.all_hosts)
        data = odd.data.replace(REQUEST_ID.encode(), f"odd-{next(self._numbers)}".encode())
        address = (self.tier.addresses[index], self.tier.ports[odd.port])
        with suppress(OSError), socket.create_connection(address, 0.5) as conn:
            conn.settimeout(0.15)
            conn.sendall(data)
            while conn.recv(65536):
                pass

    def _send_messages(self, odd):
        with suppress(OSError, LinkClosedError, trio.TooSlowError):
            self.tier.loop.call(self._send_on_link, odd)

    async def _send_on_link(self, odd):
        index = self.tried % len(self.all_hosts)
        address, port = self.tier.addresses[index], self.tier.ports[LINKS]
        codec = Codec(*LINK_TYPES)
        with trio.move_on_after(0.5):
            async with open_link(address, port, codec, LINK_SECRET, Peer("odd", odd.role)) as link:
                for message in odd.messages:
                    is_raw = isinstance(message, bytes)
                    await link.send_encoded(message if is_raw else codec.encode(message))
                    await trio.sleep(0.01)
                with trio.move_on_after(0.05):
                    while True:
                        await link.receive()

    # Checks

    def _report(self, finding):
        super()._report(f"{time.monotonic() - self._began:.1f} s: {finding}")

    def _check_bounds(self):
        served = self.counts[200]
        asked = sum(number for key, number in self.counts.items() if isinstance(key, int))
        asked += self.counts["cut"]
        is_judged = not self.faults and self.harmful is None and asked >= MIN_JUDGED
        if is_judged and served < MIN_SERVED * asked:
            self._report(f"{served} of {asked} requests served")
        for index, process in self.tier.processes.items():
            if _memory_mb(process.pid) > MAX_MEMORY_MB:
                self._report(f"node {index} has {_memory_mb(process.pid)} MB")
            if len(self.tier.log_text(index)) > MAX_LOG_BYTES:
                self._report(f"node {index} wrote {len(self.tier.log_text(index))} bytes of log")


def _memory_mb(pid):
    """Return the largest memory that a process has had; 0 if it has ended."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) // 1024
    return 0


def run_border(seed_number, seconds, border, faults=False, sources=None, kept=True, stops=False):
    """Fuzz one border outside of behave, and print what was seen; return 1 for a finding."""
    with ExitStack() as stack:
        context = SimpleNamespace(add_cleanup=stack.callback)
        fuzz = BorderFuzz(context, seed_number, seconds, border, faults, sources, kept, stops)
        try:
            fuzz.run()
        except AssertionError as exc:
            fuzz.findings.append(str(exc))
    statuses = ", ".join(f"{key} {number}" for key, number in sorted(fuzz.counts.items(), key=str))
    print(f"{border}, seed {seed_number}: {fuzz.tried} inputs; {statuses}")
    if fuzz.harmed_after is not None:
        print(f"first harm after {fuzz.harmed_after:.1f} s")
    for finding in fuzz.findings:
        print(f"  {finding}")
    if fuzz.harmful is not None:
        print(f"  last lines of the log: {fuzz.last_log}")
    return 1 if fuzz.findings else 0
