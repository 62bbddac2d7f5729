"""One forwarded request from its arrival to its outcome, as a state machine without I/O."""

from __future__ import annotations

from collections.abc import Container
from itertools import count

from ...clock import Millis
from ..entry_events import NOT_RUN_FAULTS, AttemptFault
from .crash_evidence import Suspicion
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
SERVER_RECHECK_INTERVAL: Millis = 25.0
"""How soon a shard without a usable server looks for one again."""
MAX_SERVER_WAIT: Millis = 200.0
"""How long a shard waits for any usable server. A refusal blocks a server for 100 ms unless it says
otherwise; after twice that time a retry by the caller is more likely to succeed."""
REFUSED_SERVER_DELAY: Millis = 30.0
"""How long this request avoids a server that refused it."""
MIN_SHARDS_FOR_ANSWER = 8
"""A gather over so many shards is not hedged before its first part: what delays all servers alike
is not the fault of one. If the request crashes its servers, hedges would take the others, too."""
TRIAL_TIMEOUT: Millis = 300.0
"""How long a trial may take before another server is tried; servers pause for less."""
MAX_TRIALS = 3
"""Limit of the trials of one request whose servers don't respond."""
DEFAULT_RETRY_AFTER: Millis = 250.0


_attempts = count(1)


class ForwardRun:
    """Decides which servers get the request, when to retry, and when the answer is good enough.

    A request to one server is treated as a request with a single shard. Requests after the first
    one for a shard are charged to the upstream's retry budget, except after a request that was
    never sent.

    Args:
        route: The operator's settings for the request.
        upstreams: The shards, or the one upstream chosen for it.
        times: Its deadlines.
        table: The servers.
        rules: Further rules if the run queries a share of a gather; such a run continues until no
            more parts can arrive, and has no minimum coverage.
        suspicion: Why the request may crash servers; None if it is no suspect.
    """

    def __init__(
        self,
        route: Route,
        upstreams: tuple[str, ...],
        times: RunTimes,
        table: TargetTable,
        rules: ShareRules | None = None,
        suspicion: Suspicion | None = None,
    ) -> None:
        self.route = route
        self.times = times
        self.shards = {name: ShardState(name) for name in upstreams}
        self.finished = False
        self.hedges = 0
        """Requests sent while another one for the shard was in flight."""
        self.retries = 0
        """Requests sent after a failed one."""
        self.may_use_other_servers = False
        """Whether it may use servers other than the agreed ones, because the first host knows of
        this share and won't query the same shards itself."""
        self.omitted_late_parts = False
        """Whether the answer was sent when due, without parts that might still have arrived."""
        self.ended_early = False
        """Whether it was ended by the end of the host, with shards that might still have come."""
        self.is_held = suspicion is not None
        """Whether it runs on one server at a time, until a server has answered it."""
        self._is_precaution = suspicion is not None and suspicion.is_precaution
        """Whether it is held although nothing is known against it."""
        self._trial_upstream = suspicion.upstream if suspicion is not None else None
        self._trial: int | None = None
        """The only attempt that a held run may send, while it is in flight."""
        self._trial_until: Millis = FOREVER
        """When the trial has taken too long."""
        self._trials = 0
        """Trials sent so far."""
        self._is_trial_lost = False
        self._reached_min_in_time = False
        """Whether the minimum coverage was reached before the answer was due."""
        self._parts_in = 0
        """Shards whose part has arrived."""
        self._open_shards = len(self.shards)
        """Shards whose part may still arrive. Both counts are updated with each event: computing
        them anew each time took an eighth of the processor time of a request over 90 shards."""
        self._next_wake: Millis | None = None
        """The time of the next timer event; None if it has to be computed."""
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
        self._min_parts = 0 if rules is not None else min_parts(len(upstreams), coverage)

    @property
    def due(self) -> Millis:
        """When the answer should leave; for a share, that of the whole gather."""
        return self._due

    @property
    def missing_parts(self) -> int:
        """How many parts it still needs for an answer with the minimum coverage."""
        return max(0, self._min_parts - self._parts_in)

    @property
    def trace(self) -> list[Decision]:
        """The decisions so far, oldest first."""
        return self._trace.decisions

    # Events

    def start(self, now: Millis) -> list[Effect]:
        """Send the first requests, or refuse a request that can't be served."""
        servable = sum(1 for name in self.shards if self._table.count_usable(name, now))
        if servable < self._min_parts:
            self._finish(NotRun(FailureReason.NO_SERVER, DEFAULT_RETRY_AFTER))
            return self._take_effects()
        for shard in self.shards.values():
            if not self._is_repeat:
                self._table.count_first(shard.upstream, now)
        if self.is_held:
            for shard in self.shards.values():
                shard.awaits_trial = True
            self._send_trial(now)
        else:
            for shard in self.shards.values():
                self._send(shard, now, self._first_kind)
        self._finish_if_done(now)
        return self._take_effects()

    @property
    def _first_kind(self) -> DecisionKind:
        return DecisionKind.RETRY if self._is_repeat else DecisionKind.SEND

    def hold(self, why: Suspicion = Suspicion()) -> None:
        """Run on one server at a time from now on, as the request was lost on several servers.

        With an answer from any server it goes on: such a request is harmless on that server, and
        others were lost for another reason.

        Args:
            why: What is known against it; a precaution takes nothing back that was known before.
        """
        if not self.finished and self._parts_in == 0:
            self._is_precaution = why.is_precaution and (self._is_precaution or not self.is_held)
            self.is_held = True
            self._next_wake = None

    def may_send(self, attempt: int) -> bool:
        """Return whether an attempt that has waited until now may still be sent."""
        return not self.finished and (not self.is_held or attempt == self._trial)

    def on_withdrawn(self, attempt: int, now: Millis) -> list[Effect]:
        """Handle an attempt that was not sent, as the run is held since it was started."""
        sent = self._find_attempt(attempt)
        shard = self._remove_attempt(attempt)
        self._next_wake = None
        if shard is not None and sent is not None:
            # It counts as if it had never been started, so it is no retry when it is sent later.
            shard.sends -= 1
            shard.record_not_run(sent.target.server_id)
            shard.awaits_trial = shard.open and not shard.in_flight
        if self.is_held:
            self._send_trial(now)
        self._finish_if_done(now)
        return self._take_effects()

    def release(self, now: Millis) -> list[Effect]:
        """Run on all servers again, as the request is no suspect any more."""
        if self.is_held and not self.finished:
            self._release(now)
            self._finish_if_done(now)
        return self._take_effects()

    def stop(self) -> list[Effect]:
        """Send no more requests; attempts in flight may still end within their grace period."""
        self._finish(self._answer())
        return self._take_effects()

    def end(self) -> list[Effect]:
        """End with what there is, as the host ends."""
        self.ended_early = not self.finished and self._open_shards > 0
        self._finish(self._outcome_without_answer(FailureReason.STOPPING))
        return self._take_effects()

    def on_connected(self, attempt: int, now: Millis) -> None:
        """Handle an attempt that got its connection only now, as this host opens many."""
        sent = self._find_attempt(attempt)
        shard = self._shard_of.get(attempt)
        if sent is None or shard is None:
            return
        self._table.record_connected(sent.target, attempt, now)
        shard.in_flight[attempt] = sent._replace(at=now)
        # The next timer event is early, which does no harm.
        shard.hedge_at = None

    def on_answer(self, attempt: int, answer: object, now: Millis) -> list[Effect]:
        """Handle a successful answer of a server."""
        sent = self._find_attempt(attempt)
        shard = self._remove_attempt(attempt)
        if sent is not None:
            self._table.route_latencies(self.route.name).record(now - sent.at)
        if shard is not None and shard.open:
            shard.part = answer
            self._parts_in += 1
            self._open_shards -= 1
            if self._parts_in == self._min_parts:
                self._next_wake = None
                self._reached_min_in_time = now < self.times.answer_by
            for other in shard.in_flight:
                self._effects.append(Cancel(other))
        if self.finished:
            return []
        if self.is_held:
            self._release(now)
        self._finish_if_done(now)
        return self._take_effects()

    def on_fault(
        self, attempt: int, fault: AttemptFault, answer: object, now: Millis
    ) -> list[Effect]:
        """Handle a failed attempt.

        Args:
            attempt: Its number.
            fault: How it failed.
            answer: The server's error response, or None.
            now: The time.
        """
        sent = self._find_attempt(attempt)
        shard = self._remove_attempt(attempt)
        self._next_wake = None
        if shard is None or sent is None:
            return self._take_effects()
        if answer is not None:
            shard.failure = answer
        self._trace.record_decision(now, DecisionKind.FAULT, shard, sent.target, fault)
        if fault in NOT_RUN_FAULTS:
            shard.refused_by[sent.target.server_id] = now
            shard.record_not_run(sent.target.server_id)
        if attempt == self._trial:
            self._on_trial_fault(fault, now)
        if shard.open and not shard.in_flight:
            self._retry(shard, fault, now)
        if self.is_held:
            self._send_trial(now)
        self._finish_if_done(now)
        return self._take_effects()

    def on_timer(self, now: Millis) -> list[Effect]:
        """Handle a timer event."""
        if now >= self.times.deadline:
            self._finish(self._outcome_without_answer(FailureReason.TIMEOUT))
            return self._take_effects()
        self._next_wake = None
        for shard in self.shards.values():
            if not shard.open:
                continue
            if shard.retry_at is not None and now >= shard.retry_at:
                shard.retry_at = None
                again = DecisionKind.RETRY if shard.sends else DecisionKind.SEND
                self._send(shard, now, again)
            elif self._hedge_due(shard) <= now:
                self._hedge(shard, now)
        if self.is_held:
            self._send_trial(now)
        self._finish_if_done(now)
        return self._take_effects()

    @property
    def next_wake(self) -> Millis:
        """When ``on_timer`` is to be called next, at the latest.

        A part that arrives only removes due events, so the time is not recomputed for each of them;
        ``on_timer`` does nothing if it is called too early.
        """
        if self._next_wake is None:
            self._next_wake = self._next_due()
        return self._next_wake

    def _next_due(self) -> Millis:
        due = self.times.deadline
        if self._parts_in >= self._min_parts:
            due = min(due, self.times.answer_by)
        if self.is_held and self._trial is not None:
            due = min(due, self._trial_until)
        for shard in self.shards.values():
            if shard.open:
                due = min(due, self._hedge_due(shard), shard.retry_at or FOREVER)
        return due

    # Sending

    def _send(
        self, shard: ShardState, now: Millis, kind: DecisionKind, skip_budget: bool = False
    ) -> bool:
        """Send a request; charge a retry or hedge to the budget unless ``skip_budget`` is set."""
        if self.is_held and (self._trial is not None or self._is_trial_lost):
            shard.awaits_trial = not shard.in_flight
            return False
        target = self._choose_server(shard, now, kind)
        if target is None:
            self._trace.record_decision(now, DecisionKind.NO_SERVER, shard)
            self._schedule_recheck(shard, now)
            return False
        is_additional = kind is not DecisionKind.SEND and not skip_budget
        if is_additional and not self._table.spend(shard.upstream, now):
            self._trace.record_decision(now, DecisionKind.NO_BUDGET, shard, target)
            if not shard.in_flight:
                # The budget refills over seconds. If the caller tries again, that is a new request.
                self._give_up(shard, now, "the retry budget is exhausted")
            return False
        attempt = next(_attempts)
        self._next_wake = None
        shard.without_server_since = None
        self._trace.record_decision(now, kind, shard, target)
        shard.hedge_at = None
        shard.in_flight[attempt] = SentAttempt(target, now)
        shard.sends += 1
        shard.may_have_run[target.server_id] += 1
        self._update_spent(shard, target)
        self._shard_of[attempt] = shard
        in_trial = self.is_held and not self._is_precaution
        self._table.record_sent(target, attempt, now, in_trial)
        if self.is_held:
            self._trial = attempt
            self._trials += 1
            self._trial_until = now + TRIAL_TIMEOUT if self._trials < MAX_TRIALS else FOREVER
        shard.awaits_trial = False
        self._effects.append(Send(attempt, target, shard.upstream, in_trial))
        return True

    # Trials of a request that may crash servers

    def _send_trial(self, now: Millis) -> None:
        """Send a request to one shard that waits and has a server, unless one is in flight.

        Which one is random. If hosts began with the same shard, trials of two requests would end
        one server, which says nothing about either. Shards that look for a server in vain go on to
        do so at their next timer event.
        """
        if self._trial is not None and now >= self._trial_until:
            self._check_trial(self._trial, now)
        if self._trial is not None or self._is_trial_lost:
            return
        waiting = self._table.in_random_order(
            shard for shard in self.shards.values() if shard.open and shard.awaits_trial
        )
        waiting.sort(key=lambda shard: shard.upstream != self._trial_upstream)
        for shard in waiting:
            if self._send_waiting(shard, now):
                return

    def _send_waiting(self, shard: ShardState, now: Millis) -> bool:
        """Send a request that had to wait for a trial; return whether it was sent."""
        shard.awaits_trial = False
        return self._send(shard, now, DecisionKind.RETRY if shard.sends else self._first_kind)

    def _check_trial(self, attempt: int, now: Millis) -> None:
        """Give up waiting for a trial whose server doesn't respond to any request."""
        shard = self._shard_of[attempt]
        sent = shard.in_flight[attempt]
        if sent.target.answered_at >= sent.at:
            # It may take long to crash. With a further trial it would crash another server.
            self._trial_until = now + TRIAL_TIMEOUT
            return
        if not self.route.idempotent:
            # The server may be running it, however long it is silent.
            self._trial_until = FOREVER
            return
        # Its zone may be cut off; the shard's other server is in another one.
        shard.awaits_trial = True
        self._trial_upstream = shard.upstream
        self._trial = None

    def _on_trial_fault(self, fault: AttemptFault, now: Millis) -> None:
        self._trial = None
        match fault:
            case AttemptFault.FAILED:
                # The server is still there to report the failure.
                self._release(now)
            case AttemptFault.LOST:
                self._is_trial_lost = True

    def _release(self, now: Millis) -> None:
        self.is_held = False
        self._next_wake = None
        for shard in self.shards.values():
            if shard.open and shard.awaits_trial:
                self._send_waiting(shard, now)

    def _agreed_servers(self, shard: ShardState) -> Container[str] | None:
        return self._rules.servers.get(shard.upstream) if self._rules is not None else None

    def _update_spent(self, shard: ShardState, target: Target) -> None:
        agreed = self._agreed_servers(shard)
        shard.is_spent = shard.is_spent or (agreed is not None and target.server_id not in agreed)

    def _choose_server(self, shard: ShardState, now: Millis, kind: DecisionKind) -> Target | None:
        table = self._table
        refused = {name for name, at in shard.refused_by.items() if now - at < REFUSED_SERVER_DELAY}
        excluded = shard.may_have_run.keys() | refused
        if self.is_held:
            excluded |= table.servers_in_trial(shard.upstream)
        agreed = self._agreed_servers(shard)
        only = None if self.may_use_other_servers and not self._is_repeat else agreed
        # A second server that turns out to be none would leave the request without an answer, and
        # one that must not run twice would be lost with the first.
        is_careful = kind is not DecisionKind.SEND or not self.route.idempotent
        target = None
        if len(shard.may_have_run) < self.route.max_servers:
            target = table.choose_healthy(shard.upstream, excluded, now, agreed, is_careful)
            if target is None and kind is DecisionKind.HEDGE:
                return table.choose_healthy(shard.upstream, excluded, now, only, is_careful)
            if target is None:
                target = table.choose(shard.upstream, excluded, now, only, is_careful)
        if target is None and shard.may_have_run and not shard.in_flight:
            # No other server is usable, or no further one may run the request. A server that failed
            # it once may succeed now.
            target = table.choose(shard.upstream, refused, now, only=shard.may_have_run)
        return target

    def _schedule_recheck(self, shard: ShardState, now: Millis) -> None:
        if shard.in_flight:
            return
        if shard.without_server_since is None:
            shard.without_server_since = now
        if now - shard.without_server_since >= MAX_SERVER_WAIT:
            self._give_up(shard, now, "no server became usable in time")
            return
        shard.retry_at = now + SERVER_RECHECK_INTERVAL
        self._next_wake = None

    def _retry(self, shard: ShardState, fault: AttemptFault, now: Millis) -> None:
        not_run = fault in NOT_RUN_FAULTS
        if not not_run and not self.route.idempotent:
            self._give_up(shard, now, "it may have run, and must not run twice")
            return
        if shard.sends >= MAX_SENDS:
            self._give_up(shard, now, "the limit of attempts is reached")
            return
        self.retries += 1
        # A request that was never sent cost the servers nothing; every other one did arrive.
        self._send(shard, now, DecisionKind.RETRY, skip_budget=fault is AttemptFault.NOT_SENT)

    def _give_up(self, shard: ShardState, now: Millis, why: str) -> None:
        if shard.open:
            self._open_shards -= 1
        shard.given_up = True
        self._trace.record_decision(now, DecisionKind.GIVEN_UP, shard, None, why)

    # Hedges

    def _hedge_due(self, shard: ShardState) -> Millis:
        if self.is_held or not self.route.idempotent or len(shard.in_flight) != 1:
            return FOREVER
        if len(shard.may_have_run) >= self.route.max_servers or shard.sends >= MAX_SENDS:
            return FOREVER
        if shard.hedge_at is None:
            (sent,) = shard.in_flight.values()
            shard.hedge_at = self._hedge_timer.hedge_at(shard.upstream, sent.at)
        return shard.hedge_at

    def _hedge(self, shard: ShardState, now: Millis) -> None:
        (attempt,) = shard.in_flight
        waits_in_vain = self._parts_in == 0 and len(self.shards) >= MIN_SHARDS_FOR_ANSWER
        if waits_in_vain or self._table.connection_waits.is_delayed_here(attempt, now):
            shard.hedge_at = now + SERVER_RECHECK_INTERVAL
            return
        if self._send(shard, now, DecisionKind.HEDGE):
            self.hedges += 1
            return
        # No other server is available or the budget is exhausted: check again a little later, not
        # at once.
        shard.hedge_at = now + SERVER_RECHECK_INTERVAL

    # Completion

    def _find_attempt(self, attempt: int) -> SentAttempt | None:
        shard = self._shard_of.get(attempt)
        return shard.in_flight.get(attempt) if shard is not None else None

    def _remove_attempt(self, attempt: int) -> ShardState | None:
        shard = self._shard_of.pop(attempt, None)
        if shard is not None:
            shard.in_flight.pop(attempt, None)
            shard.hedge_at = None
        return shard

    def _finish_if_done(self, now: Millis) -> None:
        if self.finished:
            return
        parts = self._parts_in
        waiting = self._open_shards
        is_due = now >= self.times.answer_by
        if parts >= self._min_parts and (not waiting or is_due):
            # A run that reached its minimum coverage long after it was due says nothing about how
            # long the host takes for an answer.
            self.omitted_late_parts = bool(waiting) and self._reached_min_in_time
            self._finish(self._answer())
        elif parts + waiting < self._min_parts or self._has_lost_all():
            self._finish(self._outcome_without_answer(FailureReason.FAILED))

    def _has_lost_all(self) -> bool:
        """Return whether its trial was lost, and no attempt may still be answered."""
        if not self.is_held or not self._is_trial_lost:
            return False
        return not any(shard.in_flight for shard in self.shards.values())

    def _answer(self) -> Answered:
        parts = {name: shard.part for name, shard in self.shards.items() if shard.part is not None}
        return Answered(parts, len(self.shards) - len(parts))

    def _outcome_without_answer(self, reason: FailureReason) -> Outcome:
        if self._parts_in >= self._min_parts:
            return self._answer()
        ran = any(shard.may_have_run or shard.part is not None for shard in self.shards.values())
        if not ran:
            refused = any(shard.refused_by for shard in self.shards.values())
            why = FailureReason.REFUSED if refused else FailureReason.NO_SERVER
            if reason is FailureReason.STOPPING:
                why = reason
            return NotRun(why, DEFAULT_RETRY_AFTER)
        failure = next((one.failure for one in self.shards.values() if one.failure), None)
        return Failed(reason, failure)

    def _finish(self, outcome: Outcome) -> None:
        if self.finished:
            return
        self.finished = True
        for shard in self.shards.values():
            for attempt in shard.in_flight:
                self._effects.append(Cancel(attempt))
        self._effects.append(Finish(outcome))

    def _take_effects(self) -> list[Effect]:
        effects = self._effects
        self._effects = []
        return effects
