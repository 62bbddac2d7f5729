"""Lets the parts of concurrent gathers at this host run in the order of a ``PartQueue``."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import TypeAlias

import trio

from ..clock import LoopClock, Millis
from ..core.forwarding.forward_run import ForwardRun
from ..core.forwarding.identity import effective_rank
from ..core.forwarding.organisation import Organisation
from ..core.forwarding.outcome import FailureReason, NotRun
from ..core.forwarding.part_queue import Gather, PartQueue
from ..core.forwarding.route import AllShards, Route
from .node_metrics import NodeMetrics
from .node_state import NodeState

PartGather: TypeAlias = Gather[trio.Event]


class ServiceTurn:
    """One request at this host; if it is a gather, its parts wait here for their turns.

    Args:
        turns: The turns of all requests at this host.
        rank: The priority of the request; 0 is the most urgent.
        organisation: The name of its organisation; None if there is none.
    """

    def __init__(self, turns: ServiceTurns, rank: int, organisation: str | None) -> None:
        self._turns = turns
        self._rank = rank
        self._organisation = organisation
        self._gather: PartGather | None = None

    def begin(self, run: ForwardRun) -> NotRun | None:
        """Handle a request that is about to run; return its outcome if it is refused."""
        if not self._turns.is_ordered or not isinstance(run.route.destination, AllShards):
            return None
        queue = self._turns.queue
        self._gather = queue.start(run, self._rank, self._organisation)
        retry_after = queue.retry_after(self._gather, self._turns.now())
        if retry_after is None:
            return None
        return NotRun(FailureReason.OVERLOADED, retry_after)

    def end(self) -> None:
        """Handle a request that has its outcome."""
        if self._gather is not None:
            self._turns.queue.end(self._gather)

    async def wait_to_send(self) -> None:
        """Wait until a part may be sent to its server."""
        if self._gather is None:
            return
        sent = trio.Event()
        self._turns.queue.add_send(self._gather, sent)
        await self._turns.wait(self._gather, sent)

    async def wait_to_read(self) -> None:
        """Wait until the answer to a part, which has arrived, may be read."""
        if self._gather is None or self._turns.queue.is_free():
            return
        read = trio.Event()
        self._turns.queue.add_answer(self._gather, read)
        await self._turns.wait(self._gather, read)


class ServiceTurns:
    """Gives the parts of all gathers at this host their turns.

    Args:
        state: The node's state with the routes and the organisations.
        processor: Processor time of this host, in seconds per second.
        metrics: Records how long parts wait.
        rng: Spreads the retries of refused callers.
    """

    def __init__(
        self, state: NodeState, processor: float, metrics: NodeMetrics, rng: Random
    ) -> None:
        self.queue: PartQueue[trio.Event] = PartQueue(processor, rng)
        """The parts that wait."""
        self._state = state
        self._metrics = metrics
        self._added = trio.Event()
        self._clock = LoopClock()

    @property
    def is_ordered(self) -> bool:
        """Whether gathers can differ in their urgency."""
        return self._state.organisations is not None or self._state.routes.has_unequal_gathers

    @asynccontextmanager
    async def turn(
        self, route: Route, organisation: Organisation | None
    ) -> AsyncIterator[ServiceTurn]:
        """Return the object through which a request's parts wait for their turns.

        The request itself begins at once.

        Args:
            route: The route of the request.
            organisation: The organisation of the request; None if there is none.
        """
        name = organisation.name if organisation is not None else None
        turn = ServiceTurn(self, effective_rank(route, organisation), name)
        try:
            yield turn
        finally:
            turn.end()

    def now(self) -> Millis:
        """Return the loop's time."""
        return self._clock.now()

    async def wait(self, gather: PartGather, part: trio.Event) -> None:
        """Wait for the turn of a part; cancellation removes it from the queue."""
        began = self._clock.now()
        self._added.set()
        try:
            await part.wait()
        except trio.Cancelled:
            self.queue.discard(gather, part)
            raise
        self._metrics.record_part_wait(gather.rank, self._clock.now() - began)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Give the parts their turns until cancelled."""
        task_status.started()
        while True:
            # Other tasks, such as those that read a request that has arrived, run in between.
            await trio.lowlevel.checkpoint()
            batch = self.queue.take(self._clock.now())
            for part in batch:
                part.set()
            if not batch:
                self._added = trio.Event()
                await self._added.wait()
