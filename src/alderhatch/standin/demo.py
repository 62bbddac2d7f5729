"""The demo: stand-in upstreams, entries and callers in one loop, every answer checked."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import NamedTuple

import orjson
import trio
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from ..clock import LoopClock
from ..core.rule_list import RuleList, parse_rules
from ..entry.address_book import EntryAddress
from ..entry.entry_node import EntryNode
from ..http.client import HttpConnection, http_once, open_http
from ..settings.models import Endpoint, EntrySettings, UpstreamSettings
from .answer_check import check_answer
from .corpus import TOPICS
from .deployments import BRAZOS, TRAFIKKFORBUND, Deployment
from .standin_upstream import StandinUpstream

RULES_FILE = Path(__file__).resolve().parents[3] / "examples" / "demo-rules.toml"
ENTRIES = 3
LOOPBACK = "127.0.0.1"
HIGHEST_MICROS = 60_000_000
SHOWN_WRONG = 10


class RuleTally:
    """What was measured of one rule's requests."""

    def __init__(self) -> None:
        self.micros = HdrHistogram(1, HIGHEST_MICROS, 3)
        """Times of whole requests in microseconds."""
        self.coverage = 0.0
        """The sum of the answers' coverage."""
        self.answers = 0


class Wrong(NamedTuple):
    """An answer that does not agree with what the stand-ins hold."""

    request_id: str
    why: str


class DemoRun:
    """One deployment's demo."""

    def __init__(self, deployment: Deployment, rules: RuleList, queries: int, seed: int) -> None:
        self.deployment = deployment
        self.rules = rules
        self.queries = queries
        self.seed = seed
        self.upstreams = {
            shape.name: StandinUpstream(shape, deployment.zones, seed=seed)
            for shape in deployment.upstreams
        }
        self.entries: list[EntryNode] = []
        self.tallies: dict[str, RuleTally] = {}
        self.wrong: list[Wrong] = []

    async def run(self) -> None:
        """Start the stand-ins and the entries, send the queries and check each answer."""
        async with trio.open_nursery() as nursery:
            for upstream in self.upstreams.values():
                await nursery.start(upstream.serve)
            for number in range(ENTRIES):
                entry = EntryNode(self._entry_settings(number), self.seed)
                await nursery.start(entry.run)
                entry.change_rules(1, self.rules)
                self.entries.append(entry)
            for entry in self.entries:
                entry.set_roster(
                    EntryAddress(LOOPBACK, other.port, zone)
                    for other, zone in zip(self.entries, self._entry_zones(), strict=True)
                )
            async with trio.open_nursery() as callers:
                for name in self.upstreams:
                    callers.start_soon(self._caller, name)
            nursery.cancel_scope.cancel()

    def _entry_zones(self) -> list[str]:
        zones = self.deployment.zones
        return [zones[number % len(zones)] for number in range(ENTRIES)]

    def _entry_settings(self, number: int) -> EntrySettings:
        nowhere = Endpoint(address=LOOPBACK, port=0)
        upstreams = tuple(
            UpstreamSettings(
                name=name, seeds=(Endpoint(address=LOOPBACK, port=upstream.servers[0].port),)
            )
            for name, upstream in self.upstreams.items()
        )
        return EntrySettings(
            name=f"entry-{number + 1}",
            zone=self._entry_zones()[number],
            callers=nowhere,
            operators=nowhere,
            upstreams=upstreams,
        )

    async def _caller(self, name: str) -> None:
        """Act as one caller: ask for addresses, connect to the first, send query after query."""
        reply = await http_once(LOOPBACK, self.entries[0].port, "GET", "/addresses")
        addresses = orjson.loads(reply.body)["addresses"]
        chosen = addresses[len(name) % len(addresses)]
        conn = await open_http(chosen["address"], chosen["port"])
        for number in range(self.queries):
            await self._one_query(conn, name, number)
        await conn.aclose()

    async def _one_query(self, conn: HttpConnection, name: str, number: int) -> None:
        topic = TOPICS[number % len(TOPICS)]
        request_id = f"{name}-{number}"
        body = {
            "request_id": request_id,
            "caller": "demo",
            "kind": self.deployment.kinds[name],
            "upstream": name,
            "query": {"topic": topic},
        }
        clock = LoopClock()
        start = clock.now()
        reply = await conn.exchange("POST", "/query", orjson.dumps(body))
        micros = int((clock.now() - start) * 1000)
        answer = orjson.loads(reply.body)
        if reply.status != 200:
            self.wrong.append(Wrong(request_id, f"status {reply.status}: {answer}"))
            return
        why = check_answer(self.upstreams[name], topic, answer)
        if why is not None:
            self.wrong.append(Wrong(request_id, why))
        tally = self.tallies.setdefault(answer["rule"], RuleTally())
        tally.micros.record_value(max(1, micros))
        tally.coverage += answer["coverage"]
        tally.answers += 1

    @property
    def extra_load(self) -> float:
        """Shard requests sent for each one needed, less one."""
        sent = sum(entry.core.shard_requests_sent for entry in self.entries)
        needed = sum(entry.core.shard_requests_needed for entry in self.entries)
        return sent / needed - 1 if needed else 0.0


def _table(run: DemoRun) -> Table:
    table = Table(title=f"{run.deployment.name}: extra load {run.extra_load:.2%}")
    for column in ("rule", "answers", "p50 ms", "p99 ms", "mean coverage"):
        table.add_column(column)
    for rule, tally in sorted(run.tallies.items()):
        table.add_row(
            rule,
            str(tally.answers),
            f"{tally.micros.get_value_at_percentile(50) / 1000:.1f}",
            f"{tally.micros.get_value_at_percentile(99) / 1000:.1f}",
            f"{tally.coverage / tally.answers:.4f}",
        )
    return table


def run_demo(queries: int, seed: int) -> int:
    """Run the demo of both deployments and print what was measured.

    Args:
        queries: Queries for each upstream.
        seed: Fixes the stand-ins' service times.

    Returns:
        The exit code: 0 only if every answer was right.
    """
    console = Console()
    rules = parse_rules(tomllib.loads(RULES_FILE.read_text())["rule"])
    wrong: list[Wrong] = []
    for deployment in (BRAZOS, TRAFIKKFORBUND):
        run = DemoRun(deployment, rules, queries, seed)
        trio.run(run.run)
        console.print(_table(run))
        wrong += run.wrong
    for item in wrong[:SHOWN_WRONG]:
        console.print(f"wrong answer to {item.request_id}: {item.why}")
    console.print("demo: failed" if wrong else "demo: ok")
    return 1 if wrong else 0
