"""Execution of non-idempotent requests: claimed, sent once, outcome recorded.

Such a request must never run twice; that would send two robots to one door or broadcast an
advertisement twice. The entry first claims the request in the run ledger, and sends it to a server
only once the claim is stored on a majority of disks. It sends it to a second server only if the
first certainly did not run it. Every uncertain result ends as "outcome unknown".
"""

from __future__ import annotations

from ..errors import ErrorKind, Failure, RunStatus
from .core_state import CoreState
from .dispatcher import Dispatcher, SendOutcome
from .entry_events import (
    NOT_RUN_FAULTS,
    Answered,
    AttemptFault,
    Claim,
    ClaimDecided,
    ClaimRun,
    FetchShardMap,
    Finish,
    MissingShard,
    Outcome,
    RecordOutcome,
    Refused,
    ShardAnswer,
)
from .outcome_codec import decode_outcome, encode_outcome
from .owners import rendezvous
from .run import ShardState
from .single_run import SingleRun, Stage
from .timers import TimerKind

NOT_ADDRESSED = "not addressed: the key belongs to another shard"

_REFUSALS = {
    Claim.IN_PROGRESS: (
        ErrorKind.IN_PROGRESS,
        "an earlier request with this request id is still running",
    ),
    Claim.OUTCOME_UNKNOWN: (
        ErrorKind.OUTCOME_UNKNOWN,
        "the request may have run, but its answer was lost",
    ),
    Claim.ID_REUSED: (
        ErrorKind.REQUEST_ID_REUSED,
        "the request id was already used with another body",
    ),
    Claim.ID_TOO_OLD: (
        ErrorKind.REQUEST_ID_TOO_OLD,
        "the request id is older than the run ledger's retention",
    ),
    Claim.UNAVAILABLE: (ErrorKind.LEDGER_UNAVAILABLE, "the run ledger did not answer"),
}
IN_PROGRESS_RETRY_MS = 500.0
LEDGER_RETRY_MS = 1000.0
MIN_REFUSED_RETRY_MS = 100.0


class AtMostOnce:
    """Runs admitted non-idempotent requests."""

    def __init__(self, state: CoreState, dispatcher: Dispatcher) -> None:
        self._state = state
        self._dispatcher = dispatcher

    def start(self, run: SingleRun) -> None:
        """Claim an admitted request in the run ledger."""
        core = self._state
        run.stage = Stage.CLAIMING
        core.timers.add(run.deadline, TimerKind.DEADLINE, run)
        request = run.request
        core.effects.append(
            ClaimRun(run.query, request.caller, request.request_id, run.fingerprint)
        )

    def on_claim_decided(self, run: SingleRun, event: ClaimDecided) -> None:
        """Handle the run ledger's answer to the claim: send the request, or answer the caller."""
        if run.stage is not Stage.CLAIMING:
            return
        if event.claim is Claim.GRANTED:
            self._on_granted(run)
            return
        if event.claim is Claim.DONE:
            self._answer_caller(run, self._decode_stored(event.stored))
        else:
            kind, message = _REFUSALS[event.claim]
            retry_delays = {
                Claim.IN_PROGRESS: IN_PROGRESS_RETRY_MS,
                Claim.UNAVAILABLE: LEDGER_RETRY_MS,
            }
            if not run.caller_served:
                run.caller_served = True
                core = self._state
                core.refuse(run.query, run.rule, kind, message, retry_delays.get(event.claim))
        if event.claim is Claim.UNAVAILABLE:
            # The claim may still have been recorded. Nothing was sent, so it is released;
            # otherwise a resend would get "in progress" for a request that never ran.
            self._record_outcome(run, RunStatus.NOT_RUN, None)
        self._end(run)

    def _decode_stored(self, stored: bytes | None) -> Outcome | None:
        return decode_outcome(stored) if stored else None

    def _answer_caller(self, run: SingleRun, outcome: Outcome | None) -> None:
        """Return an outcome to the caller; None if it was not stored or can't be decoded."""
        if run.caller_served:
            return
        run.caller_served = True
        core = self._state
        if outcome is None:
            message = "the request ran, but its answer was not stored"
            core.refuse(run.query, run.rule, ErrorKind.OUTCOME_UNKNOWN, message)
            return
        core.effects.append(Finish(run.query, outcome))

    def _on_granted(self, run: SingleRun) -> None:
        core = self._state
        # The ledger can answer after the caller has disconnected or has received a refusal that
        # says that the request did not run. Running it then would contradict that refusal.
        if run.caller_served or core.now >= run.deadline:
            self._end_not_run(run, ErrorKind.LEDGER_UNAVAILABLE, "the claim was granted too late")
            return
        run.stage = Stage.WAITING
        self._choose_shard(run)
        self._send(run)

    def _choose_shard(self, run: SingleRun) -> None:
        """Choose the shard by the request's key from the newest shard map."""
        newest = run.upstream.shard_map
        assert newest is not None
        run.shard_map = newest
        key = run.request.key or run.request.request_id
        names = [plan.shard.name for plan in run.upstream.plans]
        chosen = rendezvous(key, names)[0] if names else ""
        plans = {plan.shard.name: plan for plan in run.upstream.plans}
        run.shard = ShardState(plans[chosen]) if chosen else None

    def _send(self, run: SingleRun) -> None:
        core = self._state
        if run.shard is None:
            self._end_not_run(run, ErrorKind.UPSTREAM_REFUSED, "the upstream has no shards")
            return
        sent = self._dispatcher.send(run, run.shard, run.shard_map.snapshot)
        match sent:
            case SendOutcome.SENT:
                run.stage = Stage.SENT
                core.shard_requests_needed += not run.maybe_ran
            case SendOutcome.WAITS:
                run.stage = Stage.WAITING
            case SendOutcome.NO_SERVER:
                why = f"no server of shard {run.shard.plan.shard.name} accepted the request"
                self._end_not_run(run, ErrorKind.UPSTREAM_REFUSED, why)

    def resume(self, run: SingleRun) -> None:
        """Send a request that waits for a server; called when one may be usable."""
        if run.stage is Stage.WAITING:
            self._send(run)

    def on_attempt_answer(self, run: SingleRun, state: ShardState, answer: ShardAnswer) -> None:
        """Handle the attempt's answer: record it and return it to the caller."""
        core = self._state
        name = state.plan.shard.name
        core.crashes.record_answer(run.fingerprint)
        documents = run.shard_map.documents
        missing = tuple(
            MissingShard(shard.name, NOT_ADDRESSED)
            for shard in run.shard_map.shards
            if shard.name != name
        )
        outcome = Answered(
            answer.snapshot,
            state.plan.shard.documents / documents if documents else 1.0,
            missing,
            answer.rows,
            run.rule.name,
            core.revision,
        )
        self._end_ran(run, outcome)

    def on_attempt_failure(
        self, run: SingleRun, state: ShardState, fault: AttemptFault, server_id: str
    ) -> None:
        """Handle a failed attempt: retry it, or record its outcome."""
        core = self._state
        if fault is AttemptFault.LOST:
            core.crashes.record_loss(run.fingerprint, run.upstream.name, server_id, core.now)
        state.reason = fault
        if fault in NOT_RUN_FAULTS:
            self._retry_not_run(run, fault)
            return
        if fault in (AttemptFault.FAILED, AttemptFault.REFUSED):
            message = "the upstream ran the request and reported a failure"
            if fault is AttemptFault.REFUSED:
                message = "the upstream rejected the request as invalid"
            failure = Failure(ErrorKind.UPSTREAM_FAILED, message)
            self._end_ran(run, Refused(failure, run.rule.name, core.revision))
            return
        self._end_unknown(run, f"the attempt ended with fault {fault}")

    def _retry_not_run(self, run: SingleRun, fault: AttemptFault) -> None:
        """Send the request to another server; the last one certainly did not run it."""
        core = self._state
        if core.now >= run.deadline or run.caller_served:
            self._end_not_run(
                run, ErrorKind.UPSTREAM_REFUSED, f"the last server did not run the request: {fault}"
            )
            return
        run.stage = Stage.WAITING
        if fault is AttemptFault.VERSION_GONE:
            newest = run.upstream.shard_map
            if newest is not None and newest.snapshot > run.shard_map.snapshot:
                self._choose_shard(run)
            else:
                core.effects.append(FetchShardMap(run.upstream.name))
        self._send(run)

    def _end_ran(self, run: SingleRun, outcome: Outcome) -> None:
        self._record_outcome(run, RunStatus.RAN, outcome)
        self._answer_caller(run, outcome)
        self._end(run)

    def _end_unknown(self, run: SingleRun, why: str) -> None:
        self._record_outcome(run, RunStatus.UNKNOWN, None)
        if not run.caller_served:
            run.caller_served = True
            self._state.refuse(run.query, run.rule, ErrorKind.OUTCOME_UNKNOWN, why)
        self._end(run)

    def _end_not_run(self, run: SingleRun, kind: ErrorKind, why: str) -> None:
        """End a request that no server has run, and release its claim."""
        self._record_outcome(run, RunStatus.NOT_RUN, None)
        if not run.caller_served:
            run.caller_served = True
            retry_delay = max(run.retry_after or 0.0, MIN_REFUSED_RETRY_MS)
            self._state.refuse(run.query, run.rule, kind, why, retry_delay)
        self._end(run)

    def _record_outcome(self, run: SingleRun, ran: RunStatus, outcome: Outcome | None) -> None:
        data = encode_outcome(outcome) if outcome is not None else b""
        request = run.request
        self._state.effects.append(
            RecordOutcome(run.query, request.caller, request.request_id, ran, data)
        )

    def _end(self, run: SingleRun) -> None:
        """Remove the request and release its admitted shards."""
        run.ended = True
        self._state.runs.pop(run.query, None)
        if run.limiter is not None:
            run.limiter.release_shards(run, run.units)

    def on_timer_expired(self, run: SingleRun, kind: TimerKind) -> None:
        """Handle an expired timer of a request."""
        if kind is TimerKind.LINGER:
            self._outcome_timed_out(run)
            return
        if kind is TimerKind.DEADLINE:
            self._answer_early(run, "the deadline")

    def on_stop_expired(self, run: SingleRun) -> None:
        """Answer a request that is still running when the entry's stop ends."""
        if not run.caller_served:
            self._answer_early(run, "the end of this entry")

    def _answer_early(self, run: SingleRun, limit: str) -> None:
        """Answer a request that has no outcome yet with what is known of it."""
        core = self._state
        match run.stage:
            case Stage.CLAIMING:
                run.caller_served = True
                self._refuse_without_claim(run, limit)
            case Stage.WAITING:
                why = f"no server was available before {limit}"
                self._end_not_run(run, ErrorKind.UPSTREAM_REFUSED, why)
            case Stage.SENT:
                run.caller_served = True
                message = f"no answer before {limit}"
                core.refuse(run.query, run.rule, ErrorKind.OUTCOME_UNKNOWN, message)
            case Stage.QUEUED:
                pass
        if not run.ended:
            # The ledger or the server may still answer. Its answer is awaited for the linger time,
            # in order to record the outcome.
            core.timers.add(core.now + core.policy.linger_ms, TimerKind.LINGER, run)

    def _refuse_without_claim(self, run: SingleRun, limit: str) -> None:
        kind = ErrorKind.LEDGER_UNAVAILABLE
        self._state.refuse(
            run.query,
            run.rule,
            kind,
            f"the run ledger did not grant the claim before {limit}",
            LEDGER_RETRY_MS,
        )

    def _outcome_timed_out(self, run: SingleRun) -> None:
        """End a request that has no outcome when the linger time after its deadline has passed."""
        if run.stage is not Stage.SENT:
            self._end_not_run(
                run, ErrorKind.LEDGER_UNAVAILABLE, "the run ledger did not answer the claim"
            )
            return
        if run.shard is not None:
            for attempt in list(run.shard.attempts.values()):
                self._dispatcher.cancel(attempt)
        self._end_unknown(run, "the server did not answer the attempt")

    def on_caller_gone(self, run: SingleRun) -> None:
        """Handle the caller's disconnect; a sent attempt continues and its outcome is recorded."""
        run.caller_served = True
        if run.stage is Stage.WAITING:
            self._end_not_run(run, ErrorKind.UPSTREAM_REFUSED, "")
