"""Requests and answers as callers and servers of the platform speak them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import cast

from ..clock import SECOND, Millis
from ..core.entry_events import AttemptFault, LoadReport
from ..core.forwarding.outcome import Answered, Failed, FailureReason, Gathered, NotRun, Outcome
from ..core.forwarding.parts_bundle import PartsBundle
from ..core.forwarding.route import AllShards, Route
from ..core.forwarding.top_k import merge_top_k
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.exchange import HttpReply
from ..http.messages import HeaderFields, HttpRequest, HttpResponse
from ..node.dialect import CallerRequest, ParsedAnswer
from . import wire_names as wire

BINARY = "application/octet-stream"


class PlatformDialect:
    """Reads and writes the platform's messages."""

    def read_request(self, req: HttpRequest) -> CallerRequest:
        """Take a caller's request apart.

        Raises:
            AlderhatchError: Naming the header field that is wrong.
        """
        request_id = req.headers.get("attempt-id", "")
        left = req.headers.get("time-budget-ms")
        try:
            time_left = None if left is None else float(left)
        except ValueError as exc:
            message = f"not a number of milliseconds: {left!r}"
            raise AlderhatchError(
                Failure(ErrorKind.BAD_REQUEST, message, "Time-Budget-Ms")
            ) from exc
        host = req.headers.get("host", "").lower().partition(":")[0]
        return CallerRequest(req, host, request_id, time_left, _passed_on(req.fields))

    def server_fields(self, req: CallerRequest, server_id: str, time_left: Millis) -> HeaderFields:
        """Return the header fields with which a request is sent to a server."""
        return [
            *req.forwarded_fields,
            (wire.TIME_LEFT, b"%d" % time_left),
            (wire.EXPECTED_SERVER, server_id.encode("ascii")),
        ]

    def read_answer(self, req: CallerRequest, reply: HttpReply) -> ParsedAnswer:
        """Return what a server's answer means."""
        echo = reply.header(wire.REQUEST_ID)
        # An extra answer to an earlier request may come where this one's is expected. Whoever took
        # it would hand a caller somebody else's data; only the echoed id tells them apart.
        # Refusals come without it.
        is_foreign = (
            reply.status < 300 if echo is None else echo.decode("latin-1") != req.request_id
        )
        if is_foreign:
            return ParsedAnswer(AttemptFault.WRONG_ANSWER)
        load = _load(reply)
        if reply.status == 421:
            return ParsedAnswer(AttemptFault.MOVED, load)
        if reply.header(wire.NOT_RUN) is not None:
            return ParsedAnswer(AttemptFault.SHED, load, _retry_after(reply))
        if reply.status >= 500:
            return ParsedAnswer(AttemptFault.FAILED, load)
        if reply.header(wire.SEAL) is None or reply.header(wire.ENCODING) is not None:
            return ParsedAnswer(AttemptFault.GARBAGE, load)
        return ParsedAnswer(None, load)

    def bundle(self, destination: AllShards, replies: Mapping[str, HttpReply]) -> PartsBundle:
        """Return the answers of some shards, by their names, merged."""
        signatures = tuple(reply.header(wire.SEAL) or b"" for reply in replies.values())
        records = merge_top_k((reply.body for reply in replies.values()), destination.top_k)
        return PartsBundle(tuple(replies), signatures, records)

    def response(self, route: Route, outcome: Outcome) -> HttpResponse:
        """Return the caller's response for an outcome."""
        match outcome:
            case Answered(parts, missing):
                replies = cast(dict[str, HttpReply], parts)
                if isinstance(route.destination, AllShards):
                    whole = self.bundle(route.destination, replies)
                    return _merged(route.destination, [whole], missing)
                return _passed_back(next(iter(replies.values())))
            case Gathered(bundles, missing):
                return _merged(cast(AllShards, route.destination), bundles, missing)
            case NotRun(_, retry_after):
                return refusal(503, outcome.reason, retry_after)
            case Failed(_, answer) if answer is not None and not _is_scatter(route):
                return _passed_back(cast(HttpReply, answer))
            case Failed(reason):
                status = 504 if reason is FailureReason.TIMEOUT else 502
                return HttpResponse(status, reason.encode("ascii"), "text/plain")


def refusal(status: int, reason: str, retry_after: Millis) -> HttpResponse:
    """Return a response that says that nothing ran and when to come back."""
    seconds = f"{retry_after / SECOND:.3f}"
    headers = ((wire.RETRY_AFTER.decode("ascii"), seconds),)
    return HttpResponse(status, reason.encode("ascii"), "text/plain", headers)


def _is_scatter(route: Route) -> bool:
    return isinstance(route.destination, AllShards)


def _passed_on(fields: HeaderFields) -> HeaderFields:
    named = b",".join(value for name, value in fields if name == b"connection").lower()
    dropped = {one.strip() for one in named.split(b",")} - {wire.REQUEST_ID, b"host"}
    return [
        (name, value)
        for name, value in fields
        if name not in wire.CONNECTION_FIELDS
        and name not in wire.OWN_FIELDS
        and name not in dropped
    ]


def _merged(destination: AllShards, bundles: Sequence[PartsBundle], missing: int) -> HttpResponse:
    body = merge_top_k((bundle.records for bundle in bundles), destination.top_k)
    seals = b", ".join(one for bundle in bundles for one in bundle.signatures)
    fields = [(wire.SEALS_OF_PARTS, seals), (wire.MISSING_SHARDS, b"%d" % missing)]
    return HttpResponse(200, body, BINARY, (), fields)


def _passed_back(reply: HttpReply) -> HttpResponse:
    fields = [(name, value) for name, value in reply.headers if name not in wire.CONNECTION_FIELDS]
    return HttpResponse(reply.status, reply.body, None, (), fields)


def _load(reply: HttpReply) -> LoadReport | None:
    value = reply.header(wire.LOAD)
    if value is None:
        return None
    try:
        running, waiting, *_ = (int(one) for one in value.split(b","))
    except ValueError:
        # The figure only helps the choice of servers; an answer that is good without it stays so.
        return None
    return LoadReport(running, waiting)


def _retry_after(reply: HttpReply) -> Millis | None:
    value = reply.header(wire.RETRY_AFTER)
    try:
        return None if value is None else max(0.0, float(value) * SECOND)
    except ValueError:
        # A date or nonsense: the product's own pause for servers that refuse is used instead.
        return None
