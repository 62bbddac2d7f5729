"""When a second copy of a slow shard request is sent."""

from __future__ import annotations

from ..clock import Millis
from .core_state import CoreState
from .dispatcher import Dispatcher
from .query_run import QueryRun
from .run import ShardState
from .timers import TimerKind

MANY_LEVEL = 0.5
"""Queries that wait for many shards are hedged only while the budget is this full."""
MIN_GAP: Millis = 1.0
ENOUGH_SAMPLES = 50
GUESS_FACTOR = 6.0
ROUNDING: Millis = 1e-6


class Hedging:
    """Spends each rule's hedge budget where it shortens whole queries.

    The budget bounds what hedges add to the load. The delay before a hedge follows the budget: the
    emptier, the longer, so that there are tokens left when a straggler decides a query. Queries
    that wait for a few shards only come first: a hedge there ends the query, one for a query that
    waits for many does not.
    """

    def __init__(self, state: CoreState, dispatcher: Dispatcher) -> None:
        self._state = state
        self._dispatcher = dispatcher

    def started(self, run: QueryRun, shards: int) -> None:
        """Count a query's regular shard requests, and plan the look at a query that is late."""
        core = self._state
        budget = core.hedge_budget(run.rule, run.serve)
        budget.earn(shards)
        if run.serve.hedge > 0:
            late = core.now + core.policy.hedge_patience * self._delay(run)
            self._set(run, late)

    def _delay(self, run: QueryRun) -> Millis:
        core = self._state
        policy = core.policy
        if run.rank == 0 and run.limiter is not None and run.limiter.overloaded:
            # What waits in the servers' queues raises the latency of all. By its high quantiles a
            # copy of an urgent query's straggler would come when the query is late already.
            return run.upstream.latencies.quantile(policy.hedge_urgent_quantile)
        level = core.hedge_budget(run.rule, run.serve).level
        span = policy.hedge_last_quantile - policy.hedge_first_quantile
        delay = run.upstream.latencies.quantile(policy.hedge_last_quantile - span * level)
        # Before there are enough samples a high quantile is a guess; an entry that has just started
        # would spend its first tokens on requests that are as fast as any.
        if run.upstream.latencies.samples < ENOUGH_SAMPLES:
            return max(delay, GUESS_FACTOR * policy.first_latency_ms)
        return delay

    def look(self, run: QueryRun) -> None:
        """Plan hedges for a query that waits for a few shards only."""
        if run.serve.hedge <= 0 or run.open > run.few:
            return
        due = self._next_due(run)
        if due is not None and (run.hedge_at is None or due < run.hedge_at):
            self._set(run, due)

    def _next_due(self, run: QueryRun) -> Millis | None:
        first, again = self._delays(run)
        most = self._state.policy.hedges_per_shard
        due: Millis | None = None
        for state in run.open_shards:
            if not state.attempts or state.hedges >= most:
                continue
            newest = next(reversed(state.attempts.values()))
            at = newest.sent_at + (again if state.hedges else first)
            if due is None or at < due:
                due = at
        return due

    def _delays(self, run: QueryRun) -> tuple[Millis, Millis]:
        """Return the delay before a first hedge and the one before a further hedge.

        A shard whose hedge is late as well has made its query late already. It is rare enough that
        a third copy after a shorter time costs little.
        """
        first = self._delay(run)
        again = run.upstream.latencies.quantile(self._state.policy.hedge_again_quantile)
        return first, min(first, again)

    def _set(self, run: QueryRun, at: Millis) -> None:
        if at >= run.deadline:
            return
        run.hedge_at = at
        self._state.timers.add(at, TimerKind.HEDGE, run)

    def wake(self, run: QueryRun) -> None:
        """Hedge the shards of a query that are late, as far as the budget goes."""
        core = self._state
        # A timer that was replaced by an earlier one comes up too; it finds nothing due.
        if run.hedge_at is None or run.hedge_at > core.now or run.canary_phase:
            return
        run.hedge_at = None
        first, again = self._delays(run)
        many = run.open > run.few
        for state in run.shards:
            if state.closed or not state.attempts:
                continue
            if state.hedges >= core.policy.hedges_per_shard:
                continue
            newest = next(reversed(state.attempts.values()))
            delay = again if state.hedges else first
            if newest.sent_at + delay <= core.now + ROUNDING:
                self._hedge(run, state, many)
        self._plan_next(run)

    def _hedge(self, run: QueryRun, state: ShardState, many: bool) -> None:
        core = self._state
        budget = core.hedge_budget(run.rule, run.serve)
        # The last tokens are kept for queries that wait for a few shards only.
        if many and budget.level < MANY_LEVEL:
            return
        if not self._dispatcher.within_crash_limit(run):
            return
        typical = run.upstream.latencies.median + core.policy.path_cost_ms
        if core.now + typical >= run.deadline or not budget.spend():
            return
        if not self._dispatcher.hedge(run, state, run.shard_map.snapshot):
            budget.give_back()

    def _plan_next(self, run: QueryRun) -> None:
        due = self._next_due(run)
        if due is not None:
            self._set(run, max(due, self._state.now + MIN_GAP))
