"""A modelled server: slots, a queue, stragglers, cold start, shedding and loss."""

from __future__ import annotations

from collections import deque
from random import Random
from typing import NamedTuple, Protocol

from alderhatch.clock import Millis
from alderhatch.core.entry_events import AttemptFault, LoadReport
from alderhatch.core.shard_map import Server, Snapshot

from .event_loop import EventLoop

SHED_QUEUE = 40
"""Requests that wait for a slot before a server sheds."""
SHED_RETRY_AFTER: Millis = 50.0


class ServiceTime(NamedTuple):
    """Log-normal service times with stragglers."""

    mean: Millis = 5.0
    """The mean of those that do not straggle."""
    sigma: float = 0.5
    straggler_share: float = 0.02
    straggler_factor: float = 10.0

    @property
    def overall_mean(self) -> Millis:
        """The mean with the stragglers."""
        return self.mean * (1.0 + self.straggler_share * (self.straggler_factor - 1.0))

    def draw(self, rng: Random) -> Millis:
        """Return one service time."""
        span = self.mean * rng.lognormvariate(-self.sigma * self.sigma / 2, self.sigma)
        return span * self.straggler_factor if rng.random() < self.straggler_share else span


class Receiver(Protocol):
    """An entry, as a server sees it."""

    def answered(self, job: Job, load: LoadReport) -> None:
        """Take an answer."""

    def failed(self, job: Job, fault: AttemptFault, retry_after: Millis | None) -> None:
        """Take a failure."""


class Job:
    """One shard request on its way."""

    __slots__ = (
        "attempt",
        "cancelled",
        "entry",
        "net",
        "query",
        "running",
        "shard",
        "snapshot",
        "started_at",
    )

    def __init__(
        self,
        entry: Receiver,
        attempt: int,
        query: str,
        shard: str,
        snapshot: Snapshot,
        net: Millis,
    ) -> None:
        self.entry = entry
        self.attempt = attempt
        self.query = query
        """The caller's request id."""
        self.shard = shard
        self.snapshot = snapshot
        self.net = net
        """The time from the entry to the server, one way."""
        self.running = False
        self.cancelled = False
        self.started_at: Millis = 0.0


class ModelServer:
    """One server of an upstream."""

    def __init__(self, loop: EventLoop, server: Server, service: ServiceTime, seed: str) -> None:
        self.loop = loop
        self.server = server
        self.service = service
        self.rng = Random(f"{seed}/{server.server_id}")
        self.factor = 1.0
        """How much slower than usual it is."""
        self.cold_until: Millis = 0.0
        self.cold_factor = 1.0
        self.lost = False
        self.leaving_since: Millis | None = None
        self.snapshots: set[Snapshot] = set()
        self.silent_share = 0.0
        """The share of exchanges that never get anything back."""
        self.running = 0
        self.queue: deque[Job] = deque()
        self.jobs: set[Job] = set()
        self.received = 0
        self.received_while_leaving = 0
        """Requests that came more than 3 s after it was said to be leaving."""
        self.accepted: set[str] = set()
        """Requests of which some shard request was taken on."""
        self.busy: Millis = 0.0
        """The time that its slots have worked."""
        self.useless: Millis = 0.0
        """The part of it that went into cancelled requests."""

    def receive(self, job: Job) -> None:
        """Take a request off the network."""
        self.received += 1
        if self.lost:
            self._fail(job, AttemptFault.NOT_SENT, None)
            return
        if self.leaving_since is not None and self.loop.now > self.leaving_since + 3000.0:
            self.received_while_leaving += 1
        if self.snapshots and job.snapshot not in self.snapshots:
            self._fail(job, AttemptFault.VERSION_GONE, None)
            return
        if len(self.queue) >= SHED_QUEUE:
            self._fail(job, AttemptFault.SHED, SHED_RETRY_AFTER)
            return
        self.accepted.add(job.query)
        if self.silent_share and self.rng.random() < self.silent_share:
            self.loop.after(1000.0, self._deliver_failure, job, AttemptFault.SILENT, None)
            return
        self.jobs.add(job)
        if self.running < self.server.slots:
            self._start(job)
        else:
            self.queue.append(job)

    def _start(self, job: Job) -> None:
        job.running = True
        job.started_at = self.loop.now
        self.running += 1
        span = self.service.draw(self.rng) * self.factor
        if self.loop.now < self.cold_until:
            span *= self.cold_factor
        self.loop.after(span, self._done, job)

    def _done(self, job: Job) -> None:
        if job not in self.jobs:
            return
        self._free(job)
        load = LoadReport(self.running, len(self.queue))
        if not job.cancelled:
            self.loop.after(job.net, job.entry.answered, job, load)

    def _free(self, job: Job) -> None:
        self.jobs.discard(job)
        self.running -= 1
        self.busy += self.loop.now - job.started_at
        while self.queue and self.running < self.server.slots:
            waiting = self.queue.popleft()
            if waiting in self.jobs:
                self._start(waiting)

    def cancel(self, job: Job) -> None:
        """Take the word that nobody waits for a request any more."""
        job.cancelled = True
        if job not in self.jobs:
            return
        if job.running:
            self.useless += self.loop.now - job.started_at
            self._free(job)
            return
        self.jobs.discard(job)
        self.queue.remove(job)

    def lose(self) -> None:
        """Lose the server with all that runs on it."""
        self.lost = True
        for job in sorted(self.jobs, key=lambda item: item.started_at):
            if not job.cancelled:
                self.loop.after(job.net, self._deliver_failure, job, AttemptFault.LOST, None)
        self.jobs.clear()
        self.queue.clear()
        self.running = 0

    def start_cold(self, factor: float, span: Millis) -> None:
        """Start it anew; it is slower for a while."""
        self.lost = False
        self.cold_factor = factor
        self.cold_until = self.loop.now + span

    def _fail(self, job: Job, fault: AttemptFault, retry_after: Millis | None) -> None:
        self.loop.after(job.net, self._deliver_failure, job, fault, retry_after)

    def _deliver_failure(self, job: Job, fault: AttemptFault, retry_after: Millis | None) -> None:
        if not job.cancelled:
            job.entry.failed(job, fault, retry_after)
