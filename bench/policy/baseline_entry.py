"""The naive entries that ours is compared with."""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import TYPE_CHECKING

from alderhatch.clock import Millis
from alderhatch.core.entry_events import AttemptFault, LoadReport
from alderhatch.core.request import Request

from .model_server import Job

if TYPE_CHECKING:
    from .tier import Tier

FIXED_TIMEOUT: Millis = 50.0
MAX_TRIES = 4
LATENCIES_KEPT = 1000
FIRST_HEDGE: Millis = 20.0


class Baseline(Enum):
    """What a naive entry does."""

    RANDOM = "random"
    """A random replica, waits for all, no hedge, no retry."""
    ROUND_ROBIN = "round-robin"
    """Replicas in turn, a fixed timeout, blind retry on the next one."""
    HEDGE_P95 = "hedge-p95"
    """A random replica, a second copy after the 95th percentile, no budget."""


class _Shard:
    __slots__ = ("done", "jobs", "name", "tries")

    def __init__(self, name: str) -> None:
        self.name = name
        self.done = False
        self.jobs: list[tuple[Job, str]] = []
        self.tries = 0


class _Query:
    def __init__(self, number: int, request: Request, shards: list[_Shard]) -> None:
        self.number = number
        self.request = request
        self.shards = shards
        self.answered = 0
        self.open = len(shards)
        self.ended = False


class BaselineEntry:
    """One naive entry."""

    def __init__(self, tier: Tier, name: str, zone: str, kind: Baseline, seed: str) -> None:
        self.tier = tier
        self.name = name
        self.zone = zone
        self.kind = kind
        self.rng = Random(f"{seed}/{name}")
        self._turn = 0
        self._next = 0
        self._out: dict[int, tuple[_Query, _Shard, Millis]] = {}
        self._latencies: list[Millis] = []
        self._hedge_after = FIRST_HEDGE
        self.sent = 0
        self.needed = 0

    def arrive(self, query: int, request: Request, deadline: Millis) -> None:
        """Take a request."""
        shards = [_Shard(shard.name) for shard in self.tier.shard_map.shards]
        run = _Query(query, request, shards)
        self.needed += len(shards)
        for shard in shards:
            self._send(run, shard)
        self.tier.loop.after(deadline, self._finish, run)

    def _send(self, run: _Query, shard: _Shard) -> None:
        servers = self.tier.shard_map.by_shard_name[shard.name].servers
        if self.kind is Baseline.ROUND_ROBIN:
            self._turn += 1
            server_id = servers[self._turn % len(servers)]
        else:
            used = {server for _, server in shard.jobs}
            fresh = [server for server in servers if server not in used]
            server_id = self.rng.choice(fresh or list(servers))
        self._next += 1
        attempt = self._next
        shard.tries += 1
        self.sent += 1
        snapshot = self.tier.shard_map.snapshot
        request_id = run.request.request_id
        job = self.tier.send(self, attempt, request_id, shard.name, server_id, snapshot)
        shard.jobs.append((job, server_id))
        loop = self.tier.loop
        self._out[attempt] = (run, shard, loop.now)
        if self.kind is Baseline.ROUND_ROBIN and shard.tries < MAX_TRIES:
            loop.after(FIXED_TIMEOUT, self._retry, run, shard)
        if self.kind is Baseline.HEDGE_P95 and shard.tries == 1:
            loop.after(self._hedge_after, self._retry, run, shard)

    def _retry(self, run: _Query, shard: _Shard) -> None:
        if not run.ended and not shard.done and shard.tries < MAX_TRIES:
            self._send(run, shard)

    def answered(self, job: Job, load: LoadReport) -> None:
        """Take an answer."""
        known = self._out.pop(job.attempt, None)
        if known is None:
            return
        run, shard, sent_at = known
        self._learn(self.tier.loop.now - sent_at)
        if run.ended or shard.done:
            return
        shard.done = True
        self._cancel(shard)
        run.answered += 1
        run.open -= 1
        if run.open == 0:
            self._finish(run)

    def _learn(self, latency: Millis) -> None:
        self._latencies.append(latency)
        if len(self._latencies) >= LATENCIES_KEPT:
            self._hedge_after = sorted(self._latencies)[int(0.95 * LATENCIES_KEPT)]
            self._latencies.clear()

    def failed(self, job: Job, fault: AttemptFault, retry_after: Millis | None) -> None:
        """Take a failure."""
        known = self._out.pop(job.attempt, None)
        if known is None:
            return
        run, shard, _ = known
        if run.ended or shard.done:
            return
        if self.kind is Baseline.ROUND_ROBIN and shard.tries < MAX_TRIES:
            self._send(run, shard)
            return
        if any(job.attempt in self._out for job, _ in shard.jobs):
            return
        shard.done = True
        run.open -= 1
        if run.open == 0:
            self._finish(run)

    def _cancel(self, shard: _Shard) -> None:
        for job, server_id in shard.jobs:
            if self._out.pop(job.attempt, None) is not None:
                self.tier.cancel(job, server_id)

    def _finish(self, run: _Query) -> None:
        if run.ended:
            return
        run.ended = True
        for shard in run.shards:
            self._cancel(shard)
        self.tier.finished(run.number, run.answered / len(run.shards), "")
