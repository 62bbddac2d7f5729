"""``alderhatch-demo``: queries in one process, checked against the data of stand-in upstreams."""

from __future__ import annotations

import typer

from ..standin.demo import run_demo

app = typer.Typer(add_completion=False, help=__doc__)


@app.command()
def demo(
    queries: int = typer.Option(40, help="Queries for each rule and deployment.", min=1, max=2000),
    seed: int = typer.Option(1, help="Seed of the stand-ins' service times."),
) -> None:
    """Run a period closing on loopback and print p50, p99, coverage and extra load per rule."""
    raise typer.Exit(run_demo(queries, seed))


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
