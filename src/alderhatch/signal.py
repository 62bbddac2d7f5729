"""Notifies any number of waiting tasks."""

from __future__ import annotations

import trio

from .clock import SECOND, Millis


class Signal:
    """Wakes all tasks that are waiting; a task that waits later gets the next notification."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify(self) -> None:
        """Wake all tasks that are waiting now."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next ``notify``."""
        await self._event.wait()

    async def wait_for(self, timeout: Millis) -> bool:
        """Wait for the next ``notify``; return False if the timeout expires first."""
        with trio.move_on_after(max(0.0, timeout) / SECOND):
            await self._event.wait()
            return True
        return False
