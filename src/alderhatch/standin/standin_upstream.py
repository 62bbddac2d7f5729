"""A stand-in upstream on loopback that speaks the published upstream protocol."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import Any, NamedTuple

import orjson
import trio

from ..clock import SECOND, Millis
from ..core.shard_map import Snapshot
from ..http.messages import HttpLimits, HttpRequest, HttpResponse, json_response
from ..http.server import serve_http
from .corpus import Corpus


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
        span = self.median * rng.lognormvariate(0.0, self.sigma)
        return span * self.straggler_factor if rng.random() < self.straggler_share else span


class StandinServer:
    """One server of a stand-in upstream."""

    def __init__(
        self, upstream: StandinUpstream, server_id: str, shard: str, zone: str, rng: Random
    ) -> None:
        self.upstream = upstream
        self.server_id = server_id
        self.shard = shard
        self.zone = zone
        self.port = 0
        self.draining = False
        self.rng = rng
        self.received = 0
        """Shard requests received so far."""
        self._slots = trio.CapacityLimiter(upstream.shape.slots)

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen on a port that the kernel chooses, until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        limits = HttpLimits(connections=self.upstream.shape.connections)
        async with trio.open_nursery() as nursery:
            await nursery.start(partial(serve_http, listeners, self.handle, limits))
            task_status.started()

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one exchange of the upstream protocol."""
        match req.path:
            case "/shard-map":
                return json_response(200, self.upstream.map_as_json())
            case "/health":
                state = "draining" if self.draining else "ready"
                return json_response(200, {"state": state} | self._load())
            case "/shard" if req.method == "POST":
                return await self._run(orjson.loads(req.body))
        return json_response(404, {"error": "not_found"})

    def _load(self) -> dict[str, int]:
        stats = self._slots.statistics()
        return {"in_flight": stats.borrowed_tokens, "queued": stats.tasks_waiting}

    async def _run(self, ask: dict[str, Any]) -> HttpResponse:
        self.received += 1
        if self.draining:
            return json_response(503, {"id": ask["id"], "error": "draining"})
        snapshot = Snapshot(ask["version"], ask["epoch"])
        if snapshot not in self.upstream.snapshots:
            return json_response(409, {"id": ask["id"], "error": "version_gone"})
        async with self._slots:
            await trio.sleep(self.upstream.service_time.draw(self.rng) / SECOND)
        topic = ask["query"].get("topic", "")
        answer = {
            "id": ask["id"],
            "shard": ask["shard"],
            "version": snapshot.version,
            "epoch": snapshot.epoch,
            "rows": self.upstream.corpus.rows(ask["shard"], snapshot, topic),
            "load": self._load(),
        }
        return json_response(200, answer)


class StandinUpstream:
    """All servers of one stand-in upstream.

    Args:
        shape: Its size.
        zones: The availability zones that its servers are spread over.
        documents_per_shard: How many documents each shard holds.
        seed: Fixes the service times.
        service_time: How long shard requests take.
    """

    def __init__(
        self,
        shape: UpstreamShape,
        zones: tuple[str, ...],
        documents_per_shard: int = 12,
        seed: int = 1,
        service_time: ServiceTime = ServiceTime(),
    ) -> None:
        self.shape = shape
        self.corpus = Corpus(shape.name, documents_per_shard)
        self.service_time = service_time
        self.snapshots = [Snapshot(1, 1)]
        """The snapshots that the servers still hold; the last one is the newest."""
        self.servers = [
            self._make_server(shard, replica, zones, seed)
            for shard in range(shape.shards)
            for replica in range(shape.servers_per_shard)
        ]

    def _make_server(
        self, shard: int, replica: int, zones: tuple[str, ...], seed: int
    ) -> StandinServer:
        server_id = f"{self.shape.name}-{shard:02d}-{replica}"
        zone = zones[(shard + replica) % len(zones)]
        rng = Random(f"{seed}/{server_id}")
        return StandinServer(self, server_id, f"s{shard:02d}", zone, rng)

    def map_as_json(self) -> dict[str, object]:
        """Return the newest shard map as the protocol shows it."""
        snapshot = self.snapshots[-1]
        shards: dict[str, list[str]] = {}
        for server in self.servers:
            shards.setdefault(server.shard, []).append(server.server_id)
        return {
            "upstream": self.shape.name,
            "version": snapshot.version,
            "epoch": snapshot.epoch,
            "shards": [
                {"name": name, "documents": self.corpus.documents_per_shard, "servers": servers}
                for name, servers in shards.items()
            ],
            "servers": [self._server_as_json(server) for server in self.servers],
        }

    def _server_as_json(self, server: StandinServer) -> dict[str, object]:
        return {
            "id": server.server_id,
            "address": "127.0.0.1",
            "port": server.port,
            "zone": server.zone,
            "slots": self.shape.slots,
            "max_connections": self.shape.connections,
        }

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run all servers until cancelled."""
        async with trio.open_nursery() as nursery:
            for server in self.servers:
                await nursery.start(server.serve)
            task_status.started()
