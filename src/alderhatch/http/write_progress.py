"""Decides how long an answer is written to a client that reads it slowly."""

from __future__ import annotations

from ..clock import SECOND, Millis

MIN_READ_RATE = 4 * 1024 / SECOND
"""Bytes per millisecond that a client has to read on average. One that took a byte now and then
would hold its connection and its answer for days; a telephone modem reads faster."""
SEGMENTS_PER_STEP = 2
"""A window that has been full may open only when two segments fit."""


def stall_span(limit: Millis, segment_bytes: int) -> Millis:
    """Return how long a client may be seen to take nothing.

    A client's window opens in steps of a segment, so one that reads steadily seems to take nothing
    in between. Segments are large on some networks, and on loopback.

    Args:
        limit: How long a client may take nothing.
        segment_bytes: The greatest segment of the connection; 0 if unknown.
    """
    return max(limit, SEGMENTS_PER_STEP * segment_bytes / MIN_READ_RATE)


class WriteProgress:
    """How much of what was written to a client the client has taken.

    Args:
        left: Bytes that the client has not taken yet.
        now: The time.
        stall_limit: How long the client may take nothing.
    """

    __slots__ = ("_left", "_stall_limit", "_too_slow_at", "size", "taken_at")

    def __init__(self, left: int, now: Millis, stall_limit: Millis) -> None:
        self.size = left
        self._left = left
        self._stall_limit = stall_limit
        self._too_slow_at = now + stall_limit + left / MIN_READ_RATE
        self.taken_at = now
        """When the client was last seen to take bytes."""

    def record(self, left: int, now: Millis) -> None:
        """Record how many bytes the client has not taken yet."""
        if left < self._left:
            self._left = left
            self.taken_at = now

    @property
    def ends_at(self) -> Millis:
        """When the client is given up if it takes nothing more."""
        return min(self.taken_at + self._stall_limit, self._too_slow_at)
