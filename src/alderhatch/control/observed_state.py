"""The control state as the log drives it, with a signal for those who wait for a version."""

from __future__ import annotations

from ..clock import Millis
from ..core.control.control_state import ControlState
from ..core.control.operations import Answer
from ..signal import Signal


class ObservedState:
    """The state machine handed to the log; it tells when the state has moved."""

    def __init__(self) -> None:
        self.state = ControlState()
        """The state itself; changed by the log alone."""
        self.version_changed = Signal()
        """Notified when the feed's version has changed."""

    def apply(self, index: int, command: bytes) -> list[Answer]:
        """Apply one command; see ``ControlState.apply``."""
        before = self.state.feed.version
        answers = self.state.apply(index, command)
        if self.state.feed.version != before:
            self.version_changed.notify()
        return answers

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        return self.state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the whole state by an earlier snapshot."""
        self.state.restore(data)
        self.version_changed.notify()

    async def wait_for_version(self, version: int, timeout: Millis) -> bool:
        """Wait until this host has applied a version; return whether it has in time."""
        while self.state.feed.version < version:
            if not await self.version_changed.wait_for(timeout):
                return self.state.feed.version >= version
        return True
