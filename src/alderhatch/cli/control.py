"""``alderhatch-control``: rules, host plans, leases and run ledger on a majority of disks."""

from __future__ import annotations

from typing import Annotated

import typer

from ..control.app import run_control
from ..settings.loader import load_control
from .exit_codes import ExitCode
from .program import LogLevel, SettingsArgument, exit_code_help, load_or_exit, run_program

PROGRAM = "alderhatch-control"

app = typer.Typer(name=PROGRAM, rich_markup_mode=None)


@app.command(help=f"""Run one control host by the settings in FILE.

    It logs JSON lines on standard error. SIGTERM or SIGINT ends it; a leader hands over first.

    Mistakes in FILE are printed with their lines, and nothing is started.

    {exit_code_help()}
    """)
def control(
    settings: SettingsArgument,
    check: Annotated[
        bool, typer.Option("--check", help="Check the settings and their files, and exit.")
    ] = False,
    log_level: Annotated[LogLevel, typer.Option(help="The lowest level logged.")] = LogLevel.INFO,
) -> None:
    """Run one control host."""
    cfg = load_or_exit(load_control, settings)
    if check:
        typer.echo(f"{settings}: no mistakes")
        raise typer.Exit(ExitCode.OK)
    raise typer.Exit(run_program(PROGRAM, log_level, lambda: run_control(cfg)))


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
