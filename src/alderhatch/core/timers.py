"""Points in time at which something is to be looked at again."""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

from ..clock import Millis

if TYPE_CHECKING:
    from .run import Run


SWEEP_AT = 1000
"""With this many timers at least, those of ended requests are taken out."""


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
    query: int | None
    """The number of the request that it belongs to; None if it belongs to none."""


class Timers:
    """A heap of timers. A timer whose request has ended is dropped when it comes up.

    Requests end long before their deadlines. So a timer names its request by number: were it to
    hold it, it would keep the whole answer until the deadline, seen as memory that grows with the
    rate of queries and with the deadlines that callers ask for.

    Args:
        runs: The requests under way, by their numbers.
    """

    def __init__(self, runs: Mapping[int, Run]) -> None:
        self._runs = runs
        self._heap: list[Timer] = []
        self._number = 0
        self._armed: Millis | None = None
        self._sweep_at = SWEEP_AT

    @property
    def size(self) -> int:
        """How many timers there are, those of ended requests included."""
        return len(self._heap)

    def add(self, at: Millis, kind: TimerKind, run: Run | None) -> None:
        """Add a timer."""
        self._number += 1
        query = None if run is None else run.query
        heapq.heappush(self._heap, Timer(at, self._number, kind, query))
        if len(self._heap) > self._sweep_at:
            self._sweep()

    def _sweep(self) -> None:
        # Left in until they come up, the timers of ended requests would still grow in number with
        # the deadlines that callers ask for.
        self._heap = [timer for timer in self._heap if self._holds(timer)]
        heapq.heapify(self._heap)
        self._sweep_at = max(SWEEP_AT, 2 * len(self._heap))

    def _holds(self, timer: Timer) -> bool:
        return timer.query is None or timer.query in self._runs

    def due(self, now: Millis) -> Timer | None:
        """Take out and return the next timer that is due, or return None."""
        while self._heap and self._heap[0].at <= now:
            timer = heapq.heappop(self._heap)
            if self._holds(timer):
                return timer
        return None

    def woke(self) -> None:
        """Note that the last time given by ``arm`` has come."""
        self._armed = None

    def arm(self) -> Millis | None:
        """Return the time to wake at if it is earlier than the one last returned."""
        while self._heap and not self._holds(self._heap[0]):
            heapq.heappop(self._heap)
        if not self._heap:
            return None
        at = self._heap[0].at
        if self._armed is not None and self._armed <= at:
            return None
        self._armed = at
        return at
