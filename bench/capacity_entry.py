"""What an entry's decisions cost, and what it keeps for each server, shard and rule."""

from __future__ import annotations

import heapq
import itertools
import statistics
import time
from collections.abc import Iterator
from functools import partial
from random import Random

from alderhatch.core.entry_core import EntryCore
from alderhatch.core.entry_events import (
    Answered,
    CancelAttempt,
    EntryEffect,
    Finish,
    LoadReport,
    QueryArrived,
    RulesChanged,
    SendShard,
    ShardAnswer,
    ShardAnswered,
    ShardMapFetched,
    WakeAt,
    Woke,
)
from alderhatch.core.request import Request
from alderhatch.core.rule import Rule, Serve, When
from alderhatch.core.rule_list import RuleList
from alderhatch.core.shard_map import Server, Shard, ShardMap, Snapshot

from .slope import Slope, bytes_held, fit_slope

UPSTREAM = "navigator"
SHARDS = (50, 200, 400, 590)
"""Shards, and so servers, that one query goes to."""
TAIL_SHARDS = (50, 200, 590)
SERVER_COUNTS = (330, 1100, 2200, 3300)
RULE_COUNTS = (10, 100, 400)
REPLICAS = 2
WARM_UP = 5
QUERIES = 30
MEDIAN_MS = 2.0
SIGMA = 0.5
STRAGGLER_SHARE = 0.02
STRAGGLER_FACTOR = 10.0
TAIL_QUERIES = 600
TAIL_GAP_MS = 25.0
"""Between two queries of the run on the virtual clock; no server ever has a queue."""
SEED = 1


def make_map(shards: int) -> ShardMap:
    """Return a map with two servers for each shard, each of which holds two shards."""
    names = [f"server-{number:05d}" for number in range(shards)]
    servers = tuple(
        Server(name, "10.0.0.1", 9000 + number, "waco-hall", 2, 30)
        for number, name in enumerate(names)
    )
    held = tuple(
        Shard(f"s{number:05d}", 1000, (names[number], names[(number + 1) % shards]))
        for number in range(shards)
    )
    return ShardMap(UPSTREAM, Snapshot(1, 1), held, servers)


def make_rules(count: int) -> RuleList:
    """Return a list whose last rule serves everything."""
    first = [
        Rule(f"rule-{number}", Serve(), When(kind=(f"kind-{number}",), upstream=(UPSTREAM,)))
        for number in range(count - 1)
    ]
    return RuleList([*first, Rule("rest", Serve(deadline_ms=5000.0))])


def make_core(shards: int, rules: int = 10) -> EntryCore:
    """Return an entry's core that knows a map and rules."""
    core = EntryCore("entry-1", Random(SEED))
    core.step(RulesChanged(1, make_rules(rules)), 0.0)
    core.step(ShardMapFetched(make_map(shards)), 0.0)
    return core


def _request(number: int) -> Request:
    return Request(str(number), "robot", "route", UPSTREAM, b'{"topic":"corridor"}')


def _answer(send: SendShard) -> ShardAnswered:
    load = LoadReport(0, 0)
    answer = ShardAnswer(send.request_id, send.shard, send.snapshot, [], load)
    return ShardAnswered(send.attempt, answer)


class VirtualRun:
    """Drives a core on a virtual clock, with servers that have no queue.

    Args:
        core: The core.
        rng: The source of service times; None answers after one millisecond.
    """

    def __init__(self, core: EntryCore, rng: Random | None) -> None:
        self._core = core
        self._rng = rng
        self._due: list[tuple[float, int, SendShard | None]] = []
        self._order = itertools.count()
        self._cancelled: set[int] = set()
        self._started: dict[int, float] = {}
        self.spans: list[float] = []
        """The time of each query in milliseconds."""

    def ask(self, number: int, now: float) -> None:
        """Begin a query."""
        self._started[number] = now
        self._carry_out(self._core.step(QueryArrived(number, _request(number)), now), now)

    def run_until(self, end: float) -> None:
        """Let time pass until a point in time."""
        while self._due and self._due[0][0] <= end:
            now, _, send = heapq.heappop(self._due)
            if send is None:
                self._carry_out(self._core.step(Woke(), now), now)
            elif send.attempt not in self._cancelled:
                self._carry_out(self._core.step(_answer(send), now), now)

    def _carry_out(self, effects: list[EntryEffect], now: float) -> None:
        for effect in effects:
            match effect:
                case SendShard():
                    self._push(now + self._service_time(), effect)
                case CancelAttempt(attempt=attempt):
                    self._cancelled.add(attempt)
                case WakeAt(at=at):
                    self._push(max(at, now), None)
                case Finish(query=query, outcome=outcome):
                    if not isinstance(outcome, Answered) or outcome.coverage < 1:
                        raise RuntimeError(f"a query of the benchmark failed: {outcome}")
                    self.spans.append(now - self._started.pop(query))

    def _push(self, at: float, send: SendShard | None) -> None:
        heapq.heappush(self._due, (at, next(self._order), send))

    def _service_time(self) -> float:
        if self._rng is None:
            return 1.0
        span = MEDIAN_MS * self._rng.lognormvariate(0.0, SIGMA)
        return span * STRAGGLER_FACTOR if self._rng.random() < STRAGGLER_SHARE else span


def _cpu_per_query(shards: int) -> float:
    run = VirtualRun(make_core(shards), None)
    spans = []
    for number in range(WARM_UP + QUERIES):
        now = number * 1000.0
        start = time.process_time_ns()
        run.ask(number, now)
        run.run_until(now + 999.0)
        spans.append((time.process_time_ns() - start) / 1000)
    if len(run.spans) != WARM_UP + QUERIES:
        raise RuntimeError("a query of the benchmark was not answered")
    return statistics.median(spans[WARM_UP:])


def core_query() -> Slope:
    """Return the processor time of the core's decisions for one query by its shards."""
    values = [_cpu_per_query(shards) for shards in SHARDS]
    return fit_slope("core: plan, send, gather, merge", "us", "shard of a query", SHARDS, values)


def server_memory() -> Slope:
    """Return the memory that the core keeps by the servers in its map."""
    values = [bytes_held(partial(make_core, count)) for count in SERVER_COUNTS]
    return fit_slope("core: map and view of servers", "bytes", "server", SERVER_COUNTS, values)


def rule_memory() -> Slope:
    """Return the memory that rules take by their number."""
    values = [bytes_held(partial(make_rules, count)) for count in RULE_COUNTS]
    return fit_slope("rules", "bytes", "rule", RULE_COUNTS, values)


def running_memory() -> Slope:
    """Return the memory that the core keeps by the queries that run, of 590 shards each."""
    counts = (1, 4, 8)
    values = [bytes_held(partial(_running, count)) for count in counts]
    return fit_slope("core: running queries", "bytes", "query of 590 shards", counts, values)


def _running(count: int) -> VirtualRun:
    run = VirtualRun(make_core(SHARDS[-1]), None)
    for number in range(count):
        run.ask(number, 0.0)
    return run


def tail_points() -> Iterator[tuple[int, float, float]]:
    """Yield, for each number of shards, the median and the p99 of queries in milliseconds.

    Servers have no queue, and neither processor time nor the network is counted: what is left is
    the tail that stragglers cause and what hedging makes of it.
    """
    for shards in TAIL_SHARDS:
        run = VirtualRun(make_core(shards), Random(SEED))
        for number in range(TAIL_QUERIES):
            run.ask(number, number * TAIL_GAP_MS)
            run.run_until((number + 1) * TAIL_GAP_MS)
        run.run_until(TAIL_QUERIES * TAIL_GAP_MS + 5000.0)
        cut = statistics.quantiles(run.spans, n=100)
        yield shards, statistics.median(run.spans), cut[98]
