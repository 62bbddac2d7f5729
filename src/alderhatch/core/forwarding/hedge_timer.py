"""Decides when a shard request is hedged: sent to a second server, as no answer has arrived."""

from __future__ import annotations

from ...clock import Millis
from .target_table import TargetTable

EARLIEST_HEDGE_QUANTILE = 0.75
"""With the whole retry budget left, a part is hedged when it takes longer than this quantile of the
route's latencies."""
LATEST_HEDGE_QUANTILE = 0.97
"""The same with the budget nearly exhausted. In between, the less budget is left, the later a part
is hedged, so that the budget lasts: the rarer the hedges, the more likely each of them replaces a
stalled server."""
MIN_SAMPLES = 40
UNSAMPLED_DELAY_FACTOR = 2.0
"""Before there are enough samples, a part is hedged after this multiple of the median latency."""
MIN_HEDGE_DELAY: Millis = 8.0
DUE_MARGIN_FACTOR = 2.5
"""A part of a split gather is hedged this many median latencies before the answer is due."""


class HedgeTimer:
    """Computes when the shards of one request are hedged.

    Args:
        route: The name of its route.
        table: The servers, with their latencies and what is left of their budgets.
        due: When the parts of a share of a gather have to arrive; None for other requests.
    """

    def __init__(self, route: str, table: TargetTable, due: Millis | None) -> None:
        self._route = route
        self._table = table
        self._due = due

    def hedge_at(self, upstream: str, sent_at: Millis) -> Millis:
        """Return when a shard request sent at a given time is hedged.

        While many servers are slow, most quantiles of the latencies are those of slow servers. A
        hedge that waits for such a quantile is too late to help.
        """
        by_latency = sent_at + self._delay(upstream, sent_at)
        if self._due is None:
            return by_latency
        latest = self._due - DUE_MARGIN_FACTOR * self._median_latency(upstream)
        return by_latency if latest <= sent_at + MIN_HEDGE_DELAY else min(by_latency, latest)

    def _median_latency(self, upstream: str) -> Millis:
        latencies = self._table.route_latencies(self._route)
        if latencies.samples < MIN_SAMPLES:
            return self._table.upstream(upstream).latencies.median
        return latencies.median

    def _delay(self, upstream: str, now: Millis) -> Millis:
        latencies = self._table.route_latencies(self._route)
        if latencies.samples < MIN_SAMPLES:
            return UNSAMPLED_DELAY_FACTOR * self._median_latency(upstream)
        span = LATEST_HEDGE_QUANTILE - EARLIEST_HEDGE_QUANTILE
        level = self._table.remaining_budget(upstream, now)
        return max(MIN_HEDGE_DELAY, latencies.quantile(LATEST_HEDGE_QUANTILE - span * level))
