"""When another server is asked for a part that is still out."""

from __future__ import annotations

from ...clock import Millis
from .target_table import TargetTable

EARLIEST_HEDGE_QUANTILE = 0.75
"""With the whole budget left, a part that is later than this share of the route's answers is asked
for again elsewhere."""
LATEST_HEDGE_QUANTILE = 0.97
"""The same with the budget nearly used up. In between the delay follows the budget, so that it
lasts: the rarer the hedges, the more surely each of them meets a server that stands still."""
ENOUGH_SAMPLES = 40
GUESS_FACTOR = 2.0
"""Before there are enough samples, a part is late after this multiple of the usual latency."""
MIN_HEDGE_DELAY: Millis = 8.0
IN_TIME_FACTOR = 2.5
"""How many usual latencies before the answer is due a part of a split gather is asked for again."""


class HedgeTimer:
    """Works out the times of the hedges of one request.

    Args:
        route: The name of its route.
        table: The servers, with what was seen of them and what is left of their budgets.
        due: When a hedge's answer has to be in, for a share of a gather; None for no such bound.
    """

    def __init__(self, route: str, table: TargetTable, due: Millis | None) -> None:
        self._route = route
        self._table = table
        self._due = due

    def hedge_at(self, upstream: str, sent_at: Millis) -> Millis:
        """Return when another server is asked as well for what was sent at a time.

        While many servers are slow, all but the quickest answers take as long as theirs: a part
        that is asked for again only after that is of no use.
        """
        usual = sent_at + self._delay(upstream, sent_at)
        if self._due is None:
            return usual
        last = self._due - IN_TIME_FACTOR * self._usual_latency(upstream)
        return usual if last <= sent_at + MIN_HEDGE_DELAY else min(usual, last)

    def _usual_latency(self, upstream: str) -> Millis:
        latencies = self._table.route_latencies(self._route)
        if latencies.samples < ENOUGH_SAMPLES:
            return self._table.upstream(upstream).latencies.median
        return latencies.median

    def _delay(self, upstream: str, now: Millis) -> Millis:
        latencies = self._table.route_latencies(self._route)
        if latencies.samples < ENOUGH_SAMPLES:
            return GUESS_FACTOR * self._usual_latency(upstream)
        span = LATEST_HEDGE_QUANTILE - EARLIEST_HEDGE_QUANTILE
        level = self._table.budget_level(upstream, now)
        return max(MIN_HEDGE_DELAY, latencies.quantile(LATEST_HEDGE_QUANTILE - span * level))
