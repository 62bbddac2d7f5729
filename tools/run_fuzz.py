"""Fuzz the borders of real nodes beside traffic.

Odd inputs are tried at one border or at each in turn. For an input that did harm, the smallest form
that was found is printed, with what callers saw.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Annotated

import typer

ROOT = Path(__file__).resolve().parent.parent
BORDERS = ("list", "answers", "callers", "operators", "hosts")
USAGE_ERROR = 2
RUN_BORDER_CODE = """
import sys
from features.support.border_fuzz import run_border
border, seed, seconds, faults, sources, kept, stops = sys.argv[1:]
faults, kept, stops = (one == "True" for one in (faults, kept, stops))
sys.exit(run_border(int(seed), float(seconds), border, faults, sources or None, kept, stops))
"""


def run_border_process(
    border: str,
    seed: int,
    seconds: float,
    faults: bool,
    sources: Path | None,
    kept: bool,
    stops: bool,
) -> int:
    """Fuzz one border in a process of its own and return its exit code."""
    options = [
        border,
        str(seed),
        str(seconds),
        str(faults),
        str(sources.resolve() if sources else ""),
        str(kept),
        str(stops),
    ]
    command = [sys.executable, "-c", RUN_BORDER_CODE, *options]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


def main(
    border: Annotated[str, typer.Option(help="One border, or all.")] = "all",
    seed: Annotated[int, typer.Option(help="Decides all inputs.")] = 1,
    minutes: Annotated[float, typer.Option(min=0.1, help="For each border.")] = 1.0,
    faults: Annotated[
        bool, typer.Option("--faults", help="Beside the faults of the soak: kills, pauses, cuts.")
    ] = False,
    sources: Annotated[
        Path | None, typer.Option(help="A folder with another copy of the package to run.")
    ] = None,
    kept: Annotated[bool, typer.Option(help="Try inputs first that once did harm.")] = True,
    stops: Annotated[
        bool, typer.Option("--stops", help="Beside planned stops and callers of odd habits.")
    ] = False,
) -> None:
    """Fuzz, and exit with 1 if an input did harm."""
    if border != "all" and border not in BORDERS:
        typer.echo(f"--border: expected all, {', '.join(BORDERS)}, got {border!r}", err=True)
        raise typer.Exit(USAGE_ERROR)
    chosen = BORDERS if border == "all" else (border,)
    codes = [
        run_border_process(one, seed, 60 * minutes, faults, sources, kept, stops) for one in chosen
    ]
    raise typer.Exit(max(codes))


if __name__ == "__main__":
    typer.run(main)
