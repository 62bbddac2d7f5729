"""What the commands of ``alderhatchctl`` share: where to ask, with which key, and changes."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable, Mapping, Sequence
from enum import StrEnum
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeVar

import trio
import typer

from ..clock import SECOND, Millis
from ..settings.declaration import Declaration, load_declaration
from ..settings.fault import SettingsFaultsError
from ..settings.file_checks import check_private_file
from .exit_codes import ExitCode
from .operator_client import ChangeNotes, OperatorClient, Place, RemoteError
from .printing import (
    OutputFormat,
    exit_code_for,
    print_faults,
    print_fields,
    print_json,
    print_remote_error,
)

CHANGE_ID_BYTES = 8
_Result = TypeVar("_Result")


class Wait(StrEnum):
    """What a change waits for."""

    ACCEPTED = "accepted"
    """A majority of the control hosts has it on disk."""
    IN_FORCE = "in-force"
    """Every entry with a live lease has confirmed it."""


OutputOption = Annotated[
    OutputFormat, typer.Option("--output", "-o", help="A table for people or JSON for scripts.")
]
ExpectRevisionOption = Annotated[
    int | None,
    typer.Option(
        "--expect-revision",
        min=0,
        help="Make the change only if the configuration is still at this revision. Without it, "
        "the change builds on the present one.",
    ),
]
ChangeIdOption = Annotated[
    str | None,
    typer.Option(
        "--change-id",
        help="The id of a change whose answer was lost. The same change with the same id and "
        "--expect-revision is applied once, however often it is sent.",
    ),
]
WaitOption = Annotated[
    Wait,
    typer.Option(
        "--wait",
        help="accepted: a majority of the control hosts has it on disk. in-force: every entry "
        "that serves has confirmed it.",
    ),
]
ForcedOption = Annotated[
    bool,
    typer.Option("--forced", help="Go on although the quorum or a zone's last entry is lost."),
]


class ChangeOptions(NamedTuple):
    """The options that each change takes."""

    change_id: str | None
    expect_revision: int | None
    wait: Wait
    output: OutputFormat


class CtlContext(NamedTuple):
    """The options that stand before the command."""

    controls: tuple[Place, ...]
    entries: tuple[Place, ...]
    key_file: Path | None
    timeout: Millis
    in_force_timeout: Millis

    def client(self) -> OperatorClient:
        """Return a client of the operator API.

        Raises:
            typer.BadParameter: If it is not said where to ask, or with which key.
        """
        key = read_key(self.key_file)
        if not self.controls:
            raise typer.BadParameter("give --control ADDRESS:PORT or set ALDERHATCH_CONTROLS")
        if not key:
            raise typer.BadParameter("give --key-file FILE or set ALDERHATCH_KEY_FILE")
        return OperatorClient(self.controls, key, self.timeout)


def context_of(ctx: typer.Context) -> CtlContext:
    """Return the options that stand before the command."""
    found = ctx.obj
    assert isinstance(found, CtlContext)
    return found


def parse_places(words: Sequence[str]) -> tuple[Place, ...]:
    """Read ``ADDRESS:PORT`` words, which may also be several with commas between.

    Raises:
        typer.BadParameter: If one is no IP address with a port.
    """
    parts = [part.strip() for word in words for part in word.split(",")]
    return tuple(parse_place(part) for part in parts if part)


def parse_place(word: str) -> Place:
    """Read one ``ADDRESS:PORT``; an IPv6 address stands in brackets.

    Raises:
        typer.BadParameter: If it is no IP address with a port.
    """
    address, _, port = word.rpartition(":")
    address = address.removeprefix("[").removesuffix("]")
    try:
        ip_address(address)
        number = int(port)
    except ValueError as exc:
        raise typer.BadParameter(f"{word!r} is not ADDRESS:PORT with an IP address") from exc
    if not 0 < number <= 65535:
        raise typer.BadParameter(f"{word!r}: the port is from 1 to 65535")
    return Place(address, number)


def read_key(path: Path | None) -> str:
    """Read an operator's key from a file that only its owner can read.

    Raises:
        typer.BadParameter: If the file can't be read or others can read it too.
    """
    if path is None:
        return ""
    found = list(check_private_file("key-file", path, 1))
    if found:
        raise typer.BadParameter(f"{found[0].message} (allowed: {found[0].allowed})")
    return path.read_text().strip()


def ask(output: OutputFormat, question: Callable[[], Awaitable[_Result]]) -> _Result:
    """Run one conversation and turn an error of the other side into its exit code.

    Raises:
        typer.Exit: With the code that the table of exit codes has for the error.
    """
    try:
        return trio.run(question)
    except RemoteError as exc:
        print_remote_error(exc, output)
        raise typer.Exit(exit_code_for(exc)) from exc


def change(
    ctx: typer.Context,
    method: str,
    path: str,
    fields: Mapping[str, Any],
    options: ChangeOptions,
) -> None:
    """Make one change, print its answer and end with its exit code.

    Raises:
        typer.Exit: With the code that the table of exit codes has for what happened.
    """
    answer = send_change(ctx, method, path, fields, options)
    if options.output is OutputFormat.JSON:
        print_json(answer)
    else:
        print_fields(answer)
    exit_if_not_in_force(answer)


def send_change(
    ctx: typer.Context,
    method: str,
    path: str,
    fields: Mapping[str, Any],
    options: ChangeOptions,
) -> dict[str, Any]:
    """Make one change and return its answer.

    The change id and the revision are shown before anything is sent, so that they are known even
    if this program is killed before its answer comes.

    Raises:
        typer.Exit: With the code that the table of exit codes has for what failed.
    """
    common = context_of(ctx)
    client = common.client()
    change_id = options.change_id or new_change_id()
    wait = common.in_force_timeout if options.wait is Wait.IN_FORCE else None

    async def send() -> dict[str, Any]:
        expected = options.expect_revision
        if expected is None:
            expected = (await client.get("/v1/rules"))["revision"]
        typer.echo(f"change id {change_id}, on revision {expected}", err=True)
        return await client.change(method, path, fields, ChangeNotes(change_id, expected, wait))

    try:
        return ask(options.output, send)
    except KeyboardInterrupt as exc:
        typer.echo("interrupted; it may be accepted. Send it again with its change id.", err=True)
        raise typer.Exit(ExitCode.UNKNOWN) from exc


def new_change_id() -> str:
    """Return a change id that no other change has."""
    return f"c-{secrets.token_hex(CHANGE_ID_BYTES)}"


def exit_if_not_in_force(answer: Mapping[str, Any]) -> None:
    """End with its own exit code if an accepted change is not in force everywhere yet.

    Raises:
        typer.Exit: If so.
    """
    if answer.get("in_force") is False:
        waiting = ", ".join(answer.get("waiting_for", ()))
        typer.echo(f"accepted, but not yet in force at: {waiting}", err=True)
        raise typer.Exit(ExitCode.NOT_IN_FORCE)


def declaration_or_exit(path: Path, output: OutputFormat) -> Declaration:
    """Load a declaration; print its mistakes and end if it has any.

    Raises:
        typer.Exit: If it has mistakes.
    """
    try:
        declaration = load_declaration(path)
    except SettingsFaultsError as exc:
        print_faults(exc.faults, output)
        raise typer.Exit(ExitCode.INVALID) from exc
    for warning in declaration.warnings:
        typer.echo(f"warning: {warning}", err=True)
    return declaration


def seconds(value: float) -> Millis:
    """Return a span given in seconds in milliseconds."""
    return value * SECOND
