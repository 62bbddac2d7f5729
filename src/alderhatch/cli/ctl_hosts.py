"""``alderhatchctl hosts``, ``stop``, ``depart``, ``return`` and ``repair``: the hosts of a tier."""

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
    get_context,
    make_change,
    parse_endpoint,
    run_or_exit,
)
from .operator_client import api_path
from .printing import OutputFormat, print_json, print_table

app = typer.Typer()
stop_app = typer.Typer(help="Plan the stop of an entry or control host, or cancel it.")

HostArgument = Annotated[str, typer.Argument(metavar="NAME", help="The host's name.")]


class HostRole(StrEnum):
    """The role of a host that departs."""

    ENTRY = "entry"
    CONTROL = "control"
    UPSTREAM = "upstream"


@app.command()
def hosts(ctx: typer.Context, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show the entries with their leases, the control hosts and the leaving servers."""
    client = get_context(ctx).client()
    answer = run_or_exit(output, lambda: client.get("/v1/hosts"))
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
    """Stop host NAME gracefully: it is not advertised any more and completes its requests."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    make_change(ctx, "POST", api_path("hosts", name, "stop"), {"forced": forced}, options)


@stop_app.command("cancel")
def cancel_stop(
    ctx: typer.Context,
    name: HostArgument,
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Cancel the planned stop or departure of host NAME."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    make_change(ctx, "POST", api_path("hosts", name, "cancel-stop"), {}, options)


@app.command()
def depart(
    ctx: typer.Context,
    name: HostArgument,
    role: Annotated[HostRole, typer.Option(help="The host's role.")],
    upstream: Annotated[
        str | None, typer.Option(help="The upstream of the server; for the role upstream only.")
    ] = None,
    forced: ForcedOption = False,
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Remove a host, or a server of an upstream, permanently."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    fields: dict[str, Any] = {"role": role}
    if role is HostRole.UPSTREAM:
        fields["upstream"] = _require_upstream(upstream)
    else:
        fields["forced"] = forced
    make_change(ctx, "POST", api_path("hosts", name, "depart"), fields, options)


@app.command("return")
def return_server(
    ctx: typer.Context,
    name: Annotated[str, typer.Argument(metavar="NAME", help="The server's ID.")],
    upstream: Annotated[str, typer.Option(help="The name of the upstream.")],
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Put a leaving server of an upstream back into service."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    fields = {"role": HostRole.UPSTREAM, "upstream": upstream}
    make_change(ctx, "POST", api_path("hosts", name, "return"), fields, options)


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
    """Replace control host NAME with a new one that has an empty disk."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    endpoint = parse_endpoint(links)
    fields = {
        "replacement": {
            "name": replacement,
            "zone": zone,
            "address": endpoint.address,
            "port": endpoint.port,
        },
        "forced": forced,
    }
    make_change(ctx, "POST", api_path("hosts", name, "repair"), fields, options)


def _require_upstream(upstream: str | None) -> str:
    if upstream is None:
        raise typer.BadParameter("the role upstream needs --upstream")
    return upstream


def _print_hosts(title: str, columns: tuple[str, ...], hosts: list[dict[str, Any]]) -> None:
    if not hosts:
        return
    typer.echo("")
    rows = [[host.get(column) for column in columns] for host in hosts]
    header = [title, *(column.replace("_", " ") for column in columns[1:])]
    print_table(header, rows)
