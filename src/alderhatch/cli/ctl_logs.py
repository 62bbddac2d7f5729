"""``alderhatchctl explain-request``: what became of one request, by the logs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from ..request_history import find_request_history, format_line
from .exit_codes import ExitCode

app = typer.Typer()


@app.command("explain-request")
def explain_request(
    request_id: Annotated[str, typer.Argument(help="The id as the caller knows it.")],
    files: Annotated[
        list[Path],
        typer.Argument(metavar="FILE...", help="Logs of the hosts, as they were written."),
    ],
) -> None:
    """Show what the logs of several hosts say of one request, and what decided its fate.

    Exit code 4 if no line names the request: requests that went well are sampled.
    """
    texts: list[str] = []
    for file in files:
        try:
            texts += file.read_text(errors="replace").splitlines()
        except OSError as exc:
            typer.echo(f"{file}: {exc.strerror}", err=True)
            raise typer.Exit(ExitCode.INVALID) from exc
    history = find_request_history(request_id, texts)
    if not history:
        typer.echo(f"no line names request {request_id}", err=True)
        raise typer.Exit(ExitCode.REFUSED)
    for line in history:
        for row in format_line(line):
            typer.echo(row)
