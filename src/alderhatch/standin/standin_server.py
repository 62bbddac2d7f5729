"""One server of a stand-in upstream."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple, Protocol

import orjson
import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.shard_map import Snapshot
from .corpus import Corpus, Layout
from .garbled_answer import RawAnswer, garbled_answer, http_answer
from .server_faults import FrozenSide, ServerFaults
from .standin_connection import ParsedRequest, StandinConnection

MAX_COUNTED_REQUESTS = 100_000
"""Number of request IDs after which the counts of shard requests are cleared."""


class UpstreamShape(NamedTuple):
    """Number of servers of an upstream and the capacity of each."""

    name: str
    shards: int
    servers_per_shard: int
    slots: int
    connections: int
    connect_ms: Millis
    """Time that a server takes to set up a new connection."""


class ServiceTime(NamedTuple):
    """Distribution of the time of a shard request: log-normal, with occasional stragglers."""

    median: Millis = 2.0
    sigma: float = 0.5
    straggler_share: float = 0.02
    straggler_factor: float = 10.0

    def draw(self, rng: Random) -> Millis:
        """Return a random time of one shard request."""
        if not self.median:
            return 0.0
        duration = self.median * rng.lognormvariate(0.0, self.sigma)
        return duration * self.straggler_factor if rng.random() < self.straggler_share else duration


class UpstreamState(Protocol):
    """The upstream's data that its servers use."""

    shape: UpstreamShape
    service_time: ServiceTime
    corpus: Corpus
    layouts: dict[Snapshot, Layout]
    published: dict[Snapshot, Layout]
    runs: list[tuple[str, str]]
    received: Counter[str]

    def map_as_json(self) -> dict[str, object]:
        """Return the newest shard map in the JSON form of the upstream protocol."""


class ServerCounts:
    """Counters of one server, which its crashes do not reset."""

    def __init__(self) -> None:
        self.received = 0
        """Number of shard requests received."""
        self.answered = 0
        """Number of shard requests completed."""
        self.cancelled = 0
        """Number of requests whose entry closed the connection before the answer."""
        self.connections = 0
        self.most_connections = 0
        self.over_limit = 0
        """Number of connections beyond the limit; they are closed at once."""
        self.crashes = 0


class StandinServer:
    """One server, into which faults can be injected.

    Args:
        upstream: The upstream that the server belongs to.
        server_id: Its ID.
        zone: Its availability zone.
        rng: Random source of its service times.
    """

    def __init__(self, upstream: UpstreamState, server_id: str, zone: str, rng: Random) -> None:
        self.upstream = upstream
        self.server_id = server_id
        self.zone = zone
        self.port = 0
        self.faults = ServerFaults()
        self.counts = ServerCounts()
        self.missing_snapshots: set[Snapshot] = set()
        """Snapshots that this server does not hold although its upstream does."""
        self._rng = rng
        self._boot = 0
        self._started_at: Millis = 0.0
        self._connections: set[StandinConnection] = set()
        self._previous: dict[str, Any] | None = None
        self._slots = trio.CapacityLimiter(upstream.shape.slots)
        self._run_scope: trio.CancelScope | None = None
        self._clock = LoopClock()

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; restart after a crash. Port 0: the kernel chooses the port."""
        started: Callable[[], None] | None = task_status.started
        while True:
            listeners = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
            self.port = listeners[0].socket.getsockname()[1]
            self._boot += 1
            self._started_at = self._clock.now()
            self._slots = trio.CapacityLimiter(self.upstream.shape.slots)
            with trio.CancelScope() as self._run_scope:
                if started is not None:
                    started()
                    started = None
                await trio.serve_listeners(self._on_connection, listeners)
            await trio.sleep(self.faults.restart_ms / SECOND)

    def crash(self) -> None:
        """Close listener and connections; restart after ``restart_ms`` with a new boot ID."""
        self.counts.crashes += 1
        if self._run_scope is not None:
            self._run_scope.cancel()

    def freeze_open_connections(self, side: FrozenSide) -> None:
        """Stop one direction of all open connections; new connections are not affected."""
        for conn in self._connections:
            conn.frozen = side

    def close_open_connections(self) -> None:
        """Close all open connections, as servers do with idle ones."""
        for conn in self._connections:
            conn.close()

    @property
    def silent_connections(self) -> int:
        """Number of open connections with a stopped direction."""
        return sum(conn.frozen is not None for conn in self._connections)

    @property
    def boot_id(self) -> str:
        """The boot ID, which changes with each start."""
        return f"{self.server_id}-boot-{self._boot}"

    async def _on_connection(self, stream: trio.SocketStream) -> None:
        counts = self.counts
        if counts.connections >= self.upstream.shape.connections:
            counts.over_limit += 1
            await trio.aclose_forcefully(stream)
            return
        counts.connections += 1
        counts.most_connections = max(counts.most_connections, counts.connections)
        conn = StandinConnection(stream, self._handle)
        self._connections.add(conn)
        try:
            await trio.sleep(self.upstream.shape.connect_ms / SECOND)
            await conn.run()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            counts.connections -= 1
            counts.cancelled += conn.cancelled
            self._connections.discard(conn)
            stream.socket.close()

    async def _handle(self, req: ParsedRequest) -> RawAnswer | None:
        match (req.method, req.path):
            case ("GET", "/shard-map"):
                return _json(200, self.upstream.map_as_json())
            case ("GET", "/health"):
                return await self._health()
            case ("POST", "/shard"):
                return await self._run_shard_request(req.body)
        return _json(404, {"error": "not_found"})

    async def _health(self) -> RawAnswer:
        if self.faults.health_silent:
            await trio.sleep_forever()
        true_state = "draining" if self.faults.draining else "starting" if self._cold else "ready"
        state = self.faults.health_state or true_state
        return _json(200, {"state": state, "boot_id": self.boot_id, "load": self._load()})

    @property
    def _cold(self) -> bool:
        return self._clock.now() < self._started_at + self.faults.cold_ms

    def _load(self) -> dict[str, int]:
        if self.faults.report_load is not None:
            in_flight, queued = self.faults.report_load
            return {"in_flight": in_flight, "queued": queued}
        stats = self._slots.statistics()
        return {"in_flight": stats.borrowed_tokens, "queued": stats.tasks_waiting}

    async def _run_shard_request(self, body: bytes) -> RawAnswer | None:
        self.counts.received += 1
        faults = self.faults
        if faults.lose:
            return None
        if faults.crash_on is not None and faults.crash_on in body:
            self.crash()
            await trio.sleep_forever()
        request = orjson.loads(body)
        self._count_request(request["request_id"])
        refusal = self._find_refusal(request)
        if refusal is not None:
            return refusal
        if not request["idempotent"]:
            self.upstream.runs.append((request["request_id"], self.server_id))
        async with self._slots:
            duration = self.upstream.service_time.draw(self._rng) + faults.straggle_ms
            await trio.sleep(duration * (faults.cold_factor if self._cold else 1.0) / SECOND)
        answer = self._build_answer(request)
        previous, self._previous = self._previous, answer
        self.counts.answered += 1
        if faults.garbage is not None:
            return garbled_answer(faults.garbage, answer, previous)
        return _json(200, answer)

    def _count_request(self, request_id: str) -> None:
        received = self.upstream.received
        if len(received) >= MAX_COUNTED_REQUESTS:
            received.clear()
        received[request_id] += 1

    def _find_refusal(self, request: dict[str, Any]) -> RawAnswer | None:
        if self.faults.shed_ms is not None:
            after = max(1, round(self.faults.shed_ms / SECOND))
            return _json(503, {"id": request["id"], "error": "shed"}, retry_after=after)
        if self.faults.draining:
            return _json(503, {"id": request["id"], "error": "draining"})
        snapshot = Snapshot(request["version"], request["epoch"])
        layout = self.upstream.layouts.get(snapshot)
        if layout is None or snapshot in self.missing_snapshots:
            return _json(409, {"id": request["id"], "error": "version_gone"})
        if self.server_id not in layout.servers.get(request["shard"], ()):
            return _json(400, {"id": request["id"], "error": "refused"})
        return None

    def _build_answer(self, request: dict[str, Any]) -> dict[str, Any]:
        # A running request completes even if its snapshot has been dropped since it began.
        layout = self.upstream.published[Snapshot(request["version"], request["epoch"])]
        if request["idempotent"]:
            rows = self.upstream.corpus.rows(
                layout, request["shard"], request["query"].get("topic", "")
            )
        else:
            rows = [{"ran": request["request_id"], "shard": request["shard"]}]
        return {
            "id": request["id"],
            "shard": request["shard"],
            "version": request["version"],
            "epoch": request["epoch"],
            "rows": rows,
            "load": self._load(),
        }


def _json(status: int, value: object, retry_after: int | None = None) -> RawAnswer:
    answer = http_answer(status, orjson.dumps(value))
    if retry_after is not None:
        line = f"\r\nRetry-After: {retry_after}\r\n\r\n".encode()
        answer = answer.replace(b"\r\n\r\n", line, 1)
    return RawAnswer(answer)
