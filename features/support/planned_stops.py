"""A tier whose hosts are told to stop one after the other, and callers that use them to the end."""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random
from typing import NamedTuple

import orjson
import trio

from features.support.loop_thread import LoopThread
from features.support.platform_tier import HOST, ZONES, PlatformTier, StandinServer
from features.support.tier import until

LATE_SEND_S = 3.0
"""A request that is sent so long after the signal has to be answered, whatever its server does."""
LOSS_SLACK_S = 0.2
"""How long after its last byte a connection may still end without the request being answered."""
READ_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 65_536
RECONNECT_DELAY_S = 0.02
DEADLINE_MS = 8000


class Callers(NamedTuple):
    """How the callers of one host behave."""

    count: int = 4
    path: str = "/reads/"
    """Prefix of the path that they ask for."""
    read_rate: float | None = None
    """Bytes per second that they read; None for as fast as they come, 0 for none."""
    half_closes: bool = False
    """Whether they close their sending half after each request."""
    pipelined: int = 1
    """Requests that they send before they read the first answer."""
    pause_s: float = 0.01


class StopPlan(NamedTuple):
    """One series of planned stops."""

    disks: int = 3
    diskless: int = 2
    grace_s: float = 6.0
    gap_s: float = 3.5
    """Time from one signal to the next."""
    restart_after_s: float = 0.5
    stops: int = 10
    callers: tuple[Callers, ...] = (Callers(),)
    service_time: Callable[[Random], float] = lambda rng: rng.uniform(0.03, 0.13)
    """Draws how long a server works on a request, in seconds."""
    body_bytes: int = 0
    """Size of the answers to reads; 0 for that of the records."""
    shards: int = 6


class Exchange:
    """One request of a caller, and what became of it."""

    def __init__(self, host: int, request_id: str, path: str, sent_at: float) -> None:
        self.host = host
        self.request_id = request_id
        self.path = path
        """Prefix of the path that it asked for."""
        self.sent_at = sent_at
        """When its last byte was sent."""
        self.ended_at = 0.0
        self.status: int | None = None
        """The status of its answer, once its head has arrived."""
        self.seal = ""
        """The signature of the server in its answer."""
        self.is_whole = False
        self.received = 0
        """Bytes of its body that have arrived."""


class Stop(NamedTuple):
    """One planned stop of a host."""

    host: int
    at: float
    ended_at: float
    exit_code: int


class TimedServer(StandinServer):
    """A stand-in server that records when it worked on each request."""

    def __init__(self, server_id, upstream, zone, service_time, body_bytes, rng):
        super().__init__(server_id, upstream, zone)
        self._service_time = service_time
        self._body = b"r" * body_bytes
        self._rng = rng
        self.work = {}
        """The start and end of the work on each request; the end is infinite while it goes on."""

    async def handle(self, req):
        request_id = req.headers.get("attempt-id", "")
        began = time.monotonic()
        spans = self.work.setdefault(request_id, [])
        spans.append((began, float("inf")))
        position = len(spans) - 1
        self.delay = self._service_time(self._rng)
        try:
            answer = await super().handle(req)
        finally:
            spans[position] = (began, time.monotonic())
        if self._body and answer.status == 200:
            return answer._replace(body=self._body)
        return answer


class PlannedStops:
    """Runs one series; ``lost`` then names the requests that were lost.

    Args:
        context: Has ``add_cleanup``.
        plan: The series.
        seed: Seeds the service times and the order of the stops.
        sources: A folder with the package that the hosts run; None for that of the tests.
    """

    def __init__(self, context, plan, seed, sources=None):
        self.plan = plan
        self.tier = PlatformTier(context, plan.disks, plan.diskless)
        self.tier.sources = sources
        self.tier.extra_settings = [f"bounds.grace-s={plan.grace_s:g}"]
        self.exchanges = []
        self.stops = []
        self._rng = Random(seed)
        self._seed = seed
        self._stopped = False
        self._clients = LoopThread()
        context.add_cleanup(self._clients.close)
        self._shards = [f"shard-{number}" for number in range(plan.shards)]
        for name in (*self._shards, "reads"):
            self._add_servers(name, 2 if name != "reads" else 8)

    def _answer_bytes(self, upstream):
        """Return the size of an upstream's answers; 0 for that of the records."""
        return self.plan.body_bytes if upstream == "reads" else 0

    def _add_servers(self, upstream, count):
        for index in range(count):
            name = f"i-{upstream}-{index}"
            server = TimedServer(
                name,
                upstream,
                ZONES[index % len(ZONES)],
                self.plan.service_time,
                self._answer_bytes(upstream),
                Random(f"{self._seed} {name}"),
            )
            loop = self.tier.loop
            loop.call(partial(loop.nursery.start, server.serve))
            self.tier.servers[server.server_id] = server

    def configuration(self):
        """Return the next version of a configuration with a route for gathers and one for reads."""
        self.tier.version += 3
        route = {
            "host": HOST,
            "timeout-ms": DEADLINE_MS,
            "target-latency-ms": 500,
            "max-attempts": 2,
            "priority": 1,
        }
        gather = {"gather": self._shards, "top-k": 4, "min-coverage": 0.5}
        routes = [
            route | gather | {"name": "paths", "path-prefix": "/paths/", "route-type": "safe"},
            route | {"name": "reads", "path-prefix": "/reads/", "route-type": "safe"},
            route | {"name": "orders", "path-prefix": "/orders/", "route-type": "unsafe"},
        ]
        for one in routes[1:]:
            one["service"] = "reads"
        services = [{"name": name, "max-connections": 60} for name in (*self._shards, "reads")]
        cfg = {"version": self.tier.version, "routes": routes, "services": services}
        return orjson.dumps(cfg)

    def run(self):
        """Start the hosts, stop them one after the other under traffic, and end the traffic."""
        self._start_hosts()
        for number in range(self.plan.stops):
            self._stop(number % len(self.tier.addresses))
        self._end_traffic()

    def _start_hosts(self):
        """Start the hosts and their callers."""
        tier = self.tier
        tier.start()
        tier.put(self.configuration())
        tier.first_start = False
        for index in range(len(tier.addresses)):
            until(partial(tier.is_ready, index), f"node {index} is ready")
        for index in range(len(tier.addresses)):
            for kind, callers in enumerate(self.plan.callers):
                for number in range(callers.count):
                    name = f"{index}-{kind}-{number}"
                    self._clients.call(self._start_caller, index, callers, name)
        time.sleep(1.5)

    def _end_traffic(self):
        self._stopped = True
        time.sleep(0.5)

    def _stop(self, host):
        began = self._end(host)
        until(partial(self.tier.is_ready, host), f"node {host} is ready")
        time.sleep(max(0.0, began + self.plan.gap_s - time.monotonic()))

    def _end(self, host):
        """Stop a host as the platform does and start it again; return when it was told to stop."""
        process = self.tier.processes[host]
        began = time.monotonic()
        process.send_signal(signal.SIGTERM)
        deadline = began + self.plan.grace_s
        while process.poll() is None and time.monotonic() < deadline:
            time.sleep(0.005)
        if process.poll() is None:
            process.kill()
        code = process.wait()
        self.stops.append(Stop(host, began, time.monotonic(), code))
        time.sleep(self.plan.restart_after_s)
        self.tier.start(host)
        return began

    # Callers

    async def _start_caller(self, host, callers, name):
        self._clients.nursery.start_soon(self._call_in_loop, host, callers, name)

    async def _call_in_loop(self, host, callers, name):
        rng = Random(f"{self._seed} {name}")
        count = 0
        while not self._stopped:
            await trio.sleep(RECONNECT_DELAY_S * rng.uniform(0.5, 1.5))
            try:
                stream = await self._connect(host)
            except OSError:
                continue
            connection = CallerConnection(stream, host, callers, self._new_exchange)
            try:
                while not self._stopped and connection.is_open:
                    count += 1
                    await connection.ask(f"{name}-{count:06}")
                    await trio.sleep(callers.pause_s)
            finally:
                await trio.aclose_forcefully(stream)

    def _new_exchange(self, host, request_id, path):
        one = Exchange(host, request_id, path, time.monotonic())
        self.exchanges.append(one)
        return one

    async def _connect(self, host):
        sock = trio.socket.socket()
        # A large buffer would take most of an answer that the caller doesn't read.
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            await sock.connect((self.tier.addresses[host], self.tier.ports[0]))
        except OSError:
            sock.close()
            raise
        return trio.SocketStream(sock)

    # What was lost

    def work_on(self, request_id):
        """Return the spans in which servers worked on a request."""
        return [
            span
            for server in self.tier.servers.values()
            for span in server.work.get(request_id, ())
        ]

    def lost(self):
        """Return the requests that were lost around a planned stop.

        A host has read them and passed them on to a server, and their connection ended without a
        whole answer. Left out are those past their deadline, and those that were sent in the first
        ``LATE_SEND_S`` and on which a server still worked in the last sixth of the grace period.
        """
        return [one for one in self.exchanges if self._is_lost(one)]

    def late_closes(self):
        """Return the requests that ran nowhere and whose connection ended too late unanswered."""
        return [
            one
            for one in self.exchanges
            if self.is_cut(one)
            and self.stop_of(one) is not None
            and not self.work_on(one.request_id)
            and one.ended_at - one.sent_at > LOSS_SLACK_S
        ]

    def is_cut(self, one):
        """Return whether a request's connection ended without a whole answer."""
        return one.ended_at > 0.0 and not one.is_whole

    def stop_of(self, one):
        """Return the planned stop during which a request ended; None if there was none."""
        return next(
            (
                stop
                for stop in self.stops
                if stop.host == one.host
                and stop.at <= one.ended_at <= stop.at + self.plan.grace_s + 1.0
            ),
            None,
        )

    def _is_lost(self, one):
        stop = self.stop_of(one)
        spans = self.work_on(one.request_id)
        if not self.is_cut(one) or stop is None or not spans:
            return False
        if one.ended_at - one.sent_at >= DEADLINE_MS / 1000:
            return False
        last_sixth = stop.at + self.plan.grace_s * 5 / 6
        was_at_work = any(end >= last_sixth for _, end in spans)
        return not (one.sent_at <= stop.at + LATE_SEND_S and was_at_work)

    def describe(self, one):
        """Return when in the stop of its host a lost request was sent and cut, and when it ran."""
        at = self.stop_of(one).at
        work = ", ".join(
            f"{begin - at:.2f} to {end - at:.2f}" for begin, end in self.work_on(one.request_id)
        )
        return (
            f"{one.request_id}: sent {one.sent_at - at:.2f} s after the signal, cut at "
            f"{one.ended_at - at:.2f} s, status {one.status}, {one.received} bytes, at work {work}"
        )

    def summary(self):
        """Return what callers saw, in one line."""
        ended = [one for one in self.exchanges if one.ended_at > 0.0]
        statuses = Counter(one.status if one.is_whole else "cut" for one in ended)
        killed = sum(stop.exit_code != 0 for stop in self.stops)
        longest = max(stop.ended_at - stop.at for stop in self.stops)
        return (
            f"{len(ended)} requests {dict(statuses)}, {len(self.stops)} stops, "
            f"longest {longest:.2f} s, {killed} killed, {len(self.lost())} lost, "
            f"{len(self.late_closes())} closed late"
        )


class CallerConnection:
    """A connection of a caller, which records each exchange on it."""

    def __init__(self, stream, host, callers, new_exchange):
        self._stream = stream
        self._host = host
        self._callers = callers
        self._new_exchange = new_exchange
        self._buffer = b""
        self.is_open = True

    async def ask(self, request_id):
        """Send one request, or several ahead of the first answer, and read their answers."""
        count = self._callers.pipelined
        ids = [f"{request_id}-{number}" for number in range(count)] if count > 1 else [request_id]
        sent = []
        try:
            for one in ids:
                await self._stream.send_all(self._request(one))
                sent.append(self._new_exchange(self._host, one, self._callers.path))
            if self._callers.half_closes:
                await self._stream.send_eof()
                self.is_open = False
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.is_open = False
        for exchange in sent:
            await self._finish(exchange)

    def _request(self, request_id):
        head = (
            f"GET {self._callers.path}{request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Attempt-Id: {request_id}\r\nTime-Budget-Ms: {DEADLINE_MS}\r\n\r\n"
        )
        return head.encode("ascii")

    async def _finish(self, exchange):
        try:
            exchange.is_whole = await self._read_answer(exchange)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            exchange.is_whole = False
        exchange.ended_at = time.monotonic()
        self.is_open = self.is_open and exchange.is_whole

    async def _read_answer(self, exchange):
        while b"\r\n\r\n" not in self._buffer:
            if not await self._receive():
                return False
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        exchange.status = int(lines[0].split()[1])
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        exchange.seal = fields.get("server-seal", "")
        length = int(fields["content-length"])
        if fields.get("connection") == "close":
            self.is_open = False
        while len(self._buffer) < length:
            exchange.received = len(self._buffer)
            if not await self._receive():
                return False
        self._buffer = self._buffer[length:]
        exchange.received = length
        return True

    async def _receive(self):
        rate = self._callers.read_rate
        if rate == 0:
            await trio.sleep_forever()
        data = await self._stream.receive_some(READ_BYTES)
        if rate:
            await trio.sleep(len(data) / rate)
        self._buffer += data
        return bool(data)
