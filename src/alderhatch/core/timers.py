"""Timers of requests and of the dispatcher."""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

from ..clock import Millis

if TYPE_CHECKING:
    from .run import Run


MIN_SWEEP_SIZE = 1000
"""The number of timers above which those of ended requests are removed."""


class TimerKind(IntEnum):
    """What a timer is for."""

    DEADLINE = 0
    EARLY_FINISH = 1
    HEDGE = 2
    CANARY = 3
    QUEUE = 4
    """A request that waits for admission can no longer make its deadline."""
    WAITING = 5
    """A server that shed load can be tried again."""
    MAP = 6
    """The wait of a query for a newer shard map has timed out."""
    LINGER = 7
    """The wait for the outcome of a non-idempotent request has timed out."""
    PACED = 8
    """A server may get the next request of a lower priority class."""


class Timer(NamedTuple):
    """An entry of the heap."""

    at: Millis
    number: int
    kind: TimerKind
    query: int | None
    """The number of the request that it belongs to, if any."""


class Timers:
    """A heap of timers. A timer whose request has ended is dropped when it expires.

    Requests usually end long before their deadlines. A timer therefore refers to its request by
    number. A reference to the request would keep its whole answer in memory until the deadline, so
    that memory use would grow with the query rate and with the deadlines that callers set.

    Args:
        runs: Running and queued requests by query number.
    """

    def __init__(self, runs: Mapping[int, Run]) -> None:
        self._runs = runs
        self._heap: list[Timer] = []
        self._last_number = 0
        self._armed_at: Millis | None = None
        self._sweep_size = MIN_SWEEP_SIZE

    @property
    def size(self) -> int:
        """The number of timers, including those of ended requests."""
        return len(self._heap)

    def add(self, at: Millis, kind: TimerKind, run: Run | None) -> None:
        """Add a timer."""
        self._last_number += 1
        query = None if run is None else run.query
        heapq.heappush(self._heap, Timer(at, self._last_number, kind, query))
        if len(self._heap) > self._sweep_size:
            self._sweep()

    def _sweep(self) -> None:
        # If timers of ended requests stayed until they expire, their number would grow with the
        # deadlines that callers set.
        self._heap = [timer for timer in self._heap if self._is_live(timer)]
        heapq.heapify(self._heap)
        self._sweep_size = max(MIN_SWEEP_SIZE, 2 * len(self._heap))

    def _is_live(self, timer: Timer) -> bool:
        return timer.query is None or timer.query in self._runs

    def due(self, now: Millis) -> Timer | None:
        """Remove and return the next expired timer of a live request, or return None."""
        while self._heap and self._heap[0].at <= now:
            timer = heapq.heappop(self._heap)
            if self._is_live(timer):
                return timer
        return None

    def disarm(self) -> None:
        """Record that the time last returned by ``arm`` has been reached."""
        self._armed_at = None

    def arm(self) -> Millis | None:
        """Return the next wake-up time if it is earlier than the one last returned, else None."""
        while self._heap and not self._is_live(self._heap[0]):
            heapq.heappop(self._heap)
        if not self._heap:
            return None
        at = self._heap[0].at
        if self._armed_at is not None and self._armed_at <= at:
            return None
        self._armed_at = at
        return at
