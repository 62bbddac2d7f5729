"""One link from a host that stands by to one that serves callers, and the requests on it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..core.forwarding.caller_hosts import HostRecord
from ..link import Link, LinkClosedError, Peer, open_link
from ..log import log_event
from ..log_events import LogEvent
from .gather_messages import PartsEnd, PartsNews, Reply, Request
from .hand_over_messages import (
    HAND_OVER_ROLE,
    MAX_IN_FLIGHT,
    Alive,
    HandedAnswer,
    HandedCancel,
    HandedRefusal,
)

TakeNews: TypeAlias = Callable[[PartsNews], None]
OPEN_TIMEOUT: Millis = 500.0
SILENCE: Millis = 1000.0
"""How long a host with requests of ours may say nothing; five of its signs of life fit in."""
IDLE_FOR: Millis = 20 * SECOND
"""How long a link is kept without a request."""
WATCH_EVERY: Millis = 100.0


class HandOverLostError(Exception):
    """There is no answer, as the link is gone or could not be opened."""

    def __init__(self, was_sent: bool) -> None:
        super().__init__("the link is gone")
        self.was_sent = was_sent
        """Whether the request may have reached the other host."""


class _Call:
    """One request on its way."""

    __slots__ = ("_take", "done", "error", "reply", "was_sent")

    def __init__(self, take: TakeNews | None) -> None:
        self.done = trio.Event()
        self.reply: Reply | None = None
        self.error: ValueError | None = None
        """What is wrong with what came, if anything."""
        self.was_sent = False
        self._take = take

    def took(self, message: Reply | PartsNews) -> None:
        """Take what the other host said of the request."""
        if not isinstance(message, PartsNews):
            self.reply = message
            self.done.set()
            return
        try:
            if self._take is None:
                raise ValueError("parts of a request that asked for none")
            self._take(message)
        except ValueError as exc:
            self.error = exc
            self.done.set()


class HandOverLink:
    """Carries any number of requests at the same time.

    Args:
        host: The host that serves.
        codec: The tier's messages.
        secret: The secret that the hosts share.
        me: This host's name.
    """

    def __init__(self, host: HostRecord, codec: Codec, secret: bytes, me: str) -> None:
        self.host = host
        """Who is at the other end."""
        self.is_open = True
        """Whether requests can be put on it; also true while it is being opened."""
        self._codec = codec
        self._secret = secret
        self._me = Peer(me, HAND_OVER_ROLE)
        self._clock = LoopClock()
        self._numbers = 0
        self._calls: dict[int, _Call] = {}
        self._queue, self._queued = trio.open_memory_channel[tuple[Any, ...]](2 * MAX_IN_FLIGHT)
        self._heard_at: Millis = 0.0
        self._used_at: Millis = 0.0

    def keep(self) -> None:
        """Keep the link open as if it had just been used."""
        self._used_at = self._clock.now()

    def leads_to(self, host: HostRecord) -> bool:
        """Return whether a host is still where this link goes to."""
        known = self.host
        return known.caller_address == host.caller_address and known.link_port == host.link_port

    async def run(self) -> None:
        """Keep the link until it is lost or nobody has used it for a while."""
        address = self.host.caller_address.rpartition(":")[0]
        self._used_at = self._clock.now()
        why = ""
        try:
            opening = trio.CancelScope(deadline=trio.current_time() + OPEN_TIMEOUT / SECOND)
            with opening:
                async with open_link(
                    address, self.host.link_port, self._codec, self._secret, self._me
                ) as link:
                    opening.deadline = float("inf")
                    why = await self._use(link)
            if opening.cancelled_caught:
                why = "not opened in time"
        except LinkClosedError as exc:
            why = str(exc)
        finally:
            self.is_open = False
            for call in self._calls.values():
                call.done.set()
        if why:
            log_event(LogEvent.HAND_OVER_LINK_LOST, host=self.host.name, why=why)

    async def call(self, req: Request, take: TakeNews | None = None) -> Reply:
        """Hand a request over and wait for what becomes of it.

        Args:
            req: The request; its number is chosen here.
            take: Takes parts that come before the end; raises ``ValueError`` if they don't fit.

        Raises:
            HandOverLostError: If the link is gone, or has too many requests already.
            ValueError: If parts came that don't fit the request; it is cancelled at the other host.
        """
        if not self.is_open or len(self._calls) >= MAX_IN_FLIGHT:
            raise HandOverLostError(False)
        self._numbers += 1
        number = self._numbers
        call = self._calls[number] = _Call(take)
        self._used_at = self._clock.now()
        try:
            self._queue.send_nowait(req._replace(number=number))
            await call.done.wait()
        except trio.WouldBlock as exc:
            raise HandOverLostError(False) from exc
        except trio.Cancelled:
            self._cancel(number)
            raise
        finally:
            del self._calls[number]
        if call.error is not None:
            self._cancel(number)
            raise call.error
        if call.reply is None:
            raise HandOverLostError(call.was_sent)
        return call.reply

    def _cancel(self, number: int) -> None:
        try:
            self._queue.send_nowait(HandedCancel(number))
        except trio.WouldBlock:
            # The other end does not read. It notices the end of the link, which is near.
            return

    async def _use(self, link: Link) -> str:
        """Carry requests and answers; return why the link ended, or nothing if it was idle."""
        self._heard_at = self._clock.now()
        why = ""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, link, nursery.cancel_scope)
            nursery.start_soon(self._receive, link, nursery.cancel_scope)
            why = await self._watch()
            nursery.cancel_scope.cancel()
        return why or ("" if self._is_idle() else "closed by the other end")

    def _is_idle(self) -> bool:
        return not self._calls and self._clock.now() - self._used_at >= IDLE_FOR

    async def _watch(self) -> str:
        watched_at = self._clock.now()
        while not self._is_idle():
            await trio.sleep(WATCH_EVERY / SECOND)
            now = self._clock.now()
            # While this process itself stood still, nobody read what had come.
            stall = max(0.0, now - watched_at - WATCH_EVERY)
            watched_at = now
            self._heard_at = now if not self._calls else min(now, self._heard_at + stall)
            if now - self._heard_at >= SILENCE:
                return "silent"
        return ""

    async def _send(self, link: Link, scope: trio.CancelScope) -> None:
        try:
            async for message in self._queued:
                if isinstance(message, Request):
                    call = self._calls.get(message.number)
                    if call is None:
                        continue
                    call.was_sent = True
                await link.send(message)
        except LinkClosedError:
            scope.cancel()

    async def _receive(self, link: Link, scope: trio.CancelScope) -> None:
        try:
            while True:
                message = await link.receive()
                self._heard_at = self._clock.now()
                match message:
                    case HandedAnswer() | HandedRefusal() | PartsNews() | PartsEnd():
                        call = self._calls.get(message.number)
                        if call is not None:
                            call.took(message)
                    case Alive():
                        pass
                    case _:
                        break
        except LinkClosedError:
            pass
        scope.cancel()
