"""Proposes operations to the log, batching those that wait at the same time."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from ..clock import Clock
from ..core.control.operations import BATCHES, Answer, Batch
from ..errors import AlderhatchError, ErrorKind, Failure
from ..signal import Signal
from .replicated_log import ReplicatedLog

MAX_BATCH_OPERATIONS = 256
"""Limit on the operations of one command."""
MAX_BATCH_BYTES = 512 * 1024
MAX_COMMANDS_IN_FLIGHT = 4
"""Limit on the commands that are proposed and not yet committed."""
MAX_WAITING_OPERATIONS = 8192
"""Limit on queued operations, which bounds memory use under overload; more are refused."""


@dataclass(slots=True, eq=False)
class _Submission:
    operations: list[bytes]
    done: trio.Event = field(default_factory=trio.Event)
    answers: list[Answer] | None = None
    failure: Failure | None = None


class Proposer:
    """Batches operations into commands, so that many claims share one write to disk."""

    def __init__(self, log: ReplicatedLog, time: Clock) -> None:
        self._log = log
        self._time = time
        self._queue: deque[_Submission] = deque()
        self._queued_count = 0
        self._in_flight = 0
        self._queue_changed = Signal()

    async def submit(self, operations: Sequence[bytes]) -> list[Answer]:
        """Propose operations to the log and wait for their answers.

        Args:
            operations: Encoded operations, which are applied together and in this order.

        Raises:
            AlderhatchError: ``no_leader`` or ``overloaded`` if the operations will certainly not be
                committed, ``change_unknown`` or ``storage_failed`` if they may or may not be.
        """
        if self._queued_count + len(operations) > MAX_WAITING_OPERATIONS:
            message = (
                f"proposal queue full: the limit is {MAX_WAITING_OPERATIONS} waiting operations"
            )
            raise AlderhatchError(Failure(ErrorKind.OVERLOADED, message, retry_after_ms=200.0))
        submission = _Submission(list(operations))
        self._queue.append(submission)
        self._queued_count += len(operations)
        self._queue_changed.notify()
        await submission.done.wait()
        if submission.failure is not None:
            raise AlderhatchError(submission.failure)
        assert submission.answers is not None
        return submission.answers

    async def run(self) -> None:
        """Propose queued operations until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                while not self._queue or self._in_flight >= MAX_COMMANDS_IN_FLIGHT:
                    await self._queue_changed.wait()
                self._in_flight += 1
                nursery.start_soon(self._propose_batch, self._take_batch())

    def _take_batch(self) -> list[_Submission]:
        batch = [self._queue.popleft()]
        count, size = _count_and_size(batch[0])
        while self._queue:
            more_count, more_size = _count_and_size(self._queue[0])
            if count + more_count > MAX_BATCH_OPERATIONS or size + more_size > MAX_BATCH_BYTES:
                break
            batch.append(self._queue.popleft())
            count, size = count + more_count, size + more_size
        self._queued_count -= count
        return batch

    async def _propose_batch(self, batch: list[_Submission]) -> None:
        operations = [operation for pending in batch for operation in pending.operations]
        try:
            command = BATCHES.encode(Batch(self._time.now(), operations))
            answers = await self._log.propose(command)
            _deliver_answers(batch, answers)
        except AlderhatchError as exc:
            _fail_unanswered(batch, exc.failure)
        finally:
            # A cancelled proposal may still be committed. Fail what has no answer yet, so that no
            # caller waits for ever.
            _fail_unanswered(
                batch, Failure(ErrorKind.CHANGE_UNKNOWN, "this control host is stopping")
            )
            self._in_flight -= 1
            self._queue_changed.notify()


def _count_and_size(submission: _Submission) -> tuple[int, int]:
    return len(submission.operations), sum(len(encoded) for encoded in submission.operations)


def _deliver_answers(batch: list[_Submission], answers: object) -> None:
    expected = sum(len(pending.operations) for pending in batch)
    if not isinstance(answers, list) or len(answers) != expected:
        return
    start = 0
    for pending in batch:
        pending.answers = answers[start : start + len(pending.operations)]
        start += len(pending.operations)
        pending.done.set()


def _fail_unanswered(batch: list[_Submission], failure: Failure) -> None:
    for pending in batch:
        if not pending.done.is_set():
            pending.failure = failure
            pending.done.set()
