"""The node's Prometheus metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import SECOND, LoopClock, Millis
from ..core.forwarding.decision import DecisionKind
from ..core.forwarding.forward_run import ForwardRun
from ..core.forwarding.organisation_usage import OrganisationUsage
from ..core.forwarding.response_lead_time import MIN_LEAD_TIME
from ..core.forwarding.route import AllShards
from ..metric_catalogue import Metric
from ..metrics import OTHER_LABEL, Metrics, MetricsPage
from .request_log import RequestEnd
from .start_timeline import StartStep

if TYPE_CHECKING:
    from .control_member import ControlMember
    from .node import Node

SEND_KINDS = (DecisionKind.SEND, DecisionKind.HEDGE, DecisionKind.RETRY)


class NodeMetrics:
    """Counts requests as they end; other metrics are read when the page is rendered.

    Args:
        node: The node.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._clock = LoopClock()
        self._metrics = Metrics(node.cfg.name)
        self._metrics.add_source(self._update_gauges)
        self._usage = OrganisationUsage()

    def count_request(self, run: ForwardRun, end: RequestEnd, unread_time: Millis) -> None:
        """Count a request that matched a route.

        Args:
            run: Its run.
            end: Its result.
            unread_time: How long it may have waited until this host read it.
        """
        metrics = self._metrics
        route = run.route.name
        metrics.inc(Metric.NODE_REQUESTS, route, end.outcome)
        metrics.observe(Metric.NODE_UNREAD_TIME, unread_time)
        if end.coverage > 0:
            self._node.state.record_step(StartStep.ANSWER)
            metrics.observe(Metric.NODE_DURATION, end.duration, route)
            if run.times.arrived + end.duration > run.due + MIN_LEAD_TIME:
                metrics.inc(Metric.NODE_OVERDUE, route)
            if isinstance(run.route.destination, AllShards):
                metrics.observe(Metric.NODE_COVERAGE, end.coverage, route)
        self.count_decisions(run)

    def count_decisions(self, run: ForwardRun) -> None:
        """Count the requests sent to servers, their faults and refusals of the retry budget."""
        metrics = self._metrics
        for step in run.trace:
            if step.kind in SEND_KINDS:
                metrics.inc(Metric.NODE_SENDS, step.kind)
            elif step.kind is DecisionKind.FAULT:
                metrics.inc(Metric.NODE_FAULTS, step.why)
            elif step.kind is DecisionKind.NO_BUDGET:
                metrics.inc(Metric.NODE_BUDGET_REFUSED)

    def count_refused(self, kind: str) -> None:
        """Count a request that was refused before it ran."""
        self._metrics.inc(Metric.NODE_REQUESTS, "", kind)

    def count_organisation(self, organisation: str, outcome: str) -> None:
        """Count a request of an organisation by its outcome."""
        self._usage.count(organisation, outcome)

    def count_handed_over(self, outcome: str) -> None:
        """Count a request that was handed over to another host."""
        self._metrics.inc(Metric.NODE_HANDED_OVER, outcome)

    def record_part_wait(self, rank: int, duration: Millis) -> None:
        """Record how long a part of a gather waited for its turn."""
        self._metrics.observe(Metric.NODE_PART_WAIT, duration, str(rank))

    def count_quota_token(self, source: str, waited: Millis) -> None:
        """Count a request that was admitted within a quota after so long."""
        self._metrics.inc(Metric.NODE_QUOTA_TOKENS, source)
        self._metrics.observe(Metric.NODE_QUOTA_WAIT, waited, source)

    def count_quota_refused(self, reason: str) -> None:
        """Count a request that was refused by a quota."""
        self._metrics.inc(Metric.NODE_QUOTA_REFUSED, reason)

    def count_change(self, duration: Millis) -> None:
        """Record the duration of an operator's change, until it was committed."""
        self._metrics.observe(Metric.NODE_CHANGE_DURATION, duration)

    def page(self) -> MetricsPage:
        """Render the metrics in the Prometheus text format."""
        return self._metrics.render()

    def _update_gauges(self) -> None:
        node = self._node
        state = node.state
        now = self._clock.now()
        metrics = self._metrics
        for name, count in state.table.count_states(now).items():
            metrics.set(Metric.NODE_SERVERS, count, name)
        metrics.set(Metric.NODE_RUNNING, node.requests_in_flight)
        metrics.set(Metric.NODE_ANSWER_BYTES, node.waiting_answer_bytes)
        metrics.set(Metric.NODE_ANSWERS_CUT, node.cut_answers)
        metrics.set(Metric.NODE_PARTS_WAITING, len(node.turns.queue))
        metrics.set(Metric.NODE_PART_COST, node.turns.queue.turn_cost / SECOND)
        metrics.set(Metric.NODE_HOSTS, state.live_host_count)
        metrics.set(Metric.NODE_ACTIVE_HOSTS, len(state.caller_hosts))
        for verdict, count in state.crash_guard.evidence.verdicts.items():
            metrics.set(Metric.NODE_CRASH_EVIDENCE, count, verdict)
        metrics.set(Metric.NODE_QUARANTINES, len(state.crash_guard.quarantines()))
        for cause, count in state.active_host_changes.items():
            metrics.set(Metric.NODE_ACTIVE_HOST_CHANGES, count, cause)
        metrics.set(Metric.NODE_CONFIGURATION, state.stored.version)
        if state.list_fresh_at is not None:
            metrics.set(Metric.NODE_LIST_AGE, state.list_age() / SECOND)
        if state.needs_lease and not state.awaits_first_lease:
            metrics.set(Metric.NODE_LEASE_AGE, (now - state.lease.confirmed_at) / SECOND)
        if state.organisations is not None:
            metrics.set(Metric.NODE_QUOTA_OWNED, len(node.quotas.owner))
            reserve = node.quotas.allowances.reserve_tokens(state.organisation, now)
            metrics.set(Metric.NODE_QUOTA_RESERVE, reserve)
        if node.leader_last_heard_at:
            metrics.set(Metric.NODE_LEADER_SILENCE, (now - node.leader_last_heard_at) / SECOND)
        self._update_usage(now)
        if node.member is not None:
            self._update_log_gauges(node.member)
        if node.log_output is not None:
            metrics.set(Metric.NODE_LOG_LINES_DROPPED, node.log_output.dropped)
            metrics.set(Metric.NODE_LOG_BYTES, node.log_output.written_bytes)

    def _update_usage(self, now: Millis) -> None:
        metrics = self._metrics
        self._usage.choose_largest(now)
        metrics.clear(Metric.NODE_ORGANISATION_REQUESTS)
        for name, outcomes in (*self._usage.by_name.items(), (OTHER_LABEL, self._usage.others)):
            for outcome, count in outcomes.items():
                metrics.inc(Metric.NODE_ORGANISATION_REQUESTS, name, outcome, by=count)

    def _update_log_gauges(self, member: ControlMember) -> None:
        metrics = self._metrics
        metrics.set(Metric.NODE_LOG_LEADERLESS, member.leaderless_time / SECOND)
        status = member.status()
        if status is not None:
            metrics.set(Metric.NODE_LOG_INDEX, status.commit_index)
            metrics.set(Metric.NODE_LOG_TERM, status.term)
        syncs = member.sync_stats()
        if syncs is not None:
            metrics.set(Metric.NODE_LOG_SYNCS, syncs.number)
            metrics.set(Metric.NODE_LOG_SYNC_TIME, syncs.spent / SECOND)
