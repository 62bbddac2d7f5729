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
from .standin_connection import Ask, StandinConnection

MAX_COUNTED = 100_000
"""Request ids whose shard requests are counted; then the count starts anew."""


class UpstreamShape(NamedTuple):
    """How many servers an upstream has, and what each can do."""

    name: str
    shards: int
    servers_per_shard: int
    slots: int
    connections: int
    connect_ms: Millis
    """What a new connection costs a server."""


class ServiceTime(NamedTuple):
    """How long a shard request takes: log-normal, with stragglers now and then."""

    median: Millis = 2.0
    sigma: float = 0.5
    straggler_share: float = 0.02
    straggler_factor: float = 10.0

    def draw(self, rng: Random) -> Millis:
        """Return the time of one shard request."""
        if not self.median:
            return 0.0
        span = self.median * rng.lognormvariate(0.0, self.sigma)
        return span * self.straggler_factor if rng.random() < self.straggler_share else span


class Indexes(Protocol):
    """What a server needs of its upstream."""

    shape: UpstreamShape
    service_time: ServiceTime
    corpus: Corpus
    layouts: dict[Snapshot, Layout]
    published: dict[Snapshot, Layout]
    runs: list[tuple[str, str]]
    received: Counter[str]

    def map_as_json(self) -> dict[str, object]:
        """Return the newest shard map as the protocol shows it."""


class ServerCounts:
    """What a server has seen since it was made, whatever crashes lie between."""

    def __init__(self) -> None:
        self.received = 0
        """Shard requests that arrived."""
        self.answered = 0
        """Shard requests that were run to their end."""
        self.cancelled = 0
        """Shard requests whose entry went away while they were under way."""
        self.connections = 0
        self.most_connections = 0
        self.over_limit = 0
        """Connections that came when the limit was reached; they are closed at once."""
        self.crashes = 0


class StandinServer:
    """One server, which can be told to fail.

    Args:
        upstream: What it is a part of.
        server_id: Its id.
        zone: Its availability zone.
        rng: Its source of service times.
    """

    def __init__(self, upstream: Indexes, server_id: str, zone: str, rng: Random) -> None:
        self.upstream = upstream
        self.server_id = server_id
        self.zone = zone
        self.port = 0
        self.faults = ServerFaults()
        self.counts = ServerCounts()
        self.missing_snapshots: set[Snapshot] = set()
        """Snapshots that it does not hold although its upstream does."""
        self._rng = rng
        self._boot = 0
        self._started_at: Millis = 0.0
        self._connections: set[StandinConnection] = set()
        self._previous: dict[str, Any] | None = None
        self._slots = trio.CapacityLimiter(upstream.shape.slots)
        self._life: trio.CancelScope | None = None
        self._clock = LoopClock()

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen on a port that the kernel chooses until cancelled; come back after a crash."""
        started: Callable[[], None] | None = task_status.started
        while True:
            listeners = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
            self.port = listeners[0].socket.getsockname()[1]
            self._boot += 1
            self._started_at = self._clock.now()
            self._slots = trio.CapacityLimiter(self.upstream.shape.slots)
            with trio.CancelScope() as self._life:
                if started is not None:
                    started()
                    started = None
                await trio.serve_listeners(self._on_connection, listeners)
            await trio.sleep(self.faults.restart_ms / SECOND)

    def crash(self) -> None:
        """Close everything at once; the server comes back after a while with another boot id."""
        self.counts.crashes += 1
        if self._life is not None:
            self._life.cancel()

    def freeze_open_connections(self, side: FrozenSide) -> None:
        """Let every connection that is open now go silent; new ones work."""
        for conn in self._connections:
            conn.frozen = side

    def close_open_connections(self) -> None:
        """Close every open connection, as a server does with idle ones."""
        for conn in self._connections:
            conn.close()

    @property
    def silent_connections(self) -> int:
        """How many open connections have gone silent."""
        return sum(conn.frozen is not None for conn in self._connections)

    @property
    def boot_id(self) -> str:
        """Changes with each start."""
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

    async def _handle(self, ask: Ask) -> RawAnswer | None:
        match (ask.method, ask.path):
            case ("GET", "/shard-map"):
                return _json(200, self.upstream.map_as_json())
            case ("GET", "/health"):
                return await self._health()
            case ("POST", "/shard"):
                return await self._run(ask.body)
        return _json(404, {"error": "not_found"})

    async def _health(self) -> RawAnswer:
        if self.faults.health_silent:
            await trio.sleep_forever()
        truth = "draining" if self.faults.draining else "starting" if self._cold else "ready"
        state = self.faults.health_state or truth
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

    async def _run(self, body: bytes) -> RawAnswer | None:
        self.counts.received += 1
        faults = self.faults
        if faults.lose:
            return None
        if faults.crash_on is not None and faults.crash_on in body:
            self.crash()
            await trio.sleep_forever()
        ask = orjson.loads(body)
        self._count(ask["request_id"])
        refusal = self._refuse(ask)
        if refusal is not None:
            return refusal
        if not ask["idempotent"]:
            self.upstream.runs.append((ask["request_id"], self.server_id))
        async with self._slots:
            span = self.upstream.service_time.draw(self._rng) + faults.straggle_ms
            await trio.sleep(span * (faults.cold_factor if self._cold else 1.0) / SECOND)
        answer = self._answer_to(ask)
        previous, self._previous = self._previous, answer
        self.counts.answered += 1
        if faults.garbage is not None:
            return garbled_answer(faults.garbage, answer, previous)
        return _json(200, answer)

    def _count(self, request_id: str) -> None:
        received = self.upstream.received
        if len(received) >= MAX_COUNTED:
            received.clear()
        received[request_id] += 1

    def _refuse(self, ask: dict[str, Any]) -> RawAnswer | None:
        if self.faults.shed_ms is not None:
            after = max(1, round(self.faults.shed_ms / SECOND))
            return _json(503, {"id": ask["id"], "error": "shed"}, retry_after=after)
        if self.faults.draining:
            return _json(503, {"id": ask["id"], "error": "draining"})
        snapshot = Snapshot(ask["version"], ask["epoch"])
        layout = self.upstream.layouts.get(snapshot)
        if layout is None or snapshot in self.missing_snapshots:
            return _json(409, {"id": ask["id"], "error": "version_gone"})
        if self.server_id not in layout.servers.get(ask["shard"], ()):
            return _json(400, {"id": ask["id"], "error": "refused"})
        return None

    def _answer_to(self, ask: dict[str, Any]) -> dict[str, Any]:
        # What was begun is read to its end, even if the snapshot was forgotten meanwhile.
        layout = self.upstream.published[Snapshot(ask["version"], ask["epoch"])]
        if ask["idempotent"]:
            rows = self.upstream.corpus.rows(layout, ask["shard"], ask["query"].get("topic", ""))
        else:
            rows = [{"ran": ask["request_id"], "shard": ask["shard"]}]
        return {
            "id": ask["id"],
            "shard": ask["shard"],
            "version": ask["version"],
            "epoch": ask["epoch"],
            "rows": rows,
            "load": self._load(),
        }


def _json(status: int, value: object, retry_after: int | None = None) -> RawAnswer:
    answer = http_answer(status, orjson.dumps(value))
    if retry_after is not None:
        line = f"\r\nRetry-After: {retry_after}\r\n\r\n".encode()
        answer = answer.replace(b"\r\n\r\n", line, 1)
    return RawAnswer(answer)
