"""Performs the I/O for ``ForwardRun``: connections, exchanges and timers."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from functools import partial

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.entry_events import NOT_RUN_FAULTS, AttemptFault
from ..core.forwarding.crash_evidence import Suspicion
from ..core.forwarding.effects import Cancel, Effect, Finish, Send
from ..core.forwarding.forward_run import DEFAULT_RETRY_AFTER, ForwardRun
from ..core.forwarding.outcome import Failed, FailureReason, NotRun, Outcome
from ..core.forwarding.route import AllShards
from ..entry.attempt_faults import ATTEMPT_FAULTS
from ..entry.connection_pool import ConnectionPool
from ..http.connection import HttpConnection
from ..http.exchange import ExchangeFault, HttpExchangeError, HttpReply
from ..loop_tasks import LoopTasks
from ..task_faults import TaskKind, record_task_fault
from .dialect import CallerRequest, Dialect, ParsedAnswer
from .node_state import NodeState
from .service_turns import ServiceTurn

CANCEL_GRACE_PERIOD: Millis = 250.0
"""How long a cancelled attempt may still run before its connection is closed.

A server that only paused finishes its answer within this time, and the connection can be reused. A
new connection occupies a slot of the server for some milliseconds.
"""
HOLD_RECHECK_INTERVAL: Millis = 5.0
"""How often a request that runs on one server at a time is checked for being a suspect still: the
servers that closed its connections may turn out to be alive."""
MIN_TIME_LEFT: Millis = 2.0
"""With less time left, nothing is sent: the server would give up before its answer is sent."""


class ForwardRunner:
    """Runs forwarded requests over pooled connections.

    Args:
        pool: The connection pool.
        state: The node's state; results of attempts are recorded in it.
        dialect: Formats requests and parses answers.
    """

    def __init__(self, pool: ConnectionPool, state: NodeState, dialect: Dialect) -> None:
        self._pool = pool
        self._guard = state.crash_guard
        self._table = state.table
        self._dialect = dialect
        self._clock = LoopClock()
        self._tasks = LoopTasks(TaskKind.ATTEMPT)
        self._active: set[_ActiveRequest] = set()
        self._is_ending = False

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Host the tasks of the attempts until cancelled."""
        await self._tasks.run(task_status)

    async def forward(self, req: CallerRequest, run: ForwardRun, turn: ServiceTurn) -> Outcome:
        """Run a request to its outcome; cancellation also cancels its attempts at servers."""
        if self._is_ending:
            return NotRun(FailureReason.STOPPING, DEFAULT_RETRY_AFTER)
        refusal = turn.begin(run)
        if refusal is not None:
            return refusal
        active = _ActiveRequest(self, req, run, turn)
        self._active.add(active)
        try:
            return await active.run_to_end()
        except trio.Cancelled:
            active.cancel_attempts()
            raise
        finally:
            self._active.discard(active)

    async def collect(self, req: CallerRequest, run: ForwardRun) -> None:
        """Run one share of a gather until no further part can arrive.

        After cancellation, attempts in flight may still end within ``CANCEL_GRACE_PERIOD``.
        Otherwise the connections of a gather that has all it needs would be closed mid-answer.
        """
        # A share may be cancelled before its task starts. Without this checkpoint it would send all
        # of its requests before it notices, to servers that other hosts have already queried.
        await trio.lowlevel.checkpoint_if_cancelled()
        active = _ActiveRequest(self, req, run, None)
        if self._is_ending:
            active.end()
            return
        self._active.add(active)
        try:
            await active.run_to_end()
        except trio.Cancelled:
            active.stop_sending()
            raise
        finally:
            self._active.discard(active)

    def end_shares(self) -> None:
        """End the shares of gathers, and begin no further run, as the host ends."""
        self._is_ending = True
        for active in [one for one in self._active if one.turn is None]:
            active.end()

    def end_all(self) -> None:
        """End all runs, each with the outcome that it has so far."""
        self._is_ending = True
        for active in list(self._active):
            active.end()

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request may have crashed servers, and no server has answered it."""
        return self._guard.suspicion(fingerprint) is not None

    def hold_reason(self, active: _ActiveRequest) -> Suspicion | None:
        """Return why a request runs on one server at a time, or None if it does not."""
        if active.is_part:
            return self._guard.hold_reason(active.fingerprint)
        return self._guard.suspicion(active.fingerprint)

    def start_attempt(self, active: _ActiveRequest, send: Send) -> trio.CancelScope:
        """Start an attempt in its own task and return the scope that cancels it."""
        scope = trio.CancelScope()
        self._tasks.start(self._attempt, active, send, scope)
        return scope

    async def _attempt(self, active: _ActiveRequest, send: Send, scope: trio.CancelScope) -> None:
        try:
            await self._run_attempt(active, send, scope)
        except Exception as exc:
            # The request's own state may be wrong now, so no answer of it can be trusted.
            record_task_fault(TaskKind.ATTEMPT, exc)
            self._table.record_end(send.target, send.attempt)
            active.fail()

    async def _run_attempt(
        self, active: _ActiveRequest, send: Send, scope: trio.CancelScope
    ) -> None:
        reply: HttpReply | None = None
        parsed = ParsedAnswer(AttemptFault.SILENT)
        with scope:
            try:
                reply, parsed = await self._exchange(active, send)
            except _WithdrawnError:
                self._table.record_end(send.target, send.attempt)
                active.on_withdrawn(send.attempt)
                return
            except HttpExchangeError as exc:
                parsed = ParsedAnswer(ATTEMPT_FAULTS[exc.fault])
            except Exception as exc:
                # The server may have got the request, so this is no refusal.
                record_task_fault(TaskKind.ATTEMPT, exc)
                parsed = ParsedAnswer(AttemptFault.GARBAGE)
        now = self._clock.now()
        sent_at = self._table.record_end(send.target, send.attempt)
        if scope.cancelled_caught:
            if sent_at is not None:
                self._table.record_abandoned(send.target, sent_at, now)
            return
        self._guard.record_attempt(
            active.fingerprint, send.target, parsed.fault, send.in_trial, now
        )
        if parsed.fault is not None:
            self._table.record_failure(send.target, parsed.fault, parsed.retry_after, now)
        elif sent_at is not None:
            self._table.record_answer(send.target, now - sent_at, parsed.load, now)
        active.on_attempt_end(send.attempt, parsed, reply, now)

    async def _exchange(self, active: _ActiveRequest, send: Send) -> tuple[HttpReply, ParsedAnswer]:
        server_id = send.target.server_id
        if active.turn is not None:
            await active.turn.wait_to_send()
        conn = await self._acquire_connection(active, send)
        try:
            if send.target.leaving:
                # It may have begun to leave while the attempt waited for a connection.
                raise HttpExchangeError("the server is leaving", ExchangeFault.NOT_SENT)
            if self._guard.is_quarantined(active.fingerprint):
                # Another host may have shown it while the attempt waited for a connection.
                raise HttpExchangeError("the request crashes servers", ExchangeFault.NOT_SENT)
            if not active.may_send(send.attempt):
                raise _WithdrawnError
            return await self._exchange_on(conn, active, server_id)
        finally:
            self._pool.release(server_id, conn)

    async def _acquire_connection(self, active: _ActiveRequest, send: Send) -> HttpConnection:
        """Return a connection on which the answer can be told from those to earlier requests."""
        server_id = send.target.server_id
        is_idempotent = active.run.route.idempotent
        while True:
            conn = self._pool.acquire_idle(server_id)
            if conn is None:
                conn = await self._wait_for_connection(active, send)
            if conn.can_tell_reply(active.req.request_id, is_idempotent):
                return conn
            conn.usable = False
            self._pool.release(server_id, conn)

    async def _wait_for_connection(self, active: _ActiveRequest, send: Send) -> HttpConnection:
        waits = self._table.connection_waits
        waits.begin(send.attempt, self._clock.now())
        try:
            conn = await self._pool.acquire(send.target.server_id)
        finally:
            is_delayed_here = waits.end(send.attempt, self._clock.now())
        if is_delayed_here:
            active.run.on_connected(send.attempt, self._clock.now())
        return conn

    async def _exchange_on(
        self, conn: HttpConnection, active: _ActiveRequest, server_id: str
    ) -> tuple[HttpReply, ParsedAnswer]:
        time_left = active.run.times.deadline - self._clock.now()
        if time_left < MIN_TIME_LEFT:
            raise HttpExchangeError("no time is left", ExchangeFault.NOT_SENT)
        req = active.req
        fields = self._dialect.server_fields(req, server_id, time_left)
        checks = _AnswerChecks(partial(self._dialect.read_answer, req, is_part=active.is_part))
        reply = await conn.forward(
            req.http.method,
            req.http.target,
            fields,
            req.http.body,
            checks.is_matching,
            active.turn.wait_to_read if active.turn is not None else None,
        )
        parsed = checks.parsed(reply)
        if not parsed.is_identified:
            conn.has_unidentified_reply = True
        if parsed.fault in NOT_RUN_FAULTS:
            conn.record_refusal(req.request_id)
        if parsed.fault is AttemptFault.WRONG_ANSWER:
            # The answers on this connection are mismatched. The next one may belong to this
            # request, so the connection is not reused.
            conn.usable = False
        return reply, parsed


class _AnswerChecks:
    """Parses the answers that arrive for one attempt, each of them once."""

    __slots__ = ("_last", "_parse")

    def __init__(self, parse: Callable[[HttpReply], ParsedAnswer]) -> None:
        self._parse = parse
        self._last: tuple[HttpReply, ParsedAnswer] | None = None

    def parsed(self, answer: HttpReply) -> ParsedAnswer:
        """Return the meaning of an answer."""
        if self._last is None or self._last[0] is not answer:
            self._last = (answer, self._parse(answer))
        return self._last[1]

    def is_matching(self, answer: HttpReply) -> bool:
        """Return whether an answer belongs to the attempt."""
        return self.parsed(answer).fault is not AttemptFault.WRONG_ANSWER


class _WithdrawnError(Exception):
    """An attempt is not sent, as its request runs on one server at a time since it waits."""


class _ActiveRequest:
    """A request in progress: its run, its attempts and its outcome."""

    def __init__(
        self, runner: ForwardRunner, req: CallerRequest, run: ForwardRun, turn: ServiceTurn | None
    ) -> None:
        self.req = req
        self.run = run
        self.turn = turn
        """In which its parts wait for their turns; None for a share of another host's gather."""
        self.fingerprint = req.fingerprint
        """Computed once, as a request over all shards has many attempts."""
        self.is_part = isinstance(run.route.destination, AllShards)
        """Whether the answers are merged with those of other shards."""
        self._runner = runner
        self._clock = LoopClock()
        self._scopes: dict[int, trio.CancelScope] = {}
        self._outcome: Outcome | None = None
        self._changed = trio.Event()
        self._wake_at: Millis = 0.0

    async def run_to_end(self) -> Outcome:
        """Run until the request has an outcome."""
        self._apply(self.run.start(self._clock.now()))
        while self._outcome is None:
            self._changed = trio.Event()
            self._wake_at = self.run.next_wake
            if self.run.is_held:
                self._wake_at = min(self._wake_at, self._clock.now() + HOLD_RECHECK_INTERVAL)
            with trio.move_on_at(self._wake_at / SECOND):
                await self._changed.wait()
            if self.run.is_held:
                self._update_hold()
            if self._outcome is None and self._clock.now() >= self.run.next_wake:
                self._apply(self.run.on_timer(self._clock.now()))
        return self._outcome

    def _update_hold(self) -> None:
        reason = self._runner.hold_reason(self)
        if reason is None:
            self._apply(self.run.release(self._clock.now()))
        else:
            self.run.hold(reason)

    def cancel_attempts(self) -> None:
        """Cancel all attempts immediately, as nobody waits for the answer."""
        self.run.finished = True
        for scope in self._scopes.values():
            scope.cancel()

    def fail(self) -> None:
        """End the request after an internal error, as nothing else would answer its caller."""
        self.cancel_attempts()
        if self._outcome is None:
            self._outcome = Failed(FailureReason.FAILED)
        self._changed.set()

    def end(self) -> None:
        """End with the outcome that there is, as the host ends."""
        self._apply(self.run.end())
        self._changed.set()

    def stop_sending(self) -> None:
        """Send nothing more; attempts in flight may end within ``CANCEL_GRACE_PERIOD``."""
        self._apply(self.run.stop())

    def may_send(self, attempt: int) -> bool:
        """Return whether an attempt that has waited until now may still be sent."""
        reason = self._runner.hold_reason(self) if self.is_part else None
        if reason is not None and not self.run.is_held:
            # The host was paused, or has learned meanwhile what the request may do.
            self.run.hold(reason)
        return self.run.may_send(attempt)

    def on_withdrawn(self, attempt: int) -> None:
        """Handle an attempt that was not sent, as the request runs on one server at a time."""
        self._scopes.pop(attempt, None)
        if not self.run.finished:
            self._apply(self.run.on_withdrawn(attempt, self._clock.now()))
        self._changed.set()

    def on_attempt_end(
        self, attempt: int, parsed: ParsedAnswer, reply: HttpReply | None, now: Millis
    ) -> None:
        """Handle the result of an attempt."""
        self._scopes.pop(attempt, None)
        if self.run.finished:
            if parsed.fault is None:
                # Late answers count as well, or the recorded latencies would be too low.
                self.run.on_answer(attempt, reply, now)
            return
        if parsed.fault is None:
            self._apply(self.run.on_answer(attempt, reply, now))
        else:
            # Only an error that the server itself reports is forwarded to the caller. After any
            # other fault, the reply is no answer to this request.
            failure = reply if parsed.fault is AttemptFault.FAILED else None
            if parsed.fault is AttemptFault.LOST and self._runner.is_suspect(self.fingerprint):
                self.run.hold()
            self._apply(self.run.on_fault(attempt, parsed.fault, failure, now))
        # Waking the waiting task for each of a hundred parts would cost as much as the parts.
        if self._outcome is not None or self.run.next_wake < self._wake_at:
            self._changed.set()

    def _apply(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(attempt):
                    self._scopes[attempt] = self._runner.start_attempt(self, effect)
                case Cancel(attempt):
                    with suppress(KeyError):
                        self._scopes[attempt].deadline = (
                            trio.current_time() + CANCEL_GRACE_PERIOD / SECOND
                        )
                case Finish(outcome):
                    self._outcome = outcome
