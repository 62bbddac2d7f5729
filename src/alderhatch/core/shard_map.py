"""The shards of an upstream's indexes, their weights and the servers that hold them."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple


class Snapshot(NamedTuple):
    """The state of the indexes that an answer reflects."""

    version: int
    """The index version."""
    epoch: int
    """The partition epoch, which changes when documents move between shards."""


class Shard(NamedTuple):
    """One partition of the indexes."""

    name: str
    documents: int
    """The number of documents it holds, which is its weight in the coverage."""
    servers: tuple[str, ...]
    """The IDs of the servers that hold it."""


class Server(NamedTuple):
    """One server process of an upstream."""

    server_id: str
    address: str
    """An IP address."""
    port: int
    zone: str
    slots: int
    """How many shard requests it runs concurrently."""
    max_connections: int
    """How many connections it accepts from all entries together."""


@dataclass(frozen=True)
class ShardMap:
    """The shards and servers of one upstream at one snapshot."""

    upstream: str
    snapshot: Snapshot
    shards: tuple[Shard, ...]
    servers: tuple[Server, ...]

    @cached_property
    def by_server_id(self) -> dict[str, Server]:
        """The servers by ID."""
        return {server.server_id: server for server in self.servers}

    @cached_property
    def by_shard_name(self) -> dict[str, Shard]:
        """The shards by name."""
        return {shard.name: shard for shard in self.shards}

    @cached_property
    def documents(self) -> int:
        """The total number of documents in all shards."""
        return sum(shard.documents for shard in self.shards)
