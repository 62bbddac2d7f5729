"""A heap of events on a virtual clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from alderhatch.clock import Millis


class EventLoop:
    """Calls functions at points of virtual time, in order."""

    def __init__(self) -> None:
        self.now: Millis = 0.0
        self._heap: list[tuple[Millis, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = 0

    def at(self, time: Millis, call: Callable[..., None], *args: Any) -> None:
        """Call a function at a point in time, or as soon as possible if that has passed."""
        self._number += 1
        heapq.heappush(self._heap, (max(time, self.now), self._number, call, args))

    def after(self, span: Millis, call: Callable[..., None], *args: Any) -> None:
        """Call a function after a span of time."""
        self._number += 1
        heapq.heappush(self._heap, (self.now + span, self._number, call, args))

    def run(self, until: Millis) -> None:
        """Run all events up to a point in time."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(heap)
            call(*args)
        self.now = until
