"""The timer of the core, which wakes it at its next deadline."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..clock import SECOND, Millis


class WakeTimer:
    """Calls a function at the time that was set last.

    Args:
        wake: Called when the time has been reached.
    """

    def __init__(self, wake: Callable[[], None]) -> None:
        self._wake = wake
        self._wake_at: Millis | None = None
        self._sleeping_until: Millis | None = None
        self._earlier_time_set = trio.Event()

    def set(self, at: Millis) -> None:
        """Set the wake-up time, replacing the previous one."""
        self._wake_at = at
        # The task is not woken for a later time: it notices that time when it wakes at the earlier
        # one. This saves a task switch for nearly every query.
        if self._sleeping_until is None or at < self._sleeping_until:
            self._earlier_time_set.set()

    async def run(self) -> None:
        """Call the function at each time that is set, until cancelled."""
        while True:
            if self._wake_at is None or self._wake_at > trio.current_time() * SECOND:
                await self._sleep(self._wake_at)
                continue
            self._wake_at = None
            self._wake()

    async def _sleep(self, at: Millis | None) -> None:
        self._earlier_time_set = trio.Event()
        self._sleeping_until = at
        if at is None:
            await self._earlier_time_set.wait()
            return
        with trio.move_on_at(at / SECOND):
            await self._earlier_time_set.wait()
