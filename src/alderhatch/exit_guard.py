"""Ends the process at a given moment, whatever its event loop and its threads wait for."""

from __future__ import annotations

import os
import threading

from .clock import SECOND, Millis
from .log import log_event
from .log_events import LogEvent


class ExitGuard:
    """Ends the process without its event loop, from a thread of its own.

    The loop ends only once its worker threads have, and one that syncs a disk that hangs never
    does. The files are as after a loss of power, which they have to survive in any case.
    """

    def __init__(self) -> None:
        self._timer: threading.Timer | None = None

    def arm(self, span: Millis) -> None:
        """End the process with exit code 0 after a time, unless it ends before."""
        self._timer = threading.Timer(max(0.0, span) / SECOND, _end_process)
        # The interpreter would wait for it.
        self._timer.daemon = True
        self._timer.start()


def _end_process() -> None:
    try:
        log_event(LogEvent.STOP_FORCED)
    finally:
        os._exit(0)


def end_process(code: int) -> None:
    """End the process at once, without waiting for threads and without freeing its memory."""
    os._exit(code)
