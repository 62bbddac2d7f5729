"""The life of a request that may not be repeated: claimed, sent once, its outcome recorded.

What must never happen is that it runs twice. It shows as two robots at one door or a spot aired
twice. So nothing is sent before the claim is on a majority of disks, a second server is asked only
after the first one certainly did not run it, and whatever is not certain ends as "outcome unknown".
"""

from __future__ import annotations

from ..errors import ErrorKind, Failure, Ran
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
    Claim.IN_PROGRESS: (ErrorKind.IN_PROGRESS, "an earlier sending still runs"),
    Claim.OUTCOME_UNKNOWN: (ErrorKind.OUTCOME_UNKNOWN, "it may have run; its answer was lost"),
    Claim.ID_REUSED: (ErrorKind.REQUEST_ID_REUSED, "the id was used with another body"),
    Claim.ID_TOO_OLD: (ErrorKind.REQUEST_ID_TOO_OLD, "the id is older than the ledger keeps"),
    Claim.UNAVAILABLE: (ErrorKind.LEDGER_UNAVAILABLE, "the run ledger gave no answer"),
}
IN_PROGRESS_RETRY = 500.0
LEDGER_RETRY = 1000.0
REFUSED_RETRY = 100.0


class AtMostOnce:
    """Runs requests that may not be repeated, once they are admitted."""

    def __init__(self, state: CoreState, dispatcher: Dispatcher) -> None:
        self._state = state
        self._dispatcher = dispatcher

    def start(self, run: SingleRun) -> None:
        """Claim a request that was admitted."""
        core = self._state
        run.stage = Stage.CLAIMING
        core.timers.add(run.deadline, TimerKind.DEADLINE, run)
        request = run.request
        core.effects.append(
            ClaimRun(run.query, request.caller, request.request_id, run.fingerprint)
        )

    def decided(self, run: SingleRun, event: ClaimDecided) -> None:
        """Take the run ledger's answer."""
        if run.stage is not Stage.CLAIMING:
            return
        if event.claim is Claim.GRANTED:
            self._granted(run)
            return
        if event.claim is Claim.DONE:
            self._serve(run, self._stored(event.stored))
        else:
            kind, message = _REFUSALS[event.claim]
            retry = {Claim.IN_PROGRESS: IN_PROGRESS_RETRY, Claim.UNAVAILABLE: LEDGER_RETRY}
            if not run.caller_served:
                run.caller_served = True
                core = self._state
                core.refuse(run.query, run.rule, kind, message, retry.get(event.claim))
        if event.claim is Claim.UNAVAILABLE:
            # The claim may have been recorded after all. Nothing was sent, so it is released;
            # otherwise a resend would be told "in progress" about a request that never ran.
            self._record(run, Ran.NOT_RUN, None)
        self._end(run)

    def _stored(self, stored: bytes | None) -> Outcome | None:
        return decode_outcome(stored) if stored else None

    def _serve(self, run: SingleRun, outcome: Outcome | None) -> None:
        if run.caller_served:
            return
        run.caller_served = True
        core = self._state
        if outcome is None:
            message = "it ran, but its answer was not kept"
            core.refuse(run.query, run.rule, ErrorKind.OUTCOME_UNKNOWN, message)
            return
        core.effects.append(Finish(run.query, outcome))

    def _granted(self, run: SingleRun) -> None:
        core = self._state
        # The ledger's answer can come after the caller was told that nothing ran, or left. To run
        # it then would make that refusal untrue.
        if run.caller_served or core.now >= run.deadline:
            self._give_up(run, ErrorKind.LEDGER_UNAVAILABLE, "the claim came too late")
            return
        run.stage = Stage.WAITING
        self._plan(run)
        self._send(run)

    def _plan(self, run: SingleRun) -> None:
        """Choose the shard by the request's key over the newest map."""
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
            self._give_up(run, ErrorKind.UPSTREAM_REFUSED, "the upstream has no shards")
            return
        sent = self._dispatcher.send(run, run.shard, run.shard_map.snapshot)
        match sent:
            case SendOutcome.SENT:
                run.stage = Stage.SENT
                core.shard_requests_needed += not run.maybe_ran
            case SendOutcome.WAITS:
                run.stage = Stage.WAITING
            case SendOutcome.NO_SERVER:
                why = f"no server of shard {run.shard.plan.shard.name} took it"
                self._give_up(run, ErrorKind.UPSTREAM_REFUSED, why)

    def resume(self, run: SingleRun) -> None:
        """Send a request that waited for a server."""
        if run.stage is Stage.WAITING:
            self._send(run)

    def answered(self, run: SingleRun, state: ShardState, answer: ShardAnswer) -> None:
        """Take the attempt's answer."""
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
        self._ran(run, outcome)

    def failed(
        self, run: SingleRun, state: ShardState, fault: AttemptFault, server_id: str
    ) -> None:
        """Take an attempt that came to nothing."""
        core = self._state
        if fault is AttemptFault.LOST:
            core.crashes.record_loss(run.fingerprint, run.upstream.name, server_id, core.now)
        state.reason = fault
        if fault in NOT_RUN_FAULTS:
            self._not_run(run, fault)
            return
        if fault in (AttemptFault.FAILED, AttemptFault.REFUSED):
            message = "the upstream answered that it failed"
            if fault is AttemptFault.REFUSED:
                message = "the upstream answered that the request is at fault"
            failure = Failure(ErrorKind.UPSTREAM_FAILED, message)
            self._ran(run, Refused(failure, run.rule.name, core.revision))
            return
        self._unknown(run, f"the attempt ended as {fault}")

    def _not_run(self, run: SingleRun, fault: AttemptFault) -> None:
        """Ask another server: the last one certainly did not run it."""
        core = self._state
        if core.now >= run.deadline or run.caller_served:
            self._give_up(run, ErrorKind.UPSTREAM_REFUSED, f"the last server said {fault}")
            return
        run.stage = Stage.WAITING
        if fault is AttemptFault.VERSION_GONE:
            newest = run.upstream.shard_map
            if newest is not None and newest.snapshot > run.shard_map.snapshot:
                self._plan(run)
            else:
                core.effects.append(FetchShardMap(run.upstream.name))
        self._send(run)

    def _ran(self, run: SingleRun, outcome: Outcome) -> None:
        self._record(run, Ran.RAN, outcome)
        self._serve(run, outcome)
        self._end(run)

    def _unknown(self, run: SingleRun, why: str) -> None:
        self._record(run, Ran.UNKNOWN, None)
        if not run.caller_served:
            run.caller_served = True
            self._state.refuse(run.query, run.rule, ErrorKind.OUTCOME_UNKNOWN, why)
        self._end(run)

    def _give_up(self, run: SingleRun, kind: ErrorKind, why: str) -> None:
        """End a request that no server has run, and release its claim."""
        self._record(run, Ran.NOT_RUN, None)
        if not run.caller_served:
            run.caller_served = True
            retry = max(run.retry_after or 0.0, REFUSED_RETRY)
            self._state.refuse(run.query, run.rule, kind, why, retry)
        self._end(run)

    def _record(self, run: SingleRun, ran: Ran, outcome: Outcome | None) -> None:
        data = encode_outcome(outcome) if outcome is not None else b""
        request = run.request
        self._state.effects.append(
            RecordOutcome(run.query, request.caller, request.request_id, ran, data)
        )

    def _end(self, run: SingleRun) -> None:
        run.ended = True
        self._state.runs.pop(run.query, None)
        if run.limiter is not None:
            run.limiter.release_shards(run, run.units)

    def wake(self, run: SingleRun, kind: TimerKind) -> None:
        """Look at a request whose timer has come up."""
        core = self._state
        if kind is TimerKind.LINGER:
            self._linger_over(run)
            return
        if kind is not TimerKind.DEADLINE:
            return
        match run.stage:
            case Stage.CLAIMING:
                run.caller_served = True
                self._refuse_unclaimed(run)
            case Stage.WAITING:
                self._give_up(run, ErrorKind.UPSTREAM_REFUSED, "no server was free in time")
            case Stage.SENT:
                run.caller_served = True
                message = "no answer in time"
                core.refuse(run.query, run.rule, ErrorKind.OUTCOME_UNKNOWN, message)
            case Stage.QUEUED:
                pass
        if not run.ended:
            core.timers.add(core.now + core.policy.linger_ms, TimerKind.LINGER, run)

    def _refuse_unclaimed(self, run: SingleRun) -> None:
        kind = ErrorKind.LEDGER_UNAVAILABLE
        self._state.refuse(run.query, run.rule, kind, "no claim in time", LEDGER_RETRY)

    def _linger_over(self, run: SingleRun) -> None:
        if run.stage is not Stage.SENT:
            self._give_up(run, ErrorKind.LEDGER_UNAVAILABLE, "no claim came")
            return
        if run.shard is not None:
            for attempt in list(run.shard.attempts.values()):
                self._dispatcher.cancel(attempt)
        self._unknown(run, "no answer came")

    def caller_gone(self, run: SingleRun) -> None:
        """Note that nobody waits for the answer; what was sent runs on and is recorded."""
        run.caller_served = True
        if run.stage is Stage.WAITING:
            self._give_up(run, ErrorKind.UPSTREAM_REFUSED, "")
