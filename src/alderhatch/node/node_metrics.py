"""The numbers that a node shows to Prometheus."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import SECOND, LoopClock, Millis
from ..core.forwarding.decision import DecisionKind
from ..core.forwarding.forward_run import ForwardRun
from ..core.forwarding.route import AllShards
from ..metric_catalogue import Metric
from ..metrics import Metrics, MetricsPage
from .request_log import RequestEnd

if TYPE_CHECKING:
    from .control_member import ControlMember
    from .node import Node

SENDS = (DecisionKind.SEND, DecisionKind.HEDGE, DecisionKind.RETRY)


class NodeMetrics:
    """Counts requests as they end; the rest is read when somebody asks for the page.

    Args:
        node: The node.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._clock = LoopClock()
        self._metrics = Metrics(node.cfg.name)
        self._metrics.add_source(self._copy)

    def count(self, run: ForwardRun, end: RequestEnd) -> None:
        """Count a request that found its route."""
        metrics = self._metrics
        route = run.route.name
        metrics.inc(Metric.NODE_REQUESTS, route, end.outcome)
        if end.coverage > 0:
            metrics.observe(Metric.NODE_DURATION, end.span, route)
            if isinstance(run.route.destination, AllShards):
                metrics.observe(Metric.NODE_COVERAGE, end.coverage, route)
        self.count_steps(run)

    def count_steps(self, run: ForwardRun) -> None:
        """Count what was sent to servers, and what became of it."""
        metrics = self._metrics
        for one in run.trace:
            if one.kind in SENDS:
                metrics.inc(Metric.NODE_SENDS, one.kind)
            elif one.kind is DecisionKind.FAULT:
                metrics.inc(Metric.NODE_FAULTS, one.why)
            elif one.kind is DecisionKind.NO_BUDGET:
                metrics.inc(Metric.NODE_BUDGET_REFUSED)

    def count_refused(self, kind: str) -> None:
        """Count a request that was refused before it had a route."""
        self._metrics.inc(Metric.NODE_REQUESTS, "", kind)

    def count_handed_over(self, outcome: str) -> None:
        """Count a request that another host was to answer."""
        self._metrics.inc(Metric.NODE_HANDED_OVER, outcome)

    def count_change(self, span: Millis) -> None:
        """Count an operator's change that enough disks hold."""
        self._metrics.observe(Metric.NODE_CHANGE_DURATION, span)

    def page(self) -> MetricsPage:
        """Return the page in Prometheus' text format."""
        return self._metrics.render()

    def _copy(self) -> None:
        node = self._node
        state = node.state
        now = self._clock.now()
        metrics = self._metrics
        for name, count in state.table.count_states(now).items():
            metrics.set(Metric.NODE_SERVERS, count, name)
        metrics.set(Metric.NODE_RUNNING, node.running)
        metrics.set(Metric.NODE_HOSTS, state.live_host_count)
        metrics.set(Metric.NODE_CONFIGURATION, state.stored.version)
        if state.list_fresh_at is not None:
            metrics.set(Metric.NODE_LIST_AGE, state.list_age() / SECOND)
        if node.leader_heard_at:
            metrics.set(Metric.NODE_LEADER_SILENCE, (now - node.leader_heard_at) / SECOND)
        if node.member is not None:
            self._copy_log(node.member)
        if node.log_output is not None:
            metrics.set(Metric.NODE_LOG_LINES_DROPPED, node.log_output.dropped)
            metrics.set(Metric.NODE_LOG_BYTES, node.log_output.written_bytes)

    def _copy_log(self, member: ControlMember) -> None:
        metrics = self._metrics
        metrics.set(Metric.NODE_LOG_LEADERLESS, member.leaderless_time / SECOND)
        status = member.status()
        if status is not None:
            metrics.set(Metric.NODE_LOG_INDEX, status.commit_index)
            metrics.set(Metric.NODE_LOG_TERM, status.term)
        syncs = member.sync_figures()
        if syncs is not None:
            metrics.set(Metric.NODE_LOG_SYNCS, syncs.number)
            metrics.set(Metric.NODE_LOG_SYNC_TIME, syncs.spent / SECOND)
