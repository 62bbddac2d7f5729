"""The entry's decisions as one state machine without input or output."""

from __future__ import annotations

import heapq
from random import Random

from ..clock import Millis
from ..errors import ErrorKind, Failure
from .entry_events import (
    AttemptFailed,
    AttemptFault,
    CallerGone,
    CancelAttempt,
    EntryEffect,
    EntryEvent,
    Finish,
    QueryArrived,
    Refused,
    RulesChanged,
    SendShard,
    ShardAnswer,
    ShardAnswered,
    ShardMapFetched,
    WakeAt,
    Woke,
)
from .query_run import QueryRun, ShardState
from .rule import Refuse, Rule, Serve
from .rule_list import RuleList
from .shard_map import ShardMap


class EntryCore:
    """Takes events, returns effects.

    Args:
        name: The entry's name; part of the ids of its shard requests.
        rng: The source of every random choice, seeded by whoever makes the core.
    """

    def __init__(self, name: str, rng: Random) -> None:
        self._name = name
        self._rng = rng
        self._maps: dict[str, ShardMap] = {}
        self._rules = RuleList()
        self._revision = 0
        self._runs: dict[int, QueryRun] = {}
        self._attempts: dict[int, tuple[QueryRun, ShardState]] = {}
        self._next_attempt = 0
        self._timers: list[tuple[Millis, int]] = []
        self.shard_requests_sent = 0
        """Shard requests sent since the start."""
        self.shard_requests_needed = 0
        """Shards that the queries so far were planned over."""

    @property
    def running(self) -> int:
        """How many queries are under way."""
        return len(self._runs)

    def step(self, event: EntryEvent, now: Millis) -> list[EntryEffect]:
        """Take one event.

        Args:
            event: What happened.
            now: The present time, never before that of an earlier step.

        Returns:
            What is to be done, in this order.
        """
        effects: list[EntryEffect] = []
        match event:
            case QueryArrived():
                self._arrive(event, now, effects)
            case ShardAnswered(attempt=attempt, answer=answer):
                self._answered(attempt, answer, now, effects)
            case AttemptFailed():
                self._failed(event, now, effects)
            case CallerGone(query=query):
                run = self._runs.get(query)
                if run is not None:
                    self._drop(run, effects)
            case ShardMapFetched(shard_map=shard_map):
                self._adopt(shard_map)
            case RulesChanged(revision=revision, rules=rules):
                self._change_rules(revision, rules)
            case Woke():
                self._wake(now, effects)
        return effects

    def _adopt(self, shard_map: ShardMap) -> None:
        known = self._maps.get(shard_map.upstream)
        if known is None or shard_map.snapshot > known.snapshot:
            self._maps[shard_map.upstream] = shard_map

    def _change_rules(self, revision: int, rules: RuleList) -> None:
        if revision > self._revision:
            self._revision = revision
            self._rules = rules

    def _arrive(self, event: QueryArrived, now: Millis, effects: list[EntryEffect]) -> None:
        request = event.request
        rule = self._rules.match(request)
        match rule.then:
            case Refuse(refuse=reason, retry_after_ms=retry_after):
                failure = Failure(ErrorKind.REFUSED_BY_RULE, reason, retry_after_ms=retry_after)
                effects.append(self._refusal(event.query, failure, rule))
            case Serve() as serve:
                self._plan(event, rule, serve, now, effects)

    def _refusal(self, query: int, failure: Failure, rule: Rule) -> Finish:
        return Finish(query, Refused(failure, rule.name, self._revision))

    def _plan(
        self,
        event: QueryArrived,
        rule: Rule,
        serve: Serve,
        now: Millis,
        effects: list[EntryEffect],
    ) -> None:
        request = event.request
        shard_map = self._maps.get(request.upstream)
        if shard_map is None:
            failure = Failure(ErrorKind.NO_SNAPSHOT, f"no shard map of {request.upstream} yet")
            effects.append(self._refusal(event.query, failure, rule))
            return
        run = QueryRun(event.query, request, rule, serve, shard_map)
        span = min(serve.deadline_ms, request.deadline_ms or serve.deadline_ms)
        run.deadline = now + span
        self._runs[event.query] = run
        self.shard_requests_needed += len(run.shards)
        for state in run.shards.values():
            self._send(run, state, effects)
        self._set_timer(run, run.deadline, effects)

    def _send(self, run: QueryRun, state: ShardState, effects: list[EntryEffect]) -> bool:
        choices = [server for server in state.shard.servers if server not in state.tried]
        if not choices:
            return False
        server_id = self._rng.choice(choices)
        self._next_attempt += 1
        attempt = self._next_attempt
        state.attempts[attempt] = server_id
        state.tried.add(server_id)
        self._attempts[attempt] = (run, state)
        self.shard_requests_sent += 1
        effects.append(
            SendShard(
                attempt,
                f"{self._name}-{attempt}",
                run.request.upstream,
                server_id,
                state.shard.name,
                run.shard_map.snapshot,
                run.deadline,
                run.request,
            )
        )
        return True

    def _answered(
        self, attempt: int, answer: ShardAnswer, now: Millis, effects: list[EntryEffect]
    ) -> None:
        known = self._attempts.pop(attempt, None)
        if known is None:
            return
        run, state = known
        del state.attempts[attempt]
        if answer.shard != state.shard.name or not run.take(answer):
            state.reason = AttemptFault.WRONG_ANSWER
            self._retry(run, state, effects)
            self._settle(run, now, effects)
            return
        self._settle(run, now, effects)

    def _failed(self, event: AttemptFailed, now: Millis, effects: list[EntryEffect]) -> None:
        known = self._attempts.pop(event.attempt, None)
        if known is None:
            return
        run, state = known
        del state.attempts[event.attempt]
        state.reason = event.fault
        self._retry(run, state, effects)
        self._settle(run, now, effects)

    def _retry(self, run: QueryRun, state: ShardState, effects: list[EntryEffect]) -> None:
        state.failures += 1
        if state.failures <= run.serve.retries:
            self._send(run, state, effects)

    def _settle(self, run: QueryRun, now: Millis, effects: list[EntryEffect]) -> None:
        if run.complete or not any(state.attempts for state in run.shards.values()):
            self._finish(run, effects)
            return
        if run.coverage >= run.serve.coverage and run.early_finish is None:
            run.early_finish = now + run.serve.straggler_ms
            if run.early_finish <= now:
                self._finish(run, effects)
                return
            self._set_timer(run, run.early_finish, effects)

    def _finish(self, run: QueryRun, effects: list[EntryEffect]) -> None:
        self._drop(run, effects)
        if run.coverage < run.serve.min_coverage:
            message = f"covered {run.coverage:.4f}, at least {run.serve.min_coverage} was wanted"
            failure = Failure(ErrorKind.COVERAGE_TOO_LOW, message)
            effects.append(self._refusal(run.query, failure, run.rule))
            return
        effects.append(Finish(run.query, run.outcome(self._revision)))

    def _drop(self, run: QueryRun, effects: list[EntryEffect]) -> None:
        del self._runs[run.query]
        for state in run.shards.values():
            for attempt in state.attempts:
                del self._attempts[attempt]
                effects.append(CancelAttempt(attempt))
            state.attempts.clear()

    def _set_timer(self, run: QueryRun, at: Millis, effects: list[EntryEffect]) -> None:
        earliest = self._timers[0][0] if self._timers else None
        heapq.heappush(self._timers, (at, run.query))
        if earliest is None or at < earliest:
            effects.append(WakeAt(at))

    def _wake(self, now: Millis, effects: list[EntryEffect]) -> None:
        while self._timers and self._timers[0][0] <= now:
            _, query = heapq.heappop(self._timers)
            run = self._runs.get(query)
            if run is None:
                continue
            if run.deadline <= now or (run.early_finish is not None and run.early_finish <= now):
                self._finish(run, effects)
        while self._timers and self._timers[0][1] not in self._runs:
            heapq.heappop(self._timers)
        if self._timers:
            effects.append(WakeAt(self._timers[0][0]))
