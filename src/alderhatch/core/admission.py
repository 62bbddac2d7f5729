"""Admission control: concurrency limits and priority queues, one for each upstream."""

from __future__ import annotations

from typing import NamedTuple

from sortedcontainers import SortedList

from ..clock import SECOND, Millis
from .entry_events import LoadReport
from .policy import Policy
from .run import Run

QUEUE_SMOOTHING = 0.02
GAP_SMOOTHING = 0.05
MAX_GAP_MS: Millis = SECOND
MAX_SCANNED = 64
"""How many queued requests are examined to find one that may start."""
LATENCY_FLOOR_GROWTH = 1.0002
"""The factor by which the latency floor rises with each answer, so that old minima expire."""
LATENCY_QUEUE_FACTOR = 3.0
"""Latency above this multiple of the floor counts as a queue, whatever the servers report."""
MIN_RETRY_AFTER_MS: Millis = 50.0
NEVER: Millis = float("-inf")
URGENT_WINDOW_MS: Millis = SECOND
"""How long after an urgent request lower priority classes stay restricted for the next one."""
MAX_LIMIT_FACTOR = 4.0
"""The maximum of a limit, as a multiple of the slots."""


class _QueueEntry(NamedTuple):
    rank: int
    deadline: Millis
    number: int
    run: Run


class UpstreamLimiter:
    """The adaptive concurrency limit and the admission queue of one upstream.

    It bounds how many shards of admitted requests are open at this entry. The limit follows the
    queues that the servers report: it shrinks while they are above the target, and grows while they
    are below it and requests wait. A request is admitted with all of its shards or not at all.

    Urgent requests have a separate limit, which ignores shards held by lower priority classes. It
    shrinks only after the limit of the lower classes has reached its minimum.
    """

    def __init__(self, name: str, slots: int, policy: Policy) -> None:
        self.name = name
        self.policy = policy
        self.slots = max(1, slots)
        """The total slots of all servers."""
        self.limit = float(self.slots)
        self.open = 0
        """Unanswered shards of admitted requests."""
        self.urgent_limit = float(self.slots)
        self.open_urgent = 0
        """Unanswered shards of admitted urgent requests."""
        self.open_by_rule: dict[str, int] = {}
        self.waiting: SortedList = SortedList()
        self.queue = 0.0
        """A moving average of queued requests for each slot at the servers."""
        self._reported_queue = 0.0
        """The same average from the servers' reports only, without the latency estimate."""
        self.gap: Millis = 0.0
        """A moving average of the time between admissions while requests wait."""
        self.latency: Millis = 0.0
        """A moving average of the latency of shard requests."""
        self.overloaded = False
        """Whether lower priority classes are restricted because of recent overload."""
        self._urgent_at: Millis = NEVER
        """When an urgent request was last admitted."""
        self._latency_floor = 0.0
        self._last_admission: Millis = 0.0
        self._adjusted_at: Millis = 0.0
        self._had_backlog = False
        self._enqueued_count = 0
        self._class_shares = (1.0, policy.normal_share, policy.batch_share)

    def has_capacity_for(self, run: Run) -> bool:
        """Return whether a request may start now."""
        if self.open == 0:
            return True
        if run.rank == 0:
            if self.open_urgent >= self.urgent_limit:
                return False
        elif self.open >= self._lower_class_limit * self._class_shares[run.rank]:
            return False
        share = run.serve.max_load_share
        return share >= 1.0 or self.open_by_rule.get(run.rule.name, 0) < self.limit * share

    @property
    def _lower_class_limit(self) -> float:
        # Under overload more requests are admitted than may be sent, so that some always wait for a
        # server. Without them servers idle between requests and throughput drops.
        return self.limit * self.policy.ahead if self.overloaded else self.limit

    @property
    def window(self) -> float:
        """The shard requests of lower classes that may be in flight per slot under overload."""
        return self.limit / self.slots

    def admit(self, run: Run, units: int, now: Millis) -> None:
        """Admit a request with all of its shards.

        Args:
            run: The request.
            units: The number of its shards.
            now: The current time.
        """
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
            gap = min(MAX_GAP_MS, now - self._last_admission)
            self.gap += GAP_SMOOTHING * (gap - self.gap) if self.gap else gap
        self._last_admission = now

    def release_shards(self, run: Run, units: int) -> None:
        """Release some of the shards that a request holds."""
        if units > run.units:
            units = run.units
        run.units -= units
        self.open -= units
        if run.rank == 0:
            self.open_urgent -= units
        rule = run.rule.name
        remaining = self.open_by_rule.get(rule, 0) - units
        if remaining > 0:
            self.open_by_rule[rule] = remaining
        else:
            self.open_by_rule.pop(rule, None)

    def expected_wait(self, rank: int) -> Millis:
        """Return the estimated queueing time of a new request with the given priority rank."""
        ahead = self.waiting.bisect_left((rank + 1,))
        return (ahead + 1) * self.gap if ahead else 0.0

    def enqueue(self, run: Run) -> None:
        """Add a request to the queue."""
        self._enqueued_count += 1
        self._had_backlog = True
        self.waiting.add(_QueueEntry(run.rank, run.deadline, self._enqueued_count, run))

    def evict_lower_priority(self, rank: int) -> Run | None:
        """Remove and return the last queued request if its class is lower, else return None."""
        if not self.waiting or self.waiting[-1].rank <= rank:
            return None
        last: _QueueEntry = self.waiting.pop()
        return last.run

    def remove(self, run: Run) -> bool:
        """Remove a request from the queue; return False if it is not queued."""
        start = self.waiting.bisect_left((run.rank, run.deadline))
        for index in range(start, len(self.waiting)):
            if self.waiting[index].run is run:
                del self.waiting[index]
                return True
            if self.waiting[index].deadline > run.deadline:
                return False
        return False

    def dequeue(self) -> Run | None:
        """Remove and return the first queued request that may start, or return None."""
        if not self.waiting:
            return None
        if self.waiting[0].rank > 0 and self.open and self.open >= self._lower_class_limit:
            return None
        for index in range(min(MAX_SCANNED, len(self.waiting))):
            run: Run = self.waiting[index].run
            if self.has_capacity_for(run):
                del self.waiting[index]
                return run
        return None

    def observe(self, latency: Millis, load: LoadReport | None, slots: int, now: Millis) -> None:
        """Update the queue estimate from an answer, and adjust the limits when that is due."""
        self.latency += 0.05 * (latency - self.latency) if self.latency else latency
        if not self._latency_floor or self.latency < self._latency_floor:
            self._latency_floor = self.latency
        else:
            self._latency_floor *= LATENCY_FLOOR_GROWTH
        queue = self.latency / self._latency_floor - LATENCY_QUEUE_FACTOR
        if load is not None:
            reported = load.queued / slots
            self._reported_queue += QUEUE_SMOOTHING * (reported - self._reported_queue)
            queue = max(queue, reported)
        self.queue += QUEUE_SMOOTHING * (queue - self.queue if queue > 0.0 else -self.queue)
        if now - self._adjusted_at >= self.policy.limit_interval_ms:
            self._adjusted_at = now
            self._adjust_limits(now)

    def _adjust_limits(self, now: Millis) -> None:
        # Lower classes are restricted only while there are urgent requests to protect. Otherwise,
        # after the loss of a zone, queries would be refused that the remaining servers could run.
        urgent = now - self._urgent_at < URGENT_WINDOW_MS
        self.overloaded = urgent and (
            self.overloaded or self._reported_queue > self.policy.overload_queue
        )
        self._adjust_lower_class_limit()
        self._adjust_urgent_limit()
        self._had_backlog = bool(self.waiting)

    def _adjust_lower_class_limit(self) -> None:
        policy = self.policy
        backlog = self._had_backlog or bool(self.waiting)
        low, high = policy.queue_low, policy.queue_high
        if self.overloaded:
            low, high = policy.lower_queue_low, policy.lower_queue_high
        if self.queue > high:
            # A host that is short of processor time measures long latencies even if the servers
            # are idle. Without overload reported by servers the limit therefore keeps the higher
            # ``min_limit``; otherwise lower classes would be refused in quiet hours.
            minimum = policy.min_lower_limit if self.overloaded else policy.min_limit
            self.limit = max(minimum, self.limit * policy.limit_shrink)
        elif self.queue < low:
            # The limit recovers up to the slots even if no request waits. If it stayed at its
            # minimum after an overload, queries would run one after another and answers would
            # remain slow long after the overload has ended.
            if backlog or self.limit < self.slots:
                self.limit = self._grow(self.limit)
            # Under overload, too, the queue can be empty for a moment. Overload ends only once the
            # limit has recovered as well; ending it earlier would release the lower classes and
            # double the latency of urgent queries.
            if not backlog and self.limit >= self.slots:
                self.overloaded = False

    def _adjust_urgent_limit(self) -> None:
        policy = self.policy
        if self.queue > policy.queue_high:
            if self.limit <= policy.min_lower_limit:
                shrunk = self.urgent_limit * policy.limit_shrink
                self.urgent_limit = max(policy.min_limit, shrunk)
        elif self.queue < policy.queue_low:
            urgent_waiting = bool(self.waiting) and self.waiting[0].rank == 0
            if urgent_waiting or self.urgent_limit < self.slots:
                self.urgent_limit = self._grow(self.urgent_limit)

    def _grow(self, limit: float) -> float:
        return min(MAX_LIMIT_FACTOR * self.slots, limit * self.policy.limit_grow + 0.5)


class Admission:
    """The limiters of all upstreams, and the bound on the requests that wait in all queues."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self.limiters: dict[str, UpstreamLimiter] = {}

    @property
    def waiting(self) -> int:
        """The number of requests that wait in all queues."""
        return sum(len(limiter.waiting) for limiter in self.limiters.values())

    def limiter(self, name: str, slots: int) -> UpstreamLimiter:
        """Return an upstream's limiter with its slots updated, creating it on first use."""
        limiter = self.limiters.get(name)
        if limiter is None:
            limiter = self.limiters[name] = UpstreamLimiter(name, slots, self._policy)
        limiter.slots = max(1, slots)
        return limiter

    def full(self) -> bool:
        """Return whether no more requests may be queued."""
        return self.waiting >= self._policy.queue

    def retry_after(self, limiter: UpstreamLimiter) -> Millis:
        """Return the estimated time until a limiter's queue has drained."""
        return max(MIN_RETRY_AFTER_MS, len(limiter.waiting) * limiter.gap)
