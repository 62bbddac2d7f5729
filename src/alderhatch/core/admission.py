"""Which requests may start, which wait and which are refused."""

from __future__ import annotations

from typing import NamedTuple

from sortedcontainers import SortedList

from ..clock import SECOND, Millis
from .entry_events import LoadReport
from .policy import Policy
from .run import Run

QUEUE_WEIGHT = 0.02
GAP_WEIGHT = 0.05
MAX_GAP: Millis = SECOND
SCAN = 64
"""Waiting requests that are looked at for one that fits."""
FLOOR_RISE = 1.0002
"""How fast the lowest latency seen is forgotten, for each answer."""
LATENCY_SLACK = 3.0
"""Latency above this multiple of the lowest counts as a queue, whatever the report says."""
MIN_RETRY_AFTER: Millis = 50.0
NEVER: Millis = float("-inf")
URGENT_REMEMBERED: Millis = SECOND
"""How long after an urgent request lower classes make room for the next one."""
MOST = 4.0
"""A limit grows to this multiple of the slots at most."""


class _Waiting(NamedTuple):
    rank: int
    deadline: Millis
    number: int
    run: Run


class UpstreamLimiter:
    """One upstream's part of the admission.

    It bounds how many shards of admitted requests are open at this entry. The bound follows the
    queues that the servers report: above the target it shrinks, below it it grows while requests
    wait. A request is admitted with all of its shards at once or not at all.

    Urgent requests don't count what lower classes hold. They have a limit of their own, which
    shrinks only once that of the others is at its lowest.
    """

    def __init__(self, name: str, slots: int, policy: Policy) -> None:
        self.name = name
        self.policy = policy
        self.slots = max(1, slots)
        """The slots of all servers together."""
        self.limit = float(self.slots)
        self.open = 0
        """Shards of admitted requests that are not answered yet."""
        self.urgent_limit = float(self.slots)
        self.open_urgent = 0
        """Those of them that belong to urgent requests."""
        self.open_by_rule: dict[str, int] = {}
        self.waiting: SortedList = SortedList()
        self.queue = 0.0
        """A moving mean of waiting requests for each slot at the servers."""
        self._reported = 0.0
        """The same by the servers' reports alone."""
        self.gap: Millis = 0.0
        """A moving mean of the time between admissions while requests wait."""
        self.latency: Millis = 0.0
        """A moving mean of the shard requests' latencies."""
        self.overloaded = False
        """Whether there was overload lately, so that lower classes are held back."""
        self._urgent_at: Millis = NEVER
        """When an urgent request was last admitted."""
        self._floor = 0.0
        self._last_admission: Millis = 0.0
        self._moved_at: Millis = 0.0
        self._backlog = False
        self._number = 0
        self._shares = (1.0, policy.normal_share, policy.batch_share)

    def has_capacity_for(self, run: Run) -> bool:
        """Return whether a request may start now."""
        if self.open == 0:
            return True
        if run.rank == 0:
            if self.open_urgent >= self.urgent_limit:
                return False
        elif self.open >= self._lower_limit * self._shares[run.rank]:
            return False
        share = run.serve.max_load_share
        return share >= 1.0 or self.open_by_rule.get(run.rule.name, 0) < self.limit * share

    @property
    def _lower_limit(self) -> float:
        # The requests that are held back for a server need something to hold back: with none left
        # a server has gaps, seen as less useful work.
        return self.limit * self.policy.ahead if self.overloaded else self.limit

    @property
    def window(self) -> float:
        """How many shard requests of lower classes may be out for each slot, while pressed."""
        return self.limit / self.slots

    def admit(self, run: Run, units: int, now: Millis) -> None:
        """Admit a request with all of its shards."""
        run.limiter = self
        run.units = units
        run.admitted_at = now
        self.open += units
        if run.rank == 0:
            self.open_urgent += units
            self._urgent_at = now
        rule = run.rule.name
        self.open_by_rule[rule] = self.open_by_rule.get(rule, 0) + units
        if self.waiting:
            gap = min(MAX_GAP, now - self._last_admission)
            self.gap += GAP_WEIGHT * (gap - self.gap) if self.gap else gap
        self._last_admission = now

    def release_shards(self, run: Run, units: int) -> None:
        """Give back some of what a request holds."""
        if units > run.units:
            units = run.units
        run.units -= units
        self.open -= units
        if run.rank == 0:
            self.open_urgent -= units
        rule = run.rule.name
        left = self.open_by_rule.get(rule, 0) - units
        if left > 0:
            self.open_by_rule[rule] = left
        else:
            self.open_by_rule.pop(rule, None)

    def expected_wait(self, rank: int) -> Millis:
        """Return how long a newly arrived request of a class is likely to wait."""
        ahead = self.waiting.bisect_left((rank + 1,))
        return (ahead + 1) * self.gap if ahead else 0.0

    def enqueue(self, run: Run) -> None:
        """Let a request wait."""
        self._number += 1
        self._backlog = True
        self.waiting.add(_Waiting(run.rank, run.deadline, self._number, run))

    def evict_lower_priority(self, rank: int) -> Run | None:
        """Take out the request that matters least if it is of a lower class, or return None."""
        if not self.waiting or self.waiting[-1].rank <= rank:
            return None
        last: _Waiting = self.waiting.pop()
        return last.run

    def remove(self, run: Run) -> bool:
        """Take out a request that waits; return False if it does not."""
        start = self.waiting.bisect_left((run.rank, run.deadline))
        for index in range(start, len(self.waiting)):
            if self.waiting[index].run is run:
                del self.waiting[index]
                return True
            if self.waiting[index].deadline > run.deadline:
                return False
        return False

    def dequeue(self) -> Run | None:
        """Take out and return the first waiting request that may start, or return None."""
        if not self.waiting:
            return None
        if self.waiting[0].rank > 0 and self.open and self.open >= self._lower_limit:
            return None
        for index in range(min(SCAN, len(self.waiting))):
            run: Run = self.waiting[index].run
            if self.has_capacity_for(run):
                del self.waiting[index]
                return run
        return None

    def observe(self, latency: Millis, load: LoadReport | None, slots: int, now: Millis) -> None:
        """Count what an answer tells about the servers' queues, and move the limit."""
        self.latency += 0.05 * (latency - self.latency) if self.latency else latency
        if not self._floor or self.latency < self._floor:
            self._floor = self.latency
        else:
            self._floor *= FLOOR_RISE
        queue = self.latency / self._floor - LATENCY_SLACK
        if load is not None:
            reported = load.queued / slots
            self._reported += QUEUE_WEIGHT * (reported - self._reported)
            queue = max(queue, reported)
        self.queue += QUEUE_WEIGHT * (queue - self.queue if queue > 0.0 else -self.queue)
        if now - self._moved_at >= self.policy.limit_interval_ms:
            self._moved_at = now
            self._move(now)

    def _move(self, now: Millis) -> None:
        # With nobody urgent about, whoever is held back is held back for nobody, seen as queries
        # refused after the loss of a zone though the servers left could have run them.
        urgent = now - self._urgent_at < URGENT_REMEMBERED
        self.overloaded = urgent and (
            self.overloaded or self._reported > self.policy.overload_queue
        )
        self._move_lower()
        self._move_urgent()
        self._backlog = bool(self.waiting)

    def _move_lower(self) -> None:
        policy = self.policy
        backlog = self._backlog or bool(self.waiting)
        low, high = policy.queue_low, policy.queue_high
        if self.overloaded:
            low, high = policy.lower_queue_low, policy.lower_queue_high
        if self.queue > high:
            # A host that is short of processor time sees long latencies of servers that are idle.
            # Taken for overload, it would hold lower classes back that nothing stands against,
            # seen as refusals in the quiet hours.
            lowest = policy.min_lower_limit if self.overloaded else policy.min_limit
            self.limit = max(lowest, self.limit * policy.limit_shrink)
        elif self.queue < low:
            # Held at its lowest after an overload until requests wait again, the limit would make
            # each query wait for the one before it, seen as slow answers long after the overload.
            if backlog or self.limit < self.slots:
                self.limit = self._grown(self.limit)
            # For a moment there is no backlog under overload too. Taken for its end, it would let
            # through what is held back, seen as urgent queries that take twice their time.
            if not backlog and self.limit >= self.slots:
                self.overloaded = False

    def _move_urgent(self) -> None:
        policy = self.policy
        if self.queue > policy.queue_high:
            if self.limit <= policy.min_lower_limit:
                shrunk = self.urgent_limit * policy.limit_shrink
                self.urgent_limit = max(policy.min_limit, shrunk)
        elif self.queue < policy.queue_low:
            waits = bool(self.waiting) and self.waiting[0].rank == 0
            if waits or self.urgent_limit < self.slots:
                self.urgent_limit = self._grown(self.urgent_limit)

    def _grown(self, limit: float) -> float:
        return min(MOST * self.slots, limit * self.policy.limit_grow + 0.5)


class Admission:
    """The gates of all upstreams, with the bound on how many requests wait."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self.limiters: dict[str, UpstreamLimiter] = {}

    @property
    def waiting(self) -> int:
        """How many requests wait at all gates."""
        return sum(len(limiter.waiting) for limiter in self.limiters.values())

    def limiter(self, name: str, slots: int) -> UpstreamLimiter:
        """Return an upstream's gate."""
        limiter = self.limiters.get(name)
        if limiter is None:
            limiter = self.limiters[name] = UpstreamLimiter(name, slots, self._policy)
        limiter.slots = max(1, slots)
        return limiter

    def full(self) -> bool:
        """Return whether no further request may wait."""
        return self.waiting >= self._policy.queue

    def retry_after(self, limiter: UpstreamLimiter) -> Millis:
        """Return when the requests that wait at a gate are likely to be through."""
        return max(MIN_RETRY_AFTER, len(limiter.waiting) * limiter.gap)
