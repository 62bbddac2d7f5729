"""Answers other hosts: handed over requests and shares of their gathers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

import trio

from ..clock import SECOND, Millis
from ..core.forwarding.identity import Identity
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse
from ..http.server import ServeState
from ..link import Link, LinkClosedError
from ..log import log_event
from ..log_events import LogEvent
from .gather_messages import PartsEnd, PartsNews, PartsRequest, Reply
from .hand_over_messages import (
    ALIVE_INTERVAL,
    MAX_HANDED_BYTES,
    MAX_IN_FLIGHT,
    Alive,
    HandedAnswer,
    HandedCancel,
    HandedRefusal,
    HandedRequest,
    to_fields,
    to_http,
)
from .identity_messages import PlainRequest, Request, check_identity, split_identity

RequestAnswerer: TypeAlias = Callable[
    [HttpRequest, Millis | None, int, Identity | None], Awaitable[HttpResponse]
]
"""Takes a request, how long its caller waits, the oldest version that may serve it, and what the
other host has decided about its caller."""
PartsAnswerer: TypeAlias = Callable[
    [PartsRequest, Identity | None, Callable[[PartsNews], None]], Awaitable[PartsEnd]
]
"""Takes a request for parts, what the other host has decided about its caller, and the function
that sends parts as they arrive."""


class HandOverServer:
    """Serves the links that other hosts open for their requests.

    Args:
        answer: Answers a request as if it came from this host's own callers.
        answer_parts: Queries servers for a share of another host's gather.
        version: Returns the configuration version that this host serves by.
        serve_state: Counts the requests in progress, so that a stopping node waits for them.
    """

    def __init__(
        self,
        answer: RequestAnswerer,
        answer_parts: PartsAnswerer,
        version: Callable[[], int],
        serve_state: ServeState,
    ) -> None:
        self._answer = answer
        self._answer_parts = answer_parts
        self._version = version
        self._serve_state = serve_state
        self._sessions: set[_Session] = set()

    @property
    def unsent(self) -> int:
        """Number of messages that the other hosts have not been sent yet."""
        return sum(session.unsent for session in self._sessions)

    async def serve(self, link: Link) -> None:
        """Answer one host until its link closes, then cancel its requests in progress."""
        session = _Session(link, self)
        self._sessions.add(session)
        try:
            await session.run()
        finally:
            self._sessions.discard(session)

    async def answer(self, message: Request, send_parts: Callable[[PartsNews], None]) -> Reply:
        """Answer a handed over request, or query a share and send its parts."""
        req, identity = split_identity(message)
        self._serve_state.exchanges += 1
        try:
            if isinstance(req, PartsRequest):
                return await self._answer_parts(req, identity, send_parts)
            return await self._answer_handed(req, identity)
        except AlderhatchError as exc:
            return _refusal(req, exc.failure)
        except Exception as exc:
            log_event(LogEvent.ENTRY_FAULT, exc=exc, path=req.target)
            return _refusal(req, Failure(ErrorKind.INTERNAL, "a fault in alderhatch"))
        finally:
            self._serve_state.exchanges -= 1

    async def _answer_handed(self, req: HandedRequest, identity: Identity | None) -> Reply:
        http = to_http(req.method, req.target, req.fields, req.body)
        http = http._replace(on_used_connection=req.on_used_connection, round_trip=req.round_trip)
        res = await self._answer(http, req.time_left, req.version, identity)
        if len(res.body) > MAX_HANDED_BYTES:
            message = f"the response body exceeds {MAX_HANDED_BYTES} bytes"
            return _refusal(req, Failure(ErrorKind.UPSTREAM_FAILED, message))
        text_fields = [(name.encode("ascii"), value.encode("ascii")) for name, value in res.headers]
        fields = to_fields([*res.fields, *text_fields])
        return HandedAnswer(
            req.number, res.status, res.content_type, fields, res.body, self._version()
        )

    def refuse(self, message: Request, in_flight: int, peer: str) -> HandedRefusal | None:
        """Return the refusal of a request, or None if it may start.

        Args:
            message: The request.
            in_flight: How many requests of the same link are in progress.
            peer: The name of the host that sent it.
        """
        req, identity = split_identity(message)
        if self._serve_state.refusing:
            return _refusal(req, Failure(ErrorKind.STOPPING, "this host is stopping"))
        if in_flight >= MAX_IN_FLIGHT:
            why = f"{in_flight} requests are already in progress on this link"
            return _refusal(req, Failure(ErrorKind.OVERLOADED, why))
        if req.time_left is not None and req.time_left <= 0:
            why = "time_left: must be greater than 0"
            return _refusal(req, Failure(ErrorKind.DEADLINE_TOO_SHORT, why, "time_left"))
        try:
            if identity is not None:
                check_identity(identity)
        except AlderhatchError as exc:
            failure = exc.failure
            log_event(
                LogEvent.LINK_MESSAGE_REFUSED, peer=peer, field=failure.field, why=failure.message
            )
            return _refusal(req, failure)
        return None


class _Session:
    """The requests in progress on one link."""

    def __init__(self, link: Link, server: HandOverServer) -> None:
        self._link = link
        self._server = server
        self._scopes: dict[int, trio.CancelScope] = {}
        self._reply_sender, self._reply_receiver = trio.open_memory_channel[tuple[Any, ...]](
            4 * MAX_IN_FLIGHT
        )
        self._is_sending = False

    @property
    def unsent(self) -> int:
        """Number of messages that wait to be sent, or are being sent."""
        return self._reply_receiver.statistics().current_buffer_used + self._is_sending

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, nursery.cancel_scope)
            nursery.start_soon(self._send_alive)
            try:
                while True:
                    await self._handle(await self._link.receive(), nursery)
            except LinkClosedError:
                nursery.cancel_scope.cancel()

    async def _handle(self, message: object, nursery: trio.Nursery) -> None:
        match message:
            case HandedCancel(number):
                if number in self._scopes:
                    self._scopes[number].cancel()
            case _ if isinstance(message, Request):
                await self._start(message, nursery)
            case _:
                raise LinkClosedError("the other host sent a message that is not a request")

    async def _start(self, message: Request, nursery: trio.Nursery) -> None:
        refusal = self._server.refuse(message, len(self._scopes), self._link.peer.name)
        if refusal is not None:
            await self._reply_sender.send(refusal)
        elif message.number not in self._scopes:
            self._scopes[message.number] = trio.CancelScope()
            nursery.start_soon(self._run, message)

    async def _run(self, req: Request) -> None:
        try:
            with self._scopes[req.number]:
                await self._reply_sender.send(await self._server.answer(req, self._send_parts))
        finally:
            del self._scopes[req.number]

    def _send_parts(self, update: PartsNews) -> None:
        try:
            self._reply_sender.send_nowait(update)
        except trio.WouldBlock as exc:
            # The other host does not read. Buffered here, parts would fill the memory. Once the
            # link is closed, the other host queries the shards itself.
            raise LinkClosedError("the other host does not read its messages") from exc

    async def _send(self, scope: trio.CancelScope) -> None:
        try:
            async for message in self._reply_receiver:
                self._is_sending = True
                await self._link.send(message)
                self._is_sending = False
        except LinkClosedError:
            scope.cancel()

    async def _send_alive(self) -> None:
        # A server may take longer than the other host's silence timeout. Without these messages
        # the other host would consider this host lost while it waits for servers.
        while True:
            await trio.sleep(ALIVE_INTERVAL / SECOND)
            if self._scopes:
                await self._reply_sender.send(Alive())


def _refusal(req: PlainRequest, failure: Failure) -> HandedRefusal:
    return HandedRefusal(
        req.number, failure.kind, failure.message, failure.field, failure.retry_after_ms
    )
