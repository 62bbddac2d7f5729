"""The control state that the log applies its commands to, with a signal for new versions."""

from __future__ import annotations

from ..clock import Millis
from ..core.control.control_state import ControlState
from ..core.control.operations import Answer
from ..signal import Signal


class ObservedState:
    """The state machine of the replicated log; notifies of changes of the version."""

    def __init__(self) -> None:
        self.state = ControlState()
        """The state; only the log changes it."""
        self.version_changed = Signal()
        """Notified when the version of the feed changes, and after ``restore``."""

    def apply(self, index: int, command: bytes) -> list[Answer]:
        """Apply one command; see ``ControlState.apply``."""
        before = self.state.feed.version
        answers = self.state.apply(index, command)
        if self.state.feed.version != before:
            self.version_changed.notify()
        return answers

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return self.state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        self.state.restore(data)
        self.version_changed.notify()

    async def wait_for_version(self, version: int, timeout: Millis) -> bool:
        """Wait until this host has applied a version.

        Args:
            version: The version of the feed.
            timeout: The longest wait for each further change of the version.

        Returns:
            Whether the version is applied.
        """
        while self.state.feed.version < version:
            if not await self.version_changed.wait_for(timeout):
                return self.state.feed.version >= version
        return True
