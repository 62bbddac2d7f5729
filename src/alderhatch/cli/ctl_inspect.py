"""``alderhatchctl status``, ``dump``, ``explain`` and ``quarantine``: inspect a tier."""

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
    get_context,
    load_declaration_or_exit,
    make_change,
    parse_endpoint,
    run_or_exit,
)
from .exit_codes import ExitCode
from .operator_client import Endpoint, OperatorClient, RemoteError, api_path
from .printing import OutputFormat, format_time, print_fields, print_json, print_table

app = typer.Typer()
quarantine_app = typer.Typer(help="Requests that are blocked because they crashed servers.")

STATUS_COLUMNS = ("name", "zone", "role", "term", "leader", "revision", "applied_index")


@app.command()
def status(ctx: typer.Context, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show the status of each control host; exit code 6 if none of them is the leader."""
    client = get_context(ctx).client()
    statuses = run_or_exit(output, lambda: _fetch_statuses(client))
    if output is OutputFormat.JSON:
        print_json(statuses)
    else:
        columns = (*STATUS_COLUMNS, "entries_live", "storage_failure")
        rows = [
            [
                status_view["place"],
                *(status_view.get(column) for column in columns),
                status_view.get("unreachable"),
            ]
            for status_view in statuses
        ]
        titles = [column.replace("_", " ") for column in columns]
        print_table(("address", *titles, "unreachable"), rows)
    if not any(status_view.get("role") == "leader" for status_view in statuses):
        raise typer.Exit(ExitCode.UNAVAILABLE)


async def _fetch_statuses(client: OperatorClient) -> list[dict[str, Any]]:
    statuses = []
    for endpoint in client.controls:
        try:
            statuses.append(
                {"place": str(endpoint)} | await client.get_from(endpoint, "/v1/status")
            )
        except RemoteError as exc:
            statuses.append({"place": str(endpoint), "unreachable": str(exc)})
    return statuses


@app.command()
def dump(
    ctx: typer.Context,
    process: Annotated[
        str,
        typer.Argument(
            metavar="PROCESS", help="A control host's name, or ADDRESS:PORT of an operator API."
        ),
    ],
) -> None:
    """Print the state of a process as JSON, bounded and without secrets or request bodies."""
    client = get_context(ctx).client()
    print_json(run_or_exit(OutputFormat.TABLE, lambda: _fetch_dump(client, process)))


async def _fetch_dump(client: OperatorClient, process: str) -> dict[str, Any]:
    endpoint = await _find_endpoint(client, process)
    return await client.get_dump(endpoint)


async def _find_endpoint(client: OperatorClient, process: str) -> Endpoint:
    if ":" in process:
        return parse_endpoint(process)
    for endpoint in client.controls:
        try:
            status_view = await client.get_from(endpoint, "/v1/status")
        except RemoteError:
            continue
        if status_view["name"] == process:
            return endpoint
    raise typer.BadParameter(f"no control host that answers has the name {process!r}")


@app.command()
def explain(
    ctx: typer.Context,
    kind: Annotated[str, typer.Option(help="The kind of request, as the caller names it.")] = "",
    upstream: Annotated[str, typer.Option(help="The upstream of the request.")] = "",
    caller: Annotated[str, typer.Option(help="The caller's name.")] = "",
    zone: Annotated[str, typer.Option(help="The caller's availability zone.")] = "",
    priority: Annotated[Priority, typer.Option(help="The request's priority.")] = Priority.NORMAL,
    idempotent: Annotated[bool, typer.Option(help="Whether it may run more than once.")] = True,
    header: Annotated[
        list[str] | None, typer.Option(help="A header field as NAME=VALUE; repeatable.")
    ] = None,
    file: Annotated[
        Path | None, typer.Option(help="Use the rules of this declaration instead, offline.")
    ] = None,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show which rule matches a request, and why each rule before it does not match."""
    fields: dict[str, Any] = {
        "kind": kind,
        "upstream": upstream,
        "caller": caller,
        "zone": zone,
        "priority": priority,
        "idempotent": idempotent,
        "headers": dict(_parse_header(text) for text in header or ()),
    }
    if file is not None:
        answer = _explain_offline(load_declaration_or_exit(file, output).rules, fields)
    else:
        client = get_context(ctx).client()
        answer = run_or_exit(output, lambda: client.post("/v1/explain", {"request": fields}))
    if output is OutputFormat.JSON:
        print_json(answer)
        return
    for name, condition in answer["passed_over"]:
        typer.echo(f"not {name}: {condition} does not hold")
    typer.echo(_format_matching_rule(answer))
    rule = answer["rule"]
    print_fields(
        {
            "when": _non_empty_fields(rule["when"]) or "any request",
            "then": _non_empty_fields(rule["then"]),
        }
    )


def _parse_header(text: str) -> tuple[str, str]:
    name, separator, value = text.partition("=")
    if not separator or not name:
        raise typer.BadParameter(f"{text!r} is not NAME=VALUE")
    return name.strip().lower(), value


def _explain_offline(rules: RuleList, fields: dict[str, Any]) -> dict[str, Any]:
    explanation: Explanation = rules.explain(Request(request_id="", body=b"", **fields))
    return {
        "revision": None,
        "rule": rule_to_plain(explanation.rule),
        "position": explanation.position,
        "passed_over": [list(item) for item in explanation.passed_over],
    }


def _non_empty_fields(fields: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a rule that are set."""
    return {name: value for name, value in fields.items() if value not in (None, [])}


def _format_matching_rule(answer: dict[str, Any]) -> str:
    if answer["position"] == 0:
        return "matched by the default rule, because no other rule matches"
    return f"matched by rule {answer['position']}, {answer['rule']['name']}"


@quarantine_app.command("list")
def list_quarantines(ctx: typer.Context, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show the fingerprints of quarantined requests and of suspects."""
    client = get_context(ctx).client()
    answer = run_or_exit(output, lambda: client.get("/v1/quarantines"))
    if output is OutputFormat.JSON:
        print_json(answer)
        return
    rows = [
        [item["fingerprint"], format_time(item["until_ms"]), item["servers"]]
        for item in answer["quarantines"]
    ]
    print_table(("fingerprint", "until", "crashed servers"), rows)
    typer.echo("")
    rows = [
        [item["fingerprint"], item["crashes"], format_time(item["last_ms"])]
        for item in answer["suspects"]
    ]
    print_table(("suspect", "crashes", "last"), rows)


@quarantine_app.command("lift")
def lift_quarantine(
    ctx: typer.Context,
    fingerprint: Annotated[str, typer.Argument(metavar="FINGERPRINT", help="As shown by list.")],
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Allow requests with this fingerprint again."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    make_change(ctx, "POST", api_path("quarantines", fingerprint, "lift"), {}, options)


def require_entries(common: CtlContext) -> tuple[Endpoint, ...]:
    """Return the entries that the options name.

    Raises:
        typer.BadParameter: If no entry is given.
    """
    if not common.entries:
        raise typer.BadParameter("give --entry ADDRESS:PORT or set ALDERHATCH_ENTRIES")
    return common.entries
