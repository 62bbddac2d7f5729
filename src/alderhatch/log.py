"""Structured logs: one JSON object a line, each with the number of its event."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from .log_events import LogEvent
from .log_output import BoundedLogHandler

_LOGGER = logging.getLogger("alderhatch")


def set_up_bounded_logs(
    program: str, fd: int, level: int = logging.INFO, host: str = ""
) -> BoundedLogHandler:
    """Send the project's events to a descriptor as JSON lines, without ever waiting for it.

    Args:
        program: The name of the program, put on each line.
        fd: Where to.
        level: The lowest level that is written.
        host: The name of the host, put on each line if it is known.

    Returns:
        The handler, which counts what was dropped.
    """
    handler = BoundedLogHandler(fd)
    _use(handler, program, level, host)
    return handler


def set_up_logs(program: str, level: int = logging.INFO, stream: TextIO | None = None) -> None:
    """Send the project's events to a stream as JSON lines.

    Args:
        program: The name of the program, put on each line.
        level: The lowest level that is written.
        stream: Where to; standard error if none is given.
    """
    _use(logging.StreamHandler(stream or sys.stderr), program, level)


def _use(handler: logging.Handler, program: str, level: int, host: str = "") -> None:
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
        static_fields={"program": program} | ({"host": host} if host else {}),
    )
    handler.setFormatter(formatter)
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(level)
    _LOGGER.propagate = False


def log_event(event: LogEvent, exc: BaseException | None = None, **fields: object) -> None:
    """Write one numbered event.

    Args:
        event: What happened, from the catalogue.
        exc: The exception whose traceback goes with it, if any.
        **fields: What it happened to. Secrets and request bodies do not belong here.
    """
    row = event.value
    if not _LOGGER.isEnabledFor(row.level):
        return
    extra: dict[str, object] = {"number": row.number, "fields": fields}
    _LOGGER.log(row.level, event.name.lower(), extra=extra, exc_info=exc)
