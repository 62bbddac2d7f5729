"""Dispatch of shard requests: server choice, queueing for a server, tracking of attempts."""

from __future__ import annotations

import heapq
from enum import Enum
from math import inf

from ..clock import Millis
from .attempt import Attempt
from .core_state import CoreState
from .crash_detector import CRASH_LIMIT
from .entry_events import AttemptFault, CancelAttempt, LoadReport, ProbeServer, SendShard
from .latency_histogram import MIN_LATENCY_MS
from .pacer import Pacer
from .query_run import QueryRun
from .replica_choice import choose_replica
from .run import Run, ShardState
from .server_view import ServerView
from .shard_map import Snapshot
from .timers import TimerKind

NO_EXCLUSIONS: frozenset[str] = frozenset()
MAX_HEDGE_LOAD_PER_SLOT = 1.0
"""Load per slot below which a hedge may go to a server that already runs the shard request."""


class SendOutcome(Enum):
    """The result of an attempt to send a shard request."""

    SENT = "sent"
    WAITS = "waits"
    """It is sent as soon as one of the servers can accept it."""
    NO_SERVER = "no_server"
    """No server can accept it before the deadline."""


class Dispatcher:
    """Tracks the attempts in flight and the shard requests that wait for a server."""

    def __init__(self, state: CoreState) -> None:
        self._state = state
        self._last_attempt_number = 0
        self.attempts: dict[int, Attempt] = {}
        self._waiting_by_shard: dict[tuple[str, str], list[tuple[int, int, Run, ShardState]]] = {}
        self._last_waiting_number = 0
        self._hedges_by_server: dict[str, list[Attempt]] = {}
        self._waiting_shards_by_server: dict[str, dict[tuple[str, str], None]] = {}
        self._freed_servers: list[ServerView] = []
        self.pacer = Pacer(state)
        self._wake_at: Millis | None = None
        """When the timer for waiting shard requests expires."""

    @property
    def waiting_count(self) -> int:
        """The number of shard requests that wait for a server, including ended ones."""
        return sum(len(heap) for heap in self._waiting_by_shard.values())

    def send(
        self, run: Run, shard: ShardState, snapshot: Snapshot, again: bool = False
    ) -> SendOutcome:
        """Send a shard request to the best server, or queue it until one is available.

        Args:
            run: The request that it belongs to.
            shard: The shard.
            snapshot: The snapshot to read.
            again: Whether servers that were already tried may be tried again.

        Returns:
            Whether it was sent, waits for a server, or cannot be sent before the deadline.
        """
        core = self._state
        excluded = NO_EXCLUSIONS if again else shard.tried
        crash_suspect = core.crashes.recent_losses(run.fingerprint, core.now) > 0
        server: ServerView | None = None
        if self.pacer.may_send(run, shard):
            server = self._choose_server(run, shard, excluded, crash_suspect)
        if server is not None:
            self._send_to(run, shard, server, snapshot, False, crash_suspect)
            return SendOutcome.SENT
        wake = self._wake_time(run, shard, excluded, core.now)
        if wake is None or wake >= run.deadline:
            return SendOutcome.NO_SERVER
        shard.waiting = True
        self._last_waiting_number += 1
        key = (run.upstream.name, shard.plan.shard.name)
        entry = (run.rank, self._last_waiting_number, run, shard)
        heapq.heappush(self._waiting_by_shard.setdefault(key, []), entry)
        for server in shard.plan.replicas:
            self._waiting_shards_by_server.setdefault(server.server_id, {})[key] = None
            self.pacer.schedule_recheck(server)
        # One timer serves all waiting shard requests. One timer each would multiply with every
        # round of refusals until the entry does nothing but recheck its waiting requests.
        if wake > core.now and (self._wake_at is None or wake < self._wake_at):
            self._wake_at = wake
            core.timers.add(wake, TimerKind.WAITING, None)
        return SendOutcome.WAITS

    def hedge(self, run: Run, shard: ShardState, snapshot: Snapshot) -> bool:
        """Send a hedge for a shard request if a server has capacity for it.

        Returns:
            Whether a hedge was sent.
        """
        now = self._state.now
        busy_server_ids = {attempt.server.server_id for attempt in shard.attempts.values()}
        server = self._choose_server(run, shard, busy_server_ids, False)
        if server is None:
            server = self._choose_server(run, shard, NO_EXCLUSIONS, False)
            # A straggler is often specific to one execution, so the same server may be faster the
            # second time. On a server with a queue the hedge would only lengthen the queue.
            if server is None or server.load(now) >= MAX_HEDGE_LOAD_PER_SLOT * server.slots:
                return False
        shard.hedges += 1
        self._send_to(run, shard, server, snapshot, True, False)
        return True

    def expected_time(self, run: Run, shard: ShardState) -> Millis:
        """Return the expected duration of a shard request sent now, in milliseconds."""
        core = self._state
        server = self._choose_server(run, shard, NO_EXCLUSIONS, False)
        if server is None:
            return inf
        other_zone = not run.any_zone and server.zone != core.zone
        return server.estimate(core.now) + (core.policy.zone_cost_ms if other_zone else 0.0)

    def _choose_server(
        self, run: Run, shard: ShardState, excluded: set[str] | frozenset[str], crash_suspect: bool
    ) -> ServerView | None:
        core = self._state
        cost = 0.0 if run.any_zone else core.policy.zone_cost_ms
        return choose_replica(
            shard.plan.replicas, excluded, core.zone, cost, core.now, core.rng, crash_suspect
        )

    def _wake_time(
        self, run: Run, shard: ShardState, excluded: set[str] | frozenset[str], now: Millis
    ) -> Millis | None:
        """Return when the first replica can be tried, at the earliest ``now``; None if never."""
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

    def _send_to(
        self,
        run: Run,
        shard: ShardState,
        server: ServerView,
        snapshot: Snapshot,
        hedge: bool,
        crash_suspect: bool,
    ) -> None:
        core = self._state
        self._last_attempt_number += 1
        number = self._last_attempt_number
        attempt = Attempt(number, run, shard, server, core.now, hedge, crash_suspect)
        shard.waiting = False
        shard.attempts[number] = attempt
        shard.tried.add(server.server_id)
        self.attempts[number] = attempt
        server.in_flight += 1
        if run.rank:
            self.pacer.record_send(run, shard, server)
        if crash_suspect:
            server.suspect_attempts += 1
        core.shard_requests_sent += 1
        if core.policy.take_back_hedges:
            self._cancel_superseded_hedges(attempt)
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

    def _cancel_superseded_hedges(self, new_attempt: Attempt) -> None:
        hedges = self._hedges_by_server.setdefault(new_attempt.server.server_id, [])
        hedges[:] = [
            hedge_attempt for hedge_attempt in hedges if hedge_attempt.number in self.attempts
        ]
        if new_attempt.hedge:
            hedges.append(new_attempt)
            return
        for hedge_attempt in hedges:
            if (
                len(hedge_attempt.state.attempts) > 1
                and new_attempt.server.load(self._state.now) > new_attempt.server.slots
            ):
                self.cancel(hedge_attempt)

    def answered(self, number: int, load: LoadReport | None) -> Attempt | None:
        """Remove and return an attempt with a valid answer; None if it is not in flight."""
        attempt = self._remove_attempt(number)
        if attempt is None:
            return None
        core = self._state
        latency = core.now - attempt.sent_at
        if latency < MIN_LATENCY_MS:
            latency = MIN_LATENCY_MS
        attempt.server.record_answer(latency, load, core.now)
        attempt.run.upstream.latencies.record(latency)
        if attempt.run.limiter is not None:
            slots = attempt.server.slots
            attempt.run.limiter.observe(latency, load, slots, core.now)
        return attempt

    def failed(
        self, number: int, fault: AttemptFault, retry_after: Millis | None
    ) -> Attempt | None:
        """Remove and return a failed attempt; None if it is not in flight."""
        attempt = self._remove_attempt(number)
        if attempt is None:
            return None
        core = self._state
        server = attempt.server
        match fault:
            case AttemptFault.SHED:
                server.record_shed(retry_after, core.now)
                shed_time_left = server.shed_until - core.now
                attempt.run.retry_after = max(attempt.run.retry_after or 0.0, shed_time_left)
            case AttemptFault.DRAINING | AttemptFault.MOVED:
                server.record_draining(core.now)
            case AttemptFault.SILENT:
                self._record_silence(attempt)
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

    def _record_silence(self, attempt: Attempt) -> None:
        # An intermediary can drop the state of one connection while new connections work. If the
        # first silent connection counted as a failure, it would remove a healthy replica. So only
        # a second silent connection within the window counts.
        core = self._state
        server = attempt.server
        if core.now - server.silent_at < core.policy.silent_window_ms:
            core.servers.record_failure(attempt.run.upstream.name, server, core.now)
        server.silent_at = core.now

    def _remove_attempt(self, number: int) -> Attempt | None:
        attempt = self.attempts.pop(number, None)
        if attempt is None:
            return None
        attempt.state.attempts.pop(number, None)
        attempt.server.in_flight -= 1
        if attempt.run.rank:
            attempt.server.lower_priority_in_flight -= 1
        if self._waiting_by_shard:
            self._freed_servers.append(attempt.server)
        if attempt.crash_suspect:
            attempt.server.suspect_attempts -= 1
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt.

        The elapsed time is recorded as a latency of the server if it exceeds the server's average.
        """
        core = self._state
        if self._remove_attempt(attempt.number) is None:
            return
        core.wasted += 1
        elapsed_ms = core.now - attempt.sent_at
        if elapsed_ms > attempt.server.latency:
            attempt.server.record_latency(elapsed_ms, core.now)
        core.effects.append(CancelAttempt(attempt.number))

    def within_crash_limit(self, run: QueryRun) -> bool:
        """Return whether one more attempt keeps a body within the number of servers it may crash.

        A body that no server has answered is sent to at most that many servers at a time. The bound
        no longer applies once the query's remaining shards have been sent after its canaries.
        """
        core = self._state
        if not run.canary_phase and len(run.shards) > 1:
            return True
        if core.crashes.was_answered(run.fingerprint):
            return True
        lost = core.crashes.recent_losses(run.fingerprint, core.now)
        return lost + run.attempts_out < CRASH_LIMIT

    def take_ready(self) -> list[tuple[Run, ShardState]]:
        """Remove and return waiting shard requests for which a server became free in this step."""
        ready: list[tuple[Run, ShardState]] = []
        for server in self._freed_servers:
            room = int(server.cap) - server.in_flight
            self.pacer.schedule_recheck(server)
            # A query keeps the shards of its pinned map. Looking only for shard names of the newest
            # map would leave requests for a shard that was split waiting until their deadline.
            waiting = self._waiting_shards_by_server.get(server.server_id, {})
            for key in list(waiting):
                room -= self._take_waiting_for_shard(key, room, ready)
                if key not in self._waiting_by_shard:
                    del waiting[key]
        self._freed_servers.clear()
        return ready

    def release_paced(self) -> None:
        """Recheck servers whose pause between requests of lower priority classes has ended."""
        self._freed_servers += self.pacer.take_due()

    def _take_waiting_for_shard(
        self, key: tuple[str, str], room: int, ready: list[tuple[Run, ShardState]]
    ) -> int:
        heap = self._waiting_by_shard.get(key)
        taken_count = 0
        while heap and taken_count < room:
            _, _, run, shard = heap[0]
            if not run.ended and not self.pacer.may_send(run, shard, taken_count):
                break
            heapq.heappop(heap)
            if not run.ended and shard.waiting and not shard.closed:
                shard.waiting = False
                ready.append((run, shard))
                taken_count += 1
        if heap is not None and not heap:
            del self._waiting_by_shard[key]
        return taken_count

    def take_all_waiting(self) -> list[tuple[Run, ShardState]]:
        """Remove and return all waiting shard requests, the most urgent first."""
        entries = sorted(entry for heap in self._waiting_by_shard.values() for entry in heap)
        self._waiting_by_shard.clear()
        self._waiting_shards_by_server.clear()
        if self._wake_at is not None and self._wake_at <= self._state.now:
            self._wake_at = None
        ready = []
        for _, _, run, shard in entries:
            if not run.ended and shard.waiting and not shard.closed:
                shard.waiting = False
                ready.append((run, shard))
        return ready
