"""Options, client set-up and changes that the commands of ``alderhatchctl`` share."""

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
from .operator_client import ChangeMetadata, Endpoint, OperatorClient, RemoteError
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
    """The state of a change that the command waits for."""

    ACCEPTED = "accepted"
    """The change is on disk on a majority of the control hosts."""
    IN_FORCE = "in-force"
    """Every entry with a valid lease has confirmed the change."""


OutputOption = Annotated[
    OutputFormat, typer.Option("--output", "-o", help="A table, or JSON for scripts.")
]
ExpectRevisionOption = Annotated[
    int | None,
    typer.Option(
        "--expect-revision",
        min=0,
        help="Make the change only if the configuration is still at this revision. Without it, "
        "the change builds on the current one.",
    ),
]
ChangeIdOption = Annotated[
    str | None,
    typer.Option(
        "--change-id",
        help="The ID of a change whose answer was lost. The same change with the same ID and "
        "--expect-revision is applied only once.",
    ),
]
WaitOption = Annotated[
    Wait,
    typer.Option(
        "--wait",
        help="accepted: on disk on a majority of the control hosts. in-force: confirmed by "
        "every entry that serves.",
    ),
]
ForcedOption = Annotated[
    bool,
    typer.Option("--forced", help="Proceed even if the quorum or a zone's last entry is lost."),
]


class ChangeOptions(NamedTuple):
    """The options of every command that makes a change."""

    change_id: str | None
    expect_revision: int | None
    wait: Wait
    output: OutputFormat


class CtlContext(NamedTuple):
    """The options that are given before the command."""

    controls: tuple[Endpoint, ...]
    entries: tuple[Endpoint, ...]
    key_file: Path | None
    timeout: Millis
    in_force_timeout: Millis

    def client(self) -> OperatorClient:
        """Return a client of the operator API.

        Raises:
            typer.BadParameter: If the control hosts or the key file are missing.
        """
        key = read_key(self.key_file)
        if not self.controls:
            raise typer.BadParameter("give --control ADDRESS:PORT or set ALDERHATCH_CONTROLS")
        if not key:
            raise typer.BadParameter("give --key-file FILE or set ALDERHATCH_KEY_FILE")
        return OperatorClient(self.controls, key, self.timeout)


def get_context(ctx: typer.Context) -> CtlContext:
    """Return the options that are given before the command."""
    context = ctx.obj
    assert isinstance(context, CtlContext)
    return context


def parse_endpoints(texts: Sequence[str]) -> tuple[Endpoint, ...]:
    """Parse ``ADDRESS:PORT`` values, each of which may be a comma-separated list.

    Raises:
        typer.BadParameter: If one is not an IP address with a port.
    """
    parts = [part.strip() for text in texts for part in text.split(",")]
    return tuple(parse_endpoint(part) for part in parts if part)


def parse_endpoint(text: str) -> Endpoint:
    """Parse one ``ADDRESS:PORT``; an IPv6 address is in brackets.

    Raises:
        typer.BadParameter: If it is not an IP address with a port.
    """
    address, _, port = text.rpartition(":")
    address = address.removeprefix("[").removesuffix("]")
    try:
        ip_address(address)
        port_number = int(port)
    except ValueError as exc:
        raise typer.BadParameter(f"{text!r} is not ADDRESS:PORT with an IP address") from exc
    if not 0 < port_number <= 65535:
        raise typer.BadParameter(f"{text!r}: the port must be from 1 to 65535")
    return Endpoint(address, port_number)


def read_key(path: Path | None) -> str:
    """Read an operator's key from a file that only its owner can read.

    Raises:
        typer.BadParameter: If the file cannot be read or other users can read it.
    """
    if path is None:
        return ""
    file_faults = list(check_private_file("key-file", path, 1))
    if file_faults:
        raise typer.BadParameter(f"{file_faults[0].message} (allowed: {file_faults[0].allowed})")
    return path.read_text().strip()


def run_or_exit(output: OutputFormat, operation: Callable[[], Awaitable[_Result]]) -> _Result:
    """Run an operation and exit with the matching code if a host answers with an error.

    Raises:
        typer.Exit: With the exit code for the error.
    """
    try:
        return trio.run(operation)
    except RemoteError as exc:
        print_remote_error(exc, output)
        raise typer.Exit(exit_code_for(exc)) from exc


def make_change(
    ctx: typer.Context,
    method: str,
    path: str,
    fields: Mapping[str, Any],
    options: ChangeOptions,
) -> None:
    """Make a change and print the answer.

    Raises:
        typer.Exit: If the change failed or is not yet in force.
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
    """Make a change and return the answer.

    The change ID and the revision are printed before the change is sent, so that the operator
    has them even if this program is killed before the answer arrives.

    Raises:
        typer.Exit: With the exit code for the error.
    """
    common = get_context(ctx)
    client = common.client()
    change_id = options.change_id or new_change_id()
    wait = common.in_force_timeout if options.wait is Wait.IN_FORCE else None

    async def send() -> dict[str, Any]:
        expected = options.expect_revision
        if expected is None:
            expected = (await client.get("/v1/rules"))["revision"]
        typer.echo(f"change ID {change_id}, on revision {expected}", err=True)
        return await client.change(method, path, fields, ChangeMetadata(change_id, expected, wait))

    try:
        return run_or_exit(options.output, send)
    except KeyboardInterrupt as exc:
        typer.echo(
            "interrupted; the change may be accepted. Resend it with its change ID.", err=True
        )
        raise typer.Exit(ExitCode.UNKNOWN) from exc


def new_change_id() -> str:
    """Return a random change ID."""
    return f"c-{secrets.token_hex(CHANGE_ID_BYTES)}"


def exit_if_not_in_force(answer: Mapping[str, Any]) -> None:
    """Exit with ``NOT_IN_FORCE`` if an accepted change is not yet in force everywhere.

    Raises:
        typer.Exit: If an entry has not confirmed the change.
    """
    if answer.get("in_force") is False:
        waiting = ", ".join(answer.get("waiting_for", ()))
        typer.echo(f"accepted, but not yet in force at: {waiting}", err=True)
        raise typer.Exit(ExitCode.NOT_IN_FORCE)


def load_declaration_or_exit(path: Path, output: OutputFormat) -> Declaration:
    """Load a declaration, or print its errors and exit.

    Raises:
        typer.Exit: If the declaration has errors.
    """
    try:
        declaration = load_declaration(path)
    except SettingsFaultsError as exc:
        print_faults(exc.faults, output)
        raise typer.Exit(ExitCode.INVALID) from exc
    for warning in declaration.warnings:
        typer.echo(f"warning: {warning}", err=True)
    return declaration


def seconds_to_millis(value: float) -> Millis:
    """Convert seconds to milliseconds."""
    return value * SECOND
