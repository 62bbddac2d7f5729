"""Builds answers that violate the upstream protocol."""

from __future__ import annotations

from typing import Any, NamedTuple

import orjson

from .server_faults import Garbage

CHUNK = b"1000\r\n" + b" " * 4096 + b"\r\n"
FILLER_HEADER = b"X-Filler: " + b"x" * 1000 + b"\r\n"
PROCESSING = b"HTTP/1.1 102 Processing\r\n\r\n"


class RawAnswer(NamedTuple):
    """Bytes to write to the connection unchanged."""

    data: bytes
    repeat: bytes = b""
    """Written after the data, repeatedly until the connection closes."""
    pause_ms: float = 0.0
    """Pause between two repeats."""
    close: bool = False
    """Whether to close the connection after the data."""


def http_answer(status: int, body: bytes, length: int | None = None) -> bytes:
    """Return an HTTP response; ``length`` is sent as Content-Length in place of the true one."""
    size = len(body) if length is None else length
    head = (
        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {size}\r\n\r\n"
    )
    return head.encode() + body


def garbled_answer(
    kind: Garbage, answer: dict[str, Any], previous: dict[str, Any] | None
) -> RawAnswer:
    """Return the invalid answer to send in place of the correct one.

    Args:
        kind: How the answer violates the protocol.
        answer: Body of the correct answer.
        previous: Body of the server's previous answer, or None if there was none.
    """
    body = orjson.dumps(answer)
    match kind:
        case Garbage.BAD_JSON:
            return RawAnswer(http_answer(200, body[:-1]))
        case Garbage.NOT_AN_OBJECT:
            return RawAnswer(http_answer(200, b"[1]"))
        case Garbage.WRONG_ID:
            return _with_fields(answer, id="another-1")
        case Garbage.CROSSED:
            return RawAnswer(http_answer(200, orjson.dumps(previous or answer | {"id": "other"})))
        case Garbage.WRONG_SHARD:
            return _with_fields(answer, shard="another")
        case Garbage.WRONG_VERSION:
            return _with_fields(answer, version=answer["version"] + 1)
        case Garbage.MISSING_ROWS:
            return _with_fields(answer, rows=None)
        case Garbage.ROWS_NO_LIST:
            return _with_fields(answer, rows={"0": "row"})
        case Garbage.SHORT_LENGTH:
            return RawAnswer(http_answer(200, body, len(body) - 5))
        case Garbage.LONG_LENGTH:
            return RawAnswer(http_answer(200, body, len(body) + 50), close=True)
        case Garbage.LONG_LENGTH_OPEN:
            return RawAnswer(http_answer(200, body, len(body) + 50))
        case Garbage.ENDLESS_BODY:
            return RawAnswer(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK)
        case Garbage.ENDLESS_HEAD:
            return RawAnswer(b"HTTP/1.1 200 OK\r\n", FILLER_HEADER)
        case Garbage.INFORMATIONAL_FLOOD:
            return RawAnswer(PROCESSING, PROCESSING)
        case Garbage.NOT_HTTP:
            return RawAnswer(b"\x00\x01 no HTTP at all \r\n\r\n")
        case Garbage.ANSWER_TWICE:
            false_rows = answer | {"rows": [{"key": "false"}]}
            return RawAnswer(http_answer(200, body) + http_answer(200, orjson.dumps(false_rows)))
        case Garbage.DRIP:
            return RawAnswer(http_answer(200, b"{", 1_000_000), b" ", 20.0)
        case Garbage.ERROR_PAGE:
            return RawAnswer(http_answer(503, b"<html>try later</html>"))
        case Garbage.CROSSED_REFUSAL:
            return _refusal(503, "shed", "another-1")
        case Garbage.WRONG_STATUS:
            return _refusal(404, "shed", answer["id"])


def _with_fields(answer: dict[str, Any], **fields: object) -> RawAnswer:
    return RawAnswer(http_answer(200, orjson.dumps(answer | fields)))


def _refusal(status: int, error: str, request_id: str) -> RawAnswer:
    return RawAnswer(http_answer(status, orjson.dumps({"id": request_id, "error": error})))
