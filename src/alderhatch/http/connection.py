"""One connection to a server: exchanges one after the other, by h11."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import h11
import trio

from ..clock import SECOND, Millis
from ._request_heads import forwarded_head, request_head, usual_head
from .direct_socket import DirectSocket
from .exchange import ExchangeFault, HttpExchangeError, HttpReply
from .messages import HeaderFields

MAX_REPLY_HEAD_BYTES = 16_384
MAX_REPLY_BODY_BYTES = 4 * 1024 * 1024
MAX_WHOLE_SEND = 16_384
"""Longer bodies are sent while the answer is awaited; the windows of a link hold about as much."""
MAX_FOREIGN_REPLIES = 2
"""Responses to earlier requests that are read over before the own one."""
MAX_INFORMATIONAL = 256
"""1xx responses that may come before the real one; servers show by them that they are at work."""
END_OF_MESSAGE = h11.EndOfMessage()


class _Sending:
    """Whether the whole of a long request has been sent."""

    def __init__(self) -> None:
        self.done = False


class HttpConnection:
    """One connection to a server. Exchanges on it must not overlap."""

    def __init__(self, stream: trio.SocketStream, host: str, opened_at: Millis = 0.0) -> None:
        self._socket = DirectSocket(stream)
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_REPLY_HEAD_BYTES)
        self._host = host.encode("ascii")
        self._closed_for: ExchangeFault | None = None
        self.usable = True
        """False once the connection can't carry another exchange."""
        self.used = False
        """Whether an exchange was begun on it."""
        self.closed_by_peer = False
        """Whether the other end is known to have closed it."""
        self.opened_at = opened_at
        self.last_progress_at = opened_at
        """When the present exchange last saw a byte move; its owner sets the start of it."""

    @property
    def alive(self) -> bool:
        """Whether an idle connection can be used: open, and with no byte waiting on it.

        A server closes idle connections when it likes, and a late byte may still arrive after an
        exchange was over. Used all the same, the first would lose a request that another
        connection could have carried, and the second would be read as the answer to the next
        request. One look at the socket before each use finds both.
        """
        if not self.usable:
            return False
        if not self._socket.is_readable():
            return True
        self.closed_by_peer = True
        return False

    async def exchange(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
        max_body: int = MAX_REPLY_BODY_BYTES,
    ) -> HttpReply:
        """Send one request and wait for its whole response.

        A cancelled exchange leaves the connection unusable: bytes of its answer may still come,
        and must never be taken for the answer to a later request.

        Args:
            method: The HTTP method.
            target: Path and query string.
            body: The request's body; JSON if there is any.
            headers: Further header fields.
            max_body: The largest body, in bytes, that is accepted.

        Returns:
            The response.

        Raises:
            HttpExchangeError: If the connection broke, or the server sent no valid response.
        """
        self._claim()
        data = self._request_bytes(method, target, body, headers)
        return await self._transfer(data, max_body)

    async def forward(
        self,
        method: str,
        target: str,
        fields: HeaderFields,
        body: bytes = b"",
        is_own: Callable[[HttpReply], bool] = lambda _: True,
    ) -> HttpReply:
        """Send a request with exactly these header fields and wait for its whole response.

        A server may answer a long request before it has read all of it. The answer is taken at
        once, and the connection is then of no further use: what the server reads next on it would
        be the rest of the old body or the head of a new request, depending on the server.

        Args:
            method: The HTTP method.
            target: Path and query string.
            fields: All header fields but the body's length.
            body: The whole body.
            is_own: Returns whether a response belongs to this request. A server may repeat the
                answer to an earlier request where this one's is expected; the own one comes behind
                it, and a request that must not run twice could not be sent again to get it.

        Returns:
            The response; one that is not the own one if no other came.

        Raises:
            HttpExchangeError: If the connection broke, or the server sent no valid response.
        """
        head = forwarded_head(method, target, fields, body)
        self._claim()
        data = self._forward_bytes(head, body)
        if len(body) <= MAX_WHOLE_SEND:
            reply = await self._transfer(data, MAX_REPLY_BODY_BYTES)
        else:
            reply = await self._transfer_long(data)
        for _ in range(MAX_FOREIGN_REPLIES):
            if is_own(reply):
                break
            has_rest = self._expect_another(head, body)
            reply = await self._transfer(b"", MAX_REPLY_BODY_BYTES, has_rest)
        return reply

    def _expect_another(self, head: h11.Request, body: bytes) -> bool:
        """Read on behind a response as if the request had just been sent.

        Returns:
            Whether bytes of what follows are there already.
        """
        rest, _ = self._http.trailing_data
        self.usable = False
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_REPLY_HEAD_BYTES)
        self._forward_bytes(head, body)
        if rest:
            self._http.receive_data(rest)
        return bool(rest)

    async def _transfer_long(self, data: bytes) -> HttpReply:
        sending = _Sending()
        result: HttpReply | HttpExchangeError
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_long, data, sending)
            try:
                result = await self._transfer(b"", MAX_REPLY_BODY_BYTES)
            except HttpExchangeError as exc:
                result = exc
            nursery.cancel_scope.cancel()
        if not sending.done:
            self.usable = False
        if isinstance(result, HttpExchangeError):
            raise result
        return result

    async def _send_long(self, data: bytes, sending: _Sending) -> None:
        try:
            await self._socket.send_all(data)
            sending.done = True
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The reader of the same connection sees the same fault, and reports it.
            return

    def _claim(self) -> None:
        if not self.usable:
            message = "the connection is no longer usable"
            raise HttpExchangeError(message, ExchangeFault.NOT_SENT)
        self.usable = False
        self.used = True

    async def _transfer(self, data: bytes, max_body: int, has_rest: bool = False) -> HttpReply:
        try:
            await self._socket.send_all(data)
            reply = await self._read_reply(max_body, has_rest)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            fault = self._closed_for or ExchangeFault.LOST
            self.closed_by_peer = self._closed_for is None
            raise HttpExchangeError(f"the connection broke: {exc}", fault) from exc
        except h11.RemoteProtocolError as exc:
            raise HttpExchangeError(f"not a response: {exc}", self._protocol_fault()) from exc
        self._make_usable()
        return reply

    def _protocol_fault(self) -> ExchangeFault:
        # A response that breaks off in the middle is a lost connection, not a server that talks
        # nonsense: h11 reports both alike, but only the first has come to the end of the stream.
        return ExchangeFault.LOST if self._http.trailing_data[1] else ExchangeFault.GARBAGE

    def _request_bytes(
        self, method: str, target: str, body: bytes, headers: Sequence[tuple[str, str]]
    ) -> bytes:
        send = self._http.send
        if headers:
            head = request_head(method, target, self._host, len(body), headers)
        else:
            head = usual_head(method, target, self._host, len(body))
        data = send(head) or b""
        if body:
            data += send(h11.Data(data=body)) or b""
        return data + (send(END_OF_MESSAGE) or b"")

    def _forward_bytes(self, head: h11.Request, body: bytes) -> bytes:
        send = self._http.send
        data = send(head) or b""
        if body:
            data += send(h11.Data(data=body)) or b""
        return data + (send(END_OF_MESSAGE) or b"")

    async def _read_reply(self, max_body: int, has_rest: bool) -> HttpReply:
        head: h11.Response | None = None
        chunks: list[bytes] = []
        size = 0
        informational = 0
        if not has_rest:
            await self._receive()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                await self._receive()
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > max_body:
                    message = f"a body of over {max_body} bytes"
                    raise HttpExchangeError(message, ExchangeFault.GARBAGE)
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                break
            elif isinstance(event, h11.InformationalResponse):
                # Each of them counts as progress, so a server that sends them without end would
                # hold the exchange for good.
                informational += 1
                if informational > MAX_INFORMATIONAL:
                    raise HttpExchangeError("1xx without end", ExchangeFault.GARBAGE)
            else:
                message = "the server closed the connection"
                raise HttpExchangeError(message, ExchangeFault.LOST)
        # h11's own sequence works each item out anew whenever it is looked through.
        return HttpReply(head.status_code, list(head.headers), b"".join(chunks))

    async def _receive(self) -> None:
        data = await self._socket.receive()
        self.last_progress_at = trio.current_time() * SECOND
        self.closed_by_peer = not data
        self._http.receive_data(data)

    def _make_usable(self) -> None:
        if self._http.trailing_data[0]:
            # Bytes after a complete answer belong to no request of ours. Kept, they would be read
            # as the answer to the next one, and a caller would get somebody else's rows.
            return
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self.usable = True

    def close(self, fault: ExchangeFault | None = None) -> None:
        """Close the connection at once; an exchange under way on it fails.

        Args:
            fault: What that exchange reports; ``lost`` if none is given.
        """
        self.usable = False
        self._closed_for = fault
        self._socket.close()

    async def aclose(self) -> None:
        """Close the connection at once."""
        self.close()
        await trio.lowlevel.checkpoint()
