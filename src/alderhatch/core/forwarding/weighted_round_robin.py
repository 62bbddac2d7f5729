"""Divides the requests of a route among upstreams by weight."""

from __future__ import annotations

from .route import SplitUpstreams


class WeightedRoundRobin:
    """Gives each request to the part that is furthest behind its weight.

    Drawn by chance, small numbers of requests stray from the weights: with 100 requests a part of
    one half gets less than 0.45 of them every sixth time. Counted, it is never off by more than
    one request on this host.
    """

    def __init__(self) -> None:
        self._given: dict[str, float] = {}

    def pick(self, split: SplitUpstreams) -> str:
        """Return the upstream of the next request."""
        best = ""
        best_level = float("inf")
        for part in split.parts:
            if part.weight <= 0:
                continue
            level = (self._given.get(part.upstream, 0.0) + 1.0) / part.weight
            if level < best_level:
                best, best_level = part.upstream, level
        self._given[best] = self._given.get(best, 0.0) + 1.0
        return best
