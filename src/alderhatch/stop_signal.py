"""Signals that stop a program."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator

from .log import log_event
from .log_events import LogEvent

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_for_stop(signals: AsyncIterator[int]) -> None:
    """Wait for the first signal and log it.

    Args:
        signals: Signals received by ``trio.open_signal_receiver`` for ``STOP_SIGNALS``.
    """
    async for number in signals:
        log_event(LogEvent.PROGRAM_STOPPED_BY_SIGNAL, signal=signal.Signals(number).name)
        return
