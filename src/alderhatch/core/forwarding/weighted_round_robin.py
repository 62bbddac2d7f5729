"""Divides the requests of a route among upstreams by weight."""

from __future__ import annotations

from .route import SplitUpstreams


class WeightedRoundRobin:
    """Gives each request to the upstream that is furthest behind its weight.

    With a random choice, small numbers of requests deviate from the weights: with 100 requests a
    part of one half gets less than 0.45 of them every sixth time. With counters the deviation is
    never more than one request on this host.
    """

    def __init__(self) -> None:
        self._assigned: dict[str, float] = {}

    def pick(self, split: SplitUpstreams) -> str:
        """Return the upstream of the next request."""
        best = ""
        best_level = float("inf")
        for part in split.parts:
            if part.weight <= 0:
                continue
            level = (self._assigned.get(part.upstream, 0.0) + 1.0) / part.weight
            if level < best_level:
                best, best_level = part.upstream, level
        self._assigned[best] = self._assigned.get(best, 0.0) + 1.0
        return best
