"""The time that the leader puts into commands."""

from __future__ import annotations

from ..clock import HOUR, Clock, Millis
from ..log import log_event
from ..log_events import LogEvent

MAX_DISAGREEMENT: Millis = HOUR


class CommandClock:
    """Milliseconds since 1970 that go on steadily while this host leads.

    The wall clock is read once, when the host begins to lead. A wall clock that jumps while it
    leads would otherwise push the whole ledger over its horizon at once, and a resent booking
    would be refused although its outcome was stored a moment ago.
    """

    def __init__(self, clock: Clock, wall: Clock) -> None:
        self._clock = clock
        self._wall = wall
        self._offset: Millis = 0.0

    def begin_term(self, last: Millis) -> None:
        """Start from the wall clock, or from the last command's time where that is later."""
        wall = self._wall.now()
        if last > 0 and abs(wall - last) > MAX_DISAGREEMENT:
            log_event(LogEvent.CLOCK_DISAGREES, wall_ms=wall, last_command_ms=last)
        self._offset = max(wall, last) - self._clock.now()

    def now(self) -> Millis:
        """Return the time for a command that is proposed now."""
        return self._clock.now() + self._offset
