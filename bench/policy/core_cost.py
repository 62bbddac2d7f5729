"""Processor time that the core alone takes for each shard request."""

from __future__ import annotations

import time
from random import Random
from statistics import median

from alderhatch.core.entry_core import EntryCore
from alderhatch.core.entry_events import (
    LoadReport,
    QueryArrived,
    RulesChanged,
    SendShard,
    ShardAnswer,
    ShardAnswered,
    ShardMapFetched,
)
from alderhatch.core.request import Request
from alderhatch.core.rule import Rule, Serve
from alderhatch.core.rule_list import RuleList

from .shapes import NAVIGATOR

QUERIES = 400
ROUNDS = 7
MICROS = 1e6
GAP_MS = 0.3


def measure_core() -> float:
    """Return the median of some rounds, in microseconds for each shard request."""
    return median(_round() for _ in range(ROUNDS))


def _round() -> float:
    core = EntryCore("entry-0", Random(1), "austin-hall")
    core.step(RulesChanged(1, RuleList([Rule("full", Serve())])), 0.0)
    core.step(ShardMapFetched(NAVIGATOR.shard_map()), 0.0)
    load = LoadReport(1, 0)
    now = 0.0
    sent = 0
    start = time.process_time()
    for query in range(QUERIES):
        body = b'{"q":%d}' % query
        request = Request(f"r{query}", "desk", "route", "navigator", body)
        todo = core.step(QueryArrived(query, request), now)
        while todo:
            effect = todo.pop()
            if not isinstance(effect, SendShard):
                continue
            sent += 1
            now += GAP_MS
            answer = ShardAnswer(effect.request_id, effect.shard, effect.snapshot, [1], load)
            todo += core.step(ShardAnswered(effect.attempt, answer), now)
    return (time.process_time() - start) * MICROS / sent


if __name__ == "__main__":
    print(f"{measure_core():.1f} us of processor time for each shard request")
