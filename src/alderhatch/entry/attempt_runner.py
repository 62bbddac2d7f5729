"""Carries out the core's shard requests: one task for each that is out, over warm connections."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.entry_events import (
    AttemptFailed,
    AttemptFault,
    EntryEvent,
    SendShard,
    ShardAnswered,
)
from ..http.connection import HttpConnection
from ..http.exchange import ExchangeFault, HttpExchangeError
from ..log import log_event
from ..log_events import LogEvent
from ..loop_tasks import LoopTasks
from .attempt_faults import ATTEMPT_FAULTS
from .connection_pool import ConnectionPool
from .owner_client import OwnerClient
from .owner_link import OwnerCallError
from .upstream_protocol import read_reply, shard_request_body

SHARD_PATH = "/shard"
UNTRUE = (AttemptFault.GARBAGE, AttemptFault.WRONG_ANSWER)
MAX_IDLE = 1000
"""Tasks kept for later attempts."""
LOG_AGAIN_AFTER: Millis = 1 * SECOND


class _Worker:
    """A task that carries out one attempt after the other; to start one for each costs more."""

    __slots__ = ("_job", "task")

    def __init__(self, send: SendShard, conn: HttpConnection) -> None:
        self._job: tuple[SendShard, HttpConnection] | None = (send, conn)
        self.task: trio.lowlevel.Task | None = None
        """Set once it runs."""

    def give(self, send: SendShard, conn: HttpConnection) -> None:
        """Wake the task, which must be waiting, with its next attempt."""
        assert self.task is not None
        self._job = (send, conn)
        trio.lowlevel.reschedule(self.task)

    def take(self) -> tuple[SendShard, HttpConnection]:
        """Return the attempt to carry out, and keep nothing of it."""
        job = self._job
        assert job is not None
        self._job = None
        return job


class AttemptRunner:
    """Runs attempts until they end or are cancelled.

    Args:
        pool: Where connections come from.
        feed: Takes what became of an attempt; not called for one that was cancelled.
        owners: Reaches servers through other entries; None if this one takes no part in that.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        feed: Callable[[EntryEvent], None],
        owners: OwnerClient | None = None,
    ) -> None:
        self._pool = pool
        self._owners = owners
        self._feed = feed
        self._clock = LoopClock()
        self._running: dict[int, HttpConnection | trio.CancelScope] = {}
        """What ends an attempt: the connection that it is on, or its wait for one."""
        self._idle: list[_Worker] = []
        """Tasks that wait for an attempt, the last used at the end."""
        self._tasks = LoopTasks()
        self._log_after: dict[str, Millis] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Keep the attempts' tasks until cancelled."""
        await self._tasks.run(task_status)

    @property
    def running(self) -> int:
        """How many attempts are under way."""
        return len(self._running)

    def start(self, send: SendShard) -> None:
        """Begin an attempt."""
        if not self._tasks.running:
            return
        conn = self._pool.acquire_idle(send.server_id)
        if conn is not None:
            self._running[send.attempt] = conn
            if self._idle:
                self._idle.pop().give(send, conn)
            else:
                self._tasks.start(self._work, _Worker(send, conn))
            return
        scope = trio.CancelScope()
        self._running[send.attempt] = scope
        self._tasks.start(self._attempt_later, send, scope)

    def cancel(self, attempt: int) -> None:
        """End an attempt at once; its exchange is closed and nothing of it is heard again."""
        running = self._running.pop(attempt, None)
        if isinstance(running, HttpConnection):
            # Its task is told by the socket. A scope of its own would cost every attempt more than
            # the few that are cancelled.
            running.close(ExchangeFault.LOST)
        elif running is not None:
            running.cancel()

    async def _work(self, worker: _Worker) -> None:
        worker.task = trio.lowlevel.current_task()
        while True:
            await self._attempt(*worker.take())
            if len(self._idle) >= MAX_IDLE:
                return
            self._idle.append(worker)
            await trio.lowlevel.wait_task_rescheduled(partial(self._leave, worker))

    def _leave(self, worker: _Worker, _: object) -> trio.lowlevel.Abort:
        self._idle.remove(worker)
        return trio.lowlevel.Abort.SUCCEEDED

    async def _attempt(self, send: SendShard, conn: HttpConnection) -> None:
        try:
            event = await self._exchange(send, conn)
        finally:
            self._pool.release(send.server_id, conn)
        self._end(event)

    async def _attempt_later(self, send: SendShard, scope: trio.CancelScope) -> None:
        with scope:
            try:
                conn = await self._pool.acquire(send.server_id)
            except HttpExchangeError as exc:
                # A server that is other owners' now, or has become so while this waited, is asked
                # through them. Reported as not sent, it would count against a server that is well.
                if self._owners is not None and not self._pool.share_of(send.server_id):
                    self._end(await self._through_owner(send, self._owners))
                else:
                    self._end(AttemptFailed(send.attempt, ATTEMPT_FAULTS[exc.fault]))
                return
            if scope.cancel_called:
                self._pool.release(send.server_id, conn)
                return
            self._running[send.attempt] = conn
        if not scope.cancelled_caught:
            await self._attempt(send, conn)

    async def _through_owner(
        self, send: SendShard, owners: OwnerClient
    ) -> ShardAnswered | AttemptFailed:
        try:
            event = read_reply(send, await owners.exchange(send, send.deadline))
        except OwnerCallError as exc:
            return AttemptFailed(send.attempt, exc.fault)
        if isinstance(event, AttemptFailed) and event.fault in UNTRUE:
            self._log_refused(send, event.fault)
        return event

    def _end(self, event: ShardAnswered | AttemptFailed) -> None:
        if self._running.pop(event.attempt, None) is not None:
            self._feed(event)

    async def _exchange(
        self, send: SendShard, conn: HttpConnection
    ) -> ShardAnswered | AttemptFailed:
        remaining = send.deadline - self._clock.now()
        if remaining < 1:
            return AttemptFailed(send.attempt, AttemptFault.NOT_SENT)
        try:
            reply = await conn.exchange("POST", SHARD_PATH, shard_request_body(send, remaining))
        except HttpExchangeError as exc:
            if exc.fault is ExchangeFault.GARBAGE:
                self._log_refused(send, AttemptFault.GARBAGE)
            return AttemptFailed(send.attempt, ATTEMPT_FAULTS[exc.fault])
        event = read_reply(send, reply)
        if isinstance(event, AttemptFailed) and event.fault in UNTRUE:
            # Whatever crossed the answers may do so again, and the next answer on this
            # connection may be the one that this request waited for.
            conn.usable = False
            self._log_refused(send, event.fault)
        return event

    def _log_refused(self, send: SendShard, fault: AttemptFault) -> None:
        # A server that answers nothing else would fill the log with one line an attempt.
        now = self._clock.now()
        if now < self._log_after.get(send.server_id, 0.0):
            return
        self._log_after[send.server_id] = now + LOG_AGAIN_AFTER
        log_event(LogEvent.UPSTREAM_ANSWER_REFUSED, server=send.server_id, fault=fault)
