"""``alderhatchctl status``, ``dump``, ``explain``, ``quarantine`` and ``tier``."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer

from ..core.priority import Priority
from ..core.request import Request
from ..core.rule_list import Explanation, RuleList, rule_to_plain
from .ctl_context import (
    ChangeIdOption,
    ChangeOptions,
    CtlContext,
    ExpectRevisionOption,
    OutputOption,
    Wait,
    WaitOption,
    ask,
    change,
    context_of,
    declaration_or_exit,
    parse_place,
)
from .exit_codes import ExitCode
from .operator_client import OperatorClient, Place, RemoteError, path_of
from .printing import OutputFormat, print_fields, print_json, print_table, shown_time

app = typer.Typer()
quarantine_app = typer.Typer(help="Requests that crashed upstreams and are kept from them.")

STATUS_COLUMNS = ("name", "zone", "role", "term", "leader", "revision", "applied_index")


@app.command()
def status(ctx: typer.Context, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show how each control host sees the tier; exit code 6 if none of them is the leader."""
    client = context_of(ctx).client()
    views = ask(output, lambda: _all_views(client))
    if output is OutputFormat.JSON:
        print_json(views)
    else:
        columns = (*STATUS_COLUMNS, "entries_live", "storage_failure")
        rows = [
            [view["place"], *(view.get(column) for column in columns), view.get("unreachable")]
            for view in views
        ]
        titles = [column.replace("_", " ") for column in columns]
        print_table(("address", *titles, "unreachable"), rows)
    if not any(view.get("role") == "leader" for view in views):
        raise typer.Exit(ExitCode.UNAVAILABLE)


async def _all_views(client: OperatorClient) -> list[dict[str, Any]]:
    views = []
    for place in client.controls:
        try:
            views.append({"place": str(place)} | await client.get_from(place, "/v1/status"))
        except RemoteError as exc:
            views.append({"place": str(place), "unreachable": str(exc)})
    return views


@app.command()
def dump(
    ctx: typer.Context,
    process: Annotated[
        str,
        typer.Argument(
            metavar="PROCESS", help="A control host's name, or ADDRESS:PORT of operators."
        ),
    ],
) -> None:
    """Print the whole state of one process as JSON: bounded, without secrets or bodies."""
    client = context_of(ctx).client()
    print_json(ask(OutputFormat.TABLE, lambda: _dump_of(client, process)))


async def _dump_of(client: OperatorClient, process: str) -> dict[str, Any]:
    place = await _place_of(client, process)
    return await client.dump_of(place)


async def _place_of(client: OperatorClient, process: str) -> Place:
    if ":" in process:
        return parse_place(process)
    for place in client.controls:
        try:
            view = await client.get_from(place, "/v1/status")
        except RemoteError:
            continue
        if view["name"] == process:
            return place
    raise typer.BadParameter(f"none of the control hosts that answer is called {process!r}")


@app.command()
def explain(
    ctx: typer.Context,
    kind: Annotated[str, typer.Option(help="The caller's word for what it asks.")] = "",
    upstream: Annotated[str, typer.Option(help="The upstream that is asked.")] = "",
    caller: Annotated[str, typer.Option(help="Who asks.")] = "",
    zone: Annotated[str, typer.Option(help="The caller's availability zone.")] = "",
    priority: Annotated[Priority, typer.Option(help="What it asks for.")] = Priority.NORMAL,
    idempotent: Annotated[bool, typer.Option(help="Whether it may run more than once.")] = True,
    header: Annotated[
        list[str] | None, typer.Option(help="A header field as NAME=VALUE; repeatable.")
    ] = None,
    file: Annotated[
        Path | None, typer.Option(help="Explain by this declaration instead, offline.")
    ] = None,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show which rule takes such a request, and why each rule before it does not."""
    fields: dict[str, Any] = {
        "kind": kind,
        "upstream": upstream,
        "caller": caller,
        "zone": zone,
        "priority": priority,
        "idempotent": idempotent,
        "headers": dict(_header(word) for word in header or ()),
    }
    if file is not None:
        answer = _explain_offline(declaration_or_exit(file, output).rules, fields)
    else:
        client = context_of(ctx).client()
        answer = ask(output, lambda: client.post("/v1/explain", {"request": fields}))
    if output is OutputFormat.JSON:
        print_json(answer)
        return
    for name, condition in answer["passed_over"]:
        typer.echo(f"not {name}: {condition} does not hold")
    typer.echo(_taken_by(answer))
    rule = answer["rule"]
    print_fields({"when": _given(rule["when"]) or "any request", "then": _given(rule["then"])})


def _header(word: str) -> tuple[str, str]:
    name, mark, value = word.partition("=")
    if not mark or not name:
        raise typer.BadParameter(f"{word!r} is not NAME=VALUE")
    return name.strip().lower(), value


def _explain_offline(rules: RuleList, fields: dict[str, Any]) -> dict[str, Any]:
    found: Explanation = rules.explain(Request(request_id="", body=b"", **fields))
    return {
        "revision": None,
        "rule": rule_to_plain(found.rule),
        "position": found.position,
        "passed_over": [list(item) for item in found.passed_over],
    }


def _given(fields: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a rule that say something."""
    return {name: value for name, value in fields.items() if value not in (None, [])}


def _taken_by(answer: dict[str, Any]) -> str:
    if answer["position"] == 0:
        return "taken by the default rule, because no other matches"
    return f"taken by rule {answer['position']}, {answer['rule']['name']}"


@quarantine_app.command("list")
def list_quarantines(ctx: typer.Context, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show the quarantined requests by their fingerprints, and those under suspicion."""
    client = context_of(ctx).client()
    answer = ask(output, lambda: client.get("/v1/quarantines"))
    if output is OutputFormat.JSON:
        print_json(answer)
        return
    rows = [
        [item["fingerprint"], shown_time(item["until_ms"]), item["servers"]]
        for item in answer["quarantines"]
    ]
    print_table(("fingerprint", "until", "crashed servers"), rows)
    typer.echo("")
    rows = [
        [item["fingerprint"], item["crashes"], shown_time(item["last_ms"])]
        for item in answer["suspects"]
    ]
    print_table(("suspect", "crashes", "last"), rows)


@quarantine_app.command("lift")
def lift_quarantine(
    ctx: typer.Context,
    fingerprint: Annotated[str, typer.Argument(metavar="FINGERPRINT", help="As list shows it.")],
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Let requests with this fingerprint run again."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    change(ctx, "POST", path_of("quarantines", fingerprint, "lift"), {}, options)


def require_entries(common: CtlContext) -> tuple[Place, ...]:
    """Return the entries to ask.

    Raises:
        typer.BadParameter: If none is given.
    """
    if not common.entries:
        raise typer.BadParameter("give --entry ADDRESS:PORT or set ALDERHATCH_ENTRIES")
    return common.entries
