"""``alderhatchctl query`` and ``book``: send requests as a caller does."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Annotated, Any, NamedTuple

import orjson
import trio
import typer

from ..clock import SECOND, LoopClock, Millis, WallClock
from ..core.priority import Priority
from ..errors import ErrorKind, Resend, RunStatus
from ..http.client import http_once
from ..http.exchange import HttpExchangeError
from .ctl_context import OutputOption, get_context, run_or_exit
from .ctl_inspect import require_entries
from .operator_client import RETRY_PAUSE, Endpoint, RemoteError, parse_error
from .printing import OutputFormat, print_json
from .request_ids import new_request_id

app = typer.Typer()

QUERY_PATH = "/query"
RUN_PATH = "/run"
ANSWER_MARGIN: Millis = 2 * SECOND
"""Time to wait for an answer beyond the request's deadline."""
DEFAULT_DEADLINE: Millis = 30 * SECOND

QueryArgument = Annotated[
    str,
    typer.Argument(
        metavar="JSON", help="The query as a JSON object, in the format that the shards accept."
    ),
]
UpstreamOption = Annotated[str, typer.Option(help="The upstream that holds the indexes.")]
KindOption = Annotated[str, typer.Option(help="The kind of request, as the caller names it.")]
CallerOption = Annotated[str, typer.Option(help="The caller's name.")]
ZoneOption = Annotated[str, typer.Option(help="The caller's availability zone.")]
PriorityOption = Annotated[Priority, typer.Option(help="The request's priority.")]
DeadlineOption = Annotated[
    float | None, typer.Option(min=1, help="Deadline of the request in milliseconds.")
]
HeaderOption = Annotated[
    list[str] | None, typer.Option(help="A header field as NAME=VALUE; repeatable.")
]


class _Request(NamedTuple):
    """A request, its path and the caller's zone."""

    path: str
    body: dict[str, Any]
    headers: tuple[tuple[str, str], ...]
    zone: str

    @property
    def idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.path == QUERY_PATH


class _FailedRound(NamedTuple):
    """A round over the addresses without a successful answer."""

    error: RemoteError
    """The error of the last address that was tried."""
    answer_lost: bool
    """Whether an answer of any address was lost."""


@app.command()
def query(
    ctx: typer.Context,
    json: QueryArgument,
    upstream: UpstreamOption,
    kind: KindOption,
    caller: CallerOption = "alderhatchctl",
    zone: ZoneOption = "",
    priority: PriorityOption = Priority.NORMAL,
    deadline_ms: DeadlineOption = None,
    header: HeaderOption = None,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Fetch the addresses to use, send a query and print the answer with its coverage."""
    request_id = new_request_id(WallClock().now())
    body = _build_body(request_id, json, upstream, kind, caller, zone, priority, deadline_ms)
    _send(ctx, _Request(QUERY_PATH, body, _parse_headers(header), zone), output)


@app.command()
def book(
    ctx: typer.Context,
    json: QueryArgument,
    upstream: UpstreamOption,
    kind: KindOption,
    caller: CallerOption = "alderhatchctl",
    zone: ZoneOption = "",
    priority: PriorityOption = Priority.NORMAL,
    deadline_ms: DeadlineOption = None,
    header: HeaderOption = None,
    request_id: Annotated[
        str | None,
        typer.Option(help="The ID of a booking whose answer was lost; it does not run twice."),
    ] = None,
    key: Annotated[
        str | None, typer.Option(help="Key of the booking; selects the shard that runs it.")
    ] = None,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Send a dispatch or booking, which runs at most once, and print its outcome."""
    request_id = request_id or new_request_id(WallClock().now())
    typer.echo(f"request ID {request_id}", err=True)
    body = _build_body(request_id, json, upstream, kind, caller, zone, priority, deadline_ms)
    if key is not None:
        body["key"] = key
    _send(ctx, _Request(RUN_PATH, body, _parse_headers(header), zone), output)


def _build_body(
    request_id: str,
    json: str,
    upstream: str,
    kind: str,
    caller: str,
    zone: str,
    priority: Priority,
    deadline_ms: float | None,
) -> dict[str, Any]:
    try:
        query_value = orjson.loads(json)
    except orjson.JSONDecodeError as exc:
        raise typer.BadParameter(f"not JSON: {exc}") from exc
    if not isinstance(query_value, dict):
        raise typer.BadParameter("the query: expected a JSON object")
    body: dict[str, Any] = {
        "request_id": request_id,
        "caller": caller,
        "kind": kind,
        "upstream": upstream,
        "priority": priority,
        "query": query_value,
    }
    if zone:
        body["zone"] = zone
    if deadline_ms is not None:
        body["deadline_ms"] = deadline_ms
    return body


def _parse_headers(texts: Sequence[str] | None) -> tuple[tuple[str, str], ...]:
    pairs = [text.partition("=") for text in texts or ()]
    if not all(separator and name for name, separator, _ in pairs):
        raise typer.BadParameter("a header field: expected NAME=VALUE")
    return tuple((name, value) for name, _, value in pairs)


def _send(ctx: typer.Context, request: _Request, output: OutputFormat) -> None:
    common = get_context(ctx)
    entries = require_entries(common)
    answer = run_or_exit(output, lambda: _send_with_retries(entries, request, common.timeout))
    if output is OutputFormat.JSON:
        print_json(answer)
        return
    _print_answer(answer)


async def _send_with_retries(
    entries: Sequence[Endpoint], request: _Request, timeout: Millis
) -> dict[str, Any]:
    """Send a request and resend it as the answers advise."""
    clock = LoopClock()
    deadline = clock.now() + timeout
    endpoints = await _fetch_addresses(entries, request.zone, timeout)
    answer_lost = False
    while True:
        answer = await _send_round(endpoints, request, deadline)
        if not isinstance(answer, _FailedRound):
            return answer
        answer_lost |= answer.answer_lost
        error = answer.error
        delay = error.details.get("retry_after_ms", RETRY_PAUSE)
        # An earlier attempt is in progress, or its outcome is not yet in the ledger. If the
        # command gave up here, a booking that runs could be taken for one that did not.
        if error.kind is not ErrorKind.IN_PROGRESS or clock.now() + delay >= deadline:
            break
        await trio.sleep(delay / SECOND)
    if answer_lost and error.ran is RunStatus.NOT_RUN and not request.idempotent:
        # The refusal covers only the entry that sent it: an earlier entry, whose answer was
        # lost, may have run the booking. Reporting "not run" could lead to a second booking.
        raise _remote_error(
            ErrorKind.OUTCOME_UNKNOWN,
            f"the answer of an earlier attempt was lost; last error: {error}",
            request,
        )
    raise error


async def _send_round(
    endpoints: Sequence[Endpoint], request: _Request, deadline: Millis
) -> dict[str, Any] | _FailedRound:
    """Try the addresses in turn while the answers advise a resend to another one."""
    clock = LoopClock()
    error = _remote_error(ErrorKind.NO_SNAPSHOT, "no address to send the request to", request)
    answer_lost = False
    for endpoint in endpoints:
        try:
            return await _send_to(endpoint, request)
        except RemoteError as exc:
            error = exc
        answer_lost |= error.kind is ErrorKind.OUTCOME_UNKNOWN
        if clock.now() >= deadline or error.resend not in (Resend.OTHER_ENTRY, Resend.SAME_ID):
            break
    return _FailedRound(error, answer_lost)


async def _send_to(endpoint: Endpoint, request: _Request) -> dict[str, Any]:
    time_limit = request.body.get("deadline_ms", DEFAULT_DEADLINE) + ANSWER_MARGIN
    body = orjson.dumps(request.body)
    try:
        reply = await http_once(
            endpoint.address, endpoint.port, "POST", request.path, body, request.headers, time_limit
        )
    except HttpExchangeError as exc:
        kind = ErrorKind.OUTCOME_UNKNOWN if exc.sent else ErrorKind.LEASE_EXPIRED
        raise _remote_error(kind, f"{endpoint}: {exc}", request) from exc
    if reply.status != 200:
        raise parse_error(reply)
    value: dict[str, Any] = orjson.loads(reply.body)
    return value


def _remote_error(kind: ErrorKind, message: str, request: _Request) -> RemoteError:
    resend = Resend.OTHER_ENTRY if request.idempotent else Resend.SAME_ID
    return RemoteError(kind, message, {"resend": resend})


async def _fetch_addresses(
    entries: Sequence[Endpoint], zone: str, timeout: Millis
) -> list[Endpoint]:
    """Return the addresses that the first entry to answer advertises."""
    target = f"/addresses?zone={zone}" if zone else "/addresses"
    last_failure = "no entry was tried"
    for endpoint in entries:
        try:
            reply = await http_once(endpoint.address, endpoint.port, "GET", target, timeout=timeout)
        except HttpExchangeError as exc:
            last_failure = f"{endpoint}: {exc}"
            continue
        if reply.status == 200:
            items: list[Mapping[str, Any]] = orjson.loads(reply.body)["addresses"]
            return [Endpoint(item["address"], item["port"]) for item in items]
        last_failure = f"{endpoint}: {parse_error(reply)}"
    message = f"no entry returned its addresses; last failure: {last_failure}"
    raise RemoteError(ErrorKind.LEASE_EXPIRED, message, {})


def _print_answer(answer: Mapping[str, Any]) -> None:
    for row in answer.get("rows", ()):
        typer.echo(orjson.dumps(row).decode())
    snapshot = answer["snapshot"]
    typer.echo(f"rows {len(answer['rows'])}, coverage {answer['coverage']:.4f}", err=True)
    typer.echo(f"snapshot version {snapshot['version']}, epoch {snapshot['epoch']}", err=True)
    typer.echo(f"rule {answer['rule']}, revision {answer['revision']}", err=True)
    for missing in answer["missing"]:
        typer.echo(f"missing {missing['shard']}: {missing['reason']}", err=True)
