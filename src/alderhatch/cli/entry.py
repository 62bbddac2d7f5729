"""``alderhatch-entry``: accepts callers' requests and fans them out over an upstream's shards."""

from __future__ import annotations

from pathlib import Path

import typer

from ..entry.app import run_entry
from ..settings.declaration import load_declaration
from ..settings.loader import load_entry
from ..settings.models import EntrySettings
from .program import (
    CheckOption,
    LogLevel,
    LogLevelOption,
    SettingsArgument,
    exit_code_help,
    run_with_settings,
)

PROGRAM = "alderhatch-entry"

app = typer.Typer(name=PROGRAM, rich_markup_mode=None)


@app.command(help=f"""Run one entry with the settings in FILE.

    It logs JSON lines on standard error. SIGTERM or SIGINT starts a planned stop: the entry is
    no longer advertised to callers, serves until the addresses that they hold have expired,
    completes its requests and exits with code 0. Requests that take longer than drain_ms get an
    answer that says whether they may have run, and so do all in progress at a second signal,
    which ends the stop at once.

    Errors in FILE are printed with their line numbers, and nothing is started.

    {exit_code_help()}
    """)
def entry(
    settings: SettingsArgument,
    check: CheckOption = False,
    log_level: LogLevelOption = LogLevel.INFO,
) -> None:
    """Run one entry."""
    code = run_with_settings(PROGRAM, _load_settings, settings, check, log_level, run_entry)
    raise typer.Exit(code)


def _load_settings(path: Path) -> EntrySettings:
    cfg = load_entry(path)
    if cfg.rules_file is not None:
        load_declaration(cfg.rules_file)
    return cfg


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
