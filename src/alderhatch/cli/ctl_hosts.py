"""``alderhatchctl hosts``, ``stop``, ``depart``, ``return`` and ``repair``."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Any

import typer

from .ctl_context import (
    ChangeIdOption,
    ChangeOptions,
    ExpectRevisionOption,
    ForcedOption,
    OutputOption,
    Wait,
    WaitOption,
    ask,
    change,
    context_of,
    parse_place,
)
from .operator_client import path_of
from .printing import OutputFormat, print_json, print_table

app = typer.Typer()
stop_app = typer.Typer(help="Plan the stop of an entry or control host, or take the plan back.")

HostArgument = Annotated[str, typer.Argument(metavar="NAME", help="The host's name.")]


class HostRole(StrEnum):
    """What a host that departs was."""

    ENTRY = "entry"
    CONTROL = "control"
    UPSTREAM = "upstream"


@app.command()
def hosts(ctx: typer.Context, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show the entries with their leases, the control hosts and the leaving servers."""
    client = context_of(ctx).client()
    answer = ask(output, lambda: client.get("/v1/hosts"))
    if output is OutputFormat.JSON:
        print_json(answer)
        return
    typer.echo(f"revision {answer['revision']}")
    columns = ("name", "zone", "address", "port", "state", "lease", "version")
    _print_hosts("entry", columns, answer["entries"])
    columns = ("name", "zone", "operator_address", "operator_port", "state", "leader", "stop")
    _print_hosts("control", columns, answer["controls"])
    _print_hosts("leaving server", ("name", "upstream", "state"), answer["upstream_servers"])


@stop_app.command("plan")
def plan_stop(
    ctx: typer.Context,
    name: HostArgument,
    forced: ForcedOption = False,
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Have host NAME stop gracefully: it leaves the address answers and ends what it runs."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    change(ctx, "POST", path_of("hosts", name, "stop"), {"forced": forced}, options)


@stop_app.command("cancel")
def cancel_stop(
    ctx: typer.Context,
    name: HostArgument,
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Take back the planned stop or departure of host NAME."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    change(ctx, "POST", path_of("hosts", name, "cancel-stop"), {}, options)


@app.command()
def depart(
    ctx: typer.Context,
    name: HostArgument,
    role: Annotated[HostRole, typer.Option(help="What it is.")],
    upstream: Annotated[
        str | None, typer.Option(help="For a server: the name of its upstream.")
    ] = None,
    forced: ForcedOption = False,
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Declare that a host, or a server of an upstream, leaves for good."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    fields: dict[str, Any] = {"role": role}
    if role is HostRole.UPSTREAM:
        fields["upstream"] = _upstream_or_usage(upstream)
    else:
        fields["forced"] = forced
    change(ctx, "POST", path_of("hosts", name, "depart"), fields, options)


@app.command("return")
def return_server(
    ctx: typer.Context,
    name: Annotated[str, typer.Argument(metavar="NAME", help="The server's id.")],
    upstream: Annotated[str, typer.Option(help="The name of its upstream.")],
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Use a leaving server of an upstream again."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    fields = {"role": HostRole.UPSTREAM, "upstream": upstream}
    change(ctx, "POST", path_of("hosts", name, "return"), fields, options)


@app.command()
def repair(
    ctx: typer.Context,
    name: HostArgument,
    replacement: Annotated[str, typer.Option(help="The new host's name, never used before.")],
    zone: Annotated[str, typer.Option(help="The new host's availability zone.")],
    links: Annotated[str, typer.Option(help="ADDRESS:PORT of the new host's links.")],
    forced: ForcedOption = False,
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Replace control host NAME by a new one with an empty disk."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    place = parse_place(links)
    fields = {
        "replacement": {
            "name": replacement,
            "zone": zone,
            "address": place.address,
            "port": place.port,
        },
        "forced": forced,
    }
    change(ctx, "POST", path_of("hosts", name, "repair"), fields, options)


def _upstream_or_usage(upstream: str | None) -> str:
    if upstream is None:
        raise typer.BadParameter("a server's departure needs --upstream")
    return upstream


def _print_hosts(title: str, columns: tuple[str, ...], hosts: list[dict[str, Any]]) -> None:
    if not hosts:
        return
    typer.echo("")
    rows = [[host.get(column) for column in columns] for host in hosts]
    header = [title, *(column.replace("_", " ") for column in columns[1:])]
    print_table(header, rows)
