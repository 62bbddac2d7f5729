"""The calls over one link to an owner: batching, answers and the loss of the link."""

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

SILENCE_CHECK_INTERVAL: Millis = 50.0


class OwnerCallError(Exception):
    """A call through an owner ended without a response of the server."""

    def __init__(self, fault: AttemptFault) -> None:
        super().__init__(fault)
        self.fault = fault


class _Call:
    """One unanswered call with its body and its result."""

    __slots__ = ("body", "done", "fault", "message", "reply")

    def __init__(self, message: ShardCall | Look, body: bytes) -> None:
        self.message = message
        self.body = body
        self.done = trio.Event()
        self.reply: HttpReply | None = None
        self.fault = AttemptFault.NOT_SENT

    def fail(self, fault: AttemptFault) -> None:
        self.fault = fault
        self.done.set()


class OwnerLink:
    """The calls of one link to an owner, queued or sent.

    Args:
        silence_timeout: How long the owner may send nothing while calls are unanswered, in
            milliseconds.
    """

    def __init__(self, silence_timeout: Millis) -> None:
        self._silence_timeout = silence_timeout
        self._clock = LoopClock()
        self._last_number = 0
        self._queued: dict[int, _Call] = {}
        self._sent: dict[int, _Call] = {}
        self._cancelled: list[int] = []
        self._work_available = trio.Event()
        self._silent_since = 0.0
        self.link: Link | None = None
        """The open link; None until the owner has accepted it."""
        self.messages = 0
        """The number of messages sent so far."""

    @property
    def in_flight(self) -> int:
        """The number of unanswered calls, queued or sent."""
        return len(self._queued) + len(self._sent)

    async def call(
        self, build_message: Callable[[int], ShardCall | Look], body: bytes
    ) -> HttpReply:
        """Send a call and wait for its answer.

        Args:
            build_message: Returns the message for a call number.
            body: The query of a shard request.

        Raises:
            OwnerCallError: If no response of the server arrives.
        """
        if self.in_flight >= MAX_IN_FLIGHT:
            raise OwnerCallError(AttemptFault.SHED)
        self._last_number += 1
        number = self._last_number
        call = self._queued[number] = _Call(build_message(number), body)
        self._work_available.set()
        try:
            await call.done.wait()
        finally:
            self._queued.pop(number, None)
            if self._sent.pop(number, None) is not None:
                self._cancelled.append(number)
                self._work_available.set()
        if call.reply is None:
            raise OwnerCallError(call.fault)
        return call.reply

    async def run(self, link: Link) -> None:
        """Send calls and receive answers until the link breaks or goes silent."""
        self._silent_since = self._clock.now()
        self.link = link
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, link)
            nursery.start_soon(self._watch_silence, link)
            while True:
                self._handle_answers(await link.receive())

    def fail_all(self) -> None:
        """Fail all unanswered calls after the end of the link."""
        for call in self._queued.values():
            call.fail(AttemptFault.NOT_SENT)
        for call in self._sent.values():
            # The owner may have sent the call to the server before the link was lost, so it may
            # have run. Reported as not sent, a non-idempotent request would be sent a second time.
            call.fail(AttemptFault.OWNER_LOST)
        self._queued.clear()
        self._sent.clear()
        self._cancelled.clear()

    async def _send(self, link: Link) -> None:
        while True:
            await self._work_available.wait()
            # Lets other ready tasks queue their calls, so that these go into the same message.
            await trio.lowlevel.checkpoint()
            self._work_available = trio.Event()
            while self._queued or self._cancelled:
                # From here on, a part of the message may have been sent.
                message = self._next_batch()
                self.messages += 1
                await link.send(message)

    def _next_batch(self) -> OwnerCalls:
        calls: list[ShardCall] = []
        looks: list[Look] = []
        bodies: dict[bytes, int] = {}
        size = 0
        if not self._sent:
            self._silent_since = self._clock.now()
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

    def _handle_answers(self, message: object) -> None:
        self._silent_since = self._clock.now()
        if not isinstance(message, OwnerAnswers):
            raise LinkClosedError("expected OwnerAnswers from the owner, got another message")
        for reply in message.replies:
            call = self._sent.pop(reply.number, None)
            if call is not None:
                call.reply = _http_reply(reply)
                call.done.set()
        for refusal in message.refusals:
            call = self._sent.pop(refusal.number, None)
            if call is not None:
                call.fail(refusal.fault)

    async def _watch_silence(self, link: Link) -> None:
        checked_at = self._clock.now()
        while True:
            await trio.sleep(SILENCE_CHECK_INTERVAL / SECOND)
            now = self._clock.now()
            # While this process is stalled, it reads nothing; that time does not count as silence.
            self._silent_since += max(0.0, now - checked_at - SILENCE_CHECK_INTERVAL)
            checked_at = now
            if self._sent and now - self._silent_since > self._silence_timeout:
                await link.abort()
                raise LinkClosedError("the owner sent nothing within the silence timeout")


def _http_reply(reply: ServerReply) -> HttpReply:
    headers = [] if reply.retry_after is None else [(b"retry-after", reply.retry_after)]
    return HttpReply(reply.status, headers, reply.body)
