"""Keeps server queues short under overload by pacing lower priority classes at the entry."""

from __future__ import annotations

import heapq

from ..clock import Millis
from .core_state import CoreState
from .run import Run, ShardState
from .server_view import ServerView
from .timers import TimerKind

MAX_PAUSE_MS: Millis = 200.0
"""The longest pause between two lower priority requests to a shard."""


class Pacer:
    """Decides whether a lower priority shard request may be sent to a server yet.

    Servers have one queue for all priority classes. Under overload, only as many lower priority
    requests are sent as keep the servers busy. The others wait at the entry, where urgent requests
    overtake them.

    Each shard has a window for lower priority classes: its share of the limiter's limit. An entry's
    share can be less than one request; then requests are sent one at a time with a pause between
    them.
    """

    def __init__(self, state: CoreState) -> None:
        self._state = state
        self._pauses: list[tuple[Millis, str]] = []
        self._paused: dict[str, ServerView] = {}
        """The servers in the heap, by ID."""

    def may_send(self, run: Run, shard: ShardState, pending: int = 0) -> bool:
        """Return whether the priority class of a shard request allows sending it now.

        Args:
            run: The request that it belongs to.
            shard: The shard.
            pending: Further shard requests that are about to be sent to the shard.
        """
        limiter = run.limiter
        if run.rank == 0 or limiter is None or not limiter.overloaded:
            return True
        now = self._state.now
        in_flight = slots = 0
        for server in shard.plan.replicas:
            if server.next_lower_priority_at > now:
                return False
            in_flight += server.lower_priority_in_flight
            slots += server.slots
        return in_flight + pending < slots * limiter.window

    def record_send(self, run: Run, shard: ShardState, server: ServerView) -> None:
        """Count a lower priority shard request, and start the pause after it."""
        server.lower_priority_in_flight += 1
        limiter = run.limiter
        if limiter is None or not limiter.overloaded:
            return
        # Without the pause, one request from each of many entries would still form a long queue.
        window = limiter.window * sum(other.slots for other in shard.plan.replicas)
        if window < 1.0:
            resume_at = self._state.now + min(MAX_PAUSE_MS, limiter.latency / window)
            for other in shard.plan.replicas:
                other.next_lower_priority_at = resume_at

    def schedule_recheck(self, server: ServerView) -> None:
        """Set a timer to check a server again when its pause ends."""
        resume_at = server.next_lower_priority_at
        if resume_at > self._state.now and server.server_id not in self._paused:
            self._paused[server.server_id] = server
            heapq.heappush(self._pauses, (resume_at, server.server_id))
            self._state.timers.add(resume_at, TimerKind.PACED, None)

    def take_due(self) -> list[ServerView]:
        """Remove and return the servers whose pause has ended."""
        resumed: list[ServerView] = []
        while self._pauses and self._pauses[0][0] <= self._state.now:
            _, server_id = heapq.heappop(self._pauses)
            resumed.append(self._paused.pop(server_id))
        return resumed
