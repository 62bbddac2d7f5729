"""Runs idempotent queries: sends them to every shard, gathers the answers and finishes them."""

from __future__ import annotations

from ..clock import Millis
from ..errors import ErrorKind
from .core_state import CoreState
from .crash_detector import CRASH_LIMIT
from .dispatcher import Dispatcher, SendOutcome
from .entry_events import NOT_RUN_FAULTS, AttemptFault, FetchShardMap, Finish, ShardAnswer
from .hedging import INITIAL_LATENCY_FACTOR, MIN_SAMPLES, Hedging
from .query_run import QueryRun
from .run import ShardState
from .timers import TimerKind

NO_SAME_SERVER_RETRY = frozenset(
    (AttemptFault.DRAINING, AttemptFault.VERSION_GONE, AttemptFault.REFUSED)
)
"""Faults after which a shard request is not sent to a server that was already tried."""
ERROR_RESPONSE_FAULTS = frozenset(
    (
        AttemptFault.REFUSED,
        AttemptFault.FAILED,
        AttemptFault.GARBAGE,
        AttemptFault.WRONG_ANSWER,
    )
)
"""Faults in which the server responded, with an error or with an invalid answer."""
MIN_RETRY_AFTER_MS: Millis = 100.0
CRASH_CHECK_INTERVAL_MS: Millis = 5.0
"""How often a query that lost all its canaries checks whether their servers crashed."""
CRASH_CHECK_TIMEOUT_MS: Millis = 500.0
"""How long such a query waits for the probes of those servers before it treats them as crashed."""
CRASH_SUSPECT_REASON = "not asked: the request seems to crash servers"
REPLAN_LATENCY_FACTOR = 2.0
"""A query is replanned only if this multiple of the median latency is left to its deadline."""


class FanOut:
    """Runs queries after admission."""

    def __init__(self, state: CoreState, dispatcher: Dispatcher) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._hedging = Hedging(state, dispatcher)

    def start(self, run: QueryRun) -> None:
        """Send the shard requests of an admitted query."""
        core = self._state
        core.shard_requests_needed += len(run.shards)
        core.timers.add(run.deadline, TimerKind.DEADLINE, run)
        self._send_first(run)
        self._update_progress(run)

    def _send_first(self, run: QueryRun) -> None:
        core = self._state
        canaries = min(core.policy.canaries, len(run.shards) // core.policy.canary_shards + 1)
        # A body that crashes every server that runs it would take down a replica of every shard at
        # once; many connections are then lost at the same moment. A body that no server is known to
        # have answered is therefore sent to a few shards first.
        run.canary_phase = 0 < canaries < len(run.shards) and not core.crashes.was_answered(
            run.fingerprint
        )
        if not run.canary_phase:
            self._send_all(run)
            return
        for state in self._choose_canaries(run, canaries):
            self._send(run, state)
        core.timers.add(core.now + self._canary_timeout(run), TimerKind.CANARY, run)

    def _canary_timeout(self, run: QueryRun) -> Millis:
        policy = self._state.policy
        latencies = run.upstream.latencies
        timeout = policy.canary_patience * latencies.quantile(0.95)
        if latencies.samples < MIN_SAMPLES:
            timeout = max(timeout, INITIAL_LATENCY_FACTOR * policy.first_latency_ms)
        return timeout

    def _choose_canaries(self, run: QueryRun, canaries: int) -> list[ShardState]:
        # The whole query waits for the first canary. Canaries chosen purely at random often queue,
        # and the query runs out of time before most of its shards are sent. The fastest of all
        # shards would be the same ones for every query, and their servers would be overloaded.
        core = self._state
        sample_size = min(canaries * core.policy.canary_choices, len(run.shards))
        candidates = core.rng.sample(run.shards, sample_size)
        if sample_size > canaries:
            candidates.sort(key=lambda state: self._dispatcher.expected_time(run, state))
        return candidates[:canaries]

    def _send_all(self, run: QueryRun) -> None:
        for state in run.shards:
            if not state.closed and not state.attempts and not state.waiting:
                self._send(run, state)
        self._hedging.on_sent(run, len(run.shards))
        run.upstream.retry_budget.earn(len(run.shards))

    def send_held(self, run: QueryRun) -> None:
        """End the canary phase and send the remaining shard requests."""
        run.canary_phase = False
        self._send_all(run)
        self._update_progress(run)

    def _send(self, run: QueryRun, state: ShardState) -> None:
        dispatcher = self._dispatcher
        snapshot = run.shard_map.snapshot
        sent = dispatcher.send(run, state, snapshot)
        if (
            sent is SendOutcome.NO_SERVER
            and state.failures
            and state.reason not in NO_SAME_SERVER_RETRY
        ):
            sent = dispatcher.send(run, state, snapshot, again=True)
        if sent is SendOutcome.NO_SERVER:
            if not state.tried:
                state.reason = self._no_server_reason(state)
            self._close(run, state)

    def _no_server_reason(self, state: ShardState) -> str:
        reasons = {
            reason
            for server in state.plan.replicas
            for reason in server.restrictions(self._state.now)
        }
        return "no server: " + (", ".join(sorted(reasons)) or "none holds it")

    def resume(self, run: QueryRun, state: ShardState) -> None:
        """Send a shard request that was waiting for a server."""
        self._send(run, state)
        self._update_progress(run)

    def on_answer(self, run: QueryRun, state: ShardState, answer: ShardAnswer) -> None:
        """Handle an attempt's answer."""
        core = self._state
        was_open = not state.closed
        if not run.accept(answer):
            core.wasted += 1
            return
        run.maybe_ran = True
        core.crashes.record_answer(run.fingerprint)
        for other in list(state.attempts.values()):
            self._dispatcher.cancel(other)
        if was_open and run.limiter is not None:
            run.limiter.release_shards(run, 1)
        if run.canary_phase:
            self.send_held(run)
            if run.ended:
                return
        self._update_progress(run)

    def on_failure(
        self, run: QueryRun, state: ShardState, fault: AttemptFault, server_id: str
    ) -> None:
        """Handle a failed attempt."""
        core = self._state
        if fault not in NOT_RUN_FAULTS:
            run.maybe_ran = True
        if fault in ERROR_RESPONSE_FAULTS:
            run.any_error_response = True
        if fault is AttemptFault.LOST and server_id:
            core.crashes.record_loss(run.fingerprint, run.upstream.name, server_id, core.now)
        if state.closed:
            return
        state.reason = fault
        if fault is AttemptFault.VERSION_GONE:
            self._on_version_gone(run, state)
        elif not state.attempts and not self._retry(run, state, fault):
            self._close(run, state)
        self._update_progress(run)

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
            # During the canary phase the shard stays open until the other canary has answered, or
            # until it is known whether the lost servers crashed.
            return run.canary_phase
        exempt = fault in (AttemptFault.NOT_SENT, AttemptFault.DRAINING) and untried
        if not exempt and not run.upstream.retry_budget.spend():
            return False
        self._send(run, self._next_canary(run, state, fault))
        return True

    def _next_canary(self, run: QueryRun, state: ShardState, fault: AttemptFault) -> ShardState:
        """Return the shard to send to after a failure: another shard if a canary was lost.

        The body may have crashed the server. Sent to the other replica of the same shard, it could
        take the whole shard down, and its documents would be missing from every answer until a
        restart.
        """
        if not run.canary_phase or fault is not AttemptFault.LOST:
            return state
        unasked = [other for other in run.shards if not other.tried and not other.closed]
        return self._state.rng.choice(unasked) if unasked else state

    def _has_time(self, run: QueryRun) -> bool:
        core = self._state
        needed = run.upstream.latencies.quantile(0.25) + core.policy.path_cost_ms
        return core.now + needed < run.deadline

    def _on_version_gone(self, run: QueryRun, state: ShardState) -> None:
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
        state.snapshot_gone = True
        if not run.waiting_for_map:
            run.waiting_for_map = True
            core.effects.append(FetchShardMap(run.upstream.name))
            core.timers.add(core.now + core.policy.map_wait_ms, TimerKind.MAP, run)

    def on_shard_map_change(self, run: QueryRun) -> None:
        """Replan a query that waits for a newer shard map, or close the shards that need one."""
        if run.waiting_for_map and run.replans == 0 and not self._replan(run):
            self.close_gone_shards(run)

    def close_gone_shards(self, run: QueryRun) -> None:
        """Close the shards whose pinned snapshot no replica holds any more."""
        for state in run.shards:
            if state.snapshot_gone:
                self._close(run, state)
        self._update_progress(run)

    def _replan(self, run: QueryRun) -> bool:
        core = self._state
        newest = run.upstream.shard_map
        if newest is None or newest.snapshot <= run.shard_map.snapshot:
            return False
        needed = REPLAN_LATENCY_FACTOR * run.upstream.latencies.median
        if core.now + needed + core.policy.path_cost_ms >= run.deadline:
            return False
        self._cancel_all(run)
        limiter = run.limiter
        if limiter is not None:
            limiter.release_shards(run, run.units)
        run.pin(newest)
        run.replans += 1
        run.waiting_for_map = False
        run.early_finish_at = None
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

    def _update_progress(self, run: QueryRun) -> None:
        if run.ended:
            return
        if run.open == 0:
            self._finish(run)
            return
        if run.canary_phase and not run.attempts_out and not self._any_waiting(run):
            # The servers are being probed. It shows a little later whether they crashed, or whether
            # many servers were lost at the same moment.
            run.crash_check_until = (
                run.crash_check_until or self._state.now + CRASH_CHECK_TIMEOUT_MS
            )
            self._state.timers.add(self._state.now + CRASH_CHECK_INTERVAL_MS, TimerKind.CANARY, run)
            return
        if run.early_finish_at is None and run.coverage >= run.serve.coverage:
            run.early_finish_at = self._state.now + run.serve.straggler_ms
            if run.serve.straggler_ms <= 0.0:
                self._finish(run)
                return
            self._state.timers.add(run.early_finish_at, TimerKind.EARLY_FINISH, run)
        if not run.canary_phase:
            self._hedging.schedule(run)

    def _canary_wait_until(self, run: QueryRun) -> Millis:
        """Return until when to hold the other shards although the canary timeout is over, or 0.

        Under overload the pacer may hold back the canaries themselves. If the other shards were
        sent meanwhile, a body that crashes servers would reach a server of every shard before the
        first canary showed it.
        """
        timeout = self._canary_timeout(run)
        sent = [a.sent_at for state in run.shards for a in state.attempts.values()]
        room = self._dispatcher.pacer.may_send
        if not sent and any(state.waiting and not room(run, state) for state in run.shards):
            run.canaries_delayed = True
            return self._state.now + timeout
        return min(sent) + timeout if run.canaries_delayed and sent else 0.0

    def _any_waiting(self, run: QueryRun) -> bool:
        return any(state.waiting for state in run.shards)

    def _finish_canary_phase(self, run: QueryRun) -> None:
        """Send the other shards without a canary's answer, or end a query that crashes servers."""
        if not self._is_crash_suspect(run):
            self.send_held(run)
            return
        for state in run.shards:
            if not state.closed:
                state.reason = CRASH_SUSPECT_REASON
                self._close(run, state)
        self._finish(run)

    def _on_canary_timer(self, run: QueryRun) -> None:
        if not run.canary_phase:
            return
        wait_until = self._canary_wait_until(run)
        if wait_until > self._state.now:
            self._state.timers.add(wait_until, TimerKind.CANARY, run)
            return
        # After one loss the body is a suspect, and the other canary has no timeout.
        core = self._state
        if run.attempts_out and core.crashes.recent_losses(run.fingerprint, core.now):
            return
        confirmed = core.crashes.is_confirmed(run.fingerprint)
        if self._is_crash_suspect(run) and not confirmed and core.now < run.crash_check_until:
            core.timers.add(core.now + CRASH_CHECK_INTERVAL_MS, TimerKind.CANARY, run)
            return
        self._finish_canary_phase(run)

    def on_timer(self, run: QueryRun, kind: TimerKind) -> None:
        """Handle a timer of a query."""
        match kind:
            case TimerKind.DEADLINE | TimerKind.EARLY_FINISH:
                self._finish(run)
            case TimerKind.HEDGE:
                self._hedging.on_timer(run)
            case TimerKind.CANARY:
                self._on_canary_timer(run)
            case TimerKind.MAP:
                if run.waiting_for_map:
                    self.close_gone_shards(run)
            case _:
                pass

    def end(self, run: QueryRun) -> None:
        """End a query and cancel its attempts in flight."""
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
        no_documents = run.covered_documents == 0 and run.shard_map.documents > 0
        run.upstream.query_latencies.record(core.now - run.admitted_at)
        if not no_documents and run.coverage >= run.serve.min_coverage:
            core.effects.append(Finish(run.query, run.outcome(core.revision)))
            return
        self._refuse(run)

    def _refuse(self, run: QueryRun) -> None:
        core = self._state
        retry_after = max(run.retry_after or 0.0, MIN_RETRY_AFTER_MS)
        reasons = sorted({state.reason for state in run.shards if state.rows is None})
        message = f"covered {run.coverage:.4f}: {'; '.join(reasons)}"
        if not run.maybe_ran:
            kind = ErrorKind.UPSTREAM_REFUSED
        elif run.covered_documents == 0 and (run.any_error_response or self._is_crash_suspect(run)):
            # After crashes the retry-after time lasts until this entry accepts the body again. By
            # then every other entry has either received the quarantine or lost its lease; an entry
            # with neither would lose servers to the body.
            block_time = core.crashes.block_time_left(run.fingerprint, core.now)
            core.refuse(run.query, run.rule, ErrorKind.UPSTREAM_FAILED, message, block_time)
            return
        else:
            kind = ErrorKind.COVERAGE_TOO_LOW
        core.refuse(run.query, run.rule, kind, message, retry_after)

    def _is_crash_suspect(self, run: QueryRun) -> bool:
        core = self._state
        return core.crashes.recent_losses(run.fingerprint, core.now) >= CRASH_LIMIT
