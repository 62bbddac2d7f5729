"""Points in time at which something is to be looked at again."""

from __future__ import annotations

import heapq
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

from ..clock import Millis

if TYPE_CHECKING:
    from .run import Run


class TimerKind(IntEnum):
    """What is to be looked at."""

    DEADLINE = 0
    EARLY_FINISH = 1
    HEDGE = 2
    CANARY = 3
    QUEUE = 4
    """A request that waits for admission can no longer make its deadline."""
    WAITING = 5
    """A server that shed may be asked again."""
    MAP = 6
    """A query has waited long enough for a newer shard map."""
    LINGER = 7
    """The outcome of a request that may not be repeated is given up."""


class Timer(NamedTuple):
    """One entry of the heap."""

    at: Millis
    number: int
    kind: TimerKind
    run: Run | None


class Timers:
    """A heap of timers. A timer whose query has ended is dropped when it comes up."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._number = 0
        self._armed: Millis | None = None

    def add(self, at: Millis, kind: TimerKind, run: Run | None) -> None:
        """Add a timer."""
        self._number += 1
        heapq.heappush(self._heap, Timer(at, self._number, kind, run))

    def due(self, now: Millis) -> Timer | None:
        """Take out and return the next timer that is due, or return None."""
        while self._heap and self._heap[0].at <= now:
            timer = heapq.heappop(self._heap)
            if timer.run is None or not timer.run.ended:
                return timer
        return None

    def woke(self) -> None:
        """Note that the last time given by ``arm`` has come."""
        self._armed = None

    def arm(self) -> Millis | None:
        """Return the time to wake at if it is earlier than the one last returned."""
        while self._heap and self._heap[0].run is not None and self._heap[0].run.ended:
            heapq.heappop(self._heap)
        if not self._heap:
            return None
        at = self._heap[0].at
        if self._armed is not None and self._armed <= at:
            return None
        self._armed = at
        return at
