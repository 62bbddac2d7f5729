"""Entries and servers of one upstream on one virtual clock."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from alderhatch.clock import SECOND, Millis
from alderhatch.core.policy import Policy
from alderhatch.core.priority import Priority
from alderhatch.core.request import Request
from alderhatch.core.rule import Refuse, Rule, Serve
from alderhatch.core.rule_list import RuleList
from alderhatch.core.shard_map import Snapshot

from .baseline_entry import Baseline, BaselineEntry
from .core_entry import CoreEntry
from .event_loop import EventLoop
from .model_server import Job, ModelServer, Receiver, ServiceTime
from .shapes import ENTRIES, Shape
from .tally import Done, Tally

IN_ZONE_MS: Millis = 0.15
"""One way within an availability zone."""


class Mix(NamedTuple):
    """A kind of request and how much of the traffic it is."""

    share: float
    kind: str = "route"
    caller: str = "desk"
    priority: Priority = Priority.NORMAL


class Phase(NamedTuple):
    """A stretch of constant load."""

    span: Millis
    load: float
    """Shard requests needed, as a fraction of what all slots can do."""


class Plan(NamedTuple):
    """Everything that one run depends on."""

    shape: Shape
    phases: tuple[Phase, ...]
    rules: tuple[Rule, ...]
    entry: Baseline | Policy
    mix: tuple[Mix, ...] = (Mix(1.0),)
    seed: int = 1
    warm_up: Millis = SECOND
    service: ServiceTime = ServiceTime()
    returns: int = 0
    """How often a refused caller comes back, each time when it was told to."""


class _Open(NamedTuple):
    arrived: Millis
    mix: Mix
    serve: Serve
    request: Request
    returned: int = 0
    """How often it has come back so far."""


class Tier:
    """One run."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.shape = plan.shape
        self.loop = EventLoop()
        self.shard_map = plan.shape.shard_map()
        self.maps = {self.shard_map.snapshot: self.shard_map}
        seed = f"{plan.seed}"
        self.servers = {
            server.server_id: ModelServer(self.loop, server, plan.service, seed)
            for server in self.shard_map.servers
        }
        zones = plan.shape.zones
        self.entry_zones = [zones[number % len(zones)] for number in range(ENTRIES)]
        self.tally = Tally(plan.warm_up)
        self.faults: list[str] = []
        self._open: dict[int, _Open] = {}
        self._ids: dict[int, str] = {}
        self._rng = Random(f"{plan.seed}/arrivals")
        self._returns = Random(f"{plan.seed}/returns")
        self._rules = RuleList(plan.rules)
        self._next = 0
        self.returned = 0
        """How often refused callers came back."""
        self.entries: list[CoreEntry | BaselineEntry] = [
            self._make_entry(number, zone, seed) for number, zone in enumerate(self.entry_zones)
        ]

    def _make_entry(self, number: int, zone: str, seed: str) -> CoreEntry | BaselineEntry:
        name = f"entry-{number}"
        match self.plan.entry:
            case Baseline() as kind:
                return BaselineEntry(self, name, zone, kind, seed)
            case policy:
                return CoreEntry(self, name, zone, self._rules, policy, seed)

    def net(self, zone: str, server_id: str) -> Millis:
        """Return the time one way between an entry's zone and a server."""
        if self.servers[server_id].server.zone == zone:
            return IN_ZONE_MS
        return IN_ZONE_MS + self.shape.zone_ms

    def send(
        self,
        entry: CoreEntry | BaselineEntry,
        attempt: int,
        request_id: str,
        shard: str,
        server_id: str,
        snapshot: Snapshot,
    ) -> Job:
        """Put a shard request on the network."""
        net = self.net(entry.zone, server_id)
        receiver: Receiver = entry
        job = Job(receiver, attempt, request_id, shard, snapshot, net)
        self.loop.after(net, self.servers[server_id].receive, job)
        return job

    def cancel(self, job: Job, server_id: str) -> None:
        """Put a cancellation on the network."""
        self.loop.after(job.net, self.servers[server_id].cancel, job)

    def was_accepted(self, query: int) -> bool:
        """Return whether any server took on a part of a request."""
        request_id = self._ids[query]
        return any(request_id in server.accepted for server in self.servers.values())

    def adopt_map(self, version: int) -> None:
        """Make a newer shard map the one that is served."""
        self.shard_map = self.shape.shard_map(version)
        self.maps[self.shard_map.snapshot] = self.shard_map

    def run(self, script: Callable[[Tier], None] | None = None) -> None:
        """Run all phases, then let everything end.

        Args:
            script: Called at the start; it plans faults on the loop.
        """
        if script is not None:
            script(self)
        start = 0.0
        for phase in self.plan.phases:
            self._arrivals(start, phase)
            start += phase.span
        self.loop.run(start + 20 * SECOND)
        self._check_end()

    @property
    def query_capacity(self) -> float:
        """Whole queries a second that the slots can do."""
        per_query = self.shape.shards * self.plan.service.overall_mean
        return self.shape.slots_in_all * SECOND / per_query

    def _arrivals(self, start: Millis, phase: Phase) -> None:
        rate = phase.load * self.query_capacity / SECOND
        at = start
        while rate > 0:
            at += self._rng.expovariate(rate)
            if at >= start + phase.span:
                return
            entry = self._rng.randrange(len(self.entries))
            self._next += 1
            self.loop.at(at, self._arrive, self._next, entry, self._choose_mix())

    def _choose_mix(self) -> Mix:
        pick = self._rng.random()
        for mix in self.plan.mix:
            pick -= mix.share
            if pick < 0:
                return mix
        return self.plan.mix[-1]

    def _arrive(self, query: int, entry: int, mix: Mix) -> None:
        request = Request(
            f"r{query}",
            mix.caller,
            mix.kind,
            self.shape.upstream,
            b'{"q":%d}' % query,
            priority=mix.priority,
        )
        then = self._rules.match(request).then
        assert not isinstance(then, Refuse)
        self._ask(query, entry, _Open(self.loop.now, mix, then, request))

    def _ask(self, query: int, entry: int, asked: _Open) -> None:
        self._open[query] = asked
        self._ids[query] = asked.request.request_id
        self.entries[entry].arrive(query, asked.request, asked.serve.deadline_ms)

    def _come_back(self, known: _Open) -> None:
        self.returned += 1
        self._next += 1
        entry = self._returns.randrange(len(self.entries))
        self._ask(self._next, entry, known._replace(returned=known.returned + 1))

    def finished(
        self, query: int, coverage: float, refusal: str, retry_after: Millis | None = None
    ) -> None:
        """Count a request that has its answer, or let its caller come back later.

        Args:
            query: The number of the request.
            coverage: What the answer covers.
            refusal: The kind of error; empty if it was answered.
            retry_after: When a refused caller was told to come back.
        """
        known = self._open.pop(query, None)
        if known is None:
            self.faults.append(f"query {query} was answered twice")
            return
        if refusal and retry_after is not None and known.returned < self.plan.returns:
            self.loop.after(retry_after, self._come_back, known)
            return
        mix, serve = known.mix, known.serve
        self.tally.add(
            Done(
                known.arrived,
                self.loop.now,
                serve.priority or mix.priority,
                mix.caller,
                coverage,
                serve.coverage,
                refusal,
            )
        )

    def _check_end(self) -> None:
        if self._open:
            self.faults.append(f"{len(self._open)} requests were never answered")
        for entry in self.entries:
            if isinstance(entry, CoreEntry):
                self.faults += entry.faults
                if entry.core.running:
                    self.faults.append(f"{entry.name} still runs {entry.core.running}")
        late = sum(server.received_while_leaving for server in self.servers.values())
        if late:
            self.faults.append(f"{late} requests to servers that had been leaving for 3 s")

    @property
    def sent_ratio(self) -> float:
        """Shard requests sent for each one needed."""
        sent = sum(entry.sent for entry in self.entries)
        needed = sum(entry.needed for entry in self.entries)
        return sent / needed if needed else 1.0

    @property
    def wasted(self) -> float:
        """The share of the servers' work that went into cancelled requests."""
        busy = sum(server.busy for server in self.servers.values())
        useless = sum(server.useless for server in self.servers.values())
        return useless / busy if busy else 0.0
