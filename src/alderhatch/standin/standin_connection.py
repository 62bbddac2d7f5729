"""One connection to a stand-in server: requests are parsed by h11, answers are raw bytes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

import h11
import trio

from ..clock import SECOND, Millis
from .garbled_answer import PROCESSING, RawAnswer
from .server_faults import FrozenSide

READ_BYTES = 65_536
PROGRESS_INTERVAL: Millis = 200.0


class ParsedRequest(NamedTuple):
    """One request that was read completely."""

    method: str
    path: str
    body: bytes


RequestHandler: TypeAlias = Callable[[ParsedRequest], Awaitable[RawAnswer | None]]
"""Answers one request; None closes the connection without an answer."""


class StandinConnection:
    """Reads requests and writes the handler's answers unchanged.

    Args:
        stream: The accepted connection.
        handler: Answers one request; cancelled when the peer closes the connection.
    """

    def __init__(self, stream: trio.SocketStream, handler: RequestHandler) -> None:
        self._stream = stream
        self._handler = handler
        self._http = h11.Connection(h11.SERVER)
        self.frozen: FrozenSide | None = None
        """Direction that has stopped; the peer is not notified."""
        self.cancelled = 0
        """Number of requests whose peer closed the connection before the answer."""

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.socket.close()

    async def run(self) -> None:
        """Serve until the peer closes the connection."""
        while True:
            req = await self._read()
            if req is None:
                return
            if self.frozen is FrozenSide.READ:
                await self._wait_until_closed()
                return
            answer = await self._answer(req)
            if answer is None:
                return
            if self.frozen is FrozenSide.WRITE:
                await self._wait_until_closed()
                return
            await self._write(answer)
            if answer.close:
                return
            # h11 did not see the answer, which may be invalid HTTP: start with a new parser.
            self._http = h11.Connection(h11.SERVER)

    async def _read(self) -> ParsedRequest | None:
        head: h11.Request | None = None
        body = b""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some(READ_BYTES)
                if not data and head is None:
                    return None
                self._http.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return ParsedRequest(head.method.decode(), head.target.decode(), body)
            else:
                return None

    async def _answer(self, req: ParsedRequest) -> RawAnswer | None:
        answer: RawAnswer | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_close, nursery.cancel_scope)
            nursery.start_soon(self._send_progress)
            answer = await self._handler(req)
            nursery.cancel_scope.cancel()
        return answer

    async def _cancel_on_close(self, scope: trio.CancelScope) -> None:
        try:
            await self._wait_until_closed()
        finally:
            if not scope.cancel_called:
                self.cancelled += 1
                scope.cancel()

    async def _send_progress(self) -> None:
        while True:
            await trio.sleep(PROGRESS_INTERVAL / SECOND)
            if self.frozen is not FrozenSide.WRITE:
                await self._stream.send_all(PROCESSING)

    async def _wait_until_closed(self) -> None:
        try:
            while await self._stream.receive_some(READ_BYTES):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _write(self, answer: RawAnswer) -> None:
        await self._stream.send_all(answer.data)
        while answer.repeat:
            await self._stream.send_all(answer.repeat)
            await trio.sleep(answer.pause_ms / SECOND)
