"""Sends shard requests: chooses the server, lets them wait for one, follows each attempt."""

from __future__ import annotations

import heapq
from enum import Enum
from math import inf

from ..clock import Millis
from .attempt import Attempt
from .core_state import CoreState
from .crash_watch import CRASH_LIMIT
from .entry_events import AttemptFault, CancelAttempt, LoadReport, ProbeServer, SendShard
from .latency_histogram import MIN_LATENCY_MS
from .pacer import Pacer
from .query_run import QueryRun
from .replica_choice import choose_replica
from .run import Run, ShardState
from .server_view import ServerView
from .shard_map import Snapshot
from .timers import TimerKind

NOTHING: frozenset[str] = frozenset()
COPY_ROOM = 1.0
"""A copy goes to a server that was asked already if it has less than this load for each slot."""


class Sent(Enum):
    """What became of a shard request that was to be sent."""

    SENT = "sent"
    WAITS = "waits"
    """It is sent as soon as one of the servers may be asked."""
    NO_SERVER = "no_server"
    """No server is left that could be asked before the deadline."""


class Dispatcher:
    """The attempts that are out and the shard requests that wait for a server."""

    def __init__(self, state: CoreState) -> None:
        self._state = state
        self._next = 0
        self.attempts: dict[int, Attempt] = {}
        self._parked: dict[tuple[str, str], list[tuple[int, int, Run, ShardState]]] = {}
        self._park_number = 0
        self._hedges_on: dict[str, list[Attempt]] = {}
        self._waiting_on: dict[str, dict[tuple[str, str], None]] = {}
        self._freed: list[ServerView] = []
        self.pacer = Pacer(state)
        self._wake_at: Millis | None = None
        """When the timer for waiting shard requests comes up."""

    @property
    def parked(self) -> int:
        """Shard requests that wait for a server, ended ones included."""
        return sum(len(heap) for heap in self._parked.values())

    def send(self, run: Run, shard: ShardState, snapshot: Snapshot, again: bool = False) -> Sent:
        """Send a shard request to the best server, or let it wait for one.

        Args:
            run: The request that it belongs to.
            shard: The shard.
            snapshot: What it is to read.
            again: Whether a server that was asked before may be asked once more.
        """
        core = self._state
        excluded = NOTHING if again else shard.tried
        alone = core.crashes.losses(run.fingerprint, core.now) > 0
        server: ServerView | None = None
        if self.pacer.may_send(run, shard):
            server = self._choose(run, shard, excluded, alone)
        if server is not None:
            self._emit(run, shard, server, snapshot, False, alone)
            return Sent.SENT
        wake = self._wake_time(run, shard, excluded, core.now)
        if wake is None or wake >= run.deadline:
            return Sent.NO_SERVER
        shard.waiting = True
        self._park_number += 1
        key = (run.upstream.name, shard.plan.shard.name)
        entry = (run.rank, self._park_number, run, shard)
        heapq.heappush(self._parked.setdefault(key, []), entry)
        for server in shard.plan.replicas:
            self._waiting_on.setdefault(server.server_id, {})[key] = None
            self.pacer.schedule_recheck(server)
        # One timer looks at all that waits. With one for each they would multiply in every round of
        # refusals, seen as an entry that does nothing but look at its waiting requests.
        if wake > core.now and (self._wake_at is None or wake < self._wake_at):
            self._wake_at = wake
            core.timers.add(wake, TimerKind.WAITING, None)
        return Sent.WAITS

    def hedge(self, run: Run, shard: ShardState, snapshot: Snapshot) -> bool:
        """Send a second copy of a shard request if a server is free for it."""
        now = self._state.now
        busy = {attempt.server.server_id for attempt in shard.attempts.values()}
        server = self._choose(run, shard, busy, False)
        if server is None:
            server = self._choose(run, shard, NOTHING, False)
            # A straggler is often the request's own bad luck, so the same server may well be faster
            # a second time; but behind a queue a copy would only lengthen it.
            if server is None or server.load(now) >= COPY_ROOM * server.slots:
                return False
        shard.hedges += 1
        self._emit(run, shard, server, snapshot, True, False)
        return True

    def expected_time(self, run: Run, shard: ShardState) -> Millis:
        """Return how long a shard request sent now is likely to take, in milliseconds."""
        core = self._state
        server = self._choose(run, shard, NOTHING, False)
        if server is None:
            return inf
        away = not run.any_zone and server.zone != core.zone
        return server.estimate(core.now) + (core.policy.zone_cost_ms if away else 0.0)

    def _choose(
        self, run: Run, shard: ShardState, excluded: set[str] | frozenset[str], alone: bool
    ) -> ServerView | None:
        core = self._state
        cost = 0.0 if run.any_zone else core.policy.zone_cost_ms
        return choose_replica(
            shard.plan.replicas, excluded, core.zone, cost, core.now, core.rng, alone
        )

    def _wake_time(
        self, run: Run, shard: ShardState, excluded: set[str] | frozenset[str], now: Millis
    ) -> Millis | None:
        """Return when a server may be asked, ``now`` for when one is free, None for never."""
        earliest: Millis | None = None
        for server in shard.plan.replicas:
            if server.server_id in excluded or server.leaving or now < server.drained_until:
                continue
            if server.share < 1:
                continue
            if now < server.shed_until:
                run.retry_after = max(run.retry_after or 0.0, server.shed_until - now)
            at = max(now, server.shed_until)
            earliest = at if earliest is None else min(earliest, at)
        return earliest

    def _emit(
        self,
        run: Run,
        shard: ShardState,
        server: ServerView,
        snapshot: Snapshot,
        hedge: bool,
        alone: bool,
    ) -> None:
        core = self._state
        self._next += 1
        number = self._next
        attempt = Attempt(number, run, shard, server, core.now, hedge, alone)
        shard.waiting = False
        shard.attempts[number] = attempt
        shard.tried.add(server.server_id)
        self.attempts[number] = attempt
        server.in_flight += 1
        if run.rank:
            self.pacer.record_send(run, shard, server)
        if alone:
            server.suspect_attempts += 1
        core.shard_requests_sent += 1
        if core.policy.take_back_hedges:
            self._take_back(attempt)
        core.effects.append(
            SendShard(
                number,
                f"{core.name}-{number}",
                run.upstream.name,
                server.server_id,
                shard.plan.shard.name,
                snapshot,
                run.deadline - core.policy.path_cost_ms,
                run.request,
            )
        )

    def _take_back(self, new: Attempt) -> None:
        hedges = self._hedges_on.setdefault(new.server.server_id, [])
        hedges[:] = [held for held in hedges if held.number in self.attempts]
        if new.hedge:
            hedges.append(new)
            return
        for held in hedges:
            if len(held.state.attempts) > 1 and new.server.load(self._state.now) > new.server.slots:
                self.cancel(held)

    def answered(self, number: int, load: LoadReport | None) -> Attempt | None:
        """Take an attempt that brought a good answer off the list; None if it is not known."""
        attempt = self._end(number)
        if attempt is None:
            return None
        core = self._state
        latency = core.now - attempt.sent_at
        if latency < MIN_LATENCY_MS:
            latency = MIN_LATENCY_MS
        attempt.server.record_answer(latency, load, core.now)
        attempt.run.upstream.latencies.record(latency)
        if attempt.run.gate is not None:
            slots = attempt.server.slots
            attempt.run.gate.observe(latency, load, slots, core.now)
        return attempt

    def failed(
        self, number: int, fault: AttemptFault, retry_after: Millis | None
    ) -> Attempt | None:
        """Take an attempt that came to nothing off the list; None if it is not known."""
        attempt = self._end(number)
        if attempt is None:
            return None
        core = self._state
        server = attempt.server
        match fault:
            case AttemptFault.SHED:
                server.record_shed(retry_after, core.now)
                span = server.shed_until - core.now
                attempt.run.retry_after = max(attempt.run.retry_after or 0.0, span)
            case AttemptFault.DRAINING | AttemptFault.MOVED:
                server.record_draining(core.now)
            case AttemptFault.SILENT:
                self._silent(attempt)
            case AttemptFault.LOST:
                core.servers.record_failure(attempt.run.upstream.name, server, core.now)
                core.effects.append(ProbeServer(server.server_id))
            case (
                AttemptFault.NOT_SENT
                | AttemptFault.FAILED
                | AttemptFault.GARBAGE
                | AttemptFault.WRONG_ANSWER
            ):
                core.servers.record_failure(attempt.run.upstream.name, server, core.now)
            case AttemptFault.VERSION_GONE | AttemptFault.REFUSED | AttemptFault.OWNER_LOST:
                pass
        return attempt

    def _silent(self, attempt: Attempt) -> None:
        # Something between the two ends can lose track of a connection while new ones work. Held
        # against the server at once, one such connection would take a good replica out; so only
        # silence on a second one counts against the server.
        core = self._state
        server = attempt.server
        if core.now - server.silent_at < core.policy.silent_window_ms:
            core.servers.record_failure(attempt.run.upstream.name, server, core.now)
        server.silent_at = core.now

    def _end(self, number: int) -> Attempt | None:
        attempt = self.attempts.pop(number, None)
        if attempt is None:
            return None
        attempt.state.attempts.pop(number, None)
        attempt.server.in_flight -= 1
        if attempt.run.rank:
            attempt.server.lower_priority_in_flight -= 1
        if self._parked:
            self._freed.append(attempt.server)
        if attempt.alone:
            attempt.server.suspect_attempts -= 1
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt; what it has taken so far counts as its latency if that is long."""
        core = self._state
        if self._end(attempt.number) is None:
            return
        core.wasted += 1
        span = core.now - attempt.sent_at
        if span > attempt.server.latency:
            attempt.server.record_latency(span, core.now)
        core.effects.append(CancelAttempt(attempt.number))

    def within_crash_limit(self, run: QueryRun) -> bool:
        """Return whether one more attempt stays within the servers that a body may crash.

        A body that no server has answered is on no more servers at a time than it may crash. Once
        a query's remaining shards were sent behind its canaries, this no longer bounds it.
        """
        core = self._state
        if not run.canary_phase and len(run.shards) > 1:
            return True
        if core.crashes.is_safe(run.fingerprint):
            return True
        lost = core.crashes.losses(run.fingerprint, core.now)
        return lost + run.attempts_out < CRASH_LIMIT

    def take_ready(self) -> list[tuple[Run, ShardState]]:
        """Take out the waiting shard requests for which a server got free during this step."""
        ready: list[tuple[Run, ShardState]] = []
        for server in self._freed:
            room = int(server.cap) - server.in_flight
            self.pacer.schedule_recheck(server)
            # A query keeps the shards of its own map. Looked for under the names of the newest map,
            # what waits for a shard that was split meanwhile would wait until its deadline.
            waiting = self._waiting_on.get(server.server_id, {})
            for key in list(waiting):
                room -= self._take_waiting(key, room, ready)
                if key not in self._parked:
                    del waiting[key]
        self._freed.clear()
        return ready

    def wake_paced(self) -> None:
        """Look again at the servers that were held back from lower classes until now."""
        self._freed += self.pacer.take_due()

    def _take_waiting(
        self, key: tuple[str, str], room: int, ready: list[tuple[Run, ShardState]]
    ) -> int:
        heap = self._parked.get(key)
        taken = 0
        while heap and taken < room:
            _, _, run, shard = heap[0]
            if not run.ended and not self.pacer.may_send(run, shard, taken):
                break
            heapq.heappop(heap)
            if not run.ended and shard.waiting and not shard.closed:
                shard.waiting = False
                ready.append((run, shard))
                taken += 1
        if heap is not None and not heap:
            del self._parked[key]
        return taken

    def take_parked(self) -> list[tuple[Run, ShardState]]:
        """Take out all waiting shard requests, the most urgent first."""
        entries = sorted(entry for heap in self._parked.values() for entry in heap)
        self._parked.clear()
        self._waiting_on.clear()
        if self._wake_at is not None and self._wake_at <= self._state.now:
            self._wake_at = None
        ready = []
        for _, _, run, shard in entries:
            if not run.ended and shard.waiting and not shard.closed:
                shard.waiting = False
                ready.append((run, shard))
        return ready
