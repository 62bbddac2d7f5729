"""Which shards an upstream's indexes have, what they weigh and which servers hold them."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple


class Snapshot(NamedTuple):
    """The one state of the indexes that an answer reflects."""

    version: int
    """The index version."""
    epoch: int
    """The partition epoch; it changes when documents move between shards."""


class Shard(NamedTuple):
    """One part of the indexes."""

    name: str
    documents: int
    """How many documents it holds: its weight in the coverage."""
    servers: tuple[str, ...]
    """The ids of the servers that hold it."""


class Server(NamedTuple):
    """One process of an upstream."""

    server_id: str
    address: str
    """An IP address."""
    port: int
    zone: str
    slots: int
    """How many shard requests it runs at the same time."""
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
        """The servers by their ids."""
        return {server.server_id: server for server in self.servers}

    @cached_property
    def by_shard_name(self) -> dict[str, Shard]:
        """The shards by their names."""
        return {shard.name: shard for shard in self.shards}

    @cached_property
    def documents(self) -> int:
        """The documents of all shards together."""
        return sum(shard.documents for shard in self.shards)
