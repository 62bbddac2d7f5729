"""Answers other hosts: requests of callers that they hand over, and shares of their gathers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

import trio

from ..clock import SECOND, Millis
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse
from ..http.server import ServeState
from ..link import Link, LinkClosedError
from ..log import log_event
from ..log_events import LogEvent
from .gather_messages import PartsEnd, PartsNews, PartsRequest, Reply, Request
from .hand_over_messages import (
    ALIVE_EVERY,
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

Answerer: TypeAlias = Callable[[HttpRequest, Millis | None, int], Awaitable[HttpResponse]]
"""Takes a request, how long its caller waits, and the least version to serve it by."""
PartsAnswerer: TypeAlias = Callable[
    [PartsRequest, Callable[[PartsNews], None]], Awaitable[PartsEnd]
]
"""Takes a request for parts and whom to tell of those that come in."""


class HandOverServer:
    """Serves the links of hosts that stand by.

    Args:
        answer: Answers a request as this host's own callers are answered.
        answer_parts: Asks servers for a share of another host's gather.
        version: Returns the number of the configuration that this host serves by.
        serving: Counts the requests under way, so that a stopping node waits for them.
    """

    def __init__(
        self,
        answer: Answerer,
        answer_parts: PartsAnswerer,
        version: Callable[[], int],
        serving: ServeState,
    ) -> None:
        self._answer = answer
        self._answer_parts = answer_parts
        self._version = version
        self._serving = serving

    async def serve(self, link: Link) -> None:
        """Answer one host until its link closes; what runs for it then is cancelled."""
        await _Session(link, self).run()

    async def answer(self, req: Request, say: Callable[[PartsNews], None]) -> Reply:
        """Answer one request, or ask for the parts that it wants."""
        self._serving.exchanges += 1
        try:
            if isinstance(req, PartsRequest):
                return await self._answer_parts(req, say)
            return await self._answer_whole(req)
        except AlderhatchError as exc:
            return _refusal(req, exc.failure)
        except Exception as exc:
            log_event(LogEvent.ENTRY_FAULT, exc=exc, path=req.target)
            return _refusal(req, Failure(ErrorKind.INTERNAL, "a fault in alderhatch"))
        finally:
            self._serving.exchanges -= 1

    async def _answer_whole(self, req: HandedRequest) -> Reply:
        http = to_http(req.method, req.target, req.fields, req.body)
        http = http._replace(on_used_connection=req.on_used_connection, round_trip=req.round_trip)
        res = await self._answer(http, req.time_left, req.version)
        if len(res.body) > MAX_HANDED_BYTES:
            message = f"the answer has over {MAX_HANDED_BYTES} bytes"
            return _refusal(req, Failure(ErrorKind.UPSTREAM_FAILED, message))
        texts = [(name.encode("ascii"), value.encode("ascii")) for name, value in res.headers]
        fields = to_fields([*res.fields, *texts])
        return HandedAnswer(
            req.number, res.status, res.content_type, fields, res.body, self._version()
        )

    def refuse(self, req: Request, running: int) -> HandedRefusal | None:
        """Return why a request is not begun, or None if it may be."""
        if self._serving.refusing:
            return _refusal(req, Failure(ErrorKind.STOPPING, "this host is about to end"))
        if running >= MAX_IN_FLIGHT:
            message = f"{running} requests of this link are under way"
            return _refusal(req, Failure(ErrorKind.OVERLOADED, message))
        if req.time_left is not None and req.time_left <= 0:
            message = "no time is left"
            return _refusal(req, Failure(ErrorKind.DEADLINE_TOO_SHORT, message, "time_left"))
        return None


class _Session:
    """The requests of one link."""

    def __init__(self, link: Link, server: HandOverServer) -> None:
        self._link = link
        self._server = server
        self._scopes: dict[int, trio.CancelScope] = {}
        self._replies, self._replied = trio.open_memory_channel[tuple[Any, ...]](4 * MAX_IN_FLIGHT)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, nursery.cancel_scope)
            nursery.start_soon(self._show_life)
            try:
                while True:
                    await self._take(await self._link.receive(), nursery)
            except LinkClosedError:
                nursery.cancel_scope.cancel()

    async def _take(self, message: object, nursery: trio.Nursery) -> None:
        match message:
            case HandedRequest(number) | PartsRequest(number):
                refusal = self._server.refuse(message, len(self._scopes))
                if refusal is not None:
                    await self._replies.send(refusal)
                elif number not in self._scopes:
                    self._scopes[number] = trio.CancelScope()
                    nursery.start_soon(self._run, message)
            case HandedCancel(number):
                if number in self._scopes:
                    self._scopes[number].cancel()
            case _:
                raise LinkClosedError("the other host sent what is no request")

    async def _run(self, req: Request) -> None:
        try:
            with self._scopes[req.number]:
                await self._replies.send(await self._server.answer(req, self._say))
        finally:
            del self._scopes[req.number]

    def _say(self, news: PartsNews) -> None:
        try:
            self._replies.send_nowait(news)
        except trio.WouldBlock as exc:
            # The other host does not read. Held back here, parts would fill the memory; it asks for
            # them itself once the link is gone.
            raise LinkClosedError("the other host does not read") from exc

    async def _send(self, scope: trio.CancelScope) -> None:
        try:
            async for message in self._replied:
                await self._link.send(message)
        except LinkClosedError:
            scope.cancel()

    async def _show_life(self) -> None:
        # A server may take longer than the other host waits for a sign of life; without these it
        # would take a host that waits for servers as one that is gone.
        while True:
            await trio.sleep(ALIVE_EVERY / SECOND)
            if self._scopes:
                await self._replies.send(Alive())


def _refusal(req: Request, failure: Failure) -> HandedRefusal:
    return HandedRefusal(
        req.number, failure.kind, failure.message, failure.field, failure.retry_after_ms
    )
