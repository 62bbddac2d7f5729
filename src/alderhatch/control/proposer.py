"""Puts operations that wait at the same time on the log together."""

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

MAX_BATCH = 256
"""Operations in one command."""
MAX_BATCH_BYTES = 512 * 1024
MAX_IN_FLIGHT = 4
"""Commands that are on their way to the other disks at the same time."""
MAX_WAITING = 8192
"""Operations that wait; one more is refused, so that an overload can't use up the memory."""


@dataclass(slots=True, eq=False)
class _Submission:
    operations: list[bytes]
    done: trio.Event = field(default_factory=trio.Event)
    answers: list[Answer] | None = None
    failure: Failure | None = None


class Proposer:
    """Groups operations, so that many claims cost one write to the disks."""

    def __init__(self, log: ReplicatedLog, time: Clock) -> None:
        self._log = log
        self._time = time
        self._waiting: deque[_Submission] = deque()
        self._waiting_count = 0
        self._in_flight = 0
        self._changed = Signal()

    async def submit(self, operations: Sequence[bytes]) -> list[Answer]:
        """Put operations on the log and wait for their answers.

        Args:
            operations: Encoded operations; they are applied together, in this order.

        Raises:
            AlderhatchError: ``no_leader`` or ``overloaded`` if they were certainly not taken,
                ``change_unknown`` or ``storage_failed`` if they may or may not be.
        """
        if self._waiting_count + len(operations) > MAX_WAITING:
            message = f"{MAX_WAITING} operations wait for the disks already"
            raise AlderhatchError(Failure(ErrorKind.OVERLOADED, message, retry_after_ms=200.0))
        submission = _Submission(list(operations))
        self._waiting.append(submission)
        self._waiting_count += len(operations)
        self._changed.notify()
        await submission.done.wait()
        if submission.failure is not None:
            raise AlderhatchError(submission.failure)
        assert submission.answers is not None
        return submission.answers

    async def run(self) -> None:
        """Propose until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                while not self._waiting or self._in_flight >= MAX_IN_FLIGHT:
                    await self._changed.wait()
                self._in_flight += 1
                nursery.start_soon(self._propose, self._take())

    def _take(self) -> list[_Submission]:
        taken = [self._waiting.popleft()]
        count, size = _measure(taken[0])
        while self._waiting:
            more_count, more_size = _measure(self._waiting[0])
            if count + more_count > MAX_BATCH or size + more_size > MAX_BATCH_BYTES:
                break
            taken.append(self._waiting.popleft())
            count, size = count + more_count, size + more_size
        self._waiting_count -= count
        return taken

    async def _propose(self, taken: list[_Submission]) -> None:
        operations = [operation for one in taken for operation in one.operations]
        try:
            command = BATCHES.encode(Batch(self._time.now(), operations))
            answers = await self._log.propose(command)
            _hand_out(taken, answers)
        except AlderhatchError as exc:
            _fail(taken, exc.failure)
        finally:
            # A cancelled proposal may be committed all the same; nobody must wait for it for ever.
            _fail(taken, Failure(ErrorKind.CHANGE_UNKNOWN, "the control host stops"))
            self._in_flight -= 1
            self._changed.notify()


def _measure(submission: _Submission) -> tuple[int, int]:
    return len(submission.operations), sum(len(one) for one in submission.operations)


def _hand_out(taken: list[_Submission], answers: object) -> None:
    expected = sum(len(one.operations) for one in taken)
    if not isinstance(answers, list) or len(answers) != expected:
        return
    start = 0
    for one in taken:
        one.answers = answers[start : start + len(one.operations)]
        start += len(one.operations)
        one.done.set()


def _fail(taken: list[_Submission], failure: Failure) -> None:
    for one in taken:
        if not one.done.is_set():
            one.failure = failure
            one.done.set()
