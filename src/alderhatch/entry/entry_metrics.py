"""The Prometheus metrics of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import SECOND, LoopClock, Millis
from ..core.entry_events import Answered, Outcome, Refused
from ..metric_catalogue import Metric
from ..metrics import Metrics, MetricsPage

if TYPE_CHECKING:
    from .entry_node import EntryNode

ANSWERED = "answered"


class EntryMetrics:
    """Counts requests by rule and outcome; other metrics are read when the page is rendered.

    Args:
        node: The entry.
    """

    def __init__(self, node: EntryNode) -> None:
        self._node = node
        self._clock = LoopClock()
        self._metrics = Metrics(node.cfg.name)
        self._metrics.add_source(self._refresh)

    def record_outcome(self, outcome: Outcome, duration: Millis) -> None:
        """Count one outcome and its duration in milliseconds."""
        metrics = self._metrics
        match outcome:
            case Answered(rule=rule, coverage=coverage):
                metrics.inc(Metric.ENTRY_REQUESTS, rule, ANSWERED)
                metrics.observe(Metric.ENTRY_DURATION, duration, rule)
                metrics.observe(Metric.ENTRY_COVERAGE, coverage, rule)
            case Refused(rule=rule, failure=failure):
                metrics.inc(Metric.ENTRY_REQUESTS, rule, failure.kind)

    def render_page(self) -> MetricsPage:
        """Return the metrics in the Prometheus text format."""
        return self._metrics.render()

    def _refresh(self) -> None:
        node = self._node
        values = {
            Metric.ENTRY_SHARD_REQUESTS: node.core.shard_requests_sent,
            Metric.ENTRY_SHARD_REQUESTS_NEEDED: node.core.shard_requests_needed,
            Metric.ENTRY_CONNECTIONS_OPENED: node.pool.opened_count,
            Metric.ENTRY_CONNECTIONS_SILENT: node.pool.silent_count,
            Metric.ENTRY_CONNECTIONS: node.pool.connection_count,
            Metric.ENTRY_CALLERS: node.callers.connections,
            Metric.ENTRY_RUNNING: node.core.running,
            Metric.ENTRY_SHARD_REQUESTS_WASTED: node.core.shard_requests_wasted,
            Metric.ENTRY_REVISION: node.core.revision,
        }
        for metric, value in values.items():
            self._metrics.set(metric, value)
        lease_left = node.core.lease_left(self._clock.now())
        if lease_left is not None:
            self._metrics.set(Metric.ENTRY_LEASE_LEFT, lease_left / SECOND)
