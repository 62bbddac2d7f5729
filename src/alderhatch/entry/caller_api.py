"""The caller API: conversion between HTTP bodies and the core's types."""

from __future__ import annotations

from typing import Annotated, Any

import orjson
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from typing_extensions import TypedDict

from ..clock import Millis
from ..core.entry_events import Answered, Outcome, Refused
from ..core.priority import Priority
from ..core.request import Request
from ..core.rule import MAX_DEADLINE_MS
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse, failure_response

ShortText = Annotated[str, Field(min_length=1, max_length=200)]


class QueryBody(TypedDict, total=False):
    """The JSON body of ``POST /query`` and ``POST /run``."""

    __pydantic_config__ = ConfigDict(extra="forbid")  # type: ignore[misc]

    request_id: ShortText
    caller: ShortText
    kind: ShortText
    upstream: ShortText
    zone: ShortText
    key: ShortText
    priority: Priority
    deadline_ms: Annotated[Millis, Field(gt=0, le=MAX_DEADLINE_MS)]
    query: dict[str, Any]


REQUIRED_FIELDS = ("request_id", "caller", "kind", "upstream", "query")
_BODY = TypeAdapter(QueryBody)


def parse_request(req: HttpRequest, idempotent: bool) -> Request:
    """Parse a caller's request.

    Args:
        req: The HTTP request.
        idempotent: Whether the request may be retried, as determined by its path.

    Raises:
        AlderhatchError: With kind ``bad_request`` and the name of the invalid field.
    """
    try:
        body = _BODY.validate_python(orjson.loads(req.body))
    except orjson.JSONDecodeError as exc:
        raise _bad_request("body", f"not JSON: {exc}") from exc
    except ValidationError as exc:
        first = exc.errors()[0]
        raise _bad_request(".".join(map(str, first["loc"])) or "body", first["msg"]) from exc
    for field in REQUIRED_FIELDS:
        if field not in body:
            raise _bad_request(field, "required field is missing")
    return Request(
        body["request_id"],
        body["caller"],
        body["kind"],
        body["upstream"],
        orjson.dumps(body["query"]),
        idempotent,
        body.get("priority", Priority.NORMAL),
        body.get("zone", ""),
        body.get("deadline_ms"),
        body.get("key", ""),
        req.headers,
    )


def outcome_response(request_id: str, outcome: Outcome) -> HttpResponse:
    """Return the HTTP response for an outcome."""
    match outcome:
        case Answered():
            return HttpResponse(200, orjson.dumps(_answer_body(request_id, outcome)))
        case Refused(failure=failure, rule=rule, revision=revision):
            return failure_response(failure, request_id=request_id, rule=rule, revision=revision)


def _answer_body(request_id: str, outcome: Answered) -> dict[str, object]:
    return {
        "request_id": request_id,
        "snapshot": {"version": outcome.snapshot.version, "epoch": outcome.snapshot.epoch},
        "coverage": outcome.coverage,
        "missing": [{"shard": item.shard, "reason": item.reason} for item in outcome.missing],
        "rule": outcome.rule,
        "revision": outcome.revision,
        "rows": outcome.rows,
    }


def _bad_request(field: str, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.BAD_REQUEST, f"{field}: {message}", field))
