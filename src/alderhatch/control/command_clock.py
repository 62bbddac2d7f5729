"""The clock for the time that the leader writes into commands."""

from __future__ import annotations

from ..clock import HOUR, Clock, Millis
from ..log import log_event
from ..log_events import LogEvent

MAX_CLOCK_DIFFERENCE: Millis = HOUR


class CommandClock:
    """Milliseconds since 1970, monotonic while this host is the leader.

    The wall clock is read only once, at the beginning of a term. If commands followed a wall clock
    that jumps forward, all records of the ledger would expire at once, and a resent booking would
    be refused although its outcome had just been stored.
    """

    def __init__(self, clock: Clock, wall_clock: Clock) -> None:
        self._clock = clock
        self._wall_clock = wall_clock
        self._offset: Millis = 0.0

    def begin_term(self, last_command_at: Millis) -> None:
        """Start from the wall clock, or from the time of the last command if that is later."""
        wall_now = self._wall_clock.now()
        if last_command_at > 0 and abs(wall_now - last_command_at) > MAX_CLOCK_DIFFERENCE:
            log_event(LogEvent.CLOCK_DISAGREES, wall_ms=wall_now, last_command_ms=last_command_at)
        self._offset = max(wall_now, last_command_at) - self._clock.now()

    def now(self) -> Millis:
        """Return the time for a command that is proposed now."""
        return self._clock.now() + self._offset
