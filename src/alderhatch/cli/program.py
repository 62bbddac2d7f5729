"""Settings, logs, signals and exit codes of the long-running programs."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from enum import StrEnum
from pathlib import Path
from typing import Annotated, TypeVar

import trio
import typer

from ..build_info import build_info
from ..errors import AlderhatchError
from ..log import log_event, set_up_logs
from ..log_events import LogEvent
from ..settings.fault import SettingsFaultsError
from ..stop_signal import STOP_SIGNALS, wait_for_stop
from .exit_codes import ExitCode

_Settings = TypeVar("_Settings")


SettingsArgument = Annotated[
    Path,
    typer.Argument(metavar="FILE", help="Settings as TOML; docs/SETTINGS.md lists every key."),
]


CheckOption = Annotated[
    bool, typer.Option("--check", help="Check the settings and the files that they name, and exit.")
]


class LogLevel(StrEnum):
    """The minimum level of logged events."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


LogLevelOption = Annotated[LogLevel, typer.Option(help="The minimum level of logged events.")]


def exit_code_help() -> str:
    """Return the table of exit codes for a help text."""
    lines = [f"  {code.value:2}  {code.meaning}" for code in ExitCode]
    return "\n    ".join(["Exit codes:", "", "\b", *lines])


def load_or_exit(load: Callable[[Path], _Settings], path: Path) -> _Settings:
    """Load settings, or print their errors on standard error and exit.

    Raises:
        typer.Exit: If the file has errors.
    """
    try:
        return load(path)
    except SettingsFaultsError as exc:
        for fault in exc.faults:
            typer.echo(str(fault), err=True)
        raise typer.Exit(ExitCode.INVALID) from exc


def run_with_settings(
    program: str,
    load: Callable[[Path], _Settings],
    path: Path,
    check: bool,
    level: LogLevel,
    run: Callable[[_Settings], Awaitable[None]],
) -> ExitCode:
    """Load the settings of a program, and run it unless they are only to be checked.

    Args:
        program: The program's name, for its log lines.
        load: Loads and checks the settings.
        path: The settings file.
        check: Whether to exit after the check.
        level: The minimum level of logged events.
        run: The main task.

    Returns:
        The program's exit code.

    Raises:
        typer.Exit: If the file has errors.
    """
    cfg = load_or_exit(load, path)
    if check:
        typer.echo(f"{path}: no errors")
        return ExitCode.OK
    return run_program(program, level, lambda: run(cfg))


def run_program(
    program: str,
    level: LogLevel,
    run: Callable[[], Awaitable[None]],
    stop_on_signal: bool = False,
) -> ExitCode:
    """Run a program's main task until it ends.

    Args:
        program: The program's name, for its log lines.
        level: The minimum level of logged events.
        run: The main task.
        stop_on_signal: Whether SIGTERM and SIGINT cancel it; False if it handles them itself.

    Returns:
        The program's exit code.
    """
    set_up_logs(program, getattr(logging, level.name))
    log_event(LogEvent.PROGRAM_BUILD, **build_info()._asdict())
    try:
        trio.run(_run_until_signal if stop_on_signal else _run, run)
    except BaseException as exc:
        cause = _first_cause(exc)
        match cause:
            case KeyboardInterrupt():
                return ExitCode.OK
            case OSError() | AlderhatchError() | SettingsFaultsError():
                log_event(LogEvent.PROGRAM_CANNOT_START, why=str(cause))
                return ExitCode.CANNOT_START
        log_event(LogEvent.PROGRAM_FAULT, exc)
        return ExitCode.FAULT
    return ExitCode.OK


def _first_cause(exc: BaseException) -> BaseException:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


async def _run(run: Callable[[], Awaitable[None]]) -> None:
    await run()


async def _run_until_signal(run: Callable[[], Awaitable[None]]) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_signal, nursery.cancel_scope)
        await run()
        nursery.cancel_scope.cancel()


async def _cancel_on_signal(scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        await wait_for_stop(signals)
    scope.cancel()
