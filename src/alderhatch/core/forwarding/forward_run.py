"""One forwarded request from its arrival to its outcome, as a state machine without I/O."""

from __future__ import annotations

from collections.abc import Container
from itertools import count

from ...clock import Millis
from ..entry_events import NOT_RUN_FAULTS, AttemptFault
from .decision import Decision, DecisionKind
from .effects import Cancel, Effect, Finish, Send
from .hedge_timer import HedgeTimer
from .outcome import Answered, Failed, FailureReason, NotRun, Outcome
from .route import AllShards, Route
from .run_limits import RunTimes, ShareRules, min_parts
from .run_trace import RunTrace
from .shard_state import SentAttempt, ShardState
from .target import Target
from .target_table import TargetTable

FOREVER: Millis = float("inf")
MAX_SENDS = 4
"""Requests for one shard, refused ones included; more would only add to an overload."""
LOOK_AGAIN: Millis = 25.0
"""How soon a shard without a usable server is looked at again."""
MAX_SERVER_WAIT: Millis = 200.0
"""How long a shard waits for any server that may be asked. Refusals bar a server for 100 ms unless
it says otherwise; longer than that twice over, the caller does better elsewhere."""
REFUSED_PAUSE: Millis = 30.0
"""How long a server that refused this request is left alone by it."""
DEFAULT_RETRY_AFTER: Millis = 250.0


_attempts = count(1)


class ForwardRun:
    """Decides which servers are asked, when again, and when the answer is good enough.

    A request to one server is a request with a single shard. What is sent beyond the first request
    for a shard is taken out of the upstream's budget, except after a request that never left.

    Args:
        route: How the operator wants it treated.
        upstreams: The shards, or the one upstream chosen for it.
        times: What it is bound by.
        table: The servers.
        rules: What else binds it if it is a share of a gather; such a run goes on until no part
            can come any more, and has no least coverage.
    """

    def __init__(
        self,
        route: Route,
        upstreams: tuple[str, ...],
        times: RunTimes,
        table: TargetTable,
        rules: ShareRules | None = None,
    ) -> None:
        self.route = route
        self.times = times
        self.shards = {name: ShardState(name) for name in upstreams}
        self.finished = False
        self.hedges = 0
        """Requests sent beside one that is still out."""
        self.retries = 0
        """Requests sent after one that came to nothing."""
        self.may_use_other_servers = False
        """Whether it may go to servers that hosts have not agreed on, as the first host has heard
        of it and won't ask beside it."""
        self.omitted_late_parts = False
        """Whether the answer left without parts that might still have come, as it was due."""
        self._was_due_in_time = False
        """Whether the least coverage was reached before the answer was due."""
        self._parts_in = 0
        """Shards whose part is in."""
        self._open_shards = len(self.shards)
        """Shards whose part may still come. Both are kept up with each event: counted anew each
        time, they took an eighth of the processor time of a request over 90 shards."""
        self._wake: Millis | None = None
        """When something is due next; None if it has to be worked out."""
        self._trace = RunTrace(table, times.arrived)
        self._table = table
        self._shard_of: dict[int, ShardState] = {}
        self._effects: list[Effect] = []
        destination = route.destination
        coverage = destination.min_coverage if isinstance(destination, AllShards) else 1.0
        self._rules = rules
        self._hedge_timer = HedgeTimer(route.name, table, None if rules is None else rules.due)
        self._is_repeat = rules is not None and rules.is_repeat
        self._due = times.answer_by if rules is None else rules.due
        self._least = 0 if rules is not None else min_parts(len(upstreams), coverage)

    @property
    def due(self) -> Millis:
        """When the answer should leave; of a share, that of the whole gather."""
        return self._due

    @property
    def trace(self) -> list[Decision]:
        """What was decided so far, oldest first."""
        return self._trace.decisions

    # Events

    def start(self, now: Millis) -> list[Effect]:
        """Send the first requests, or refuse what can't be served at all."""
        servable = sum(1 for name in self.shards if self._table.count_usable(name, now))
        if servable < self._least:
            self._finish(NotRun(FailureReason.NO_SERVER, DEFAULT_RETRY_AFTER))
            return self._flush()
        for shard in self.shards.values():
            if not self._is_repeat:
                self._table.count_first(shard.upstream, now)
            self._send(shard, now, DecisionKind.RETRY if self._is_repeat else DecisionKind.SEND)
        self._settle(now)
        return self._flush()

    def stop(self) -> list[Effect]:
        """Ask nobody else; what is out already may end within its grace."""
        self._finish(self._answer())
        return self._flush()

    def on_answer(self, attempt: int, answer: object, now: Millis) -> list[Effect]:
        """Take a server's answer that counts."""
        sent = self._peek(attempt)
        shard = self._take(attempt)
        if sent is not None:
            self._table.route_latencies(self.route.name).record(now - sent.at)
        if shard is not None and shard.open:
            shard.part = answer
            self._parts_in += 1
            self._open_shards -= 1
            if self._parts_in == self._least:
                self._wake = None
                self._was_due_in_time = now < self.times.answer_by
            for other in shard.out:
                self._effects.append(Cancel(other))
        if self.finished:
            return []
        self._settle(now)
        return self._flush()

    def on_fault(
        self, attempt: int, fault: AttemptFault, answer: object, now: Millis
    ) -> list[Effect]:
        """Take an attempt that came to nothing.

        Args:
            attempt: Its number.
            fault: How it failed.
            answer: The server's own word that it failed, or None.
            now: The time.
        """
        sent = self._peek(attempt)
        shard = self._take(attempt)
        self._wake = None
        if shard is None or sent is None:
            return self._flush()
        if answer is not None:
            shard.failure = answer
        self._trace.note(now, DecisionKind.FAULT, shard, sent.target, fault)
        if fault in NOT_RUN_FAULTS:
            shard.refused_by[sent.target.server_id] = now
            shard.may_have_run.discard(sent.target.server_id)
        if shard.open and not shard.out:
            self._try_again(shard, fault, now)
        self._settle(now)
        return self._flush()

    def on_timer(self, now: Millis) -> list[Effect]:
        """Do what is due by now."""
        if now >= self.times.deadline:
            self._finish(self._outcome_without_answer(FailureReason.TIMEOUT))
            return self._flush()
        self._wake = None
        for shard in self.shards.values():
            if not shard.open:
                continue
            if shard.waits_until is not None and now >= shard.waits_until:
                shard.waits_until = None
                again = DecisionKind.RETRY if shard.sends else DecisionKind.SEND
                self._send(shard, now, again)
            elif self._hedge_due(shard) <= now:
                self._hedge(shard, now)
        self._settle(now)
        return self._flush()

    @property
    def next_wake(self) -> Millis:
        """When ``on_timer`` is to be called next, at the latest.

        A part that comes in only takes things off what is due. So it is not worked out anew for
        each of them; ``on_timer`` does nothing if it is called too early.
        """
        if self._wake is None:
            self._wake = self._next_due()
        return self._wake

    def _next_due(self) -> Millis:
        due = self.times.deadline
        if self._parts_in >= self._least:
            due = min(due, self.times.answer_by)
        for shard in self.shards.values():
            if shard.open:
                due = min(due, self._hedge_due(shard), shard.waits_until or FOREVER)
        return due

    # Sending

    def _send(self, shard: ShardState, now: Millis, kind: DecisionKind, free: bool = False) -> bool:
        """Ask a server; what is neither the first request nor free is taken out of the budget."""
        target = self._choose(shard, now, kind)
        if target is None:
            self._trace.note(now, DecisionKind.NO_SERVER, shard)
            self._look_again(shard, now)
            return False
        is_extra = kind is not DecisionKind.SEND and not free
        if is_extra and not self._table.spend(shard.upstream, now):
            self._trace.note(now, DecisionKind.NO_BUDGET, shard, target)
            if not shard.out:
                # The budget fills up over seconds. The caller's own next try is a new request.
                self._give_up(shard, now, "no budget for another try")
            return False
        attempt = next(_attempts)
        self._wake = None
        shard.without_server_since = None
        self._trace.note(now, kind, shard, target)
        shard.hedge_at = None
        shard.out[attempt] = SentAttempt(target, now)
        shard.sends += 1
        shard.may_have_run.add(target.server_id)
        self._note_spent(shard, target)
        self._shard_of[attempt] = shard
        self._table.record_sent(target, attempt, now)
        self._effects.append(Send(attempt, target, shard.upstream))
        return True

    def _agreed(self, shard: ShardState) -> Container[str] | None:
        return self._rules.servers.get(shard.upstream) if self._rules is not None else None

    def _note_spent(self, shard: ShardState, target: Target) -> None:
        agreed = self._agreed(shard)
        shard.is_spent = shard.is_spent or (agreed is not None and target.server_id not in agreed)

    def _choose(self, shard: ShardState, now: Millis, kind: DecisionKind) -> Target | None:
        table = self._table
        refused = {name for name, at in shard.refused_by.items() if now - at < REFUSED_PAUSE}
        excluded = shard.may_have_run | refused
        agreed = self._agreed(shard)
        only = None if self.may_use_other_servers and not self._is_repeat else agreed
        target = None
        if len(shard.may_have_run) < self.route.max_servers:
            target = table.choose_sound(shard.upstream, excluded, now, agreed)
            if target is None and kind is DecisionKind.HEDGE:
                return table.choose_sound(shard.upstream, excluded, now, only)
            if target is None:
                target = table.choose(shard.upstream, excluded, now, only)
        if target is None and shard.may_have_run and not shard.out:
            # Nobody else can be asked, or no further server may run it. A server that has failed it
            # once may do better now.
            target = table.choose(shard.upstream, refused, now, only=shard.may_have_run)
        return target

    def _look_again(self, shard: ShardState, now: Millis) -> None:
        if shard.out:
            return
        if shard.without_server_since is None:
            shard.without_server_since = now
        if now - shard.without_server_since >= MAX_SERVER_WAIT:
            self._give_up(shard, now, "no server could be asked for too long")
            return
        shard.waits_until = now + LOOK_AGAIN
        self._wake = None

    def _try_again(self, shard: ShardState, fault: AttemptFault, now: Millis) -> None:
        not_run = fault in NOT_RUN_FAULTS
        if not not_run and not self.route.idempotent:
            self._give_up(shard, now, "it may have run, and must not run twice")
            return
        if shard.sends >= MAX_SENDS:
            self._give_up(shard, now, "it was sent often enough")
            return
        self.retries += 1
        # A request that never left cost the servers nothing; every other one did arrive.
        self._send(shard, now, DecisionKind.RETRY, free=fault is AttemptFault.NOT_SENT)

    def _give_up(self, shard: ShardState, now: Millis, why: str) -> None:
        if shard.open:
            self._open_shards -= 1
        shard.given_up = True
        self._trace.note(now, DecisionKind.GIVEN_UP, shard, None, why)

    # Hedges

    def _hedge_due(self, shard: ShardState) -> Millis:
        if not self.route.idempotent or len(shard.out) != 1:
            return FOREVER
        if len(shard.may_have_run) >= self.route.max_servers or shard.sends >= MAX_SENDS:
            return FOREVER
        if shard.hedge_at is None:
            (sent,) = shard.out.values()
            shard.hedge_at = self._hedge_timer.hedge_at(shard.upstream, sent.at)
        return shard.hedge_at

    def _hedge(self, shard: ShardState, now: Millis) -> None:
        if self._send(shard, now, DecisionKind.HEDGE):
            self.hedges += 1
            return
        # No other server, or no budget: the next look is a little later, not at once.
        shard.hedge_at = now + LOOK_AGAIN

    # The end

    def _peek(self, attempt: int) -> SentAttempt | None:
        shard = self._shard_of.get(attempt)
        return shard.out.get(attempt) if shard is not None else None

    def _take(self, attempt: int) -> ShardState | None:
        shard = self._shard_of.pop(attempt, None)
        if shard is not None:
            shard.out.pop(attempt, None)
            shard.hedge_at = None
        return shard

    def _settle(self, now: Millis) -> None:
        if self.finished:
            return
        parts = self._parts_in
        waiting = self._open_shards
        late = now >= self.times.answer_by
        if parts >= self._least and (not waiting or late):
            # One that reached its least coverage long after it was due tells nothing of how long
            # the host takes for an answer.
            self.omitted_late_parts = bool(waiting) and self._was_due_in_time
            self._finish(self._answer())
        elif parts + waiting < self._least:
            self._finish(self._outcome_without_answer(FailureReason.FAILED))

    def _answer(self) -> Answered:
        parts = {name: shard.part for name, shard in self.shards.items() if shard.part is not None}
        return Answered(parts, len(self.shards) - len(parts))

    def _outcome_without_answer(self, reason: FailureReason) -> Outcome:
        if self._parts_in >= self._least:
            return self._answer()
        ran = any(shard.may_have_run or shard.part is not None for shard in self.shards.values())
        if not ran:
            refused = any(shard.refused_by for shard in self.shards.values())
            why = FailureReason.REFUSED if refused else FailureReason.NO_SERVER
            return NotRun(why, DEFAULT_RETRY_AFTER)
        failure = next((one.failure for one in self.shards.values() if one.failure), None)
        return Failed(reason, failure)

    def _finish(self, outcome: Outcome) -> None:
        if self.finished:
            return
        self.finished = True
        for shard in self.shards.values():
            for attempt in shard.out:
                self._effects.append(Cancel(attempt))
        self._effects.append(Finish(outcome))

    def _flush(self) -> list[Effect]:
        effects = self._effects
        self._effects = []
        return effects
