"""Notices that this process was paused."""

from __future__ import annotations

from math import inf

from ...clock import Millis

MAX_PAUSE: Millis = 500.0
"""A longer time between two checks means that this process was suspended."""


class PauseWatch:
    """Tells when this process last went on after a pause.

    A process that was suspended, or not given the processor, goes on with what it knew before. What
    others have sent it meanwhile is still unread.
    """

    def __init__(self) -> None:
        self._checked_at: Millis | None = None
        self._resumed_at = -inf

    def resumed_at(self, now: Millis) -> Millis:
        """Return when the process went on after its last pause; -inf if there was none.

        To be called at least once in ``MAX_PAUSE``, or that counts as a pause, too.
        """
        if self._checked_at is not None and now - self._checked_at > MAX_PAUSE:
            self._resumed_at = now
        self._checked_at = now
        return self._resumed_at
