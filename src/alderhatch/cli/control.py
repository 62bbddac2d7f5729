"""``alderhatch-control``: keeps rules, host plans, leases and run ledger on a majority of disks."""

from __future__ import annotations

import typer

from ..control.app import run_control
from ..settings.loader import load_control
from .program import (
    CheckOption,
    LogLevel,
    LogLevelOption,
    SettingsArgument,
    exit_code_help,
    run_with_settings,
)

PROGRAM = "alderhatch-control"

app = typer.Typer(name=PROGRAM, rich_markup_mode=None)


@app.command(help=f"""Run one control host with the settings in FILE.

    It logs JSON lines on standard error. SIGTERM or SIGINT stops it; a leader transfers
    leadership first, and operators get answers to their requests.

    Errors in FILE are printed with their line numbers, and nothing is started.

    {exit_code_help()}
    """)
def control(
    settings: SettingsArgument,
    check: CheckOption = False,
    log_level: LogLevelOption = LogLevel.INFO,
) -> None:
    """Run one control host."""
    raise typer.Exit(
        run_with_settings(PROGRAM, load_control, settings, check, log_level, run_control)
    )


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
