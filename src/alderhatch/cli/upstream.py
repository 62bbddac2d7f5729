"""``alderhatch-upstream``: a stand-in upstream on loopback, for experiments and tests."""

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

    It implements the documented upstream protocol. Once all servers listen, it prints the shard
    map as one line of JSON, with their IDs, addresses and ports; use the first server as the seed
    in an entry's settings.

    The FILE of --faults is TOML with [[fault]] tables, such as

    \b
      [[fault]]
      servers = "navigator-03"   # servers whose IDs start with this
      after_ms = 5000
      for_ms = 10000
      straggle_ms = 200          # or shed_ms, draining, lose, crash, freeze, garbage, ...

    {exit_code_help()}
    """)
def upstream(
    name: Annotated[str, typer.Argument(metavar="NAME", help="The upstream's name.")],
    shards: Annotated[int, typer.Option(min=1, max=1000, help="Number of shards.")] = 4,
    servers: Annotated[int, typer.Option(min=1, max=10, help="Servers per shard.")] = 2,
    slots: Annotated[int, typer.Option(min=1, max=100, help="Slots per server.")] = 2,
    connections: Annotated[
        int, typer.Option(min=1, max=1000, help="Maximum number of connections to a server.")
    ] = 30,
    connect_ms: Annotated[
        float, typer.Option(min=0, help="Milliseconds to open a connection.")
    ] = 1.0,
    median_ms: Annotated[
        float, typer.Option(min=0, help="Median service time of a shard request in milliseconds.")
    ] = 2.0,
    zone: Annotated[
        list[str] | None, typer.Option(help="Availability zones of the servers; repeatable.")
    ] = None,
    first_port: Annotated[
        int,
        typer.Option(
            min=0,
            max=65535,
            help="Port of the first server; the others follow it. 0: any free ports.",
        ),
    ] = 0,
    faults: Annotated[
        Path | None,
        typer.Option(
            metavar="FILE", help="Fault script: which servers fail, how, when and for how long."
        ),
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of the service times.")] = 1,
    log_level: Annotated[
        LogLevel, typer.Option(help="The minimum level of logged events.")
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
        settings_faults = [
            to_settings_fault(file, allowed, error, (FAULT_KEY,)) for error in exc.errors()
        ]
        raise SettingsFaultsError(settings_faults) from exc


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
