"""``alderhatchctl query`` and ``book``: requests as a caller would send them."""

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
from .ctl_context import OutputOption, ask, context_of
from .ctl_look import require_entries
from .operator_client import PAUSE, Place, RemoteError, read_error
from .printing import OutputFormat, print_json
from .request_ids import new_request_id

app = typer.Typer()

QUERY_PATH = "/query"
RUN_PATH = "/run"
MARGIN: Millis = 2 * SECOND
"""How much longer than the request's own deadline this program waits for its answer."""
DEFAULT_DEADLINE: Millis = 30 * SECOND

QueryArgument = Annotated[
    str, typer.Argument(metavar="JSON", help="The query as a JSON object, as the shards take it.")
]
UpstreamOption = Annotated[str, typer.Option(help="The upstream that holds the indexes.")]
KindOption = Annotated[str, typer.Option(help="The caller's word for what it asks.")]
CallerOption = Annotated[str, typer.Option(help="Who asks.")]
ZoneOption = Annotated[str, typer.Option(help="The caller's availability zone.")]
PriorityOption = Annotated[Priority, typer.Option(help="How urgent it is.")]
DeadlineOption = Annotated[
    float | None, typer.Option(min=1, help="Milliseconds within which the answer is wanted.")
]
HeaderOption = Annotated[
    list[str] | None, typer.Option(help="A header field as NAME=VALUE; repeatable.")
]


class _Ask(NamedTuple):
    """One request with where it goes."""

    path: str
    body: dict[str, Any]
    headers: tuple[tuple[str, str], ...]
    zone: str

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.path == QUERY_PATH


class _Failed(NamedTuple):
    """A round over the addresses that brought no answer."""

    error: RemoteError
    """What the last of them said."""
    lost: bool
    """Whether any answer was lost on its way."""


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
    """Ask for an address, send a query there and print the answer with its coverage."""
    request_id = new_request_id(WallClock().now())
    body = _body(request_id, json, upstream, kind, caller, zone, priority, deadline_ms)
    _send(ctx, _Ask(QUERY_PATH, body, _headers(header), zone), output)


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
        typer.Option(help="The id of a booking whose answer was lost; it won't run twice."),
    ] = None,
    key: Annotated[
        str | None, typer.Option(help="What it is about; decides the shard that runs it.")
    ] = None,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Send a dispatch or booking, which runs at most once, and print its outcome."""
    request_id = request_id or new_request_id(WallClock().now())
    typer.echo(f"request id {request_id}", err=True)
    body = _body(request_id, json, upstream, kind, caller, zone, priority, deadline_ms)
    if key is not None:
        body["key"] = key
    _send(ctx, _Ask(RUN_PATH, body, _headers(header), zone), output)


def _body(
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
        question = orjson.loads(json)
    except orjson.JSONDecodeError as exc:
        raise typer.BadParameter(f"not JSON: {exc}") from exc
    if not isinstance(question, dict):
        raise typer.BadParameter("the query is a JSON object")
    body: dict[str, Any] = {
        "request_id": request_id,
        "caller": caller,
        "kind": kind,
        "upstream": upstream,
        "priority": priority,
        "query": question,
    }
    if zone:
        body["zone"] = zone
    if deadline_ms is not None:
        body["deadline_ms"] = deadline_ms
    return body


def _headers(words: Sequence[str] | None) -> tuple[tuple[str, str], ...]:
    pairs = [word.partition("=") for word in words or ()]
    if not all(mark and name for name, mark, _ in pairs):
        raise typer.BadParameter("a header field is NAME=VALUE")
    return tuple((name, value) for name, _, value in pairs)


def _send(ctx: typer.Context, ask_for: _Ask, output: OutputFormat) -> None:
    common = context_of(ctx)
    entries = require_entries(common)
    answer = ask(output, lambda: _converse(entries, ask_for, common.timeout))
    if output is OutputFormat.JSON:
        print_json(answer)
        return
    _print_answer(answer)


async def _converse(entries: Sequence[Place], ask_for: _Ask, timeout: Millis) -> dict[str, Any]:
    """Send one request, and again wherever and whenever the answers say so."""
    clock = LoopClock()
    end = clock.now() + timeout
    places = await _addresses(entries, ask_for.zone, timeout)
    lost = False
    while True:
        answer = await _send_round(places, ask_for, end)
        if not isinstance(answer, _Failed):
            return answer
        lost |= answer.lost
        error = answer.error
        pause = error.details.get("retry_after_ms", PAUSE)
        # An earlier sending still runs, or its outcome is on its way to the ledger. Given up here,
        # somebody would take a booking that has run for one that has not.
        if error.kind is not ErrorKind.IN_PROGRESS or clock.now() + pause >= end:
            break
        await trio.sleep(pause / SECOND)
    if lost and error.ran is RunStatus.NOT_RUN and not ask_for.repeatable:
        # An entry that refuses the resend speaks for itself only: an earlier one, whose answer
        # was lost, may have run it. "Not run" would make somebody book it a second time.
        raise _lost(ErrorKind.OUTCOME_UNKNOWN, f"an answer was lost; then: {error}", ask_for)
    raise error


async def _send_round(
    places: Sequence[Place], ask_for: _Ask, end: Millis
) -> dict[str, Any] | _Failed:
    """Try one address after the other while the answers say that another may help."""
    clock = LoopClock()
    error = _lost(ErrorKind.NO_SNAPSHOT, "no address was given", ask_for)
    lost = False
    for place in places:
        try:
            return await _send_to(place, ask_for)
        except RemoteError as exc:
            error = exc
        lost |= error.kind is ErrorKind.OUTCOME_UNKNOWN
        if clock.now() >= end or error.resend not in (Resend.OTHER_ENTRY, Resend.SAME_ID):
            break
    return _Failed(error, lost)


async def _send_to(place: Place, ask_for: _Ask) -> dict[str, Any]:
    span = ask_for.body.get("deadline_ms", DEFAULT_DEADLINE) + MARGIN
    body = orjson.dumps(ask_for.body)
    try:
        reply = await http_once(
            place.address, place.port, "POST", ask_for.path, body, ask_for.headers, span
        )
    except HttpExchangeError as exc:
        kind = ErrorKind.OUTCOME_UNKNOWN if exc.sent else ErrorKind.LEASE_EXPIRED
        raise _lost(kind, f"{place}: {exc}", ask_for) from exc
    if reply.status != 200:
        raise read_error(reply)
    value: dict[str, Any] = orjson.loads(reply.body)
    return value


def _lost(kind: ErrorKind, message: str, ask_for: _Ask) -> RemoteError:
    resend = Resend.OTHER_ENTRY if ask_for.repeatable else Resend.SAME_ID
    return RemoteError(kind, message, {"resend": resend})


async def _addresses(entries: Sequence[Place], zone: str, timeout: Millis) -> list[Place]:
    """Ask one entry after the other for the addresses to use."""
    target = f"/addresses?zone={zone}" if zone else "/addresses"
    why = "no entry was tried"
    for place in entries:
        try:
            reply = await http_once(place.address, place.port, "GET", target, timeout=timeout)
        except HttpExchangeError as exc:
            why = f"{place}: {exc}"
            continue
        if reply.status == 200:
            items: list[Mapping[str, Any]] = orjson.loads(reply.body)["addresses"]
            return [Place(item["address"], item["port"]) for item in items]
        why = f"{place}: {read_error(reply)}"
    message = f"no entry told its addresses; the last one: {why}"
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
