"""The life of a query that may be repeated: sent to every shard, gathered, answered."""

from __future__ import annotations

from ..clock import Millis
from ..errors import ErrorKind
from .core_state import CoreState
from .crash_detector import CRASH_LIMIT
from .dispatcher import Dispatcher, SendOutcome
from .entry_events import NOT_RUN_FAULTS, AttemptFault, FetchShardMap, Finish, ShardAnswer
from .hedging import ENOUGH_SAMPLES, GUESS_FACTOR, Hedging
from .query_run import QueryRun
from .run import ShardState
from .timers import TimerKind

FINAL_FAULTS = frozenset((AttemptFault.DRAINING, AttemptFault.VERSION_GONE, AttemptFault.REFUSED))
"""Faults after which the same server is not asked for the shard again."""
RAN_FAULTS = frozenset(
    (
        AttemptFault.REFUSED,
        AttemptFault.FAILED,
        AttemptFault.GARBAGE,
        AttemptFault.WRONG_ANSWER,
    )
)
MIN_RETRY_AFTER: Millis = 100.0
VERDICT_MS: Millis = 5.0
"""How often a query whose canaries were all lost looks whether their servers crashed."""
VERDICT_WITHIN: Millis = 500.0
"""How long it waits for the probes of those servers before it counts them as crashed."""
CRASHES = "not asked: the request seems to crash servers"
REPLAN_LATENCIES = 2.0
"""A replan needs this many times the median latency before the deadline."""


class FanOut:
    """Runs queries once they are admitted."""

    def __init__(self, state: CoreState, dispatcher: Dispatcher) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._hedging = Hedging(state, dispatcher)

    def start(self, run: QueryRun) -> None:
        """Send the shard requests of a query that was admitted."""
        core = self._state
        core.shard_requests_needed += len(run.shards)
        core.timers.add(run.deadline, TimerKind.DEADLINE, run)
        self._send_first(run)
        self._settle(run)

    def _send_first(self, run: QueryRun) -> None:
        core = self._state
        canaries = min(core.policy.canaries, len(run.shards) // core.policy.canary_shards + 1)
        # A body that crashes each server which runs it would take a replica of every shard with it
        # at once. It is seen as many connections lost in the same moment. So a body that no server
        # is known to have survived goes to a few shards first.
        run.canary_phase = 0 < canaries < len(run.shards) and not core.crashes.was_answered(
            run.fingerprint
        )
        if not run.canary_phase:
            self._send_all(run)
            return
        for state in self._choose_canaries(run, canaries):
            self._send(run, state)
        core.timers.add(core.now + self._canary_patience(run), TimerKind.CANARY, run)

    def _canary_patience(self, run: QueryRun) -> Millis:
        policy = self._state.policy
        latencies = run.upstream.latencies
        patience = policy.canary_patience * latencies.quantile(0.95)
        if latencies.samples < ENOUGH_SAMPLES:
            patience = max(patience, GUESS_FACTOR * policy.first_latency_ms)
        return patience

    def _choose_canaries(self, run: QueryRun, canaries: int) -> list[ShardState]:
        # The whole query waits for the first of them. Drawn by chance alone they often queue, seen
        # as queries that have lost their time before most of their shards were asked. The best of
        # all shards would be the same ones for every query, and their servers would fill up.
        core = self._state
        drawn = min(canaries * core.policy.canary_choices, len(run.shards))
        states = core.rng.sample(run.shards, drawn)
        if drawn > canaries:
            states.sort(key=lambda state: self._dispatcher.expected_time(run, state))
        return states[:canaries]

    def _send_all(self, run: QueryRun) -> None:
        for state in run.shards:
            if not state.closed and not state.attempts and not state.waiting:
                self._send(run, state)
        self._hedging.started(run, len(run.shards))
        run.upstream.retry_budget.earn(len(run.shards))

    def release(self, run: QueryRun) -> None:
        """Send what was held back behind the canaries."""
        run.canary_phase = False
        self._send_all(run)
        self._settle(run)

    def _send(self, run: QueryRun, state: ShardState) -> None:
        dispatcher = self._dispatcher
        snapshot = run.shard_map.snapshot
        sent = dispatcher.send(run, state, snapshot)
        if sent is SendOutcome.NO_SERVER and state.failures and state.reason not in FINAL_FAULTS:
            sent = dispatcher.send(run, state, snapshot, again=True)
        if sent is SendOutcome.NO_SERVER:
            if not state.tried:
                state.reason = self._why_no_server(state)
            self._close(run, state)

    def _why_no_server(self, state: ShardState) -> str:
        reasons = {
            reason
            for server in state.plan.replicas
            for reason in server.restrictions(self._state.now)
        }
        return "no server: " + (", ".join(sorted(reasons)) or "none holds it")

    def resume(self, run: QueryRun, state: ShardState) -> None:
        """Send a shard request that waited for a server."""
        self._send(run, state)
        self._settle(run)

    def on_answer(self, run: QueryRun, state: ShardState, answer: ShardAnswer) -> None:
        """Take an attempt's answer."""
        core = self._state
        was_open = not state.closed
        if not run.take(answer):
            core.wasted += 1
            return
        run.maybe_ran = True
        core.crashes.record_answer(run.fingerprint)
        for other in list(state.attempts.values()):
            self._dispatcher.cancel(other)
        if was_open and run.limiter is not None:
            run.limiter.release_shards(run, 1)
        if run.canary_phase:
            self.release(run)
            if run.ended:
                return
        self._settle(run)

    def on_failure(
        self, run: QueryRun, state: ShardState, fault: AttemptFault, server_id: str
    ) -> None:
        """Take an attempt that came to nothing."""
        core = self._state
        if fault not in NOT_RUN_FAULTS:
            run.maybe_ran = True
        if fault in RAN_FAULTS:
            run.any_failed = True
        if fault is AttemptFault.LOST and server_id:
            core.crashes.record_loss(run.fingerprint, run.upstream.name, server_id, core.now)
        if state.closed:
            return
        state.reason = fault
        if fault is AttemptFault.VERSION_GONE:
            self._version_gone(run, state)
        elif not state.attempts and not self._retry(run, state, fault):
            self._close(run, state)
        self._settle(run)

    def _retry(self, run: QueryRun, state: ShardState, fault: AttemptFault) -> bool:
        if fault is AttemptFault.REFUSED:
            return False
        untried = any(s.server_id not in state.tried for s in state.plan.replicas)
        if fault not in NOT_RUN_FAULTS or not untried:
            state.failures += 1
            if state.failures > run.serve.retries:
                return False
        if not self._has_time(run):
            return False
        if not self._dispatcher.within_crash_limit(run):
            # The shard stays open until the other canary has answered, or until it is known
            # whether the lost servers crashed.
            return run.canary_phase
        free = fault in (AttemptFault.NOT_SENT, AttemptFault.DRAINING) and untried
        if not free and not run.upstream.retry_budget.spend():
            return False
        self._send(run, self._next_canary(run, state, fault))
        return True

    def _next_canary(self, run: QueryRun, state: ShardState, fault: AttemptFault) -> ShardState:
        """Return the shard to ask after a failure: another one after a loss among the canaries.

        The body may have crashed the server. Sent to the other replica of the same shard, it could
        take the whole shard out, seen as coverage missing from every answer until a restart.
        """
        if not run.canary_phase or fault is not AttemptFault.LOST:
            return state
        unasked = [other for other in run.shards if not other.tried and not other.closed]
        return self._state.rng.choice(unasked) if unasked else state

    def _has_time(self, run: QueryRun) -> bool:
        core = self._state
        needed = run.upstream.latencies.quantile(0.25) + core.policy.path_cost_ms
        return core.now + needed < run.deadline

    def _version_gone(self, run: QueryRun, state: ShardState) -> None:
        core = self._state
        if run.replans == 0 and run.coverage < run.serve.coverage and self._replan(run):
            return
        if state.attempts:
            return
        if any(server.server_id not in state.tried for server in state.plan.replicas):
            self._send(run, state)
            return
        if run.replans:
            self._close(run, state)
            return
        state.gone = True
        if not run.waits_for_map:
            run.waits_for_map = True
            core.effects.append(FetchShardMap(run.upstream.name))
            core.timers.add(core.now + core.policy.map_wait_ms, TimerKind.MAP, run)

    def on_shard_map_change(self, run: QueryRun) -> None:
        """Plan a query anew if it waits for a newer shard map."""
        if run.waits_for_map and run.replans == 0 and not self._replan(run):
            self.map_late(run)

    def map_late(self, run: QueryRun) -> None:
        """Give up the shards whose snapshot is gone."""
        for state in run.shards:
            if state.gone:
                self._close(run, state)
        self._settle(run)

    def _replan(self, run: QueryRun) -> bool:
        core = self._state
        newest = run.upstream.shard_map
        if newest is None or newest.snapshot <= run.shard_map.snapshot:
            return False
        needed = REPLAN_LATENCIES * run.upstream.latencies.median
        if core.now + needed + core.policy.path_cost_ms >= run.deadline:
            return False
        self._cancel_all(run)
        limiter = run.limiter
        if limiter is not None:
            limiter.release_shards(run, run.units)
        run.pin(newest)
        run.replans += 1
        run.waits_for_map = False
        run.early_finish = None
        if limiter is not None:
            limiter.admit(run, run.open, core.now)
        core.shard_requests_needed += len(run.shards)
        self._send_all(run)
        return True

    def _close(self, run: QueryRun, state: ShardState) -> None:
        if state.closed:
            return
        run.close(state)
        state.waiting = False
        if run.limiter is not None:
            run.limiter.release_shards(run, 1)

    def _settle(self, run: QueryRun) -> None:
        if run.ended:
            return
        if run.open == 0:
            self._finish(run)
            return
        if run.canary_phase and not run.attempts_out and not self._any_waiting(run):
            # Whether the servers crashed, or many were lost at the same moment, shows a little
            # later: they are being probed.
            run.verdict_by = run.verdict_by or self._state.now + VERDICT_WITHIN
            self._state.timers.add(self._state.now + VERDICT_MS, TimerKind.CANARY, run)
            return
        if run.early_finish is None and run.coverage >= run.serve.coverage:
            run.early_finish = self._state.now + run.serve.straggler_ms
            if run.serve.straggler_ms <= 0.0:
                self._finish(run)
                return
            self._state.timers.add(run.early_finish, TimerKind.EARLY_FINISH, run)
        if not run.canary_phase:
            self._hedging.look(run)

    def _held_until(self, run: QueryRun) -> Millis:
        """Return until when the rest is to wait, though the patience with the canaries is over.

        Under overload canaries may be held back themselves. Let go meanwhile, the rest would run
        on a server of each shard before the first of them showed that the body crashes servers.
        """
        patience = self._canary_patience(run)
        sent = [a.sent_at for state in run.shards for a in state.attempts.values()]
        room = self._dispatcher.pacer.may_send
        if not sent and any(state.waiting and not room(run, state) for state in run.shards):
            run.canary_held = True
            return self._state.now + patience
        return min(sent) + patience if run.canary_held and sent else 0.0

    def _any_waiting(self, run: QueryRun) -> bool:
        return any(state.waiting for state in run.shards)

    def _end_canaries(self, run: QueryRun) -> None:
        """Go on without an answer of a canary, or give up a body that seems to crash servers."""
        if not self._crashes(run):
            self.release(run)
            return
        for state in run.shards:
            if not state.closed:
                state.reason = CRASHES
                self._close(run, state)
        self._finish(run)

    def _canaries_late(self, run: QueryRun) -> None:
        if not run.canary_phase:
            return
        again = self._held_until(run)
        if again > self._state.now:
            self._state.timers.add(again, TimerKind.CANARY, run)
            return
        # After one loss the body is a suspect; patience with the other canary has no end then.
        core = self._state
        if run.attempts_out and core.crashes.recent_losses(run.fingerprint, core.now):
            return
        confirmed = core.crashes.is_confirmed(run.fingerprint)
        if self._crashes(run) and not confirmed and core.now < run.verdict_by:
            core.timers.add(core.now + VERDICT_MS, TimerKind.CANARY, run)
            return
        self._end_canaries(run)

    def on_timer(self, run: QueryRun, kind: TimerKind) -> None:
        """Look at a query whose timer has come up."""
        match kind:
            case TimerKind.DEADLINE | TimerKind.EARLY_FINISH:
                self._finish(run)
            case TimerKind.HEDGE:
                self._hedging.wake(run)
            case TimerKind.CANARY:
                self._canaries_late(run)
            case TimerKind.MAP:
                if run.waits_for_map:
                    self.map_late(run)
            case _:
                pass

    def end(self, run: QueryRun) -> None:
        """End a query and cancel whatever of it is still out."""
        run.ended = True
        self._state.runs.pop(run.query, None)
        self._cancel_all(run)
        if run.limiter is not None:
            run.limiter.release_shards(run, run.units)

    def _cancel_all(self, run: QueryRun) -> None:
        for state in run.shards:
            if state.attempts:
                run.maybe_ran = True
                for attempt in list(state.attempts.values()):
                    self._dispatcher.cancel(attempt)

    def _finish(self, run: QueryRun) -> None:
        if run.ended:
            return
        self.end(run)
        core = self._state
        nothing = run.covered_documents == 0 and run.shard_map.documents > 0
        run.upstream.query_latencies.record(core.now - run.admitted_at)
        if not nothing and run.coverage >= run.serve.min_coverage:
            core.effects.append(Finish(run.query, run.outcome(core.revision)))
            return
        self._refuse(run)

    def _refuse(self, run: QueryRun) -> None:
        core = self._state
        retry_after = max(run.retry_after or 0.0, MIN_RETRY_AFTER)
        reasons = sorted({state.reason for state in run.shards if state.rows is None})
        why = f"covered {run.coverage:.4f}: {'; '.join(reasons)}"
        if not run.maybe_ran:
            kind = ErrorKind.UPSTREAM_REFUSED
        elif run.covered_documents == 0 and (run.any_failed or self._crashes(run)):
            # After crashes it comes back no sooner than this entry would take it. By then every
            # entry has the quarantine, or no lease; one that had not would lose servers to it.
            held = core.crashes.block_time_left(run.fingerprint, core.now)
            core.refuse(run.query, run.rule, ErrorKind.UPSTREAM_FAILED, why, held)
            return
        else:
            kind = ErrorKind.COVERAGE_TOO_LOW
        core.refuse(run.query, run.rule, kind, why, retry_after)

    def _crashes(self, run: QueryRun) -> bool:
        core = self._state
        return core.crashes.recent_losses(run.fingerprint, core.now) >= CRASH_LIMIT
