"""Keeps the servers' queues short under overload by holding lower classes back at the entry."""

from __future__ import annotations

import heapq

from ..clock import Millis
from .core_state import CoreState
from .run import Run, ShardState
from .server_view import ServerView
from .timers import TimerKind

MAX_PAUSE: Millis = 200.0
"""The longest time between two requests of lower classes to a shard."""


class Pacer:
    """Decides whether a shard request that is not urgent may go to a server yet.

    Servers have one queue for all classes. Under overload what is not urgent is let into it only
    as far as keeps the servers at work. It waits at the entry, where urgent requests pass it.

    Each shard has a window for lower classes: its part of the gate's limit. An entry's part can be
    less than one request; then there is one at a time with a pause between two.
    """

    def __init__(self, state: CoreState) -> None:
        self._state = state
        self._due: list[tuple[Millis, str]] = []
        self._servers: dict[str, ServerView] = {}
        """The servers in the heap, by id."""

    def may_send(self, run: Run, shard: ShardState, taken: int = 0) -> bool:
        """Return whether a shard request may go to a server as far as its class goes.

        Args:
            run: The request that it belongs to.
            shard: The shard.
            taken: Further shard requests that are about to be sent there.
        """
        limiter = run.limiter
        if run.rank == 0 or limiter is None or not limiter.overloaded:
            return True
        now = self._state.now
        out = slots = 0
        for server in shard.plan.replicas:
            if server.next_low_at > now:
                return False
            out += server.lower_priority_in_flight
            slots += server.slots
        return out + taken < slots * limiter.window

    def record_send(self, run: Run, shard: ShardState, server: ServerView) -> None:
        """Count a shard request that is not urgent, and set the pause after it."""
        server.lower_priority_in_flight += 1
        limiter = run.limiter
        if limiter is None or not limiter.overloaded:
            return
        # Without the pause, one request of each of many entries would still be a long queue.
        window = limiter.window * sum(other.slots for other in shard.plan.replicas)
        if window < 1.0:
            at = self._state.now + min(MAX_PAUSE, limiter.latency / window)
            for other in shard.plan.replicas:
                other.next_low_at = at

    def schedule_recheck(self, server: ServerView) -> None:
        """Have a server looked at again when its pause ends."""
        at = server.next_low_at
        if at > self._state.now and server.server_id not in self._servers:
            self._servers[server.server_id] = server
            heapq.heappush(self._due, (at, server.server_id))
            self._state.timers.add(at, TimerKind.PACED, None)

    def take_due(self) -> list[ServerView]:
        """Take out and return the servers whose pause has ended."""
        ended: list[ServerView] = []
        while self._due and self._due[0][0] <= self._state.now:
            _, server_id = heapq.heappop(self._due)
            ended.append(self._servers.pop(server_id))
        return ended
