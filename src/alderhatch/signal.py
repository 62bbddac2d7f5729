"""Tells any number of waiting tasks that something changed."""

from __future__ import annotations

import trio

from .clock import SECOND, Millis


class Signal:
    """Wakes all who wait at the time; one who begins to wait later waits for the next one."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify(self) -> None:
        """Wake all who wait now."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next ``notify``."""
        await self._event.wait()

    async def wait_for(self, timeout: Millis) -> bool:
        """Wait for the next ``notify``, but not longer than the timeout; return whether it came."""
        with trio.move_on_after(max(0.0, timeout) / SECOND):
            await self._event.wait()
            return True
        return False
