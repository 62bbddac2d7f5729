"""Sends operations to control in batches, over whichever link is open."""

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

MAX_MESSAGE_OPERATIONS = 128
"""Operations per message."""
MAX_WAITING_CALLS = 4096
"""Calls that may wait to be sent; further ones fail immediately."""


@dataclass(slots=True, eq=False)
class _Call:
    operations: Sequence[bytes]
    done: trio.Event = field(default_factory=trio.Event)
    answers: list[Answer] | None = None


class OperationBatcher:
    """Combines operations that wait at the same time into one message.

    Operations are never resent automatically: only the submitter knows whether a resend is safe.
    """

    def __init__(self) -> None:
        self._waiting: deque[_Call] = deque()
        self._sent: dict[int, list[_Call]] = {}
        self._message_number = 0
        self._call_added = Signal()

    async def submit(self, operations: Sequence[bytes]) -> list[Answer] | None:
        """Submit operations and wait for their answers.

        Args:
            operations: Encoded operations.

        Returns:
            The answers in order, or None if there was no answer; the operations may then have been
            applied or not.
        """
        if len(self._waiting) >= MAX_WAITING_CALLS:
            return None
        call = _Call(operations)
        self._waiting.append(call)
        self._call_added.notify()
        try:
            await call.done.wait()
        finally:
            if call in self._waiting:
                self._waiting.remove(call)
        return call.answers

    async def send_on(self, link: Link) -> None:
        """Send waiting operations over a link until it closes or this task is cancelled."""
        try:
            while True:
                while not self._waiting:
                    await self._call_added.wait()
                await self._send(link)
        finally:
            self._drop_sent()

    def on_reply(self, message: OperationAnswers | OperationsFailed) -> None:
        """Distribute the answers of a message to the calls that wait for them."""
        calls = self._sent.pop(message.number, [])
        answers: list[Answer] = []
        if isinstance(message, OperationAnswers):
            answers = _decode_answers(message.answers)
        start = 0
        for call in calls:
            part = answers[start : start + len(call.operations)]
            start += len(call.operations)
            call.answers = part if len(part) == len(call.operations) else None
            call.done.set()

    async def _send(self, link: Link) -> None:
        calls = [self._waiting.popleft()]
        count = len(calls[0].operations)
        while self._waiting and count + len(self._waiting[0].operations) <= MAX_MESSAGE_OPERATIONS:
            calls.append(self._waiting.popleft())
            count += len(calls[-1].operations)
        self._message_number += 1
        self._sent[self._message_number] = calls
        operations = [operation for call in calls for operation in call.operations]
        try:
            await link.send(Operations(self._message_number, operations))
        except LinkClosedError:
            self._drop_sent()
            await trio.sleep_forever()

    def _drop_sent(self) -> None:
        for calls in self._sent.values():
            for call in calls:
                call.done.set()
        self._sent.clear()


def _decode_answers(raw: Sequence[bytes]) -> list[Answer]:
    try:
        return [ANSWERS_CODEC.decode(data) for data in raw]
    except AlderhatchError:
        return []
