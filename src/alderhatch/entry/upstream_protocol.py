"""The upstream protocol's messages: JSON bodies to and from the core's types.

docs/UPSTREAM-PROTOCOL.md is the published form of what is read and written here.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import orjson

from ..clock import SECOND, Millis
from ..core.entry_events import (
    AttemptFailed,
    AttemptFault,
    LoadReport,
    SendShard,
    ServerState,
    ShardAnswer,
    ShardAnswered,
)
from ..core.shard_map import Snapshot
from ..http.exchange import HttpReply

OK = 200
FAULTS_BY_NAME = {
    "shed": AttemptFault.SHED,
    "draining": AttemptFault.DRAINING,
    "version_gone": AttemptFault.VERSION_GONE,
    "refused": AttemptFault.REFUSED,
    "failed": AttemptFault.FAILED,
}
"""The protocol's words for errors, with what they mean to the core."""

STATUSES = {
    AttemptFault.SHED: (429, 503),
    AttemptFault.DRAINING: (503,),
    AttemptFault.VERSION_GONE: (409,),
    AttemptFault.REFUSED: (400, 413, 422),
    AttemptFault.FAILED: (500,),
}
"""The HTTP statuses that each error may come with."""

BODY_STEP = 64
"""Bodies are filled up with spaces to a multiple of so many bytes. With few different lengths the
head of a request, which names the length, can be used again."""

MAX_RETRY_AFTER: Millis = 3600 * SECOND


class ProtocolError(Exception):
    """What an upstream sent does not follow the protocol."""


class Health(NamedTuple):
    """What a server's health endpoint said."""

    state: ServerState
    load: LoadReport | None
    boot_id: str | None


def shard_request_body(send: SendShard, remaining: Millis) -> bytes:
    """Return the body of a shard request.

    Args:
        send: What the core wants sent.
        remaining: The time left, in milliseconds, until the answer is of no use.
    """
    body = orjson.dumps(
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
    return body.ljust(-(-len(body) // BODY_STEP) * BODY_STEP)


def read_reply(send: SendShard, reply: HttpReply) -> ShardAnswered | AttemptFailed:
    """Return what a server's reply to a shard request means.

    Only an answer that echoes the id, the shard and the snapshot of this very request becomes an
    answer; anything else is a fault of the attempt.
    """
    try:
        if reply.status != OK:
            return _read_refusal(send, reply)
        answer = parse_shard_answer(reply.body)
    except ProtocolError:
        return AttemptFailed(send.attempt, AttemptFault.GARBAGE)
    # Answers can arrive late or crossed. Taken by the connection they came on alone, one would be
    # merged into the answer to a request that it does not belong to.
    own = (send.request_id, send.shard, send.snapshot)
    if (answer.request_id, answer.shard, answer.snapshot) != own:
        return AttemptFailed(send.attempt, AttemptFault.WRONG_ANSWER)
    return ShardAnswered(send.attempt, answer)


def _read_refusal(send: SendShard, reply: HttpReply) -> AttemptFailed:
    raw = _load(reply.body)
    # "It did not run" is passed on to the caller, and a booking is sent elsewhere because of it.
    # So it must be said of this request, in the protocol's words; a crossed refusal or some
    # intermediary's page of the same status says nothing about it.
    if raw.get("id") != send.request_id:
        return AttemptFailed(send.attempt, AttemptFault.WRONG_ANSWER)
    fault = FAULTS_BY_NAME.get(str(raw.get("error")), AttemptFault.GARBAGE)
    if reply.status not in STATUSES.get(fault, ()):
        return AttemptFailed(send.attempt, AttemptFault.GARBAGE)
    return AttemptFailed(send.attempt, fault, _retry_after(reply))


def _retry_after(reply: HttpReply) -> Millis | None:
    value = reply.header(b"retry-after")
    if value is None or not value.isdigit():
        return None
    return min(MAX_RETRY_AFTER, int(value[:9]) * SECOND)


def parse_shard_answer(body: bytes) -> ShardAnswer:
    """Read the body of a shard answer.

    Raises:
        ProtocolError: If a field is missing or of a wrong type.
    """
    raw = _load(body)
    rows = raw.get("rows")
    if not isinstance(rows, list):
        raise ProtocolError("rows: expected a list")
    snapshot = Snapshot(_whole(raw, "version"), _whole(raw, "epoch"))
    load = _load_report(raw.get("load"))
    return ShardAnswer(_text(raw, "id"), _text(raw, "shard"), snapshot, rows, load)


def parse_health(reply: HttpReply) -> Health:
    """Read the reply of a health endpoint.

    Raises:
        ProtocolError: If it is no valid answer.
    """
    if reply.status != OK:
        raise ProtocolError(f"status {reply.status}")
    raw = _load(reply.body)
    try:
        state = ServerState(_text(raw, "state"))
    except ValueError as exc:
        raise ProtocolError("state: not a word of the protocol") from exc
    if state is ServerState.UNREACHABLE:
        raise ProtocolError("state: not a word of the protocol")
    boot_id = raw.get("boot_id")
    return Health(state, _load_report(raw.get("load")), boot_id if _is_text(boot_id) else None)


def _load(body: bytes) -> dict[str, Any]:
    try:
        raw = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise ProtocolError(f"not JSON: {exc}") from exc
    if not isinstance(raw, dict):
        raise ProtocolError("expected an object")
    return raw


def _is_text(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= 200


def _text(raw: dict[str, Any], field: str) -> str:
    value = raw.get(field)
    if not isinstance(value, str) or not _is_text(value):
        raise ProtocolError(f"{field}: expected 1 to 200 characters")
    return value


def _whole(raw: dict[str, Any], field: str) -> int:
    value = raw.get(field)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ProtocolError(f"{field}: expected a whole number, not negative")
    return value


def _load_report(raw: object) -> LoadReport | None:
    if not isinstance(raw, dict):
        return None
    try:
        return LoadReport(_whole(raw, "in_flight"), _whole(raw, "queued"))
    except ProtocolError:
        # A report that can't be read is no reason to drop a good answer; without it the server is
        # judged by what this entry sees itself.
        return None
