"""Structured logs: one JSON object per line, with the number of the event."""

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
    """Write log events to a file descriptor as JSON lines, without ever blocking.

    Args:
        program: Name of the program, added to each line.
        fd: File descriptor to write to.
        level: Lowest level that is logged.
        host: Name of the host, added to each line if not empty.

    Returns:
        The handler, which counts dropped lines.
    """
    handler = BoundedLogHandler(fd)
    _install_handler(handler, program, level, host)
    return handler


def set_up_logs(program: str, level: int = logging.INFO, stream: TextIO | None = None) -> None:
    """Write log events to a stream as JSON lines.

    Args:
        program: Name of the program, added to each line.
        level: Lowest level that is logged.
        stream: Stream to write to; standard error by default.
    """
    _install_handler(logging.StreamHandler(stream or sys.stderr), program, level)


def _install_handler(handler: logging.Handler, program: str, level: int, host: str = "") -> None:
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
    """Log an event.

    Args:
        event: Event from the catalogue.
        exc: Exception whose traceback is logged with the event, if any.
        **fields: Details of the event. Must not contain secrets or request bodies.
    """
    row = event.value
    if not _LOGGER.isEnabledFor(row.level):
        return
    extra: dict[str, object] = {"number": row.number, "fields": fields}
    _LOGGER.log(row.level, event.name.lower(), extra=extra, exc_info=exc)
