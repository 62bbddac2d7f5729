"""``alderhatchctl explain-request``: shows the history of a request from the logs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from ..request_history import find_request_history, format_line
from .exit_codes import ExitCode

app = typer.Typer()


@app.command("explain-request")
def explain_request(
    request_id: Annotated[str, typer.Argument(help="The request ID that the caller sent.")],
    files: Annotated[
        list[Path],
        typer.Argument(metavar="FILE...", help="Log files of the hosts."),
    ],
) -> None:
    """Show the log lines of several hosts for one request and what decided its outcome.

    Exit code 4 if no line names the request; only a sample of successful requests is logged.
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
        typer.echo(f"no log line names request {request_id}", err=True)
        raise typer.Exit(ExitCode.REFUSED)
    for line in history:
        for row in format_line(line):
            typer.echo(row)
