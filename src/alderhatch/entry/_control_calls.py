"""Operations that an entry asks control for, whatever link is open at the time."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from ..core.control.lease_messages import OperationAnswers, Operations, OperationsFailed
from ..core.control.operations import ANSWERS_CODEC, Answer
from ..errors import AlderhatchError
from ..link import Link, LinkClosedError
from ..signal import Signal

MAX_OPERATIONS = 128
"""Operations in one message."""
MAX_WAITING = 4096


@dataclass(slots=True, eq=False)
class _Call:
    operations: Sequence[bytes]
    done: trio.Event = field(default_factory=trio.Event)
    answers: list[Answer] | None = None


class ControlCalls:
    """Gathers operations that wait at the same time into one message.

    Nothing is sent again by itself: whoever asked knows whether asking again is harmless.
    """

    def __init__(self) -> None:
        self._waiting: deque[_Call] = deque()
        self._sent: dict[int, list[_Call]] = {}
        self._number = 0
        self._added = Signal()

    async def ask(self, operations: Sequence[bytes]) -> list[Answer] | None:
        """Ask for operations and wait for their answers.

        Args:
            operations: Encoded operations.

        Returns:
            Their answers in order; None if none came, so that they may or may not be applied.
        """
        if len(self._waiting) >= MAX_WAITING:
            return None
        call = _Call(operations)
        self._waiting.append(call)
        self._added.notify()
        try:
            await call.done.wait()
        finally:
            if call in self._waiting:
                self._waiting.remove(call)
        return call.answers

    async def send_over(self, link: Link) -> None:
        """Send what waits over a link until it closes or this is cancelled."""
        try:
            while True:
                while not self._waiting:
                    await self._added.wait()
                await self._send(link)
        finally:
            self._drop_sent()

    def take(self, message: OperationAnswers | OperationsFailed) -> None:
        """Hand out what came back."""
        calls = self._sent.pop(message.number, [])
        answers: list[Answer] = []
        if isinstance(message, OperationAnswers):
            answers = _decoded(message.answers)
        start = 0
        for call in calls:
            part = answers[start : start + len(call.operations)]
            start += len(call.operations)
            call.answers = part if len(part) == len(call.operations) else None
            call.done.set()

    async def _send(self, link: Link) -> None:
        calls = [self._waiting.popleft()]
        count = len(calls[0].operations)
        while self._waiting and count + len(self._waiting[0].operations) <= MAX_OPERATIONS:
            calls.append(self._waiting.popleft())
            count += len(calls[-1].operations)
        self._number += 1
        self._sent[self._number] = calls
        operations = [operation for call in calls for operation in call.operations]
        try:
            await link.send(Operations(self._number, operations))
        except LinkClosedError:
            self._drop_sent()
            await trio.sleep_forever()

    def _drop_sent(self) -> None:
        for calls in self._sent.values():
            for call in calls:
                call.done.set()
        self._sent.clear()


def _decoded(raw: Sequence[bytes]) -> list[Answer]:
    try:
        return [ANSWERS_CODEC.decode(data) for data in raw]
    except AlderhatchError:
        return []
