"""Sends the core's shard requests over pooled connections, one task for each in flight."""

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
from ..task_faults import TaskKind, record_task_fault
from .attempt_faults import ATTEMPT_FAULTS
from .connection_pool import ConnectionPool
from .owner_client import OwnerClient
from .owner_link import OwnerCallError
from .upstream_protocol import parse_shard_reply, shard_request_body

SHARD_PATH = "/shard"
INVALID_ANSWER_FAULTS = (AttemptFault.GARBAGE, AttemptFault.WRONG_ANSWER)
MAX_IDLE_TASKS = 1000
"""The number of idle tasks kept for reuse."""
LOG_INTERVAL: Millis = 1 * SECOND
"""The minimum time between two log lines about invalid answers of one server."""


class _Worker:
    """A reusable task that runs one attempt at a time; a new task for each attempt costs more."""

    __slots__ = ("_job", "task")

    def __init__(self, send: SendShard, conn: HttpConnection) -> None:
        self._job: tuple[SendShard, HttpConnection] | None = (send, conn)
        self.task: trio.lowlevel.Task | None = None
        """The task; None until it runs."""

    def assign(self, send: SendShard, conn: HttpConnection) -> None:
        """Assign the next attempt to the task, which must be idle, and wake it."""
        assert self.task is not None
        self._job = (send, conn)
        trio.lowlevel.reschedule(self.task)

    def take_job(self) -> tuple[SendShard, HttpConnection]:
        """Return the assigned attempt and drop the reference to it."""
        job = self._job
        assert job is not None
        self._job = None
        return job


class AttemptRunner:
    """Runs attempts until they end or are cancelled.

    Args:
        pool: The connections to the servers.
        feed: Receives the outcome of each attempt; not called for a cancelled attempt.
        owners: Reaches servers through other entries; None if this entry has no links to them.
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
        """By attempt, its connection, or the scope in which it waits for one. Closing or
        cancelling it ends the attempt."""
        self._idle: list[_Worker] = []
        """Tasks without an attempt, the most recently used last."""
        self._tasks = LoopTasks(TaskKind.ATTEMPT)
        self._next_log_at: dict[str, Millis] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the tasks of the attempts until cancelled."""
        await self._tasks.run(task_status)

    @property
    def running(self) -> int:
        """The number of running attempts."""
        return len(self._running)

    def start(self, send: SendShard) -> None:
        """Start an attempt."""
        if not self._tasks.running:
            return
        conn = self._pool.acquire_idle(send.server_id)
        if conn is not None:
            self._running[send.attempt] = conn
            if self._idle:
                self._idle.pop().assign(send, conn)
            else:
                self._tasks.start(self._run_worker, _Worker(send, conn))
            return
        scope = trio.CancelScope()
        self._running[send.attempt] = scope
        self._tasks.start(self._attempt_when_connected, send, scope)

    def cancel(self, attempt: int) -> None:
        """End an attempt at once; its connection is closed and no outcome is reported."""
        running = self._running.pop(attempt, None)
        if isinstance(running, HttpConnection):
            # Closing the socket ends the exchange of the task. A cancel scope for each attempt
            # would cost all attempts more than this costs the few cancelled ones.
            running.close(ExchangeFault.LOST)
        elif running is not None:
            running.cancel()

    async def _run_worker(self, worker: _Worker) -> None:
        worker.task = trio.lowlevel.current_task()
        while True:
            await self._attempt(*worker.take_job())
            if len(self._idle) >= MAX_IDLE_TASKS:
                return
            self._idle.append(worker)
            await trio.lowlevel.wait_task_rescheduled(partial(self._remove_idle, worker))

    def _remove_idle(self, worker: _Worker, _: object) -> trio.lowlevel.Abort:
        self._idle.remove(worker)
        return trio.lowlevel.Abort.SUCCEEDED

    async def _attempt(self, send: SendShard, conn: HttpConnection) -> None:
        event: ShardAnswered | AttemptFailed
        try:
            event = await self._exchange(send, conn)
        except Exception as exc:
            # The query goes on elsewhere; without an outcome it would wait for its deadline.
            record_task_fault(TaskKind.ATTEMPT, exc)
            conn.usable = False
            event = AttemptFailed(send.attempt, AttemptFault.GARBAGE)
        finally:
            self._pool.release(send.server_id, conn)
        self._report_end(event)

    async def _attempt_when_connected(self, send: SendShard, scope: trio.CancelScope) -> None:
        with scope:
            try:
                conn = await self._pool.acquire(send.server_id)
            except HttpExchangeError as exc:
                # The server may be owned by other entries, perhaps only since this attempt started
                # to wait; the request then goes through an owner. Reporting NOT_SENT would count as
                # a failure of a healthy server.
                if self._owners is not None and not self._pool.share_of(send.server_id):
                    self._report_end(await self._exchange_through_owner(send, self._owners))
                else:
                    self._report_end(AttemptFailed(send.attempt, ATTEMPT_FAULTS[exc.fault]))
                return
            if scope.cancel_called:
                self._pool.release(send.server_id, conn)
                return
            self._running[send.attempt] = conn
        if not scope.cancelled_caught:
            await self._attempt(send, conn)

    async def _exchange_through_owner(
        self, send: SendShard, owners: OwnerClient
    ) -> ShardAnswered | AttemptFailed:
        try:
            event = parse_shard_reply(send, await owners.exchange(send, send.deadline))
        except OwnerCallError as exc:
            return AttemptFailed(send.attempt, exc.fault)
        if isinstance(event, AttemptFailed) and event.fault in INVALID_ANSWER_FAULTS:
            self._log_invalid_answer(send, event.fault)
        return event

    def _report_end(self, event: ShardAnswered | AttemptFailed) -> None:
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
                self._log_invalid_answer(send, AttemptFault.GARBAGE)
            return AttemptFailed(send.attempt, ATTEMPT_FAULTS[exc.fault])
        event = parse_shard_reply(send, reply)
        if isinstance(event, AttemptFailed) and event.fault in INVALID_ANSWER_FAULTS:
            # The requests and answers on this connection may be out of step: its next answer may be
            # the one to this request.
            conn.usable = False
            self._log_invalid_answer(send, event.fault)
        return event

    def _log_invalid_answer(self, send: SendShard, fault: AttemptFault) -> None:
        # A server that sends only invalid answers would otherwise cause a log line per attempt.
        now = self._clock.now()
        if now < self._next_log_at.get(send.server_id, 0.0):
            return
        self._next_log_at[send.server_id] = now + LOG_INTERVAL
        log_event(LogEvent.UPSTREAM_ANSWER_REFUSED, server=send.server_id, fault=fault)
