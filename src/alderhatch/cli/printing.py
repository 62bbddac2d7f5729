"""Output of the programs: tables or JSON, and errors on standard error."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from enum import StrEnum
from typing import Any

import orjson
import typer

from ..clock import SECOND
from ..errors import ErrorKind, Resend, RunStatus
from ..settings.fault import SettingsFault
from .exit_codes import ExitCode
from .operator_client import RemoteError

COLUMN_GAP = "  "
TIME_FIELDS = ("at_ms", "since_ms", "until_ms", "last_ms")
"""Fields with a timestamp in milliseconds since 1970."""
ADVICE = {
    Resend.NEVER: "A retry would not help.",
    Resend.SAME_ENTRY: "Retry later.",
    Resend.OTHER_ENTRY: "Retry at another address or later.",
    Resend.SAME_ID: "Resend it with the same ID; it does not run twice.",
}


class OutputFormat(StrEnum):
    """The output format of a command."""

    TABLE = "table"
    JSON = "json"


def print_json(value: object) -> None:
    """Print a value as JSON."""
    typer.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def format_time(millis: float | None) -> str:
    """Format a timestamp, in milliseconds since 1970, in UTC."""
    if millis is None:
        return _format_cell(None)
    time = datetime.fromtimestamp(millis / SECOND, UTC)
    return time.isoformat(sep=" ", timespec="milliseconds").removesuffix("+00:00") + " UTC"


def print_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table whose columns are as wide as their widest cells."""
    cells = [[str(word).upper() for word in header]]
    cells += [[_format_cell(value) for value in row] for row in rows]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    for row in cells:
        line = COLUMN_GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        typer.echo(line.rstrip())


def print_fields(value: Mapping[str, Any], indent: str = "") -> None:
    """Print an object with one field per line; nested objects are indented."""
    for name, field in value.items():
        if isinstance(field, Mapping) and field:
            typer.echo(f"{indent}{name}:")
            print_fields(field, indent + COLUMN_GAP)
        elif isinstance(field, list) and field and isinstance(field[0], Mapping):
            typer.echo(f"{indent}{name}:")
            for item in field:
                print_fields(item, indent + COLUMN_GAP)
                typer.echo("")
        elif name in TIME_FIELDS:
            typer.echo(f"{indent}{name.removesuffix('_ms')}: {format_time(field)}")
        else:
            typer.echo(f"{indent}{name}: {_format_cell(field)}")


def print_faults(faults: Sequence[SettingsFault], output: OutputFormat) -> None:
    """Print the errors of settings or declaration files."""
    if output is OutputFormat.JSON:
        print_json([fault._asdict() for fault in faults])
        return
    for fault in faults:
        typer.echo(str(fault))


def print_remote_error(exc: RemoteError, output: OutputFormat) -> None:
    """Print an error and whether to resend on standard error."""
    if output is OutputFormat.JSON:
        document = {"error": exc.kind, "message": str(exc), "ran": exc.ran, "resend": exc.resend}
        typer.echo(orjson.dumps(document | exc.details, option=orjson.OPT_INDENT_2), err=True)
        return
    typer.echo(f"{exc.kind}: {exc}", err=True)
    for fault in exc.details.get("faults", ()):
        name = fault.get("rule") or "unnamed"
        location = f"rule {fault.get('position')} ({name}): {fault.get('field')}"
        typer.echo(f"  {location}: {fault.get('message')}", err=True)
    for applied in exc.details.get("won", ()):
        typer.echo(
            f"  revision {applied['revision']} by {applied['who']}: {applied['summary']}",
            err=True,
        )
    ran = {
        RunStatus.NOT_RUN: "It did not run.",
        RunStatus.RAN: "It ran.",
        RunStatus.UNKNOWN: "It may have run.",
    }
    typer.echo(f"{ran[exc.ran]} {ADVICE[exc.resend]}", err=True)


def exit_code_for(exc: RemoteError) -> ExitCode:
    """Return the exit code for an error."""
    if exc.kind is ErrorKind.REVISION_CONFLICT:
        return ExitCode.CONFLICT
    if exc.kind is ErrorKind.INTERNAL:
        return ExitCode.FAULT
    if exc.ran is RunStatus.UNKNOWN:
        return ExitCode.UNKNOWN
    return ExitCode.REFUSED if exc.resend is Resend.NEVER else ExitCode.UNAVAILABLE


def _format_cell(value: object) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.6g}"
        case list() | tuple():
            return ", ".join(_format_cell(item) for item in value) or "-"
        case dict():
            return ", ".join(f"{name}={_format_cell(item)}" for name, item in value.items()) or "-"
    return str(value)
