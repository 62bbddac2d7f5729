"""The upstream protocol's messages: JSON bodies to and from the core's types."""

from __future__ import annotations

from typing import Any

import orjson

from ..clock import Millis
from ..core.entry_events import (
    AttemptFault,
    LoadReport,
    SendShard,
    ShardAnswer,
)
from ..core.shard_map import Server, Shard, ShardMap, Snapshot

FAULTS_BY_NAME = {
    "shed": AttemptFault.SHED,
    "draining": AttemptFault.DRAINING,
    "version_gone": AttemptFault.VERSION_GONE,
    "refused": AttemptFault.REFUSED,
    "failed": AttemptFault.FAILED,
}
"""The protocol's words for errors, with what they mean to the core."""


class ProtocolError(Exception):
    """What an upstream sent does not follow the protocol."""


def shard_request_body(send: SendShard, remaining: Millis) -> bytes:
    """Return the body of a shard request.

    Args:
        send: What the core wants sent.
        remaining: The time left, in milliseconds, until the answer is of no use.
    """
    return orjson.dumps(
        {
            "id": send.request_id,
            "shard": send.shard,
            "version": send.snapshot.version,
            "epoch": send.snapshot.epoch,
            "deadline_ms": int(remaining),
            "request_id": send.request.request_id,
            "kind": send.request.kind,
            "idempotent": send.request.idempotent,
            "query": orjson.Fragment(send.request.body),
        }
    )


def parse_shard_answer(body: bytes) -> ShardAnswer:
    """Read the body of a shard answer.

    Raises:
        ProtocolError: If a field is missing or of a wrong type.
    """
    raw = _load(body)
    try:
        rows = raw["rows"]
        if not isinstance(rows, list):
            raise ProtocolError("rows: expected a list")
        snapshot = Snapshot(_whole(raw, "version"), _whole(raw, "epoch"))
        return ShardAnswer(raw["id"], raw["shard"], snapshot, rows, _load_report(raw.get("load")))
    except KeyError as exc:
        raise ProtocolError(f"{exc.args[0]}: missing") from exc


def parse_fault(body: bytes) -> AttemptFault:
    """Read the body of an error: which fault the server names, ``garbage`` if it names none."""
    try:
        return FAULTS_BY_NAME.get(str(_load(body).get("error")), AttemptFault.GARBAGE)
    except ProtocolError:
        return AttemptFault.GARBAGE


def parse_shard_map(body: bytes) -> ShardMap:
    """Read a shard map.

    Raises:
        ProtocolError: Naming the field that is missing, of a wrong type or out of its range.
    """
    raw = _load(body)
    try:
        servers = tuple(_server(item) for item in raw["servers"])
        shards = tuple(_shard(item) for item in raw["shards"])
        snapshot = Snapshot(_whole(raw, "version"), _whole(raw, "epoch"))
        shard_map = ShardMap(str(raw["upstream"]), snapshot, shards, servers)
    except KeyError as exc:
        raise ProtocolError(f"{exc.args[0]}: missing") from exc
    except (TypeError, AttributeError) as exc:
        raise ProtocolError(f"wrong type: {exc}") from exc
    for shard in shards:
        for server_id in shard.servers:
            if server_id not in shard_map.by_server_id:
                raise ProtocolError(f"shards.{shard.name}.servers: no server {server_id}")
    return shard_map


def _load(body: bytes) -> dict[str, Any]:
    try:
        raw = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise ProtocolError(f"not JSON: {exc}") from exc
    if not isinstance(raw, dict):
        raise ProtocolError("expected an object")
    return raw


def _whole(raw: dict[str, Any], field: str) -> int:
    value = raw[field]
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ProtocolError(f"{field}: expected a whole number, not negative")
    return value


def _load_report(raw: object) -> LoadReport | None:
    if not isinstance(raw, dict):
        return None
    try:
        return LoadReport(_whole(raw, "in_flight"), _whole(raw, "queued"))
    except (KeyError, ProtocolError):
        # A report that can't be read is no reason to drop a good answer; without it the server is
        # judged by what this entry sees itself.
        return None


def _server(raw: dict[str, Any]) -> Server:
    return Server(
        str(raw["id"]),
        str(raw["address"]),
        _whole(raw, "port"),
        str(raw["zone"]),
        _whole(raw, "slots"),
        _whole(raw, "max_connections"),
    )


def _shard(raw: dict[str, Any]) -> Shard:
    return Shard(str(raw["name"]), _whole(raw, "documents"), tuple(map(str, raw["servers"])))
