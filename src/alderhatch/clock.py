"""Clocks. Times and durations are milliseconds, as a float.

A point in time is counted from an origin that is private to its clock, so points in time of
different clocks must not be compared. Code in ``core`` never reads a clock; it gets ``now`` as an
argument.
"""

from __future__ import annotations

import time
from typing import Protocol, TypeAlias

import trio

Millis: TypeAlias = float
"""A point in time or a duration, in milliseconds."""

SECOND: Millis = 1000.0
MINUTE: Millis = 60 * SECOND
HOUR: Millis = 60 * MINUTE
DAY: Millis = 24 * HOUR


class Clock(Protocol):
    """A source of the current time."""

    def now(self) -> Millis:
        """Return the current time in milliseconds."""


class LoopClock:
    """The clock of the running trio loop, which may be a virtual clock in tests."""

    def now(self) -> Millis:
        """Return the loop's time in milliseconds.

        Raises:
            RuntimeError: If called outside a running trio loop.
        """
        return trio.current_time() * SECOND


class WallClock:
    """Milliseconds since 1970 UTC, for display only: it may jump and must not be compared."""

    def now(self) -> Millis:
        """Return the wall clock's time in milliseconds since 1970 UTC."""
        return time.time() * SECOND


class ManualClock:
    """A clock that only changes when it is advanced explicitly."""

    def __init__(self, start: Millis = 0.0) -> None:
        self._now = start

    def now(self) -> Millis:
        """Return the time to which the clock was last advanced."""
        return self._now

    def advance(self, duration: Millis) -> Millis:
        """Advance the clock.

        Args:
            duration: Milliseconds to advance by; not negative.

        Returns:
            The new time.

        Raises:
            ValueError: If the duration is negative.
        """
        if duration < 0:
            raise ValueError(f"expected a duration of at least 0 ms, got {duration}")
        self._now += duration
        return self._now
