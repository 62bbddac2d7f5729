"""A test harness that drives an entry core step by step with a simulated clock."""

from __future__ import annotations

from random import Random

from alderhatch.core.entry_core import EntryCore
from alderhatch.core.entry_events import (
    NOT_RUN_FAULTS,
    Answered,
    AttemptFailed,
    AttemptFault,
    CancelAttempt,
    ClaimRun,
    Finish,
    QueryArrived,
    RecordOutcome,
    RulesChanged,
    SendShard,
    ShardAnswer,
    ShardAnswered,
    ShardMapFetched,
    WakeAt,
    Woke,
)
from alderhatch.core.policy import Policy
from alderhatch.core.priority import Priority
from alderhatch.core.request import Request
from alderhatch.core.rule import Rule, Serve
from alderhatch.core.rule_list import RuleList
from alderhatch.core.shard_map import Server, Shard, ShardMap, Snapshot
from alderhatch.errors import RunStatus

ZONES = ("zone-a", "zone-b", "zone-c")


def make_map(
    shards=4, replicas=2, version=1, epoch=1, documents=10, slots=2, connections=30, upstream="ix"
):
    servers = []
    listed_shards = []
    for shard in range(shards):
        ids = [f"{upstream}-{shard}-{replica}" for replica in range(replicas)]
        weight = documents[shard] if isinstance(documents, list) else documents
        listed_shards.append(Shard(f"s{shard}", weight, tuple(ids)))
        for replica, server_id in enumerate(ids):
            zone = ZONES[(shard + replica) % len(ZONES)]
            servers.append(Server(server_id, "127.0.0.1", 1, zone, slots, connections))
    return ShardMap(upstream, Snapshot(version, epoch), tuple(listed_shards), tuple(servers))


def make_request(number=1, **fields):
    fields = {
        "request_id": f"r{number}",
        "caller": "desk",
        "kind": "route",
        "upstream": "ix",
        "body": b'{"topic":"%d"}' % number,
    } | fields
    return Request(**fields)


class CoreHarness:
    """An entry core that records the effects it returns."""

    def __init__(self, shard_map=None, serve=None, policy=None, zone="zone-a", seed=1):
        self.policy = policy or Policy(canaries=0)
        self.core = EntryCore("e1", Random(seed), zone, self.policy)
        self.now = 0.0
        self.wake = None
        self.out = {}
        """Attempts in flight, by number."""
        self.sent = []
        """Every ``SendShard``, in order."""
        self.attempts_of = {}
        self.faults = {}
        self.finished = {}
        self.cancelled = set()
        self.claims = []
        self.records = []
        self.effects = []
        self.next_query = 0
        if shard_map is not None:
            self.feed(ShardMapFetched(shard_map))
        if serve is not None:
            self.rules(serve)

    def rules(self, *serves, revision=1):
        rules = [
            serve if isinstance(serve, Rule) else Rule(name=f"rule-{index}", then=serve)
            for index, serve in enumerate(serves)
        ]
        self.feed(RulesChanged(revision, RuleList(rules)))

    def feed(self, event):
        effects = self.core.step(event, self.now)
        self.effects += effects
        for effect in effects:
            match effect:
                case SendShard():
                    assert effect.attempt not in self.out
                    self.out[effect.attempt] = effect
                    self.sent.append(effect)
                    self.attempts_of.setdefault(effect.request.request_id, []).append(
                        effect.attempt
                    )
                case CancelAttempt(attempt=attempt):
                    del self.out[attempt]
                    self.cancelled.add(attempt)
                case WakeAt(at=at):
                    self.wake = at
                case Finish(query=query, outcome=outcome):
                    assert query not in self.finished, "the query was answered twice"
                    self.finished[query] = outcome
                case ClaimRun():
                    self.claims.append(effect)
                case RecordOutcome():
                    self.records.append(effect)
        return effects

    def arrive(self, request=None, **fields):
        self.next_query += 1
        request = request or make_request(self.next_query, **fields)
        self.feed(QueryArrived(self.next_query, request))
        return self.next_query

    def advance(self, elapsed_ms):
        until = self.now + elapsed_ms
        while self.wake is not None and self.wake <= until:
            self.now = max(self.now, self.wake)
            self.wake = None
            self.feed(Woke())
        self.now = until

    def answer(self, attempt, rows=None, snapshot=None, shard=None, load=None, request_id=None):
        send = self.out.pop(attempt)
        rows = [f"{send.shard}@{send.snapshot.version}"] if rows is None else rows
        answer = ShardAnswer(
            request_id or send.request_id,
            shard or send.shard,
            snapshot or send.snapshot,
            rows,
            load,
        )
        if answer[:3] != (send.request_id, send.shard, send.snapshot):
            self.faults[attempt] = AttemptFault.WRONG_ANSWER
        self.feed(ShardAnswered(attempt, answer))

    def fail(self, attempt, fault, retry_after=None):
        del self.out[attempt]
        self.faults[attempt] = AttemptFault(fault)
        self.feed(AttemptFailed(attempt, AttemptFault(fault), retry_after))

    def answer_all(self):
        while self.out:
            self.answer(next(iter(self.out)))

    def attempts_on(self, shard):
        return [number for number, send in self.out.items() if send.shard == shard]

    def check_not_run(self):
        """Check that no attempt of a request answered as "not run" may have run."""
        attempts_by_request = {}
        for effect in self.effects:
            if isinstance(effect, SendShard):
                attempts_by_request.setdefault(effect.request.request_id, []).append(effect.attempt)
        for query, outcome in self.finished.items():
            if isinstance(outcome, Answered) or outcome.failure.answer.ran is not RunStatus.NOT_RUN:
                continue
            for attempt in attempts_by_request.get(f"r{query}", []):
                assert self.faults.get(attempt) in NOT_RUN_FAULTS, (query, outcome)


__all__ = ["CoreHarness", "Priority", "Rule", "Serve", "make_map", "make_request"]
