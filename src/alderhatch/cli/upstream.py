"""``alderhatch-upstream``: a stand-in upstream on loopback, for trials and tests."""

from __future__ import annotations

from typing import Annotated

import orjson
import trio
import typer

from ..standin.standin_server import ServiceTime, UpstreamShape
from ..standin.standin_upstream import StandinUpstream
from .program import LogLevel, exit_code_help, run_program

PROGRAM = "alderhatch-upstream"
LOOPBACK = "127.0.0.1"

app = typer.Typer(name=PROGRAM, rich_markup_mode=None)


@app.command(help=f"""Run all servers of a stand-in upstream on loopback.

    It follows the page of the upstream protocol. Once all servers listen, it prints one JSON line
    with their ids, addresses and ports; the first of them serves as seed for an entry's settings.

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
    seed: Annotated[int, typer.Option(help="Fixes the service times.")] = 1,
    log_level: Annotated[
        LogLevel, typer.Option(help="The lowest level logged.")
    ] = LogLevel.WARNING,
) -> None:
    """Run a stand-in upstream until a signal."""
    shape = UpstreamShape(name, shards, servers, slots, connections, connect_ms)
    zones = tuple(zone or ["zone-1"])
    standin = StandinUpstream(shape, zones, seed=seed, service_time=ServiceTime(median_ms))
    if first_port:
        for number, server in enumerate(standin.servers):
            server.port = first_port + number
    run = run_program(PROGRAM, log_level, lambda: _serve(standin), stop_on_signal=True)
    raise typer.Exit(run)


async def _serve(standin: StandinUpstream) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(standin.serve)
        servers = [
            {"id": server.server_id, "address": LOOPBACK, "port": server.port, "zone": server.zone}
            for server in standin.servers
        ]
        typer.echo(orjson.dumps({"upstream": standin.shape.name, "servers": servers}).decode())


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
