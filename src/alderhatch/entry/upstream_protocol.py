"""Converts between the JSON messages of the upstream protocol and the types of the core.

docs/UPSTREAM-PROTOCOL.md specifies the messages.
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
"""The attempt fault for each error name of the protocol."""

STATUSES_BY_FAULT = {
    AttemptFault.SHED: (429, 503),
    AttemptFault.DRAINING: (503,),
    AttemptFault.VERSION_GONE: (409,),
    AttemptFault.REFUSED: (400, 413, 422),
    AttemptFault.FAILED: (500,),
}
"""The HTTP statuses that the protocol allows for each fault."""

BODY_SIZE_STEP = 64
"""Request bodies are padded with spaces to a multiple of this many bytes. With few different
lengths, the encoded request head, which contains the length, can be reused."""

MAX_RETRY_AFTER: Millis = 3600 * SECOND


class ProtocolError(Exception):
    """A message of an upstream or of the platform violates the protocol."""


class Health(NamedTuple):
    """The state that a server's health endpoint reports."""

    state: ServerState
    load: LoadReport | None
    boot_id: str | None


def shard_request_body(send: SendShard, remaining: Millis) -> bytes:
    """Return the body of a shard request.

    Args:
        send: The shard request.
        remaining: The time left until its deadline, in milliseconds.
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
    return body.ljust(-(-len(body) // BODY_SIZE_STEP) * BODY_SIZE_STEP)


def parse_shard_reply(send: SendShard, reply: HttpReply) -> ShardAnswered | AttemptFailed:
    """Parse a server's reply to a shard request.

    Only an answer that echoes the ID, the shard and the snapshot of the request is accepted;
    anything else is a fault of the attempt.
    """
    try:
        if reply.status != OK:
            return _parse_refusal(send, reply)
        answer = parse_shard_answer(reply.body)
    except ProtocolError:
        return AttemptFailed(send.attempt, AttemptFault.GARBAGE)
    # Answers can arrive late or for another request. Without this check, such an answer would be
    # merged into the result of the wrong request.
    expected = (send.request_id, send.shard, send.snapshot)
    if (answer.request_id, answer.shard, answer.snapshot) != expected:
        return AttemptFailed(send.attempt, AttemptFault.WRONG_ANSWER)
    return ShardAnswered(send.attempt, answer)


def _parse_refusal(send: SendShard, reply: HttpReply) -> AttemptFailed:
    raw = _parse_object(reply.body)
    # "Not run" is passed on to the caller, and a non-idempotent request is sent to another server
    # because of it. So the refusal must name this request and an error of the protocol; a refusal
    # of another request or an intermediary's error page proves nothing.
    if raw.get("id") != send.request_id:
        return AttemptFailed(send.attempt, AttemptFault.WRONG_ANSWER)
    fault = FAULTS_BY_NAME.get(str(raw.get("error")), AttemptFault.GARBAGE)
    if reply.status not in STATUSES_BY_FAULT.get(fault, ()):
        return AttemptFailed(send.attempt, AttemptFault.GARBAGE)
    return AttemptFailed(send.attempt, fault, _parse_retry_after(reply))


def _parse_retry_after(reply: HttpReply) -> Millis | None:
    value = reply.header(b"retry-after")
    if value is None or not value.isdigit():
        return None
    return min(MAX_RETRY_AFTER, int(value[:9]) * SECOND)


def parse_shard_answer(body: bytes) -> ShardAnswer:
    """Parse the body of a shard answer.

    Raises:
        ProtocolError: If a field is missing or of a wrong type.
    """
    raw = _parse_object(body)
    rows = raw.get("rows")
    if not isinstance(rows, list):
        raise ProtocolError("rows: expected a list")
    snapshot = Snapshot(_non_negative_int(raw, "version"), _non_negative_int(raw, "epoch"))
    load = _parse_load_report(raw.get("load"))
    return ShardAnswer(_short_text(raw, "id"), _short_text(raw, "shard"), snapshot, rows, load)


def parse_health(reply: HttpReply) -> Health:
    """Parse the reply of a health endpoint.

    Raises:
        ProtocolError: If it is no valid health report.
    """
    if reply.status != OK:
        raise ProtocolError(f"unexpected HTTP status {reply.status}")
    raw = _parse_object(reply.body)
    try:
        state = ServerState(_short_text(raw, "state"))
    except ValueError as exc:
        raise ProtocolError("state: expected a server state of the protocol") from exc
    if state is ServerState.UNREACHABLE:
        raise ProtocolError("state: expected a state that servers may report")
    boot_id = raw.get("boot_id")
    return Health(
        state, _parse_load_report(raw.get("load")), boot_id if _is_short_text(boot_id) else None
    )


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        raw = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise ProtocolError(f"not JSON: {exc}") from exc
    if not isinstance(raw, dict):
        raise ProtocolError("expected a JSON object")
    return raw


def _is_short_text(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= 200


def _short_text(raw: dict[str, Any], field: str) -> str:
    value = raw.get(field)
    if not isinstance(value, str) or not _is_short_text(value):
        raise ProtocolError(f"{field}: expected a string of 1 to 200 characters")
    return value


def _non_negative_int(raw: dict[str, Any], field: str) -> int:
    value = raw.get(field)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ProtocolError(f"{field}: expected a non-negative integer")
    return value


def _parse_load_report(raw: object) -> LoadReport | None:
    if not isinstance(raw, dict):
        return None
    try:
        return LoadReport(_non_negative_int(raw, "in_flight"), _non_negative_int(raw, "queued"))
    except ProtocolError:
        # An invalid load report does not invalidate the answer. Without it, the server is rated by
        # what this entry observes itself.
        return None
