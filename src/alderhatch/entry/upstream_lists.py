"""The lists that an entry fetches: an upstream's shard map and the platform's hosts.

docs/UPSTREAM-PROTOCOL.md is the published form of what is read here.
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

Word = Annotated[str, Field(min_length=1, max_length=200)]
Count = Annotated[int, Field(ge=0, le=2**53, strict=True)]
Positive = Annotated[int, Field(ge=1, le=1_000_000, strict=True)]
TcpPort = Annotated[int, Field(ge=1, le=65535, strict=True)]


class _Message(BaseModel):
    # Fields that a later version of the protocol may add are passed over.
    model_config = ConfigDict(extra="ignore")


class _ShardItem(_Message):
    name: Word
    documents: Count
    servers: Annotated[list[Word], Field(max_length=MAX_SERVERS)]


class _ServerItem(_Message):
    id: Word
    address: Address
    port: TcpPort
    zone: Word
    slots: Positive
    max_connections: Positive


class _MapMessage(_Message):
    upstream: Word
    version: Count
    epoch: Count
    shards: Annotated[list[_ShardItem], Field(min_length=1, max_length=MAX_SHARDS)]
    servers: Annotated[list[_ServerItem], Field(max_length=MAX_SERVERS)]


class _HostItem(_Message):
    address: Address
    port: TcpPort | None = None
    state: Literal["live", "leaving"]


class _HostsMessage(_Message):
    hosts: Annotated[list[_HostItem], Field(max_length=MAX_HOSTS)]


class PlatformHost(NamedTuple):
    """One line of the platform's list."""

    address: str
    port: int | None
    """The process that is meant; None stands for all at this address."""
    leaving: bool

    def matches(self, address: str, port: int) -> bool:
        """Return whether this line is about a process at an address and port."""
        return self.address == address and self.port in (None, port)


def parse_shard_map(body: bytes, upstream: str) -> ShardMap:
    """Read a shard map.

    Args:
        body: The body of the answer.
        upstream: The name of the upstream that was asked.

    Raises:
        ProtocolError: Naming the field that is missing, of a wrong type or out of its range.
    """
    try:
        message = _MapMessage.model_validate(orjson.loads(body))
    except (orjson.JSONDecodeError, ValidationError) as exc:
        raise _fault(exc) from exc
    if message.upstream != upstream:
        raise ProtocolError(f"upstream: the map of {message.upstream}, not of {upstream}")
    servers = tuple(Server(*item.model_dump().values()) for item in message.servers)
    shards = tuple(
        Shard(item.name, item.documents, tuple(dict.fromkeys(item.servers)))
        for item in message.shards
    )
    snapshot = Snapshot(message.version, message.epoch)
    shard_map = ShardMap(message.upstream, snapshot, shards, servers)
    _check_names(shard_map)
    return shard_map


def _check_names(shard_map: ShardMap) -> None:
    if len(shard_map.by_shard_name) != len(shard_map.shards):
        raise ProtocolError("shards: two of one name")
    if len(shard_map.by_server_id) != len(shard_map.servers):
        raise ProtocolError("servers: two of one id")
    for shard in shard_map.shards:
        for server_id in shard.servers:
            if server_id not in shard_map.by_server_id:
                raise ProtocolError(f"shards.{shard.name}.servers: no server {server_id}")


def parse_hosts(body: bytes) -> list[PlatformHost]:
    """Read the platform's list of hosts.

    Raises:
        ProtocolError: Naming the field at fault.
    """
    try:
        message = _HostsMessage.model_validate(orjson.loads(body))
    except (orjson.JSONDecodeError, ValidationError) as exc:
        raise _fault(exc) from exc
    return [
        PlatformHost(item.address, item.port, item.state == "leaving") for item in message.hosts
    ]


def _fault(exc: orjson.JSONDecodeError | ValidationError) -> ProtocolError:
    if isinstance(exc, ValidationError):
        first = exc.errors()[0]
        return ProtocolError(f"{'.'.join(map(str, first['loc'])) or 'body'}: {first['msg']}")
    return ProtocolError(f"not JSON: {exc}")
