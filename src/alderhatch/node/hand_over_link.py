"""A link from one host to another that carries handed over requests and shares of gathers."""

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
from .gather_messages import PartsEnd, PartsNews, Reply
from .hand_over_messages import (
    HAND_OVER_ROLE,
    MAX_IN_FLIGHT,
    Alive,
    HandedAnswer,
    HandedCancel,
    HandedRefusal,
)
from .identity_messages import Request

PartsNewsHandler: TypeAlias = Callable[[PartsNews], None]
OPEN_TIMEOUT: Millis = 500.0
SILENCE_TIMEOUT: Millis = 1000.0
"""How long the other host may be silent while it has requests: five times ``ALIVE_INTERVAL``."""
IDLE_TIMEOUT: Millis = 20 * SECOND
"""How long a link without requests stays open."""
WATCH_INTERVAL: Millis = 100.0


class HandOverLostError(Exception):
    """The link was lost or could not be opened, so there is no answer."""

    def __init__(self, was_sent: bool) -> None:
        super().__init__("link to the other host lost")
        self.was_sent = was_sent
        """Whether the request may have reached the other host."""


class _Call:
    """A request that waits for its reply."""

    __slots__ = ("_on_parts", "done", "error", "reply", "was_sent")

    def __init__(self, on_parts: PartsNewsHandler | None) -> None:
        self.done = trio.Event()
        self.reply: Reply | None = None
        self.error: ValueError | None = None
        """Why a message for this request was invalid, if one was."""
        self.was_sent = False
        self._on_parts = on_parts

    def on_message(self, message: Reply | PartsNews) -> None:
        """Handle a message of the other host about the request."""
        if not isinstance(message, PartsNews):
            self.reply = message
            self.done.set()
            return
        try:
            if self._on_parts is None:
                raise ValueError("unexpected PartsNews: the request was for no parts")
            self._on_parts(message)
        except ValueError as exc:
            self.error = exc
            self.done.set()


class HandOverLink:
    """Carries up to ``MAX_IN_FLIGHT`` requests at the same time.

    Args:
        host: The host at the other end.
        codec: Encodes the messages between hosts.
        secret: The shared secret of the hosts.
        local_name: This host's name.
    """

    def __init__(self, host: HostRecord, codec: Codec, secret: bytes, local_name: str) -> None:
        self.host = host
        """The host at the other end."""
        self.is_open = True
        """Whether the link accepts requests; also true while it is being opened."""
        self._codec = codec
        self._secret = secret
        self._local_peer = Peer(local_name, HAND_OVER_ROLE)
        self._clock = LoopClock()
        self._last_number = 0
        self._calls: dict[int, _Call] = {}
        self._outbox_sender, self._outbox_receiver = trio.open_memory_channel[tuple[Any, ...]](
            2 * MAX_IN_FLIGHT
        )
        self._received_at: Millis = 0.0
        self._last_used_at: Millis = 0.0

    def keep_open(self) -> None:
        """Restart the idle timeout as if the link had just been used."""
        self._last_used_at = self._clock.now()

    def connects_to(self, host: HostRecord) -> bool:
        """Return whether a host still has the address and port that this link uses."""
        own_host = self.host
        return (
            own_host.caller_address == host.caller_address and own_host.link_port == host.link_port
        )

    async def run(self) -> None:
        """Run the link until it is lost or has been idle for ``IDLE_TIMEOUT``."""
        address = self.host.caller_address.rpartition(":")[0]
        self._last_used_at = self._clock.now()
        why = ""
        try:
            open_scope = trio.CancelScope(deadline=trio.current_time() + OPEN_TIMEOUT / SECOND)
            with open_scope:
                async with open_link(
                    address, self.host.link_port, self._codec, self._secret, self._local_peer
                ) as link:
                    open_scope.deadline = float("inf")
                    why = await self._run_open(link)
            if open_scope.cancelled_caught:
                why = "link not opened before the timeout"
        except LinkClosedError as exc:
            why = str(exc)
        finally:
            self.is_open = False
            for call in self._calls.values():
                call.done.set()
        if why:
            log_event(LogEvent.HAND_OVER_LINK_LOST, host=self.host.name, why=why)

    async def call(self, req: Request, on_parts: PartsNewsHandler | None = None) -> Reply:
        """Send a request and wait for its reply.

        Args:
            req: The request; this method sets its number.
            on_parts: Handles parts that arrive before the reply; raises ``ValueError`` if they do
                not match the request.

        Raises:
            HandOverLostError: If the link is lost or already has ``MAX_IN_FLIGHT`` requests.
            ValueError: If parts do not match the request, which is then cancelled at the other
                host.
        """
        if not self.is_open or len(self._calls) >= MAX_IN_FLIGHT:
            raise HandOverLostError(False)
        self._last_number += 1
        number = self._last_number
        call = self._calls[number] = _Call(on_parts)
        self._last_used_at = self._clock.now()
        try:
            self._outbox_sender.send_nowait(req._replace(number=number))
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
            self._outbox_sender.send_nowait(HandedCancel(number))
        except trio.WouldBlock:
            # The other end does not read, so the link is about to end, which cancels the request.
            return

    async def _run_open(self, link: Link) -> str:
        """Send and receive; return why the link ended, or an empty string if it was idle."""
        self._received_at = self._clock.now()
        why = ""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, link, nursery.cancel_scope)
            nursery.start_soon(self._receive, link, nursery.cancel_scope)
            why = await self._watch()
            if why:
                await link.abort()
            nursery.cancel_scope.cancel()
        return why or ("" if self._is_idle() else "closed by the other host")

    def _is_idle(self) -> bool:
        return not self._calls and self._clock.now() - self._last_used_at >= IDLE_TIMEOUT

    async def _watch(self) -> str:
        watched_at = self._clock.now()
        while not self._is_idle():
            await trio.sleep(WATCH_INTERVAL / SECOND)
            now = self._clock.now()
            # While this process was paused, it read no messages, so the pause is not silence.
            stall = max(0.0, now - watched_at - WATCH_INTERVAL)
            watched_at = now
            self._received_at = now if not self._calls else min(now, self._received_at + stall)
            if now - self._received_at >= SILENCE_TIMEOUT:
                return "no message from the other host before the timeout"
        return ""

    async def _send(self, link: Link, scope: trio.CancelScope) -> None:
        try:
            async for message in self._outbox_receiver:
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
                self._received_at = self._clock.now()
                match message:
                    case HandedAnswer() | HandedRefusal() | PartsNews() | PartsEnd():
                        call = self._calls.get(message.number)
                        if call is not None:
                            call.on_message(message)
                    case Alive():
                        pass
                    case _:
                        break
        except LinkClosedError:
            pass
        scope.cancel()
