"""Decides when a slow shard request is hedged with a second attempt."""

from __future__ import annotations

from ..clock import Millis
from .core_state import CoreState
from .dispatcher import Dispatcher
from .query_run import QueryRun
from .run import ShardState
from .timers import TimerKind

MIN_LEVEL_FOR_MANY = 0.5
"""Queries that wait for many shards are hedged only while the budget is at least this full."""
MIN_TIMER_GAP_MS: Millis = 1.0
MIN_SAMPLES = 50
"""With fewer samples, high quantiles of the latency are unreliable."""
INITIAL_LATENCY_FACTOR = 6.0
"""While there are fewer, delays are at least this multiple of ``first_latency_ms``."""
TIMER_TOLERANCE_MS: Millis = 1e-6
"""Absorbs rounding errors when a due time is compared with the present time."""


class Hedging:
    """Spends each rule's hedge budget where it shortens whole queries.

    The budget bounds the load that hedges add. The delay before a hedge grows as the budget
    empties, so that tokens are left when a straggler delays a whole query. Queries that wait for
    only a few shards have priority: a hedge can complete such a query, but not one that waits for
    many shards.
    """

    def __init__(self, state: CoreState, dispatcher: Dispatcher) -> None:
        self._state = state
        self._dispatcher = dispatcher

    def on_sent(self, run: QueryRun, shards: int) -> None:
        """Count a query's regular shard requests, and set the timer that hedges a late query."""
        core = self._state
        budget = core.hedge_budget(run.rule, run.serve)
        budget.earn(shards)
        if run.serve.hedge > 0:
            check_at = core.now + core.policy.hedge_patience * self._first_delay(run)
            self._set_timer(run, check_at)

    def _first_delay(self, run: QueryRun) -> Millis:
        core = self._state
        policy = core.policy
        if run.rank == 0 and run.limiter is not None and run.limiter.overloaded:
            # Under overload, queueing raises the latency of all requests. With the high quantiles
            # an urgent query's straggler would be hedged only when the query is already late.
            return run.upstream.latencies.quantile(policy.hedge_urgent_quantile)
        level = core.hedge_budget(run.rule, run.serve).level
        spread = policy.hedge_last_quantile - policy.hedge_first_quantile
        delay = run.upstream.latencies.quantile(policy.hedge_last_quantile - spread * level)
        # With few samples a high quantile is unreliable, and an entry that has just started would
        # spend its first tokens on requests of normal speed.
        if run.upstream.latencies.samples < MIN_SAMPLES:
            return max(delay, INITIAL_LATENCY_FACTOR * policy.first_latency_ms)
        return delay

    def schedule(self, run: QueryRun) -> None:
        """Set the hedge timer of a query that waits for only a few shards."""
        if run.serve.hedge <= 0 or run.open > run.few_open_limit:
            return
        due = self._next_due(run)
        if due is not None and (run.hedge_at is None or due < run.hedge_at):
            self._set_timer(run, due)

    def _next_due(self, run: QueryRun) -> Millis | None:
        first_delay, next_delay = self._hedge_delays(run)
        max_hedges = self._state.policy.hedges_per_shard
        due: Millis | None = None
        for state in run.open_shards:
            if not state.attempts or state.hedges >= max_hedges:
                continue
            latest = next(reversed(state.attempts.values()))
            due_at = latest.sent_at + (next_delay if state.hedges else first_delay)
            if due is None or due_at < due:
                due = due_at
        return due

    def _hedge_delays(self, run: QueryRun) -> tuple[Millis, Millis]:
        """Return the delays before the first hedge of a shard and before a further one.

        If a hedge is slow too, the query is already late. This is rare, so a further hedge after a
        shorter delay costs little.
        """
        first_delay = self._first_delay(run)
        next_delay = run.upstream.latencies.quantile(self._state.policy.hedge_again_quantile)
        return first_delay, min(first_delay, next_delay)

    def _set_timer(self, run: QueryRun, due_at: Millis) -> None:
        if due_at >= run.deadline:
            return
        run.hedge_at = due_at
        self._state.timers.add(due_at, TimerKind.HEDGE, run)

    def on_timer(self, run: QueryRun) -> None:
        """Hedge the late shards of a query as far as the budget allows."""
        core = self._state
        # A timer that was replaced by an earlier one still fires; nothing is due then.
        if run.hedge_at is None or run.hedge_at > core.now or run.canary_phase:
            return
        run.hedge_at = None
        first_delay, next_delay = self._hedge_delays(run)
        many_open = run.open > run.few_open_limit
        for state in run.shards:
            if state.closed or not state.attempts:
                continue
            if state.hedges >= core.policy.hedges_per_shard:
                continue
            latest = next(reversed(state.attempts.values()))
            delay = next_delay if state.hedges else first_delay
            if latest.sent_at + delay <= core.now + TIMER_TOLERANCE_MS:
                self._hedge(run, state, many_open)
        self._plan_next(run)

    def _hedge(self, run: QueryRun, state: ShardState, many_open: bool) -> None:
        core = self._state
        budget = core.hedge_budget(run.rule, run.serve)
        # The last tokens are reserved for queries that wait for only a few shards.
        if many_open and budget.level < MIN_LEVEL_FOR_MANY:
            return
        if not self._dispatcher.within_crash_limit(run):
            return
        expected_latency = run.upstream.latencies.median + core.policy.path_cost_ms
        if core.now + expected_latency >= run.deadline or not budget.spend():
            return
        if not self._dispatcher.hedge(run, state, run.shard_map.snapshot):
            budget.refund()

    def _plan_next(self, run: QueryRun) -> None:
        due = self._next_due(run)
        if due is not None:
            self._set_timer(run, max(due, self._state.now + MIN_TIMER_GAP_MS))
