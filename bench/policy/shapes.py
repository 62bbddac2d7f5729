"""The brief's deployments as shapes for the model."""

from __future__ import annotations

from typing import NamedTuple

from alderhatch.clock import Millis
from alderhatch.core.shard_map import Server, Shard, ShardMap, Snapshot

ENTRIES = 12
"""Entry hosts of a deployment."""


class Shape(NamedTuple):
    """One upstream of one deployment."""

    deployment: str
    upstream: str
    zones: tuple[str, ...]
    zone_ms: Millis
    """One way between two availability zones."""
    shards: int
    replicas: int
    slots: int
    connections: int

    @property
    def slots_in_all(self) -> int:
        """The slots of all servers together."""
        return self.shards * self.replicas * self.slots

    def shard_map(self, version: int = 1) -> ShardMap:
        """Return the shard map of an index version."""
        shards: list[Shard] = []
        servers: list[Server] = []
        for number in range(self.shards):
            ids = tuple(f"{self.upstream}-{number}-{copy}" for copy in range(self.replicas))
            shards.append(Shard(f"s{number}", 1000, ids))
            servers += [
                Server(
                    server_id,
                    "127.0.0.1",
                    1,
                    self.zones[(number + copy) % len(self.zones)],
                    self.slots,
                    self.connections,
                )
                for copy, server_id in enumerate(ids)
            ]
        return ShardMap(self.upstream, Snapshot(version, 1), tuple(shards), tuple(servers))


_BRAZOS = ("brazos", ("austin-hall", "waco-hall", "temple-hall"), 0.5)
_TRAFIKK = ("trafikkforbund", ("nydalen", "ulven", "skoyen", "grorud"), 1.0)


def _shape(
    home: tuple[str, tuple[str, ...], Millis],
    upstream: str,
    shards: int,
    replicas: int,
    slots: int,
    connections: int,
) -> Shape:
    deployment, zones, zone_ms = home
    return Shape(deployment, upstream, zones, zone_ms, shards, replicas, slots, connections)


NAVIGATOR = _shape(_BRAZOS, "navigator", 20, 2, 2, 30)
DESKLINE = _shape(_BRAZOS, "deskline", 30, 2, 2, 30)
KITCHENPASS = _shape(_BRAZOS, "kitchenpass", 1, 4, 3, 130)
CLASHWATCH = _shape(_TRAFIKK, "clashwatch", 20, 2, 2, 30)
SPOTBOOK = _shape(_TRAFIKK, "spotbook", 30, 2, 2, 30)
SENDELOGG = _shape(_TRAFIKK, "sendelogg", 1, 4, 4, 50)
SHAPES = {
    shape.upstream: shape
    for shape in (NAVIGATOR, DESKLINE, KITCHENPASS, CLASHWATCH, SPOTBOOK, SENDELOGG)
}
