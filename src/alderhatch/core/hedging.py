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
        delay = self._delay(run)
        due = min(
            (
                attempt.sent_at + delay
                for state in run.shards
                if not state.closed and state.hedges < self._state.policy.hedges_per_shard
                for attempt in list(state.attempts.values())[-1:]
            ),
            default=None,
        )
        if due is not None and (run.hedge_at is None or due < run.hedge_at):
            self._set(run, due)

    def _set(self, run: QueryRun, at: Millis) -> None:
        if at >= run.deadline:
            return
        run.hedge_at = at
        self._state.timers.add(at, TimerKind.HEDGE, run)

    def wake(self, run: QueryRun) -> None:
        """Hedge the shards of a query that are late, as far as the budget goes."""
        core = self._state
        # A timer that was replaced by an earlier one comes up too; it finds nothing due.
        if run.hedge_at is None or run.hedge_at > core.now or run.canary:
            return
        run.hedge_at = None
        delay = self._delay(run)
        late = core.now - delay
        many = run.open > run.few
        for state in run.shards:
            if state.closed or not state.attempts:
                continue
            if state.hedges >= core.policy.hedges_per_shard:
                continue
            newest = next(reversed(state.attempts.values()))
            if newest.sent_at <= late + 1e-6:
                self._hedge(run, state, many)
        self._again(run, delay)

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

    def _again(self, run: QueryRun, delay: Millis) -> None:
        core = self._state
        if run.open:
            self._set(run, core.now + max(MIN_GAP, delay / 2))
