"""One link to one owner: calls that leave together, answers, and what a lost link means."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.entry_events import AttemptFault
from ..http.exchange import HttpReply
from ..link import Link, LinkClosedError
from .owner_messages import (
    BATCH_BYTES,
    MAX_IN_FLIGHT,
    Look,
    OwnerAnswers,
    OwnerCalls,
    ServerReply,
    ShardCall,
)

IDLE_CHECK: Millis = 50.0


class OwnerCallError(Exception):
    """A call through an owner came to no response of the server."""

    def __init__(self, fault: AttemptFault) -> None:
        super().__init__(fault)
        self.fault = fault


class _Call:
    """One call on its way; the body is kept until it has left."""

    __slots__ = ("body", "done", "fault", "message", "reply")

    def __init__(self, message: ShardCall | Look, body: bytes) -> None:
        self.message = message
        self.body = body
        self.done = trio.Event()
        self.reply: HttpReply | None = None
        self.fault = AttemptFault.NOT_SENT

    def end(self, fault: AttemptFault) -> None:
        self.fault = fault
        self.done.set()


class OwnerLink:
    """The calls of one link to one owner, with its queue."""

    def __init__(self, silence: Millis) -> None:
        self._silence = silence
        self._clock = LoopClock()
        self._last = 0
        self._queued: dict[int, _Call] = {}
        self._sent: dict[int, _Call] = {}
        self._cancelled: list[int] = []
        self._work = trio.Event()
        self._heard_at = 0.0
        self.link: Link | None = None
        """The open link; None until the owner has accepted it."""
        self.messages = 0
        """Messages sent so far."""

    @property
    def in_flight(self) -> int:
        """How many calls have no answer yet."""
        return len(self._queued) + len(self._sent)

    async def call(self, make: Callable[[int], ShardCall | Look], body: bytes) -> HttpReply:
        """Send one call and wait for its answer.

        Raises:
            OwnerCallError: If there is none.
        """
        if self.in_flight >= MAX_IN_FLIGHT:
            raise OwnerCallError(AttemptFault.SHED)
        self._last += 1
        number = self._last
        call = self._queued[number] = _Call(make(number), body)
        self._work.set()
        try:
            await call.done.wait()
        finally:
            self._queued.pop(number, None)
            if self._sent.pop(number, None) is not None:
                self._cancelled.append(number)
                self._work.set()
        if call.reply is None:
            raise OwnerCallError(call.fault)
        return call.reply

    async def run(self, link: Link) -> None:
        """Use an open link until it breaks or falls silent."""
        self._heard_at = self._clock.now()
        self.link = link
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, link)
            nursery.start_soon(self._watch, link)
            while True:
                self._take(await link.receive())

    def end(self) -> None:
        """Tell everyone who waits that the link is gone."""
        for call in self._queued.values():
            call.end(AttemptFault.NOT_SENT)
        for call in self._sent.values():
            # The owner may have sent it to the server before it was lost, so that nobody can say
            # that it did not run. Said all the same, a dispatch would be sent a second time.
            call.end(AttemptFault.OWNER_LOST)
        self._queued.clear()
        self._sent.clear()
        self._cancelled.clear()

    async def _send(self, link: Link) -> None:
        while True:
            await self._work.wait()
            # What other tasks of this moment want to send goes into the same message.
            await trio.lowlevel.checkpoint()
            self._work = trio.Event()
            while self._queued or self._cancelled:
                # From here on a byte of it may have left.
                message = self._gather()
                self.messages += 1
                await link.send(message)

    def _gather(self) -> OwnerCalls:
        calls: list[ShardCall] = []
        looks: list[Look] = []
        bodies: dict[bytes, int] = {}
        size = 0
        if not self._sent:
            self._heard_at = self._clock.now()
        while self._queued and size < BATCH_BYTES:
            number = next(iter(self._queued))
            call = self._sent[number] = self._queued.pop(number)
            if isinstance(call.message, Look):
                looks.append(call.message)
                continue
            if call.body not in bodies:
                bodies[call.body] = len(bodies)
                size += len(call.body)
            calls.append(call.message._replace(body=bodies[call.body]))
        cancelled, self._cancelled = self._cancelled, []
        return OwnerCalls(calls, list(bodies), looks, cancelled)

    def _take(self, message: object) -> None:
        self._heard_at = self._clock.now()
        if not isinstance(message, OwnerAnswers):
            raise LinkClosedError("an owner sent what is no answer")
        for reply in message.replies:
            call = self._sent.pop(reply.number, None)
            if call is not None:
                call.reply = _http_reply(reply)
                call.done.set()
        for refusal in message.refusals:
            call = self._sent.pop(refusal.number, None)
            if call is not None:
                call.end(refusal.fault)

    async def _watch(self, link: Link) -> None:
        looked_at = self._clock.now()
        while True:
            await trio.sleep(IDLE_CHECK / SECOND)
            now = self._clock.now()
            # While this process itself stood still, nobody read what had come.
            self._heard_at += max(0.0, now - looked_at - IDLE_CHECK)
            looked_at = now
            if self._sent and now - self._heard_at > self._silence:
                await link.aclose()
                raise LinkClosedError("the owner is silent")


def _http_reply(reply: ServerReply) -> HttpReply:
    headers = [] if reply.retry_after is None else [(b"retry-after", reply.retry_after)]
    return HttpReply(reply.status, headers, reply.body)
