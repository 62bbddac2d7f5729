"""A stand-in upstream on loopback that implements the upstream protocol."""

from __future__ import annotations

from collections import Counter
from random import Random

import trio

from ..core.shard_map import Snapshot
from .corpus import Corpus, Layout
from .standin_server import ServiceTime, StandinServer, UpstreamShape


class StandinUpstream:
    """All servers of one stand-in upstream.

    Args:
        shape: Number and capacity of its servers.
        zones: The availability zones that its servers are distributed over.
        documents_per_shard: Number of documents in each shard.
        seed: Seed of the service times.
        service_time: Distribution of the time of a shard request.
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
        self.corpus = Corpus(shape.name)
        self.service_time = service_time
        self.runs: list[tuple[str, str]] = []
        """Request ID and server of each run of a non-idempotent request."""
        shards = [f"s{number:02d}" for number in range(shape.shards)]
        holders = {
            shard: tuple(f"{shape.name}-{shard[1:]}-{n}" for n in range(shape.servers_per_shard))
            for shard in shards
        }
        self.received: Counter[str] = Counter()
        """Number of shard requests received by the servers, by the caller's request ID."""
        first = Layout(Snapshot(1, 1), dict.fromkeys(shards, documents_per_shard), holders)
        self.layouts = {first.snapshot: first}
        """Layouts of the snapshots that the servers hold; the last one is the newest."""
        self.published = dict(self.layouts)
        """Layouts of all snapshots ever published, by which answers are checked."""
        self.servers = [
            self._make_server(number + replica, server_id, zones, seed)
            for number, shard in enumerate(shards)
            for replica, server_id in enumerate(holders[shard])
        ]

    def _make_server(
        self, number: int, server_id: str, zones: tuple[str, ...], seed: int
    ) -> StandinServer:
        rng = Random(f"{seed}/{server_id}")
        return StandinServer(self, server_id, zones[number % len(zones)], rng)

    @property
    def newest(self) -> Layout:
        """The layout of the newest snapshot."""
        return next(reversed(self.layouts.values()))

    def server(self, server_id: str) -> StandinServer:
        """Return the server with an ID.

        Raises:
            StopIteration: If there is no such server.
        """
        return next(item for item in self.servers if item.server_id == server_id)

    def holders(self, shard: str) -> list[StandinServer]:
        """Return the servers that hold a shard in the newest layout."""
        return [self.server(server_id) for server_id in self.newest.servers[shard]]

    def publish_version(self) -> Snapshot:
        """Publish the next index version with unchanged shards."""
        current = self.newest
        snapshot = Snapshot(current.snapshot.version + 1, current.snapshot.epoch)
        return self._publish(current._replace(snapshot=snapshot))

    def _publish(self, layout: Layout) -> Snapshot:
        self.layouts[layout.snapshot] = layout
        self.published[layout.snapshot] = layout
        return layout.snapshot

    def repartition(self) -> Snapshot:
        """Split each shard into two of unequal size on the same servers, in a new epoch."""
        current = self.newest
        snapshot = Snapshot(current.snapshot.version + 1, current.snapshot.epoch + 1)
        documents: dict[str, int] = {}
        servers: dict[str, tuple[str, ...]] = {}
        for shard, count in current.documents.items():
            small = count // 3
            for name, size in ((f"{shard}a", small), (f"{shard}b", count - small)):
                documents[name] = size
                servers[name] = current.servers[shard]
        return self._publish(Layout(snapshot, documents, servers))

    def drop_snapshot(self, snapshot: Snapshot) -> None:
        """Drop a snapshot from all servers."""
        del self.layouts[snapshot]

    def map_as_json(self) -> dict[str, object]:
        """Return the newest shard map in the JSON form of the upstream protocol."""
        layout = self.newest
        return {
            "upstream": self.shape.name,
            "version": layout.snapshot.version,
            "epoch": layout.snapshot.epoch,
            "shards": [
                {"name": name, "documents": documents, "servers": list(layout.servers[name])}
                for name, documents in layout.documents.items()
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
