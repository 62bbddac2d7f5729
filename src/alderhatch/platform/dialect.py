"""The HTTP protocol that callers and servers of the platform use."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import cast

from ..clock import DAY, SECOND, Millis
from ..core.entry_events import AttemptFault, LoadReport
from ..core.forwarding.organisation import Organisation
from ..core.forwarding.outcome import Answered, Failed, FailureReason, Gathered, NotRun, Outcome
from ..core.forwarding.parts_bundle import PartsBundle, is_signature
from ..core.forwarding.route import AllShards, Route
from ..core.forwarding.run_limits import min_parts
from ..core.forwarding.top_k import merge_top_k
from ..errors import AlderhatchError, ErrorKind, Failure
from ..finite_number import finite_number
from ..http.exchange import HttpReply
from ..http.messages import HeaderFields, HttpRequest, HttpResponse
from ..node.dialect import CallerRequest, ParsedAnswer
from . import wire_names as wire

BINARY = "application/octet-stream"
MAX_QUOTED = 40
"""Characters of an invalid value that its error repeats."""
MAX_TIME_LEFT: Millis = 1 * DAY
"""Callers that say that they wait for longer count as waiting for so long."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Callers take these as the promise that a request has not run, and send it again. A server says so
with a field of its own."""
LOAD_REPORT = re.compile(rb"[ ]*([0-9]{1,6})[ ]*,[ ]*([0-9]{1,6})[ ]*(,.*)?")


class PlatformDialect:
    """Translates between the platform's HTTP messages and those of the node."""

    def read_request(self, req: HttpRequest) -> CallerRequest:
        """Parse a caller's request.

        Raises:
            AlderhatchError: Naming the invalid header field.
        """
        request_id = req.headers.get("attempt-id", "")
        time_left = _time_left(req.headers.get("time-budget-ms"))
        host = req.headers.get("host", "").lower().partition(":")[0]
        return CallerRequest(req, host, request_id, time_left, _forwarded_fields(req.fields))

    def key(self, req: CallerRequest) -> str | None:
        """Return the key of the caller; a key that is sent twice is read as a list of both."""
        keys = [value for name, value in req.http.fields if name == wire.KEY]
        return b", ".join(keys).decode("latin-1") if keys else None

    def identified(self, req: CallerRequest, organisation: Organisation | None) -> CallerRequest:
        """Return the request with the node's own field for its organisation, without the key."""
        http = req.http
        http = http._replace(
            fields=_without_identity(http.fields),
            headers={
                name: value
                for name, value in http.headers.items()
                if name.encode("latin-1") not in wire.IDENTITY_FIELDS
            },
        )
        fields = _without_identity(req.forwarded_fields)
        if organisation is not None:
            fields.append((wire.ORGANISATION, organisation.name.encode("latin-1")))
        return req._replace(http=http, forwarded_fields=fields, organisation=organisation)

    def server_fields(self, req: CallerRequest, server_id: str, time_left: Millis) -> HeaderFields:
        """Return the header fields of the request to a server."""
        return [
            *req.forwarded_fields,
            (wire.TIME_LEFT, b"%d" % time_left),
            (wire.EXPECTED_SERVER, server_id.encode("ascii")),
        ]

    def read_answer(
        self, req: CallerRequest, reply: HttpReply, is_part: bool = False
    ) -> ParsedAnswer:
        """Classify a server's answer."""
        echoed_ids = [value for name, value in reply.headers if name == wire.REQUEST_ID]
        # A faulty server may repeat the answer to an earlier request in place of this one. Only
        # the echoed request ID tells them apart; without the check a caller would receive the data
        # of another caller. Refusals have no request ID.
        is_mismatched = (
            any(one != req.request_id.encode("latin-1") for one in echoed_ids)
            if echoed_ids
            else reply.status < 300
        )
        if is_mismatched:
            return ParsedAnswer(AttemptFault.WRONG_ANSWER)
        fault = _fault_of(reply, is_part)
        retry_after = _retry_after(reply) if fault is AttemptFault.SHED else None
        return ParsedAnswer(fault, _load_report(reply), retry_after, bool(echoed_ids))

    def bundle(self, destination: AllShards, replies: Mapping[str, HttpReply]) -> PartsBundle:
        """Merge the answers of several shards.

        Args:
            destination: The gather that the shards belong to.
            replies: The answers, keyed by shard name.
        """
        signatures = {shard: reply.header(wire.SEAL) or b"" for shard, reply in replies.items()}
        counts = Counter(signatures.values())
        # Of two answers with one signature, one is another shard's, and nothing tells which.
        own = {shard: signature for shard, signature in signatures.items() if counts[signature] < 2}
        records = merge_top_k((replies[shard].body for shard in own), destination.top_k)
        return PartsBundle(tuple(own), tuple(own.values()), records)

    def _merged(
        self, destination: AllShards, replies: Mapping[str, HttpReply], missing: int
    ) -> HttpResponse:
        merged = self.bundle(destination, replies)
        left_out = len(replies) - len(merged.shards)
        least = min_parts(len(replies) + missing, destination.min_coverage)
        if left_out and len(merged.shards) < least:
            return _failure(FailureReason.FAILED)
        return _merged_response(destination, [merged], missing + left_out)

    def response(self, route: Route, outcome: Outcome) -> HttpResponse:
        """Return the response that the caller receives for an outcome."""
        match outcome:
            case Answered(parts, missing):
                replies = cast(dict[str, HttpReply], parts)
                if isinstance(route.destination, AllShards):
                    return self._merged(route.destination, replies, missing)
                return _server_response(next(iter(replies.values())))
            case Gathered(bundles, missing):
                return _merged_response(cast(AllShards, route.destination), bundles, missing)
            case NotRun(_, retry_after):
                return refusal_response(503, outcome.reason, retry_after)
            case Failed(_, HttpReply() as answer) if _is_forwardable(route, answer):
                return _server_response(answer)
            case Failed(reason):
                return _failure(reason)


def _is_forwardable(route: Route, answer: HttpReply) -> bool:
    """Return whether a server's failure can be passed on to the caller of a single server.

    Some statuses promise the caller that its request has not run, which it may have.
    """
    return not _is_gather(route) and answer.status not in NOT_RUN_STATUSES


def _failure(reason: FailureReason) -> HttpResponse:
    status = 504 if reason is FailureReason.TIMEOUT else 502
    return HttpResponse(status, reason.encode("ascii"), "text/plain")


def refusal_response(status: int, reason: str, retry_after: Millis) -> HttpResponse:
    """Return the response to a request that did not run, with the time after which to retry."""
    seconds = f"{retry_after / SECOND:.3f}"
    headers = ((wire.RETRY_AFTER.decode("ascii"), seconds),)
    return HttpResponse(status, reason.encode("ascii"), "text/plain", headers)


def _time_left(text: str | None) -> Millis | None:
    """Return how long a caller waits; None if it doesn't say.

    Raises:
        AlderhatchError: If the text is no number of milliseconds.
    """
    if text is None:
        return None
    time_left = finite_number(text)
    if time_left is None:
        message = f"expected a number of milliseconds, got {text[:MAX_QUOTED]!r}"
        raise AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message, "Time-Budget-Ms"))
    return min(time_left, MAX_TIME_LEFT)


def _is_gather(route: Route) -> bool:
    return isinstance(route.destination, AllShards)


def _forwarded_fields(fields: HeaderFields) -> HeaderFields:
    connection_options = b",".join(value for name, value in fields if name == b"connection").lower()
    hop_by_hop = {option.strip() for option in connection_options.split(b",")} - {
        wire.REQUEST_ID,
        b"host",
    }
    return [
        (name, value)
        for name, value in fields
        if name not in wire.HOP_BY_HOP_FIELDS
        and name not in wire.REPLACED_FIELDS
        and name not in hop_by_hop
    ]


def _without_identity(fields: HeaderFields) -> list[tuple[bytes, bytes]]:
    return [field for field in fields if field[0] not in wire.IDENTITY_FIELDS]


def _merged_response(
    destination: AllShards, bundles: Sequence[PartsBundle], missing: int
) -> HttpResponse:
    signatures = [signature for bundle in bundles for signature in bundle.signatures]
    if len(set(signatures)) < len(signatures):
        # Hosts have merged their parts already, so the wrong one can't be left out.
        return _failure(FailureReason.FAILED)
    body = merge_top_k((bundle.records for bundle in bundles), destination.top_k)
    fields = [
        (wire.SEALS_OF_PARTS, b", ".join(signatures)),
        (wire.MISSING_SHARDS, b"%d" % missing),
    ]
    return HttpResponse(200, body, BINARY, (), fields)


def _server_response(reply: HttpReply) -> HttpResponse:
    fields = [(name, value) for name, value in reply.headers if name not in wire.HOP_BY_HOP_FIELDS]
    return HttpResponse(reply.status, reply.body, None, (), fields)


def _fault_of(reply: HttpReply, is_part: bool) -> AttemptFault | None:
    """Return what is wrong with an answer that belongs to its request; None if nothing is."""
    if reply.status == 421:
        return AttemptFault.MOVED
    if reply.header(wire.NOT_RUN):
        # A success that says so contradicts itself.
        return AttemptFault.SHED if reply.status >= 400 else AttemptFault.GARBAGE
    if reply.status >= 500 or reply.status in NOT_RUN_STATUSES:
        return AttemptFault.FAILED
    if is_part and reply.status >= 300:
        return AttemptFault.FAILED
    if not _is_signed(reply) or reply.header(wire.ENCODING) is not None:
        return AttemptFault.GARBAGE
    return None


def _is_signed(reply: HttpReply) -> bool:
    """Return whether an answer has exactly one signature, and one that can be passed on."""
    signatures = [value for name, value in reply.headers if name == wire.SEAL]
    return len(signatures) == 1 and is_signature(signatures[0])


def _load_report(reply: HttpReply) -> LoadReport | None:
    value = reply.header(wire.LOAD)
    found = LOAD_REPORT.fullmatch(value or b"")
    if found is None:
        # The load only improves the choice of servers, so the answer is valid without it.
        return None
    return LoadReport(int(found[1]), int(found[2]))


def _retry_after(reply: HttpReply) -> Millis | None:
    value = reply.header(wire.RETRY_AFTER)
    seconds = None if value is None else finite_number(value.decode("latin-1"))
    # A date, or what is no number, is left to the node's own pause for servers that refuse.
    return None if seconds is None else min(max(0.0, seconds) * SECOND, MAX_TIME_LEFT)
