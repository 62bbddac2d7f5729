"""The signals that tell a program to stop."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator

from .log import log_event
from .log_events import LogEvent

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_for_stop(signals: AsyncIterator[int]) -> None:
    """Wait for the first of the signals, and log it.

    Args:
        signals: What trio's receiver of ``STOP_SIGNALS`` gives.
    """
    async for number in signals:
        log_event(LogEvent.PROGRAM_STOPPED_BY_SIGNAL, signal=signal.Signals(number).name)
        return
