"""Points in time at which something is to be looked at again."""

from __future__ import annotations

import heapq
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

from ..clock import Millis

if TYPE_CHECKING:
    from .run import Run


SWEEP_AT = 1000
"""With this many timers at least, those of ended queries are taken out."""


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
    PACED = 8
    """A server may get the next request of a lower class."""


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
        self._sweep_at = SWEEP_AT

    @property
    def size(self) -> int:
        """How many timers there are, those of ended queries included."""
        return len(self._heap)

    def add(self, at: Millis, kind: TimerKind, run: Run | None) -> None:
        """Add a timer."""
        self._number += 1
        heapq.heappush(self._heap, Timer(at, self._number, kind, run))
        if len(self._heap) > self._sweep_at:
            self._sweep()

    def _sweep(self) -> None:
        # Queries end long before their deadlines. Their timers would hold them, with their answers,
        # until then, seen as memory that grows with the deadlines that callers ask for.
        self._heap = [timer for timer in self._heap if timer.run is None or not timer.run.ended]
        heapq.heapify(self._heap)
        self._sweep_at = max(SWEEP_AT, 2 * len(self._heap))

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
