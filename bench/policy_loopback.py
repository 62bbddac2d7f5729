"""The real entry over loopback sockets against a naive fan-out, with faults at the servers.

One process and one loop hold a stand-in upstream of 20 shards with two servers each, an entry and
the callers. Both ways run the same arrivals one after the other against servers of the same seed:
each query goes to the entry over HTTP, or straight to one server of each shard drawn by chance, of
which all answers are waited for. Servers take 20 ms at the median, so that the loop's own work is
small beside it; 2 % of the shard requests take ten times as long.

``python -m bench.policy_loopback`` takes some three minutes.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, NamedTuple

import orjson
import trio
from hdrh.histogram import HdrHistogram

from alderhatch.clock import SECOND, LoopClock, Millis
from alderhatch.entry.entry_node import EntryNode
from alderhatch.http.client import open_http
from alderhatch.http.connection import HttpConnection
from alderhatch.http.exchange import HttpExchangeError
from alderhatch.settings.models import Endpoint, EntrySettings, UpstreamSettings
from alderhatch.standin.standin_server import ServiceTime, UpstreamShape
from alderhatch.standin.standin_upstream import StandinUpstream

LOOPBACK = "127.0.0.1"
SHAPE = UpstreamShape("navigator", 20, 2, 2, 30, 6.0)
SERVICE = ServiceTime(20.0, 0.5, 0.02, 10.0)
ZONES = ("austin-hall", "waco-hall")
QUERIES = 200
WARM_UP = 20
RATE = 10.0
"""Queries a second."""
DEADLINE: Millis = 2 * SECOND
SEED = 1
HIGHEST_MICROS = 60_000_000

Ask = Callable[[int], Any]


class Scenario(NamedTuple):
    """A fault that all of a run's queries meet."""

    name: str
    break_servers: Callable[[StandinUpstream], None]


class Outcome(NamedTuple):
    """What one way made of a scenario."""

    p50: Millis
    p99: Millis
    coverage: float
    """The mean; a refused or failed query counts as 0."""
    received: float
    """Shard requests that reached the servers, for each one needed."""


def _nothing(upstream: StandinUpstream) -> None:
    pass


def _one_slow(upstream: StandinUpstream) -> None:
    upstream.servers[0].faults.straggle_ms = 100.0


def _one_lost(upstream: StandinUpstream) -> None:
    upstream.servers[0].faults.lose = True


def _two_shed(upstream: StandinUpstream) -> None:
    for server in (upstream.servers[0], upstream.servers[2]):
        server.faults.shed_ms = 500.0


SCENARIOS = (
    Scenario("stragglers only", _nothing),
    Scenario("one server 100 ms slower", _one_slow),
    Scenario("one server loses each request", _one_lost),
    Scenario("two servers shed", _two_shed),
)


def _query(number: int) -> dict[str, object]:
    return {
        "request_id": f"q-{number}",
        "caller": "bench",
        "kind": "route",
        "upstream": SHAPE.name,
        "deadline_ms": DEADLINE,
        "query": {"topic": "towels", "number": number},
    }


class _Connections:
    """Connections to one place, each used by one exchange at a time."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._idle: list[HttpConnection] = []

    async def post(self, path: str, body: object) -> tuple[int, dict[str, Any]]:
        conn = self._idle.pop() if self._idle else await open_http(LOOPBACK, self._port)
        reply = await conn.exchange("POST", path, orjson.dumps(body))
        if conn.usable:
            self._idle.append(conn)
        return reply.status, orjson.loads(reply.body)


async def _through_entry(conns: _Connections, number: int) -> float:
    status, answer = await conns.post("/query", _query(number))
    return float(answer["coverage"]) if status == 200 else 0.0


class _Naive:
    """One server of each shard drawn by chance; waits for all of them."""

    def __init__(self, upstream: StandinUpstream) -> None:
        self._rng = Random(f"{SEED}/naive")
        layout = upstream.newest
        self._holders = [
            (shard, [_Connections(server.port) for server in upstream.holders(shard)])
            for shard in layout.documents
        ]
        self._snapshot = layout.snapshot

    async def ask(self, number: int) -> float:
        answered: list[str] = []
        with trio.move_on_after(DEADLINE / SECOND):
            async with trio.open_nursery() as nursery:
                for shard, holders in self._holders:
                    conns = self._rng.choice(holders)
                    nursery.start_soon(self._one, conns, shard, number, answered)
        return len(answered) / len(self._holders)

    async def _one(self, conns: _Connections, shard: str, number: int, answered: list[str]) -> None:
        query = _query(number)
        body = {
            "id": f"naive-{number}-{shard}",
            "shard": shard,
            "version": self._snapshot.version,
            "epoch": self._snapshot.epoch,
            "deadline_ms": DEADLINE,
            "request_id": query["request_id"],
            "kind": query["kind"],
            "idempotent": True,
            "query": query["query"],
        }
        try:
            status, _ = await conns.post("/shard", body)
        except HttpExchangeError:
            return
        if status == 200:
            answered.append(shard)


class _Tally:
    def __init__(self) -> None:
        self.micros = HdrHistogram(1, HIGHEST_MICROS, 3)
        self.coverage = 0.0

    async def one(self, ask: Ask, number: int) -> None:
        clock = LoopClock()
        start = clock.now()
        covered = await ask(number)
        self.coverage += covered
        self.micros.record_value(max(1, int((clock.now() - start) * 1000)))


async def _arrivals(ask: Ask, first: int, count: int) -> _Tally:
    """Send queries at seeded times, whether or not earlier ones have been answered."""
    rng = Random(f"{SEED}/arrivals")
    tally = _Tally()
    async with trio.open_nursery() as nursery:
        for number in range(first, first + count):
            await trio.sleep(rng.expovariate(RATE))
            nursery.start_soon(tally.one, ask, number)
    return tally


async def _measure(upstream: StandinUpstream, scenario: Scenario, ask: Ask) -> Outcome:
    await _arrivals(ask, 0, WARM_UP)
    scenario.break_servers(upstream)
    before = upstream.received.total()
    tally = await _arrivals(ask, WARM_UP, QUERIES)
    needed = QUERIES * SHAPE.shards
    return Outcome(
        tally.micros.get_value_at_percentile(50) / 1000,
        tally.micros.get_value_at_percentile(99) / 1000,
        tally.coverage / QUERIES,
        (upstream.received.total() - before) / needed,
    )


async def _run(scenario: Scenario, entry: bool) -> Outcome:
    upstream = StandinUpstream(SHAPE, ZONES, seed=SEED, service_time=SERVICE)
    async with trio.open_nursery() as nursery:
        await nursery.start(upstream.serve)
        ask: Ask = _Naive(upstream).ask
        if entry:
            node = await _started_entry(nursery, upstream)
            ask = partial(_through_entry, _Connections(node.port))
        found = await _measure(upstream, scenario, ask)
        nursery.cancel_scope.cancel()
    return found


async def _started_entry(nursery: trio.Nursery, upstream: StandinUpstream) -> EntryNode:
    nowhere = Endpoint(address=LOOPBACK, port=0)
    seed = Endpoint(address=LOOPBACK, port=upstream.servers[0].port)
    cfg = EntrySettings(
        name="bench-entry",
        zone=ZONES[0],
        callers=nowhere,
        operators=nowhere,
        upstreams=(UpstreamSettings(name=SHAPE.name, seeds=(seed,)),),
    )
    node = EntryNode(cfg, SEED)
    await nursery.start(node.run)
    while any(poller.newest is None for poller in node.map_pollers):
        await trio.sleep(0.02)
    return node


def main() -> None:
    """Run every scenario both ways and print a table."""
    print("| scenario | way | p50 ms | p99 ms | coverage | received / needed |")
    print("| --- | --- | --- | --- | --- | --- |")
    for scenario in SCENARIOS:
        for entry in (False, True):
            found = trio.run(_run, scenario, entry)
            way = "alderhatch" if entry else "naive"
            figures = f"{found.p50:.1f} | {found.p99:.1f} | {found.coverage:.4f}"
            print(f"| {scenario.name} | {way} | {figures} | {found.received:.3f} |", flush=True)


if __name__ == "__main__":
    main()
