"""The one timer of the core: it wakes the core when its next deadline has come."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..clock import SECOND, Millis


class WakeTimer:
    """Calls a function at the time that was asked for last.

    Args:
        wake: Called once the time has come.
    """

    def __init__(self, wake: Callable[[], None]) -> None:
        self._wake = wake
        self._at: Millis | None = None
        self._sleeping_until: Millis | None = None
        self._sooner = trio.Event()

    def set(self, at: Millis) -> None:
        """Wake at this point in time, in place of the one asked for before."""
        self._at = at
        # A later time is found when the task wakes up for the earlier one, which spares a switch
        # of tasks for nearly every query.
        if self._sleeping_until is None or at < self._sleeping_until:
            self._sooner.set()

    async def run(self) -> None:
        """Wake the core on time until cancelled."""
        while True:
            if self._at is None or self._at > trio.current_time() * SECOND:
                await self._sleep(self._at)
                continue
            self._at = None
            self._wake()

    async def _sleep(self, at: Millis | None) -> None:
        self._sooner = trio.Event()
        self._sleeping_until = at
        if at is None:
            await self._sooner.wait()
            return
        with trio.move_on_at(at / SECOND):
            await self._sooner.wait()
