"""Parses the lists that an entry fetches: an upstream's shard map and the platform's hosts.

docs/UPSTREAM-PROTOCOL.md specifies both formats.
"""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..core.shard_map import Server, Shard, ShardMap, Snapshot
from ..settings.models import Address
from .upstream_protocol import ProtocolError

MAX_SERVERS = 20_000
MAX_SHARDS = 20_000
MAX_HOSTS = 50_000

ShortText = Annotated[str, Field(min_length=1, max_length=200)]
NonNegativeInt = Annotated[int, Field(ge=0, le=2**53, strict=True)]
PositiveInt = Annotated[int, Field(ge=1, le=1_000_000, strict=True)]
TcpPort = Annotated[int, Field(ge=1, le=65535, strict=True)]


class _Message(BaseModel):
    # Ignores fields that a later version of the protocol may add.
    model_config = ConfigDict(extra="ignore")


class _ShardItem(_Message):
    name: ShortText
    documents: NonNegativeInt
    servers: Annotated[list[ShortText], Field(max_length=MAX_SERVERS)]


class _ServerItem(_Message):
    id: ShortText
    address: Address
    port: TcpPort
    zone: ShortText
    slots: PositiveInt
    max_connections: PositiveInt


class _MapMessage(_Message):
    upstream: ShortText
    version: NonNegativeInt
    epoch: NonNegativeInt
    shards: Annotated[list[_ShardItem], Field(min_length=1, max_length=MAX_SHARDS)]
    servers: Annotated[list[_ServerItem], Field(max_length=MAX_SERVERS)]


class _HostItem(_Message):
    address: Address
    port: TcpPort | None = None
    state: Literal["live", "leaving"]


class _HostsMessage(_Message):
    hosts: Annotated[list[_HostItem], Field(max_length=MAX_HOSTS)]


class PlatformHost(NamedTuple):
    """One item of the platform's list."""

    address: str
    port: int | None
    """The port of the process; None stands for all processes at this address."""
    leaving: bool

    def matches(self, address: str, port: int) -> bool:
        """Return whether this item covers the process at an address and port."""
        return self.address == address and self.port in (None, port)


def parse_shard_map(body: bytes, upstream: str) -> ShardMap:
    """Parse a shard map.

    Args:
        body: The response body.
        upstream: The name of the upstream that sent it.

    Raises:
        ProtocolError: If a field is missing, of a wrong type or out of range; the message names it.
    """
    try:
        message = _MapMessage.model_validate(orjson.loads(body))
    except (orjson.JSONDecodeError, ValidationError) as exc:
        raise _protocol_error(exc) from exc
    if message.upstream != upstream:
        raise ProtocolError(f"upstream: got {message.upstream}, expected {upstream}")
    servers = tuple(Server(*item.model_dump().values()) for item in message.servers)
    shards = tuple(
        Shard(item.name, item.documents, tuple(dict.fromkeys(item.servers)))
        for item in message.shards
    )
    snapshot = Snapshot(message.version, message.epoch)
    shard_map = ShardMap(message.upstream, snapshot, shards, servers)
    _check_names_and_ids(shard_map)
    return shard_map


def _check_names_and_ids(shard_map: ShardMap) -> None:
    if len(shard_map.by_shard_name) != len(shard_map.shards):
        raise ProtocolError("shards: expected unique names, got a duplicate")
    if len(shard_map.by_server_id) != len(shard_map.servers):
        raise ProtocolError("servers: expected unique ids, got a duplicate")
    for shard in shard_map.shards:
        for server_id in shard.servers:
            if server_id not in shard_map.by_server_id:
                raise ProtocolError(
                    f"shards.{shard.name}.servers: expected ids from servers, got {server_id}"
                )


def parse_hosts(body: bytes) -> list[PlatformHost]:
    """Parse the platform's list of hosts.

    Raises:
        ProtocolError: If a field is invalid; the message names it.
    """
    try:
        message = _HostsMessage.model_validate(orjson.loads(body))
    except (orjson.JSONDecodeError, ValidationError) as exc:
        raise _protocol_error(exc) from exc
    return [
        PlatformHost(item.address, item.port, item.state == "leaving") for item in message.hosts
    ]


def _protocol_error(exc: orjson.JSONDecodeError | ValidationError) -> ProtocolError:
    if isinstance(exc, ValidationError):
        first = exc.errors()[0]
        return ProtocolError(f"{'.'.join(map(str, first['loc'])) or 'body'}: {first['msg']}")
    return ProtocolError(f"not JSON: {exc}")
