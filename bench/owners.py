"""What a shard request costs through an owner, against the direct way.

The front's part, from the core's ``SendShard`` to the event that goes back into it, runs in this
process; the owner and the stand-in servers are processes of their own. Both ways are taken by turns
within one run, with as many shard requests at once as one query sends through one owner. What
callers, the core and the merge cost is the same both ways and not in the figures.
"""

from __future__ import annotations

import statistics
import subprocess
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import orjson
import trio

from alderhatch.clock import LoopClock
from alderhatch.core.entry_events import EntryEvent, SendShard, ShardAnswered
from alderhatch.core.request import Request
from alderhatch.core.shard_map import Server, Snapshot
from alderhatch.entry.attempt_runner import AttemptRunner
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.entry.owner_client import OwnerAddress, OwnerClient, OwnerTraffic

from ._owner_process import SECRET, SHARE
from ._processes import processor_seconds, read_line, started

SHARDS = 30
SIZES = (1, 10, 30)
"""Shard requests of one query that go through one owner."""
ROUNDS = 7
REQUESTS = 900
"""Shard requests in each round, for each of the two ways."""
WARM_UP = 150
DEADLINE = 10_000.0
SILENCE = 1000.0
BODY = b'{"topic": "meals"}'


class Cost(NamedTuple):
    """One way in one round, for each shard request."""

    front_us: float
    """Processor time of the front."""
    owner_us: float
    """Processor time of the owner."""
    latency_us: float
    """The median time of a whole query."""


class Front:
    """Sends queries one after the other and waits for all answers of each.

    Args:
        shards: Shard names with their servers' ids.
    """

    def __init__(self, shards: list[tuple[str, str]]) -> None:
        self._shards = shards
        self._clock = LoopClock()
        self._last = 0
        self._left = 0
        self._done = trio.Event()

    def feed(self, event: EntryEvent) -> None:
        """Take the end of an attempt."""
        if not isinstance(event, ShardAnswered):
            raise RuntimeError(f"no answer: {event}")
        self._left -= 1
        if not self._left:
            self._done.set()

    async def query(self, runner: AttemptRunner, size: int) -> None:
        """Send one query's shard requests at once."""
        self._left = size
        self._done = trio.Event()
        request = Request("bench-1", "bench", "route", "navigator", BODY)
        deadline = self._clock.now() + DEADLINE
        for shard, server_id in self._shards[:size]:
            self._last += 1
            runner.start(
                SendShard(
                    self._last,
                    f"bench-{self._last}",
                    "navigator",
                    server_id,
                    shard,
                    Snapshot(1, 1),
                    deadline,
                    request,
                )
            )
        await self._done.wait()


async def _round(ask: Callable[[], Awaitable[None]], queries: int, size: int, owner: int) -> Cost:
    spans = []
    front, behind = time.process_time(), processor_seconds(owner)
    for _ in range(queries):
        start = time.perf_counter()
        await ask()
        spans.append(time.perf_counter() - start)
    each = 1e6 / queries / size
    return Cost(
        (time.process_time() - front) * each,
        (processor_seconds(owner) - behind) * each,
        statistics.median(spans) * 1e6,
    )


async def _measure(
    servers: list[Server], shards: list[tuple[str, str]], port: int, pid: int
) -> None:
    front = Front(shards)
    own, none = ConnectionPool(SHARE), ConnectionPool(SHARE)
    none.set_shares({})
    owners = OwnerClient("front", SECRET, SILENCE)
    owners.set_owners({"owner": OwnerAddress("127.0.0.1", port)}, lambda server_id: ("owner",))
    direct = AttemptRunner(own, front.feed)
    through = AttemptRunner(none, front.feed, owners)
    async with trio.open_nursery() as nursery:
        for part in (own.run, none.run, owners.run, direct.run, through.run):
            await nursery.start(part)
        own.update_servers("navigator", servers, ())
        for size in SIZES:
            await _compare(front, direct, through, owners, size, pid)
        nursery.cancel_scope.cancel()


async def _compare(
    front: Front,
    direct: AttemptRunner,
    through: AttemptRunner,
    owners: OwnerClient,
    size: int,
    pid: int,
) -> None:
    async def ask_direct() -> None:
        await front.query(direct, size)

    async def ask_through() -> None:
        await front.query(through, size)

    for ask in (ask_direct, ask_through):
        await _round(ask, WARM_UP // size, size, pid)
    queries = REQUESTS // size
    pairs: list[tuple[Cost, Cost]] = []
    used = OwnerTraffic(0, 0, 0)
    for _ in range(ROUNDS):
        one = await _round(ask_direct, queries, size, pid)
        before = owners.traffic
        other = await _round(ask_through, queries, size, pid)
        after = owners.traffic
        used = OwnerTraffic(*(b - a + u for a, b, u in zip(before, after, used, strict=True)))
        pairs.append((one, other))
    _show(size, pairs, OwnerTraffic(*used), ROUNDS * queries)


def _show(size: int, pairs: list[tuple[Cost, Cost]], used: OwnerTraffic, queries: int) -> None:
    def median(of: Callable[[Cost, Cost], float]) -> float:
        return statistics.median(of(one, other) for one, other in pairs)

    print(
        f"{size} shard requests at once: direct {median(lambda a, b: a.front_us):.0f} us at the"
        f" front; through an owner {median(lambda a, b: b.front_us):.0f} us at the front and"
        f" {median(lambda a, b: b.owner_us):.0f} us at the owner, each"
    )
    print(
        f"  a query: {used.messages / queries:.2f} messages out, {used.sent_bytes / queries:.0f}"
        f" bytes out, {used.received_bytes / queries:.0f} bytes in; direct"
        f" {median(lambda a, b: a.latency_us):.0f} us, through an owner"
        f" {median(lambda a, b: b.latency_us):.0f} us,"
        f" {median(lambda a, b: b.latency_us - a.latency_us):+.0f} us",
        flush=True,
    )


def _servers(process: subprocess.Popen[str]) -> tuple[list[Server], list[tuple[str, str]]]:
    raw = orjson.loads(read_line(process))
    servers = [
        Server(*(item[k] for k in ("id", "address", "port", "zone", "slots", "max_connections")))
        for item in raw["servers"]
    ]
    return servers, [(item["name"], item["servers"][0]) for item in raw["shards"]]


def main() -> None:
    """Measure and print."""
    with started("bench._standin_process", str(SHARDS)) as standin:
        servers, shards = _servers(standin)
        with started(
            "bench._owner_process", orjson.dumps([list(one) for one in servers]).decode()
        ) as owner:
            port = int(read_line(owner))
            trio.run(_measure, servers, shards, port, owner.pid)


if __name__ == "__main__":
    main()
