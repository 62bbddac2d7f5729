"""The demo: controls, entries, stand-in upstreams and callers in one loop, every answer checked."""

from __future__ import annotations

import tempfile
import tomllib
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import trio
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from ..core.rule_list import RuleList, parse_rules
from ..entry.control_link import ControlLink
from ..entry.entry_node import EntryNode
from ..settings.models import Endpoint, EntrySettings, UpstreamSettings
from .answer_check import check_answer
from .corpus import TOPICS
from .demo_caller import DemoCaller
from .demo_controls import DemoControls
from .deployments import BRAZOS, TRAFIKKFORBUND, Deployment
from .standin_upstream import StandinUpstream

RULES_FILE = Path(__file__).resolve().parents[3] / "examples" / "demo-rules.toml"
ENTRIES = 3
LOOPBACK = "127.0.0.1"
HIGHEST_MICROS = 60_000_000
SHOWN_WRONG = 10
START_LIMIT_S = 60.0


class RuleTally:
    """What was measured of one rule's requests."""

    def __init__(self) -> None:
        self.micros = HdrHistogram(1, HIGHEST_MICROS, 3)
        """Times of whole requests in microseconds."""
        self.coverage = 0.0
        """The sum of the answers' coverage."""
        self.answers = 0
        self.bookings = 0
        """Answers to bookings, which run on one shard."""
        self.needed = 0
        """Shard requests that the answers needed."""
        self.request_ids: list[tuple[str, str]] = []
        """Upstream and request id of each request."""


class Wrong(NamedTuple):
    """An answer that does not agree with what the stand-ins hold."""

    request_id: str
    why: str


class Booking(NamedTuple):
    """A booking that was answered."""

    upstream: str
    request_id: str
    fields: dict[str, object]
    rows: list[Any]


class DemoRun:
    """One deployment's demo.

    Args:
        deployment: Its shape.
        rules: The rules that control is given.
        queries: Queries for each upstream.
        seed: Fixes the stand-ins' service times.
        folder: Where the control hosts keep their files.
    """

    def __init__(
        self, deployment: Deployment, rules: RuleList, queries: int, seed: int, folder: Path
    ) -> None:
        self.deployment = deployment
        self.queries = queries
        self.upstreams = {
            shape.name: StandinUpstream(shape, deployment.zones, seed=seed)
            for shape in deployment.upstreams
        }
        self.tallies: dict[str, RuleTally] = {}
        self.wrong: list[Wrong] = []
        self.bookings = 0
        """Bookings that were answered the same when they were sent again."""
        self._booked: list[Booking] = []
        self._rules = rules
        self._seed = seed
        self._controls = DemoControls(folder, deployment.zones)
        self._entries: list[EntryNode] = []

    async def run(self) -> None:
        """Start everything, send the queries and bookings and check each answer."""
        async with trio.open_nursery() as nursery:
            for upstream in self.upstreams.values():
                await nursery.start(upstream.serve)
            with trio.fail_after(START_LIMIT_S):
                await nursery.start(self._controls.run)
                await self._controls.put_rules(self._rules)
                for number in range(ENTRIES):
                    await self._start_entry(nursery, number)
                await self._until_ready()
            async with trio.open_nursery() as callers:
                for name in self.upstreams:
                    callers.start_soon(self._caller, name)
            self._check_bookings()
            nursery.cancel_scope.cancel()

    async def _start_entry(self, nursery: trio.Nursery, number: int) -> None:
        nowhere = Endpoint(address=LOOPBACK, port=0)
        cfg = EntrySettings(
            name=f"entry-{number + 1}",
            zone=self.deployment.zones[number % len(self.deployment.zones)],
            callers=nowhere,
            operators=nowhere,
            controls=self._controls.endpoints,
            upstreams=tuple(self._upstream_settings()),
        )
        entry = EntryNode(cfg, self._seed, partial(ControlLink, secret=self._controls.secret))
        await nursery.start(entry.run)
        self._entries.append(entry)

    def _upstream_settings(self) -> list[UpstreamSettings]:
        return [
            UpstreamSettings(
                name=name, seeds=(Endpoint(address=LOOPBACK, port=upstream.servers[0].port),)
            )
            for name, upstream in self.upstreams.items()
        ]

    async def _until_ready(self) -> None:
        def ready(entry: EntryNode) -> bool:
            known = all(poller.newest is not None for poller in entry.map_pollers)
            return entry.may_serve and known and len(entry.addresses.roster) == ENTRIES

        while not all(ready(entry) for entry in self._entries):
            await trio.sleep(0.02)

    async def _caller(self, name: str) -> None:
        """Act as one caller: send one request after the other, then the bookings once more."""
        caller = await DemoCaller.connect(LOOPBACK, self._entries[0].port, len(name))
        for number in range(self.queries):
            await self._one_query(caller, name, number)
            if name == self.deployment.booked:
                await self._one_booking(caller, name, number)
        caller.use_next()
        for booking in [item for item in self._booked if item.upstream == name]:
            await self._book_again(caller, booking)
        await caller.aclose()

    async def _one_query(self, caller: DemoCaller, name: str, number: int) -> None:
        topic = TOPICS[number % len(TOPICS)]
        request_id = f"{name}-{number}"
        kind = self.deployment.kinds[name]
        status, answer, micros = await caller.ask(
            "/query", request_id, kind=kind, upstream=name, query={"topic": topic}
        )
        if status != 200:
            self.wrong.append(Wrong(request_id, f"status {status}: {answer}"))
            return
        upstream = self.upstreams[name]
        why = check_answer(upstream, topic, answer)
        if why is not None:
            self.wrong.append(Wrong(request_id, why))
        self._tally(answer, name, request_id, micros, len(upstream.newest.documents))

    async def _one_booking(self, caller: DemoCaller, name: str, number: int) -> None:
        request_id = f"{name}-booking-{number}"
        fields: dict[str, object] = {
            "kind": "booking",
            "upstream": name,
            "query": {},
            "key": f"hour-{number}",
        }
        status, answer, micros = await caller.ask("/run", request_id, **fields)
        if status != 200:
            self.wrong.append(Wrong(request_id, f"status {status}: {answer}"))
            return
        self._booked.append(Booking(name, request_id, fields, answer["rows"]))
        self._tally(answer, name, request_id, micros, 1)
        self.tallies[answer["rule"]].bookings += 1

    async def _book_again(self, caller: DemoCaller, booking: Booking) -> None:
        """Send a booking once more at another entry, as if its answer had been lost."""
        status, answer, _ = await caller.ask("/run", booking.request_id, **booking.fields)
        if status != 200 or answer["rows"] != booking.rows:
            self.wrong.append(Wrong(booking.request_id, f"again, status {status}: {answer}"))
            return
        self.bookings += 1

    def _check_bookings(self) -> None:
        for upstream in self.upstreams.values():
            for request_id, count in Counter(run[0] for run in upstream.runs).items():
                if count > 1:
                    self.wrong.append(Wrong(request_id, f"ran {count} times"))

    def _tally(
        self, answer: dict[str, Any], name: str, request_id: str, micros: int, needed: int
    ) -> None:
        tally = self.tallies.setdefault(answer["rule"], RuleTally())
        tally.micros.record_value(max(1, micros))
        tally.coverage += answer["coverage"]
        tally.answers += 1
        tally.needed += needed
        tally.request_ids.append((name, request_id))

    def extra_load(self, tally: RuleTally) -> float:
        """Return the shard requests that reached the upstreams for each one needed, less one."""
        received = sum(self.upstreams[name].received[item] for name, item in tally.request_ids)
        return received / tally.needed - 1 if tally.needed else 0.0


def _table(run: DemoRun) -> Table:
    table = Table(title=f"{run.deployment.name}: {run.bookings} bookings, each sent twice")
    for column in ("rule", "answers", "p50 ms", "p99 ms", "mean coverage", "extra load"):
        table.add_column(column)
    for rule, tally in sorted(run.tallies.items()):
        table.add_row(
            rule,
            str(tally.answers),
            f"{tally.micros.get_value_at_percentile(50) / 1000:.1f}",
            f"{tally.micros.get_value_at_percentile(99) / 1000:.1f}",
            "one shard" if tally.bookings else f"{tally.coverage / tally.answers:.4f}",
            f"{run.extra_load(tally):+.2%}",
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
        with tempfile.TemporaryDirectory() as folder:
            run = DemoRun(deployment, rules, queries, seed, Path(folder))
            trio.run(run.run)
        console.print(_table(run))
        wrong += run.wrong
    for item in wrong[:SHOWN_WRONG]:
        console.print(f"wrong answer to {item.request_id}: {item.why}")
    console.print("demo: failed" if wrong else "demo: ok")
    return 1 if wrong else 0
