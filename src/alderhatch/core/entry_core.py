"""The entry's decision logic as a state machine that performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..clock import Millis
from .arrival import ArrivalHandler
from .at_most_once import AtMostOnce
from .core_state import CoreState
from .dispatcher import Dispatcher
from .entry_events import (
    AttemptFailed,
    AttemptFault,
    BudgetsChanged,
    CallerGone,
    ClaimDecided,
    EntryEffect,
    EntryEvent,
    HealthReported,
    LeaseChanged,
    QueryArrived,
    ReportCrash,
    RulesChanged,
    ServersLeaving,
    ServerState,
    ShardAnswer,
    ShardAnswered,
    ShardMapFetched,
    StopExpired,
    StopRequested,
    WakeAt,
    Woke,
)
from .fan_out import FanOut
from .policy import Policy
from .query_run import QueryRun
from .rule_list import RuleList
from .run import Run, ShardState
from .shard_map import ShardMap
from .single_run import SingleRun
from .state_dump import dump_state
from .timers import TimerKind

if TYPE_CHECKING:
    from random import Random

DEFAULT_POLICY = Policy()


class EntryCore:
    """Turns events into effects that the caller carries out.

    Args:
        name: The entry's name; part of the IDs of its shard requests.
        rng: The source of all random choices, seeded by the creator of the core.
        zone: The entry's availability zone.
        policy: The tuning parameters.
    """

    def __init__(
        self, name: str, rng: Random, zone: str = "", policy: Policy = DEFAULT_POLICY
    ) -> None:
        self._state = CoreState(name, zone, rng, policy)
        self._dispatcher = Dispatcher(self._state)
        self._fan_out = FanOut(self._state, self._dispatcher)
        self._at_most_once = AtMostOnce(self._state, self._dispatcher)
        self._arrival = ArrivalHandler(self._state, self._start_run)

    @property
    def running(self) -> int:
        """The number of running requests, including those that wait for admission."""
        return len(self._state.runs)

    @property
    def shard_requests_sent(self) -> int:
        """Shard requests sent since the core was created."""
        return self._state.shard_requests_sent

    @property
    def shard_requests_needed(self) -> int:
        """Shard requests that the requests so far called for, without retries and hedges."""
        return self._state.shard_requests_needed

    @property
    def shard_requests_wasted(self) -> int:
        """Shard requests whose result was discarded, such as the slower copy of a hedge."""
        return self._state.wasted

    @property
    def revision(self) -> int:
        """The revision of the rules in force at this entry."""
        return self._state.revision

    def lease_left(self, now: Millis) -> Millis | None:
        """Return for how long new requests may still be accepted; None without control hosts."""
        until = self._arrival.serve_until
        return None if until is None else max(0.0, until - now)

    def dump(self, now: Millis) -> dict[str, Any]:
        """Return the core's state as plain data of bounded size, for operators."""
        return dump_state(self._state, self._arrival, self._dispatcher, now)

    def step(self, event: EntryEvent, now: Millis) -> list[EntryEffect]:
        """Process one event.

        Args:
            event: The event.
            now: The current time, which must not decrease between steps.

        Returns:
            The effects to carry out, in this order.
        """
        state = self._state
        state.now = now
        state.effects = []
        match event:
            case ShardAnswered(attempt=attempt, answer=answer):
                self._on_shard_answered(attempt, answer)
            case AttemptFailed(attempt=attempt, fault=fault, retry_after_ms=retry_after):
                self._on_attempt_failed(attempt, fault, retry_after)
            case QueryArrived(query=query, request=request):
                self._arrival.handle(query, request)
            case Woke():
                self._on_woke()
            case CallerGone(query=query):
                self._on_caller_gone(query)
            case ClaimDecided():
                self._on_claim_decided(event)
            case ShardMapFetched(shard_map=shard_map):
                self._on_map_fetched(shard_map)
            case RulesChanged(revision=revision, rules=rules):
                self._on_rules_changed(revision, rules)
            case HealthReported():
                self._on_health_reported(event)
            case ServersLeaving(source=source, server_ids=server_ids):
                state.servers.set_leaving(source, server_ids)
                self._resume_runs(self._dispatcher.take_all_waiting())
            case LeaseChanged():
                self._on_lease_changed(event)
            case BudgetsChanged(hedge=hedge, retry=retry):
                state.hedge_share = hedge
                state.servers.set_retry_share(retry)
            case StopRequested():
                self._arrival.stopping = True
            case StopExpired():
                self._end_runs()
        self._resume_runs(self._dispatcher.take_ready())
        self._arrival.admit_waiting()
        at = state.timers.arm()
        if at is not None:
            state.effects.append(WakeAt(at))
        return state.effects

    def _start_run(self, run: Run) -> None:
        if isinstance(run, QueryRun):
            self._fan_out.start(run)
        elif isinstance(run, SingleRun):
            self._at_most_once.start(run)

    def _on_shard_answered(self, number: int, answer: ShardAnswer) -> None:
        attempt = self._dispatcher.attempts.get(number)
        if attempt is None:
            return
        # An answer can belong to an earlier exchange on the same connection, to another shard or to
        # another index version. Such an answer must not be merged.
        if (
            answer.request_id != f"{self._state.name}-{number}"
            or answer.shard != attempt.state.plan.shard.name
            or answer.snapshot != attempt.run.shard_map.snapshot
        ):
            self._on_attempt_failed(number, AttemptFault.WRONG_ANSWER, None)
            return
        self._dispatcher.answered(number, answer.load)
        run = attempt.run
        if isinstance(run, QueryRun):
            self._fan_out.on_answer(run, attempt.state, answer)
        elif isinstance(run, SingleRun):
            self._at_most_once.on_attempt_answer(run, attempt.state, answer)

    def _on_attempt_failed(
        self, number: int, fault: AttemptFault, retry_after: Millis | None
    ) -> None:
        attempt = self._dispatcher.failed(number, fault, retry_after)
        if attempt is None:
            return
        server_id = attempt.server.server_id
        if fault is AttemptFault.NOT_SENT:
            self._confirm_crash(server_id)
        run = attempt.run
        if isinstance(run, QueryRun):
            self._fan_out.on_failure(run, attempt.state, fault, server_id)
        elif isinstance(run, SingleRun):
            self._at_most_once.on_attempt_failure(run, attempt.state, fault, server_id)

    def _confirm_crash(self, server_id: str, restarted: bool = False) -> None:
        state = self._state
        for crash in state.crashes.confirm_crashes(server_id, state.now, restarted):
            report = ReportCrash(crash.fingerprint, crash.server_id, crash.upstream)
            state.effects.append(report)

    def _on_health_reported(self, event: HealthReported) -> None:
        state = self._state
        known_boot_id = state.servers.boot_id_of(event.server_id)
        restarted = state.servers.apply_health(event, state.now)
        if restarted or event.state is ServerState.UNREACHABLE:
            self._confirm_crash(event.server_id, restarted)
        elif (
            known_boot_id is not None
            and event.boot_id == known_boot_id
            and event.asked_at is not None
        ):
            state.crashes.record_alive(event.server_id, event.asked_at)

    def _on_lease_changed(self, event: LeaseChanged) -> None:
        self._arrival.serve_until = event.serve_until
        self._state.crashes.quarantined_tier_wide = event.quarantined
        self._state.servers.set_shares(event.shares)
        self._resume_runs(self._dispatcher.take_all_waiting())

    def _on_map_fetched(self, shard_map: ShardMap) -> None:
        known_snapshot = self._state.servers.snapshot_of(shard_map.upstream)
        if not self._state.servers.update_shard_map(shard_map, self._state.now):
            return
        if shard_map.snapshot == known_snapshot:
            return
        for run in list(self._state.runs.values()):
            if isinstance(run, QueryRun) and run.upstream.name == shard_map.upstream:
                self._fan_out.on_shard_map_change(run)

    def _on_rules_changed(self, revision: int, rules: RuleList) -> None:
        # Pushes can arrive out of order. Going back to an older revision would reinstate rules
        # that an operator has withdrawn.
        if revision > self._state.revision:
            self._state.revision = revision
            self._state.rules = rules

    def _on_caller_gone(self, query: int) -> None:
        run = self._state.runs.get(query)
        if run is None or self._arrival.cancel_waiting(run):
            return
        if isinstance(run, QueryRun):
            self._fan_out.end(run)
        elif isinstance(run, SingleRun):
            self._at_most_once.on_caller_gone(run)

    def _on_claim_decided(self, event: ClaimDecided) -> None:
        run = self._state.runs.get(event.query)
        if isinstance(run, SingleRun):
            self._at_most_once.on_claim_decided(run, event)

    def _end_runs(self) -> None:
        """Answer all requests with what is known of them."""
        # Queued requests go first: one that is still queued when another ends would be started.
        self._arrival.refuse_waiting()
        for run in list(self._state.runs.values()):
            if isinstance(run, QueryRun):
                self._fan_out.on_timer(run, TimerKind.DEADLINE)
            elif isinstance(run, SingleRun):
                self._at_most_once.on_stop_expired(run)

    def _resume_runs(self, ready: list[tuple[Run, ShardState]]) -> None:
        for run, shard in ready:
            if isinstance(run, QueryRun) and not run.ended and not shard.closed:
                self._fan_out.resume(run, shard)
            elif isinstance(run, SingleRun) and not run.ended:
                self._at_most_once.resume(run)

    def _on_woke(self) -> None:
        timers = self._state.timers
        timers.disarm()
        while (timer := timers.due(self._state.now)) is not None:
            run = None if timer.query is None else self._state.runs.get(timer.query)
            if timer.kind is TimerKind.PACED:
                self._dispatcher.release_paced()
            elif timer.kind is TimerKind.WAITING or run is None:
                self._resume_runs(self._dispatcher.take_all_waiting())
            elif timer.kind is TimerKind.QUEUE:
                self._arrival.expire(run)
            elif isinstance(run, QueryRun):
                self._fan_out.on_timer(run, timer.kind)
            elif isinstance(run, SingleRun):
                self._at_most_once.on_timer_expired(run, timer.kind)
