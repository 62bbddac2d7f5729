"""``alderhatch-upstream``: a stand-in upstream on loopback, for trials and tests."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
from pydantic import TypeAdapter, ValidationError

from ..settings.allowed_values import AllowedValues
from ..settings.fault import SettingsFaultsError
from ..settings.loader import read_toml, to_settings_fault
from ..standin.app import UpstreamOptions, run_upstream
from ..standin.fault_script import FaultStep, parse_fault_script
from ..standin.standin_server import ServiceTime, UpstreamShape
from .program import LogLevel, exit_code_help, load_or_exit, run_program

PROGRAM = "alderhatch-upstream"
DEFAULT_ZONE = "zone-1"
FAULT_KEY = "fault"

app = typer.Typer(name=PROGRAM, rich_markup_mode=None)


@app.command(help=f"""Run all servers of a stand-in upstream on loopback.

    It follows the page of the upstream protocol. Once all servers listen, it prints the shard map
    as one line of JSON, with their ids, addresses and ports; the first of them serves as seed for
    an entry's settings.

    The FILE of --faults is TOML with [[fault]] tables, such as

    \b
      [[fault]]
      servers = "navigator-03"   # servers whose ids begin with this
      after_ms = 5000
      for_ms = 10000
      straggle_ms = 200          # or shed_ms, draining, lose, crash, freeze, garbage, ...

    {exit_code_help()}
    """)
def upstream(
    name: Annotated[str, typer.Argument(metavar="NAME", help="The upstream's name.")],
    shards: Annotated[int, typer.Option(min=1, max=1000, help="Shards.")] = 4,
    servers: Annotated[int, typer.Option(min=1, max=10, help="Servers of each shard.")] = 2,
    slots: Annotated[int, typer.Option(min=1, max=100, help="Slots of each server.")] = 2,
    connections: Annotated[
        int, typer.Option(min=1, max=1000, help="Connections that a server accepts.")
    ] = 30,
    connect_ms: Annotated[
        float, typer.Option(min=0, help="Milliseconds that a new connection costs.")
    ] = 1.0,
    median_ms: Annotated[
        float, typer.Option(min=0, help="Median milliseconds of a shard request.")
    ] = 2.0,
    zone: Annotated[
        list[str] | None, typer.Option(help="Availability zones of the servers; repeatable.")
    ] = None,
    first_port: Annotated[
        int,
        typer.Option(min=0, max=65535, help="The first server's port, and up; 0: any are taken."),
    ] = 0,
    faults: Annotated[
        Path | None,
        typer.Option(metavar="FILE", help="Which servers fail how, from when, for how long."),
    ] = None,
    seed: Annotated[int, typer.Option(help="Fixes the service times.")] = 1,
    log_level: Annotated[
        LogLevel, typer.Option(help="The lowest level logged.")
    ] = LogLevel.WARNING,
) -> None:
    """Run a stand-in upstream until a signal."""
    options = UpstreamOptions(
        UpstreamShape(name, shards, servers, slots, connections, connect_ms),
        tuple(zone or [DEFAULT_ZONE]),
        seed=seed,
        service_time=ServiceTime(median_ms),
        base_port=first_port,
        faults=[] if faults is None else load_or_exit(_load_faults, faults),
    )
    run = run_program(PROGRAM, log_level, lambda: run_upstream(options), stop_on_signal=True)
    raise typer.Exit(run)


def _load_faults(path: Path) -> list[FaultStep]:
    file = read_toml(path)
    try:
        return parse_fault_script(file.raw.get(FAULT_KEY, []))
    except ValidationError as exc:
        allowed = AllowedValues(TypeAdapter(list[FaultStep]).json_schema())
        found = [to_settings_fault(file, allowed, error, (FAULT_KEY,)) for error in exc.errors()]
        raise SettingsFaultsError(found) from exc


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
