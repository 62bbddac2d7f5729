"""``alderhatch-entry``: takes callers' requests and fans them out over an upstream's shards."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from ..entry.app import run_entry
from ..settings.declaration import load_declaration
from ..settings.loader import load_entry
from ..settings.models import EntrySettings
from .exit_codes import ExitCode
from .program import LogLevel, SettingsArgument, exit_code_help, load_or_exit, run_program

PROGRAM = "alderhatch-entry"

app = typer.Typer(name=PROGRAM, rich_markup_mode=None)


@app.command(help=f"""Run one entry by the settings in FILE.

    It logs JSON lines on standard error. SIGTERM or SIGINT begins a planned stop: the entry leaves
    the address answers, serves on until they have run out, ends what it runs and exits with code
    0. A second signal ends it at once and cuts off what runs.

    Mistakes in FILE are printed with their lines, and nothing is started.

    {exit_code_help()}
    """)
def entry(
    settings: SettingsArgument,
    check: Annotated[
        bool, typer.Option("--check", help="Check the settings and their files, and exit.")
    ] = False,
    log_level: Annotated[LogLevel, typer.Option(help="The lowest level logged.")] = LogLevel.INFO,
) -> None:
    """Run one entry."""
    cfg = load_or_exit(_load, settings)
    if check:
        typer.echo(f"{settings}: no mistakes")
        raise typer.Exit(ExitCode.OK)
    raise typer.Exit(run_program(PROGRAM, log_level, lambda: run_entry(cfg)))


def _load(path: Path) -> EntrySettings:
    cfg = load_entry(path)
    if cfg.rules_file is not None:
        load_declaration(cfg.rules_file)
    return cfg


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
