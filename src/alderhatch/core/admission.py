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
MOST = 4.0
"""A limit grows to this multiple of the slots at most."""


class _Waiting(NamedTuple):
    rank: int
    deadline: Millis
    number: int
    run: Run


class UpstreamGate:
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
        self.gap: Millis = 0.0
        """A moving mean of the time between admissions while requests wait."""
        self._latency = 0.0
        self._floor = 0.0
        self._last_admission: Millis = 0.0
        self._moved_at: Millis = 0.0
        self._backlog = False
        self._number = 0
        self._shares = (1.0, policy.normal_share, policy.batch_share)

    def fits(self, run: Run) -> bool:
        """Return whether a request may start now."""
        if self.open == 0:
            return True
        if run.rank == 0:
            if self.open_urgent >= self.urgent_limit:
                return False
        elif self.open >= self.limit * self._shares[run.rank]:
            return False
        share = run.serve.max_load_share
        return share >= 1.0 or self.open_by_rule.get(run.rule.name, 0) < self.limit * share

    def enter(self, run: Run, units: int, now: Millis) -> None:
        """Admit a request with all of its shards."""
        run.gate = self
        run.units = units
        run.admitted_at = now
        self.open += units
        if run.rank == 0:
            self.open_urgent += units
        rule = run.rule.name
        self.open_by_rule[rule] = self.open_by_rule.get(rule, 0) + units
        if self.waiting:
            gap = min(MAX_GAP, now - self._last_admission)
            self.gap += GAP_WEIGHT * (gap - self.gap) if self.gap else gap
        self._last_admission = now

    def leave(self, run: Run, units: int) -> None:
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

    def put(self, run: Run) -> None:
        """Let a request wait."""
        self._number += 1
        self._backlog = True
        self.waiting.add(_Waiting(run.rank, run.deadline, self._number, run))

    def evict_below(self, rank: int) -> Run | None:
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

    def next(self) -> Run | None:
        """Take out and return the first waiting request that may start, or return None."""
        if not self.waiting:
            return None
        if self.waiting[0].rank > 0 and self.open and self.open >= self.limit:
            return None
        for index in range(min(SCAN, len(self.waiting))):
            run: Run = self.waiting[index].run
            if self.fits(run):
                del self.waiting[index]
                return run
        return None

    def observe(self, latency: Millis, load: LoadReport | None, slots: int, now: Millis) -> None:
        """Count what an answer tells about the servers' queues, and move the limit."""
        self._latency += 0.05 * (latency - self._latency) if self._latency else latency
        if not self._floor or self._latency < self._floor:
            self._floor = self._latency
        else:
            self._floor *= FLOOR_RISE
        queue = self._latency / self._floor - LATENCY_SLACK
        if load is not None:
            queue = max(queue, load.queued / slots)
        self.queue += QUEUE_WEIGHT * (queue - self.queue if queue > 0.0 else -self.queue)
        if now - self._moved_at >= self.policy.limit_interval_ms:
            self._moved_at = now
            self._move()

    def _move(self) -> None:
        if self.queue > self.policy.queue_high:
            self._shrink()
        elif self.queue < self.policy.queue_low and self._may_grow:
            self._grow()
        self._backlog = bool(self.waiting)

    @property
    def _may_grow(self) -> bool:
        # Held at its lowest after an overload until requests wait again, the limit would make each
        # query wait for the one before it, seen as slow answers long after the overload.
        return self._backlog or bool(self.waiting) or self.limit < self.slots

    def _shrink(self) -> None:
        policy = self.policy
        if self.limit > policy.min_limit:
            self.limit = max(policy.min_limit, self.limit * policy.limit_shrink)
            return
        self.urgent_limit = max(policy.min_limit, self.urgent_limit * policy.limit_shrink)

    def _grow(self) -> None:
        policy = self.policy
        most = MOST * self.slots
        if self.urgent_limit < most:
            self.urgent_limit = min(most, self.urgent_limit * policy.limit_grow + 0.5)
        else:
            self.limit = min(most, self.limit * policy.limit_grow + 0.5)


class Admission:
    """The gates of all upstreams, with the bound on how many requests wait."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self.gates: dict[str, UpstreamGate] = {}

    @property
    def waiting(self) -> int:
        """How many requests wait at all gates."""
        return sum(len(gate.waiting) for gate in self.gates.values())

    def gate(self, name: str, slots: int) -> UpstreamGate:
        """Return an upstream's gate."""
        gate = self.gates.get(name)
        if gate is None:
            gate = self.gates[name] = UpstreamGate(name, slots, self._policy)
        gate.slots = max(1, slots)
        return gate

    def full(self) -> bool:
        """Return whether no further request may wait."""
        return self.waiting >= self._policy.queue

    def retry_after(self, gate: UpstreamGate) -> Millis:
        """Return when the requests that wait at a gate are likely to be through."""
        return max(MIN_RETRY_AFTER, len(gate.waiting) * gate.gap)
