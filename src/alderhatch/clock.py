"""The one clock type of the project: milliseconds as a float.

A point in time is milliseconds since an origin that only the clock knows, so two points of
different clocks must not be compared. A span is milliseconds too. Code in ``core`` never reads a
clock: it is handed ``now``.
"""

from __future__ import annotations

import time
from typing import Protocol, TypeAlias

import trio

Millis: TypeAlias = float
"""A point in time or a span, in milliseconds."""

SECOND: Millis = 1000.0
MINUTE: Millis = 60 * SECOND
HOUR: Millis = 60 * MINUTE
DAY: Millis = 24 * HOUR


class Clock(Protocol):
    """What tells the time."""

    def now(self) -> Millis:
        """Return the present point in time, in milliseconds."""


class LoopClock:
    """The clock of the running trio loop; virtual where the loop's clock is virtual."""

    def now(self) -> Millis:
        """Return the loop's time in milliseconds.

        Raises:
            RuntimeError: If called outside a running trio loop.
        """
        return trio.current_time() * SECOND


class WallClock:
    """Milliseconds since 1970 UTC, for people to read; it may jump and is never compared."""

    def now(self) -> Millis:
        """Return the wall clock's time in milliseconds since 1970 UTC."""
        return time.time() * SECOND


class ManualClock:
    """A clock that stands still until it is told to move."""

    def __init__(self, start: Millis = 0.0) -> None:
        self._now = start

    def now(self) -> Millis:
        """Return the time that the clock was last moved to."""
        return self._now

    def advance(self, span: Millis) -> Millis:
        """Move the clock on.

        Args:
            span: By how many milliseconds; not negative.

        Returns:
            The new time.

        Raises:
            ValueError: If the span is negative.
        """
        if span < 0:
            raise ValueError(f"a clock does not go back: {span}")
        self._now += span
        return self._now
