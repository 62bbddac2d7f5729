"""One connection to a stand-in server: HTTP by h11, but with every way to break it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

import h11
import trio

from ..clock import SECOND, Millis
from .garbled_answer import PROCESSING, RawAnswer
from .server_faults import FrozenSide

READ_BYTES = 65_536
PROGRESS_EVERY: Millis = 200.0


class Ask(NamedTuple):
    """One request as it was read."""

    method: str
    path: str
    body: bytes


AskHandler: TypeAlias = Callable[[Ask], Awaitable[RawAnswer | None]]
"""Answers one request; None closes the connection without an answer."""


class StandinConnection:
    """Reads requests and writes what the handler returns, byte by byte as it is.

    Args:
        stream: The accepted connection.
        handler: Answers one request; it is cancelled when the other end closes.
    """

    def __init__(self, stream: trio.SocketStream, handler: AskHandler) -> None:
        self._stream = stream
        self._handler = handler
        self._http = h11.Connection(h11.SERVER)
        self.frozen: FrozenSide | None = None
        """Which direction has gone silent; the other end is not told."""
        self.cancelled = 0
        """Requests whose other end went away before the answer."""

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.socket.close()

    async def run(self) -> None:
        """Serve until the other end closes."""
        while True:
            ask = await self._read()
            if ask is None:
                return
            if self.frozen is FrozenSide.READ:
                await self._until_closed()
                return
            answer = await self._answer(ask)
            if answer is None:
                return
            if self.frozen is FrozenSide.WRITE:
                await self._until_closed()
                return
            await self._write(answer)
            if answer.close:
                return
            # A fresh parser, since what was written need not have been an answer at all.
            self._http = h11.Connection(h11.SERVER)

    async def _read(self) -> Ask | None:
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
                return Ask(head.method.decode(), head.target.decode(), body)
            else:
                return None

    async def _answer(self, ask: Ask) -> RawAnswer | None:
        answer: RawAnswer | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, nursery.cancel_scope)
            nursery.start_soon(self._show_progress)
            answer = await self._handler(ask)
            nursery.cancel_scope.cancel()
        return answer

    async def _watch(self, scope: trio.CancelScope) -> None:
        try:
            await self._until_closed()
        finally:
            if not scope.cancel_called:
                self.cancelled += 1
                scope.cancel()

    async def _show_progress(self) -> None:
        while True:
            await trio.sleep(PROGRESS_EVERY / SECOND)
            if self.frozen is not FrozenSide.WRITE:
                await self._stream.send_all(PROCESSING)

    async def _until_closed(self) -> None:
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
