"""Carries out the decisions of ``ForwardRun``: connections, exchanges and timers."""

from __future__ import annotations

from contextlib import suppress

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.entry_events import AttemptFault
from ..core.forwarding.effects import Cancel, Effect, Finish, Send
from ..core.forwarding.forward_run import ForwardRun
from ..core.forwarding.outcome import Outcome
from ..core.forwarding.target_table import EVACUATED_SOURCE
from ..entry.attempt_faults import ATTEMPT_FAULTS
from ..entry.connection_pool import ConnectionPool
from ..http.connection import HttpConnection
from ..http.exchange import ExchangeFault, HttpExchangeError, HttpReply
from ..loop_tasks import LoopTasks
from .dialect import CallerRequest, Dialect, Reading
from .node_state import NodeState

LOSER_GRACE: Millis = 250.0
"""How long an attempt that lost may still take before its connection is closed.

A server that only paused ends its answer within this time and the connection can be used again; a
new one costs the server some milliseconds of a slot.
"""
MIN_TIME_LEFT: Millis = 2.0
"""With less time left nothing is sent; the server would stop before its answer is out."""


class ForwardRunner:
    """Runs forwarded requests over warm connections.

    Args:
        pool: Where connections come from.
        state: The node's beliefs, told what was seen of servers and requests.
        dialect: Writes requests and reads answers.
    """

    def __init__(self, pool: ConnectionPool, state: NodeState, dialect: Dialect) -> None:
        self._pool = pool
        self._state = state
        self._table = state.table
        self._dialect = dialect
        self._clock = LoopClock()
        self._tasks = LoopTasks()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Keep the attempts' tasks until cancelled."""
        await self._tasks.run(task_status)

    async def forward(self, req: CallerRequest, run: ForwardRun) -> Outcome:
        """Run one request to its outcome; if cancelled, its work at servers is cancelled too."""
        flight = _Flight(self, req, run)
        try:
            return await flight.fly()
        except trio.Cancelled:
            flight.abandon()
            raise

    async def collect(self, req: CallerRequest, run: ForwardRun) -> None:
        """Run one share of a gather until no part can come any more.

        If cancelled, what is out at servers may still end within the grace of attempts that lost:
        the connections of a gather that has all it needs would be closed in mid-answer otherwise.
        """
        # A share may be dropped before its task has begun; begun all the same, it would send all of
        # its requests before it notices, at servers that others have asked already.
        await trio.lowlevel.checkpoint_if_cancelled()
        flight = _Flight(self, req, run)
        try:
            await flight.fly()
        except trio.Cancelled:
            flight.let_go()
            raise

    def begin(self, flight: _Flight, send: Send) -> trio.CancelScope:
        """Start one attempt in a task of its own."""
        scope = trio.CancelScope()
        self._tasks.start(self._attempt, flight, send, scope)
        return scope

    async def _attempt(self, flight: _Flight, send: Send, scope: trio.CancelScope) -> None:
        reply: HttpReply | None = None
        reading = Reading(AttemptFault.SILENT)
        with scope:
            try:
                reply, reading = await self._exchange(flight, send)
            except HttpExchangeError as exc:
                reading = Reading(ATTEMPT_FAULTS[exc.fault])
        now = self._clock.now()
        sent_at = self._table.record_end(send.target, send.attempt)
        if scope.cancelled_caught:
            if sent_at is not None:
                self._table.record_abandoned(send.target, sent_at, now)
            return
        self._state.saw_attempt(flight.fingerprint, send.target, reading.fault, now)
        if reading.fault is not None:
            self._table.record_failure(send.target, reading.fault, reading.retry_after, now)
        elif sent_at is not None:
            self._table.record_answer(send.target, now - sent_at, reading.load, now)
        flight.ended(send.attempt, reading, reply, now)

    async def _exchange(self, flight: _Flight, send: Send) -> tuple[HttpReply, Reading]:
        server_id = send.target.server_id
        conn = self._pool.acquire_idle(server_id)
        if conn is None:
            conn = await self._pool.acquire(server_id)
        try:
            if EVACUATED_SOURCE in send.target.leaving:
                # The order may have come while this waited for its connection.
                raise HttpExchangeError("its zone is evacuated", ExchangeFault.NOT_SENT)
            return await self._exchange_on(conn, flight, server_id)
        finally:
            self._pool.release(server_id, conn)

    async def _exchange_on(
        self, conn: HttpConnection, flight: _Flight, server_id: str
    ) -> tuple[HttpReply, Reading]:
        left = flight.run.times.deadline - self._clock.now()
        if left < MIN_TIME_LEFT:
            raise HttpExchangeError("no time is left", ExchangeFault.NOT_SENT)
        req = flight.req
        fields = self._dialect.server_fields(req, server_id, left)
        read = self._dialect.read_answer
        reply = await conn.forward(
            req.http.method,
            req.http.target,
            fields,
            req.http.body,
            lambda one: read(req, one).fault is not AttemptFault.WRONG_ANSWER,
        )
        reading = read(req, reply)
        if reading.fault is AttemptFault.WRONG_ANSWER:
            # Whatever crossed the answers may do so again: the next answer on this connection may
            # be the one that this request waited for.
            conn.usable = False
        return reply, reading


class _Flight:
    """One request under way: its run, its attempts and whoever waits for the outcome."""

    def __init__(self, runner: ForwardRunner, req: CallerRequest, run: ForwardRun) -> None:
        self.req = req
        self.run = run
        self.fingerprint = req.fingerprint
        """Worked out once: a request over all shards has a score of attempts."""
        self._runner = runner
        self._clock = LoopClock()
        self._scopes: dict[int, trio.CancelScope] = {}
        self._outcome: Outcome | None = None
        self._changed = trio.Event()
        self._wakes_at: Millis = 0.0

    async def fly(self) -> Outcome:
        """Run until there is an outcome."""
        self._carry_out(self.run.start(self._clock.now()))
        while self._outcome is None:
            self._changed = trio.Event()
            self._wakes_at = self.run.next_wake
            with trio.move_on_at(self._wakes_at / SECOND):
                await self._changed.wait()
            if self._outcome is None and self._clock.now() >= self.run.next_wake:
                self._carry_out(self.run.on_timer(self._clock.now()))
        return self._outcome

    def abandon(self) -> None:
        """Cancel all attempts at once: nobody waits for the answer any more."""
        self.run.finished = True
        for scope in self._scopes.values():
            scope.cancel()

    def let_go(self) -> None:
        """Ask nobody else; what is out may end within its grace."""
        self._carry_out(self.run.stop())

    def ended(self, attempt: int, reading: Reading, reply: HttpReply | None, now: Millis) -> None:
        """Take what became of an attempt."""
        self._scopes.pop(attempt, None)
        if self.run.finished:
            if reading.fault is None:
                # A server that was late is counted too, or the latencies would look too short.
                self.run.on_answer(attempt, reply, now)
            return
        if reading.fault is None:
            self._carry_out(self.run.on_answer(attempt, reply, now))
        else:
            # Only a server's own word that it failed is worth passing on; whatever else came is
            # no answer to this request.
            failure = reply if reading.fault is AttemptFault.FAILED else None
            self._carry_out(self.run.on_fault(attempt, reading.fault, failure, now))
        # Woken for each of a hundred parts, the flight would cost as much as the parts.
        if self._outcome is not None or self.run.next_wake < self._wakes_at:
            self._changed.set()

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(attempt):
                    self._scopes[attempt] = self._runner.begin(self, effect)
                case Cancel(attempt):
                    with suppress(KeyError):
                        self._scopes[attempt].deadline = trio.current_time() + LOSER_GRACE / SECOND
                case Finish(outcome):
                    self._outcome = outcome
