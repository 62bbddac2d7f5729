"""What an entry costs: processor time per shard request, and memory.

The whole entry (caller's request in, rules, admission, choice of servers, hedges, checks, merge,
answer out, health and map polls beside it) is compared with a bare trio + h11 loop that sends the
same shard requests over as many warm connections. Both run as processes of their own against the
same stand-in servers, which are a process of their own too, by turns within one run.
"""

from __future__ import annotations

import statistics
import subprocess
import sys
from collections.abc import Sequence

import h11
import orjson
import trio

from ._processes import processor_seconds, read_line, resident_megabytes, send_line, started

SHARDS = 30
ROUNDS = 7
QUERIES = 200
"""In each round, for each of the two; one after the other."""
WARM_UP = 60
GROWTH_SHARDS = 2
GROWTH_QUERIES = 50_000
GROWTH_FROM = 5_000
"""Memory is compared with that after so many queries, when caches and pools are filled."""
GROWTH_CALLERS = 4
RATIO_LIMIT = 2.0
IDLE_LIMIT_MB = 64.0
GROWTH_LIMIT_MB = 2.0

BODY = {
    "request_id": "bench-1",
    "caller": "bench",
    "kind": "route",
    "upstream": "navigator",
    "query": {"topic": "meals"},
}


class Caller:
    """One caller with one connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)
        body = orjson.dumps(BODY)
        head = f"POST /query HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        self._request = head.encode() + body

    async def ask(self, count: int) -> None:
        """Send queries one after the other.

        Raises:
            RuntimeError: If one is not answered whole.
        """
        for _ in range(count):
            await self._stream.send_all(self._request)
            answer = b""
            # The parser is told of a request so that it takes what comes for the answer to it.
            self._http.send(h11.Request(method="POST", target="/", headers=[("Host", "x")]))
            self._http.send(h11.EndOfMessage())
            while not isinstance(event := self._http.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    self._http.receive_data(await self._stream.receive_some(65_536))
                elif isinstance(event, h11.Data):
                    answer += event.data
            self._http.start_next_cycle()
            if orjson.loads(answer).get("coverage") != 1:
                raise RuntimeError(f"not a whole answer: {answer[:300]!r}")


async def _ask(port: int, callers: int, count: int) -> None:
    async with trio.open_nursery() as nursery:
        for _ in range(callers):
            caller = Caller(await trio.open_tcp_stream("127.0.0.1", port))
            nursery.start_soon(caller.ask, count // callers)


def _shards(process: subprocess.Popen[str]) -> list[tuple[str, int]]:
    shard_map = orjson.loads(read_line(process))
    ports = {item["id"]: item["port"] for item in shard_map["servers"]}
    return [(item["name"], ports[item["servers"][0]]) for item in shard_map["shards"]]


def _bare_argument(shards: Sequence[tuple[str, int]]) -> str:
    body = {
        "id": "bare-entry-1000000",
        "shard": "",
        "version": 1,
        "epoch": 1,
        "deadline_ms": 1000,
        "request_id": BODY["request_id"],
        "kind": BODY["kind"],
        "idempotent": True,
        "query": BODY["query"],
    }
    return orjson.dumps({"shards": shards, "body": body}).decode()


def _bare_round(bare: subprocess.Popen[str], count: int) -> float:
    before = processor_seconds(bare.pid)
    send_line(bare, str(count))
    read_line(bare)
    return (processor_seconds(bare.pid) - before) / count / SHARDS * 1e6


def _entry_round(entry: subprocess.Popen[str], port: int, count: int) -> float:
    before = processor_seconds(entry.pid)
    trio.run(_ask, port, 1, count)
    return (processor_seconds(entry.pid) - before) / count / SHARDS * 1e6


def measure_processor_time() -> tuple[float, float]:
    """Return the ratio of entry and bare loop, and the idle entry's memory in MB."""
    with started("bench._standin_process", str(SHARDS)) as standin:
        shards = _shards(standin)
        with (
            started("bench._bare_fanout", _bare_argument(shards)) as bare,
            started("bench._entry_process", str(shards[0][1])) as entry,
        ):
            port = int(read_line(entry))
            idle = resident_megabytes(entry.pid)
            _bare_round(bare, WARM_UP)
            _entry_round(entry, port, WARM_UP)
            pairs = []
            for number in range(ROUNDS):
                pair = (_bare_round(bare, QUERIES), _entry_round(entry, port, QUERIES))
                pairs.append(pair)
                print(
                    f"round {number + 1}: bare {pair[0]:.0f} us, entry {pair[1]:.0f} us a shard"
                    f" request, ratio {pair[1] / pair[0]:.2f}",
                    flush=True,
                )
    return statistics.median(entry / bare for bare, entry in pairs), idle


def measure_growth() -> float:
    """Return by how many MB an entry grows from the first thousands of queries to the last."""
    with started("bench._standin_process", str(GROWTH_SHARDS)) as standin:
        shards = _shards(standin)
        with started("bench._entry_process", str(shards[0][1])) as entry:
            port = int(read_line(entry))
            trio.run(_ask, port, GROWTH_CALLERS, GROWTH_FROM)
            before = resident_megabytes(entry.pid)
            trio.run(_ask, port, GROWTH_CALLERS, GROWTH_QUERIES - GROWTH_FROM)
            after = resident_megabytes(entry.pid)
    print(f"memory after {GROWTH_FROM} queries {before:.1f} MB, after {GROWTH_QUERIES} {after:.1f}")
    return after - before


def goal(name: str, value: float, limit: float) -> None:
    """Print one goal with what was measured."""
    print(f"goal {name} {value:.2f} {limit:g} {'met' if value <= limit else 'missed'}")


def main() -> None:
    """Measure all and print the goals."""
    ratio, idle = measure_processor_time()
    growth = measure_growth() if "--no-growth" not in sys.argv else None
    goal("entry-cpu-per-shard-request-vs-bare", ratio, RATIO_LIMIT)
    goal("entry-idle-memory-mb", idle, IDLE_LIMIT_MB)
    if growth is not None:
        goal("entry-growth-over-50k-queries-mb", growth, GROWTH_LIMIT_MB)


if __name__ == "__main__":
    main()
