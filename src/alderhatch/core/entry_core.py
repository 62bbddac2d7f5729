"""The entry's decisions as one state machine without input or output."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..clock import Millis
from .arrival import Arrival
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
    """Takes events, returns effects.

    Args:
        name: The entry's name; part of the ids of its shard requests.
        rng: The source of every random choice, seeded by whoever makes the core.
        zone: The entry's availability zone.
        policy: The numbers that decisions are tuned by.
    """

    def __init__(
        self, name: str, rng: Random, zone: str = "", policy: Policy = DEFAULT_POLICY
    ) -> None:
        self._state = CoreState(name, zone, rng, policy)
        self._dispatcher = Dispatcher(self._state)
        self._fan_out = FanOut(self._state, self._dispatcher)
        self._at_most_once = AtMostOnce(self._state, self._dispatcher)
        self._arrival = Arrival(self._state, self._start)

    @property
    def running(self) -> int:
        """How many requests are under way, those that wait for admission included."""
        return len(self._state.runs)

    @property
    def shard_requests_sent(self) -> int:
        """Shard requests sent since the start."""
        return self._state.shard_requests_sent

    @property
    def shard_requests_needed(self) -> int:
        """Shards that the requests so far were planned over."""
        return self._state.shard_requests_needed

    @property
    def shard_requests_wasted(self) -> int:
        """Shard requests whose work was of no use, such as the loser of a hedge."""
        return self._state.wasted

    @property
    def revision(self) -> int:
        """The revision of the rules that are in force here."""
        return self._state.revision

    def lease_left(self, now: Millis) -> Millis | None:
        """Return for how long new requests may still be taken; None without control hosts."""
        until = self._arrival.serve_until
        return None if until is None else max(0.0, until - now)

    def dump(self, now: Millis) -> dict[str, Any]:
        """Return what the core knows as plain data of a bounded size, for operators."""
        return dump_state(self._state, self._arrival, self._dispatcher, now)

    def step(self, event: EntryEvent, now: Millis) -> list[EntryEffect]:
        """Take one event.

        Args:
            event: What happened.
            now: The present time, never before that of an earlier step.

        Returns:
            What is to be done, in this order.
        """
        state = self._state
        state.now = now
        state.effects = []
        match event:
            case ShardAnswered(attempt=attempt, answer=answer):
                self._answered(attempt, answer)
            case AttemptFailed(attempt=attempt, fault=fault, retry_after_ms=retry_after):
                self._failed(attempt, fault, retry_after)
            case QueryArrived(query=query, request=request):
                self._arrival.arrive(query, request)
            case Woke():
                self._wake()
            case CallerGone(query=query):
                self._caller_gone(query)
            case ClaimDecided():
                self._decided(event)
            case ShardMapFetched(shard_map=shard_map):
                self._adopt(shard_map)
            case RulesChanged(revision=revision, rules=rules):
                self._change_rules(revision, rules)
            case HealthReported():
                self._health(event)
            case ServersLeaving(source=source, server_ids=server_ids):
                state.servers.set_leaving(source, server_ids)
                self._resume(self._dispatcher.take_parked())
            case LeaseChanged():
                self._lease(event)
            case BudgetsChanged(hedge=hedge, retry=retry):
                state.hedge_share = hedge
                state.servers.set_retry_share(retry)
            case StopRequested():
                self._arrival.stopping = True
        self._resume(self._dispatcher.take_ready())
        self._arrival.admit_waiting()
        at = state.timers.arm()
        if at is not None:
            state.effects.append(WakeAt(at))
        return state.effects

    def _start(self, run: Run) -> None:
        if isinstance(run, QueryRun):
            self._fan_out.start(run)
        elif isinstance(run, SingleRun):
            self._at_most_once.start(run)

    def _answered(self, number: int, answer: ShardAnswer) -> None:
        attempt = self._dispatcher.attempts.get(number)
        if attempt is None:
            return
        # Answers can come late or crossed: of an earlier exchange on the same connection, of
        # another shard, of another index version. None of these may reach the merge.
        if (
            answer.request_id != f"{self._state.name}-{number}"
            or answer.shard != attempt.state.plan.shard.name
            or answer.snapshot != attempt.run.shard_map.snapshot
        ):
            self._failed(number, AttemptFault.WRONG_ANSWER, None)
            return
        self._dispatcher.answered(number, answer.load)
        run = attempt.run
        if isinstance(run, QueryRun):
            self._fan_out.on_answer(run, attempt.state, answer)
        elif isinstance(run, SingleRun):
            self._at_most_once.answered(run, attempt.state, answer)

    def _failed(self, number: int, fault: AttemptFault, retry_after: Millis | None) -> None:
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
            self._at_most_once.failed(run, attempt.state, fault, server_id)

    def _confirm_crash(self, server_id: str, restarted: bool = False) -> None:
        state = self._state
        for crash in state.crashes.confirm(server_id, state.now, restarted):
            report = ReportCrash(crash.fingerprint, crash.server_id, crash.upstream)
            state.effects.append(report)

    def _health(self, event: HealthReported) -> None:
        state = self._state
        known = state.servers.boot_id_of(event.server_id)
        restarted = state.servers.apply_health(event, state.now)
        if restarted or event.state is ServerState.UNREACHABLE:
            self._confirm_crash(event.server_id, restarted)
        elif known is not None and event.boot_id == known and event.asked_at is not None:
            state.crashes.runs_on(event.server_id, event.asked_at)

    def _lease(self, event: LeaseChanged) -> None:
        self._arrival.serve_until = event.serve_until
        self._state.crashes.tier_wide = event.quarantined
        self._state.servers.set_shares(event.shares)
        self._resume(self._dispatcher.take_parked())

    def _adopt(self, shard_map: ShardMap) -> None:
        known = self._state.servers.snapshot_of(shard_map.upstream)
        if not self._state.servers.update_shard_map(shard_map, self._state.now):
            return
        if shard_map.snapshot == known:
            return
        for run in list(self._state.runs.values()):
            if isinstance(run, QueryRun) and run.upstream.name == shard_map.upstream:
                self._fan_out.on_shard_map_change(run)

    def _change_rules(self, revision: int, rules: RuleList) -> None:
        # Pushes can overtake each other. A revision that went down would bring back rules that an
        # operator has withdrawn.
        if revision > self._state.revision:
            self._state.revision = revision
            self._state.rules = rules

    def _caller_gone(self, query: int) -> None:
        run = self._state.runs.get(query)
        if run is None or self._arrival.withdraw(run):
            return
        if isinstance(run, QueryRun):
            self._fan_out.end(run)
        elif isinstance(run, SingleRun):
            self._at_most_once.caller_gone(run)

    def _decided(self, event: ClaimDecided) -> None:
        run = self._state.runs.get(event.query)
        if isinstance(run, SingleRun):
            self._at_most_once.decided(run, event)

    def _resume(self, ready: list[tuple[Run, ShardState]]) -> None:
        for run, shard in ready:
            if isinstance(run, QueryRun) and not run.ended and not shard.closed:
                self._fan_out.resume(run, shard)
            elif isinstance(run, SingleRun) and not run.ended:
                self._at_most_once.resume(run)

    def _wake(self) -> None:
        timers = self._state.timers
        timers.woke()
        while (timer := timers.due(self._state.now)) is not None:
            run = None if timer.query is None else self._state.runs.get(timer.query)
            if timer.kind is TimerKind.PACED:
                self._dispatcher.wake_paced()
            elif timer.kind is TimerKind.WAITING or run is None:
                self._resume(self._dispatcher.take_parked())
            elif timer.kind is TimerKind.QUEUE:
                self._arrival.too_late(run)
            elif isinstance(run, QueryRun):
                self._fan_out.on_timer(run, timer.kind)
            elif isinstance(run, SingleRun):
                self._at_most_once.wake(run, timer.kind)
