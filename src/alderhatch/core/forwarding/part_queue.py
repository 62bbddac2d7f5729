"""Decides in which order a host handles the parts of concurrent gathers.

A heavy gather can give the host's loop a hundred requests to send and answers to read at once. In
the order of their arrival, a light gather with a short deadline would wait for all parts of a heavy
one with a long deadline, and be late.

The handling of one part, a request to send or an answer to read, is called a turn.
"""

from __future__ import annotations

from collections import deque
from random import Random
from typing import Generic, NamedTuple, TypeAlias, TypeVar

from ...clock import Millis
from .forward_run import ForwardRun
from .host_demand import CPU_PER_REQUEST

Item = TypeVar("Item")

MAX_BATCH = 4
"""Parts that are handled before the order is decided anew: some 1 ms of work, after which a
more urgent gather may have arrived."""
TURNS_PER_PART = 2
"""One to send the request to the server, one to handle the answer."""
MAX_WAIT: Millis = 150.0
"""How long a group of gathers may wait while more urgent ones are served. Shorter waits make no
answer useless: late gathers have at least twice that time until their callers give up, and servers'
connections are kept for 250 ms after an answer that needs no more parts."""
MAX_PASSED_OVER = 4
"""How many batches in a row may pass over a group that has waited for ``MAX_WAIT``. Such a group
gets at least a quarter of the most urgent group's rate, so none starves."""
MIN_RETRY_AFTER: Millis = 100.0
"""The shortest wait that a refused caller is told, so that it does not retry into the same load."""
RETRY_SPREAD = 2.0
"""Refused callers are told to retry after one to this many times the time until there is room, so
that they don't all retry at once."""
COST_WEIGHT = 0.05
"""Weight of the latest batch in the moving mean of the time of a turn."""
MAX_COST_GROWTH = 4.0
"""A batch counts as at most this multiple of the mean, as the host may have been frozen meanwhile.
A host that has really become slow reaches ten times the mean in 17 batches."""


Group: TypeAlias = tuple[bool, bool, int]
"""The values of ``Urgency`` that gathers of one group have in common."""


class Urgency(NamedTuple):
    """How urgent the parts of a gather are; the smallest value goes first."""

    is_finished: bool
    """Whether the answer has left, so that the parts only free their connections."""
    is_late: bool
    """Whether the gather can't be answered in time any more."""
    rank: int
    """The priority; 0 for all gathers that can be in time, as they can all be served."""
    position: int
    """How many other gathers of its organisation go before it."""
    answer_by: Millis

    @property
    def group(self) -> Group:
        """The group of gathers with which it shares a minimum rate."""
        return self.is_finished, self.is_late, self.rank


class GroupWait(NamedTuple):
    """A group of gathers that waits while other groups are served."""

    since: Millis
    """When it began to wait, or was last served as the most urgent group."""
    passed_over: int = 0
    """How many batches in a row went to other groups."""

    def is_starving(self, now: Millis) -> bool:
        """Return whether the next batch is this group's, although others are more urgent."""
        return now - self.since >= MAX_WAIT and self.passed_over >= MAX_PASSED_OVER


class Gather(Generic[Item]):
    """A gather at work at this host.

    Args:
        run: Its run.
        rank: Its priority; 0 is the most urgent.
        organisation: The name of its organisation; None if there is none.
    """

    def __init__(self, run: ForwardRun, rank: int, organisation: str | None) -> None:
        self.run = run
        self.rank = rank
        self.organisation = organisation
        self.sends: deque[Item] = deque()
        """Requests to servers that wait to be sent, oldest first."""
        self.answers: deque[Item] = deque()
        """Answers that wait to be read, oldest first."""

    @property
    def waiting(self) -> int:
        """The number of parts that wait."""
        return len(self.sends) + len(self.answers)

    @property
    def turns_left(self) -> int:
        """How many turns it needs for an answer with the minimum coverage."""
        return len(self.sends) + self.run.missing_parts

    def can_be_in_time(self, turn_cost: Millis, now: Millis) -> bool:
        """Return whether there is time to handle the parts that the answer needs."""
        return now + self.run.missing_parts * turn_cost <= self.run.times.answer_by

    def take_batch(self) -> list[Item]:
        """Remove and return the parts that go first.

        Servers work on a request while the host handles answers, so requests are sent first.
        """
        source = self.sends or self.answers
        return [source.popleft() for _ in range(min(MAX_BATCH, len(source)))]


class PartQueue(Generic[Item]):
    """The parts of gathers that wait for their turn at one host.

    Args:
        processor: Processor time of the host, in seconds per second.
        rng: Spreads the retries of refused callers.
    """

    def __init__(self, processor: float, rng: Random) -> None:
        self._rng = rng
        self.turn_cost: Millis = CPU_PER_REQUEST / TURNS_PER_PART / min(1.0, processor)
        """A moving mean of the time that the host takes for one turn."""
        self._at_work: list[Gather[Item]] = []
        self._waiting: list[Gather[Item]] = []
        """The gathers with parts that wait; they may have ended."""
        self._waits: dict[Group, GroupWait] = {}
        """The groups that waited when the previous batch was taken."""
        self._batch_size = 0
        """Parts in the previous batch; 0 if nothing has waited since."""
        self._batch_began: Millis = 0.0

    def __len__(self) -> int:
        """Return the number of parts that wait."""
        return sum(gather.waiting for gather in self._waiting)

    @property
    def gathers(self) -> int:
        """The number of gathers at work."""
        return len(self._at_work)

    def start(self, run: ForwardRun, rank: int, organisation: str | None) -> Gather[Item]:
        """Add a gather that begins to run."""
        gather: Gather[Item] = Gather(run, rank, organisation)
        self._at_work.append(gather)
        return gather

    def retry_after(self, gather: Gather[Item], now: Millis) -> Millis | None:
        """Decide whether a gather that has just started is refused, before anything is sent.

        A gather that can't be answered before its caller gives up would only take turns from
        others, and its caller would learn too late that it has to ask again.

        A gather that is alone at the host runs in any case. If the mean time of a turn is wrong,
        all gathers would be refused for good otherwise, as it is measured only while gathers run.

        Returns:
            How long the caller should wait before it retries, if the gather is refused; None if the
            gather may run.
        """
        if len(self._at_work) == 1:
            return None
        overrun = self._earliest_answer(gather, now) - gather.run.times.deadline
        if overrun <= 0.0:
            return None
        return max(MIN_RETRY_AFTER, overrun) * self._rng.uniform(1.0, RETRY_SPREAD)

    def _earliest_answer(self, gather: Gather[Item], now: Millis) -> Millis:
        """Return when a gather can be answered if servers take no time and no other one starts."""
        own = self._urgency(gather, now)
        own_turns = TURNS_PER_PART * gather.run.missing_parts
        turns = turns_in_group = own_turns
        for other in self._at_work:
            urgency = self._urgency(other, now)
            if other is gather or urgency > own:
                continue
            turns += other.turns_left
            if urgency.group == own.group:
                turns_in_group += other.turns_left
        at_minimum_rate = MAX_WAIT + turns_in_group * (MAX_PASSED_OVER + 1) * self.turn_cost
        return now + min(turns * self.turn_cost, at_minimum_rate)

    def end(self, gather: Gather[Item]) -> None:
        """Remove a gather; its parts that are still in flight may wait for turns nevertheless."""
        self._at_work.remove(gather)

    def is_free(self) -> bool:
        """Return whether an answer can be read at once, as it can't delay another gather."""
        return not self._waiting and len(self._at_work) <= 1

    def add_send(self, gather: Gather[Item], item: Item) -> None:
        """Add a request that waits to be sent."""
        self._add(gather)
        gather.sends.append(item)

    def add_answer(self, gather: Gather[Item], item: Item) -> None:
        """Add an answer that waits to be read."""
        self._add(gather)
        gather.answers.append(item)

    def _add(self, gather: Gather[Item]) -> None:
        if not gather.waiting:
            self._waiting.append(gather)

    def discard(self, gather: Gather[Item], item: Item) -> None:
        """Remove a part that was cancelled while it waited."""
        for source in (gather.sends, gather.answers):
            if item in source:
                source.remove(item)
                self._remove_if_empty(gather)

    def _remove_if_empty(self, gather: Gather[Item]) -> None:
        if not gather.waiting:
            self._waiting.remove(gather)

    def take(self, now: Millis) -> list[Item]:
        """Remove and return the parts to handle next, all of one gather; none if none wait."""
        self._measure(now)
        if not self._waiting:
            return []
        gather = self._choose(now)
        batch = gather.take_batch()
        self._remove_if_empty(gather)
        self._batch_size = len(batch)
        self._batch_began = now
        return batch

    def _measure(self, now: Millis) -> None:
        """Update the mean time of a turn by the previous batch."""
        if not self._batch_size:
            return
        cost = (now - self._batch_began) / self._batch_size
        cost = min(cost, MAX_COST_GROWTH * self.turn_cost)
        self.turn_cost += COST_WEIGHT * (cost - self.turn_cost)
        self._batch_size = 0

    def _choose(self, now: Millis) -> Gather[Item]:
        urgencies = {gather: self._urgency(gather, now) for gather in self._waiting}
        chosen = self._choose_group({urgency.group for urgency in urgencies.values()}, now)
        of_group = [one for one in urgencies if urgencies[one].group == chosen]
        return min(of_group, key=urgencies.__getitem__)

    def _choose_group(self, groups: set[Group], now: Millis) -> Group:
        """Choose the group of the next batch, and record that the others are passed over."""
        self._waits = {group: self._waits.get(group, GroupWait(now)) for group in groups}
        most_urgent = min(groups)
        chosen = self._starving_group(now) or most_urgent
        for group, (since, passed_over) in self._waits.items():
            self._waits[group] = GroupWait(since, 0 if group == chosen else passed_over + 1)
        if chosen == most_urgent:
            del self._waits[chosen]
        return chosen

    def _starving_group(self, now: Millis) -> Group | None:
        starving = [group for group, wait in self._waits.items() if wait.is_starving(now)]
        return max(starving, key=lambda group: self._waits[group].passed_over, default=None)

    def _urgency(self, gather: Gather[Item], now: Millis) -> Urgency:
        is_late = not gather.can_be_in_time(self.turn_cost, now)
        return Urgency(
            gather.run.finished,
            is_late,
            gather.rank if is_late else 0,
            self._position(gather),
            gather.run.times.answer_by,
        )

    def _position(self, gather: Gather[Item]) -> int:
        """Count the gathers of the same organisation that are due before this one."""
        if gather.organisation is None:
            return 0
        due = gather.run.times.answer_by
        return sum(
            other.organisation == gather.organisation
            and not other.run.finished
            and other.run.times.answer_by < due
            for other in self._at_work
        )
