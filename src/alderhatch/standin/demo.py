"""The demo: runs a whole tier with callers in one event loop and checks every answer."""

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
ENTRY_COUNT = 3
LOOPBACK = "127.0.0.1"
MAX_LATENCY_MICROS = 60_000_000
MAX_SHOWN_ERRORS = 10
START_TIMEOUT_S = 60.0


class RuleStats:
    """Measurements of the requests under one rule."""

    def __init__(self) -> None:
        self.micros = HdrHistogram(1, MAX_LATENCY_MICROS, 3)
        """Request latencies in microseconds, resends included."""
        self.coverage = 0.0
        """Sum of the coverage of all answers."""
        self.answers = 0
        self.bookings = 0
        """Number of answers to bookings, which run on one shard."""
        self.required = 0
        """Number of shard requests that the answers required without retries and hedges."""
        self.request_ids: list[tuple[str, str]] = []
        """Upstream and request ID of each request."""


class WrongAnswer(NamedTuple):
    """A request with a wrong answer, or a booking that ran more than once."""

    request_id: str
    why: str


class Booking(NamedTuple):
    """A booking that was answered."""

    upstream: str
    request_id: str
    fields: dict[str, object]
    rows: list[Any]


class DemoRun:
    """The demo of one deployment.

    Args:
        deployment: Zones, upstreams and kinds of request.
        rules: The rules to put in force.
        queries: Number of queries sent to each upstream.
        seed: Seed of the stand-ins' service times and of the entries.
        folder: Parent of the control hosts' data folders.
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
        self.rule_stats: dict[str, RuleStats] = {}
        self.wrong: list[WrongAnswer] = []
        self.bookings = 0
        """Number of bookings whose resend got the same answer."""
        self._answered_bookings: list[Booking] = []
        self._rules = rules
        self._seed = seed
        self._controls = DemoControls(folder, deployment.zones)
        self._entries: list[EntryNode] = []

    async def run(self) -> None:
        """Start the tier, send the queries and bookings and check every answer."""
        async with trio.open_nursery() as nursery:
            for upstream in self.upstreams.values():
                await nursery.start(upstream.serve)
            with trio.fail_after(START_TIMEOUT_S):
                await nursery.start(self._controls.run)
                await self._controls.put_rules(self._rules)
                for number in range(ENTRY_COUNT):
                    await self._start_entry(nursery, number)
                await self._wait_until_ready()
            async with trio.open_nursery() as callers:
                for name in self.upstreams:
                    callers.start_soon(self._run_caller, name)
            self._check_bookings()
            nursery.cancel_scope.cancel()

    async def _start_entry(self, nursery: trio.Nursery, number: int) -> None:
        any_port = Endpoint(address=LOOPBACK, port=0)
        cfg = EntrySettings(
            name=f"entry-{number + 1}",
            zone=self.deployment.zones[number % len(self.deployment.zones)],
            callers=any_port,
            operators=any_port,
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

    async def _wait_until_ready(self) -> None:
        def is_ready(entry: EntryNode) -> bool:
            maps_known = all(poller.newest is not None for poller in entry.map_pollers)
            return entry.may_serve and maps_known and len(entry.addresses.roster) == ENTRY_COUNT

        while not all(is_ready(entry) for entry in self._entries):
            await trio.sleep(0.02)

    async def _run_caller(self, name: str) -> None:
        """Send requests one after another as one caller, then resend the bookings."""
        caller = await DemoCaller.connect(LOOPBACK, self._entries[0].port, len(name))
        for number in range(self.queries):
            await self._send_query(caller, name, number)
            if name == self.deployment.booked:
                await self._send_booking(caller, name, number)
        caller.use_next()
        for booking in [item for item in self._answered_bookings if item.upstream == name]:
            await self._resend_booking(caller, booking)
        await caller.aclose()

    async def _send_query(self, caller: DemoCaller, name: str, number: int) -> None:
        topic = TOPICS[number % len(TOPICS)]
        request_id = f"{name}-{number}"
        kind = self.deployment.kinds[name]
        status, answer, micros = await caller.send(
            "/query", request_id, kind=kind, upstream=name, query={"topic": topic}
        )
        if status != 200:
            self.wrong.append(WrongAnswer(request_id, f"status {status}: {answer}"))
            return
        upstream = self.upstreams[name]
        why = check_answer(upstream, topic, answer)
        if why is not None:
            self.wrong.append(WrongAnswer(request_id, why))
        self._record(answer, name, request_id, micros, len(upstream.newest.documents))

    async def _send_booking(self, caller: DemoCaller, name: str, number: int) -> None:
        request_id = f"{name}-booking-{number}"
        fields: dict[str, object] = {
            "kind": "booking",
            "upstream": name,
            "query": {},
            "key": f"hour-{number}",
        }
        status, answer, micros = await caller.send("/run", request_id, **fields)
        if status != 200:
            self.wrong.append(WrongAnswer(request_id, f"status {status}: {answer}"))
            return
        self._answered_bookings.append(Booking(name, request_id, fields, answer["rows"]))
        self._record(answer, name, request_id, micros, 1)
        self.rule_stats[answer["rule"]].bookings += 1

    async def _resend_booking(self, caller: DemoCaller, booking: Booking) -> None:
        """Resend a booking to another entry, as a caller does after a lost answer."""
        status, answer, _ = await caller.send("/run", booking.request_id, **booking.fields)
        if status != 200 or answer["rows"] != booking.rows:
            self.wrong.append(WrongAnswer(booking.request_id, f"resent, status {status}: {answer}"))
            return
        self.bookings += 1

    def _check_bookings(self) -> None:
        for upstream in self.upstreams.values():
            for request_id, count in Counter(run[0] for run in upstream.runs).items():
                if count > 1:
                    self.wrong.append(
                        WrongAnswer(request_id, f"booking ran {count} times, expected at most 1")
                    )

    def _record(
        self, answer: dict[str, Any], name: str, request_id: str, micros: int, required: int
    ) -> None:
        stats = self.rule_stats.setdefault(answer["rule"], RuleStats())
        stats.micros.record_value(max(1, micros))
        stats.coverage += answer["coverage"]
        stats.answers += 1
        stats.required += required
        stats.request_ids.append((name, request_id))

    def extra_load(self, stats: RuleStats) -> float:
        """Return the ratio of additional shard requests to required ones."""
        received = sum(self.upstreams[name].received[item] for name, item in stats.request_ids)
        return received / stats.required - 1 if stats.required else 0.0


def _table(run: DemoRun) -> Table:
    table = Table(title=f"{run.deployment.name}: {run.bookings} bookings, each sent twice")
    for column in ("rule", "answers", "p50 ms", "p99 ms", "mean coverage", "extra load"):
        table.add_column(column)
    for rule, stats in sorted(run.rule_stats.items()):
        table.add_row(
            rule,
            str(stats.answers),
            f"{stats.micros.get_value_at_percentile(50) / 1000:.1f}",
            f"{stats.micros.get_value_at_percentile(99) / 1000:.1f}",
            "one shard" if stats.bookings else f"{stats.coverage / stats.answers:.4f}",
            f"{run.extra_load(stats):+.2%}",
        )
    return table


def run_demo(queries: int, seed: int) -> int:
    """Run the demo of both deployments and print the measurements.

    Args:
        queries: Number of queries sent to each upstream.
        seed: Seed of the stand-ins' service times and of the entries.

    Returns:
        The exit code: 0 if every answer was correct, otherwise 1.
    """
    console = Console()
    rules = parse_rules(tomllib.loads(RULES_FILE.read_text())["rule"])
    wrong: list[WrongAnswer] = []
    for deployment in (BRAZOS, TRAFIKKFORBUND):
        with tempfile.TemporaryDirectory() as folder:
            run = DemoRun(deployment, rules, queries, seed, Path(folder))
            trio.run(run.run)
        console.print(_table(run))
        wrong += run.wrong
    for item in wrong[:MAX_SHOWN_ERRORS]:
        console.print(f"wrong answer to {item.request_id}: {item.why}")
    console.print("demo: failed" if wrong else "demo: ok")
    return 1 if wrong else 0
