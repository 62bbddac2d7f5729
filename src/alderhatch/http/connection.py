"""A client connection, which carries one HTTP exchange at a time."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import h11
import trio

from ..clock import SECOND, Millis
from ._reply_limits import ReplyLimits, check_begin
from ._request_heads import cached_head, forwarded_head, request_head
from .direct_socket import BeforeRead, DirectSocket
from .exchange import ExchangeFault, HttpExchangeError, HttpReply
from .messages import HeaderFields
from .unfinished_replies import UnfinishedReplies

MAX_REPLY_HEAD_BYTES = 16_384
MAX_REPLY_BODY_BYTES = 4 * 1024 * 1024
MAX_SEQUENTIAL_SEND_BYTES = 16_384
"""Longer bodies are sent while the response is being read. Shorter ones are sent first, as the TCP
windows hold about as much."""
MAX_STALE_REPLIES = 2
"""Responses to earlier requests that are skipped while waiting for the matching one."""
MAX_EVENTS_PER_TURN = 16
"""Parts of responses that are handled before other tasks run. One read may hold thousands."""
MAX_REFUSED_IDS = 64
"""Refusals after which a connection is given up, so that none of their IDs is ever forgotten."""
END_OF_MESSAGE = h11.EndOfMessage()


class _SendStatus:
    """Whether a request that is sent while its response is read has been sent completely."""

    def __init__(self) -> None:
        self.is_complete = False


class HttpConnection:
    """A connection to a server. Exchanges on it must not overlap.

    Args:
        stream: The open connection.
        host: Address and port of the server.
        opened_at: When it was opened.
        unfinished: Bounds the bodies that arrive on all connections that share it; None for a
            connection whose own limits are enough.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        host: str,
        opened_at: Millis = 0.0,
        unfinished: UnfinishedReplies | None = None,
    ) -> None:
        self._socket = DirectSocket(stream)
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_REPLY_HEAD_BYTES)
        self._host = host.encode("ascii")
        self._unfinished = UnfinishedReplies() if unfinished is None else unfinished
        self._awaits_body = True
        """Whether a response to the current request has a body."""
        self._is_closed = False
        self._close_fault: ExchangeFault | None = None
        self.usable = True
        """False once the connection can't carry another exchange."""
        self.used = False
        """Whether any exchange has begun on the connection."""
        self.closed_by_peer = False
        """Whether the peer is known to have closed the connection."""
        self.opened_at = opened_at
        self.last_progress_at = opened_at
        """When the current exchange last received data. The code that begins an exchange sets it to
        the time of the start."""
        self.has_unidentified_reply = False
        """Whether a response without a request ID arrived; a copy of it can't be recognised."""
        self._refused_ids: set[str] = set()
        """The requests that the server has refused on the connection, and that may come again."""

    def can_tell_reply(self, request_id: str, is_idempotent: bool) -> bool:
        """Return whether the response to a request can be told from those to earlier ones.

        A faulty server may send a second copy of a response where the next one is due. If the next
        request is the same one, sent again after a refusal, the copy bears its ID: it would be
        taken for another refusal while the request runs, and the request would be sent elsewhere
        too. A copy without any ID would be taken for the response to whatever comes next. That
        matters only for requests that must not run twice.
        """
        if request_id in self._refused_ids:
            return False
        return is_idempotent or not self.has_unidentified_reply

    def record_refusal(self, request_id: str) -> None:
        """Remember the ID of a request that the server has refused, as it may be sent again.

        An ID that was forgotten would let a copy of its refusal pass for the response to a later
        send, so the connection is given up instead once it has too many of them.
        """
        self._refused_ids.add(request_id)
        if len(self._refused_ids) >= MAX_REFUSED_IDS:
            self.usable = False

    @property
    def alive(self) -> bool:
        """Whether an idle connection can be used: it is open and has no unread bytes.

        A server may close an idle connection at any time, and late bytes may arrive after an
        exchange has ended. A request on a closed connection would be lost although another
        connection could have carried it, and late bytes would be read as the response to the next
        request. Polling the socket before each use detects both.
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
        """Send a request and wait for its complete response.

        A cancelled exchange leaves the connection unusable, because bytes of its response may still
        arrive and must not be read as the response to a later request.

        Args:
            method: The HTTP method.
            target: Path and query string.
            body: The request's body, in JSON, or empty.
            headers: Further header fields.
            max_body: Size limit of the response's body, in bytes.

        Returns:
            The response.

        Raises:
            HttpExchangeError: If the connection failed or the server sent no valid response.
        """
        self._begin_exchange()
        data = self._request_bytes(method, target, body, headers)
        return await self._send_and_read(data, max_body)

    async def forward(
        self,
        method: str,
        target: str,
        fields: HeaderFields,
        body: bytes = b"",
        is_matching: Callable[[HttpReply], bool] = lambda _: True,
        before_read: BeforeRead | None = None,
    ) -> HttpReply:
        """Send a request with exactly these header fields and wait for its complete response.

        A server may answer a long request before it has read all of it. The response is returned at
        once and the connection becomes unusable: some servers would read the next bytes as the rest
        of the old body, others as the head of a new request.

        Args:
            method: The HTTP method.
            target: Path and query string.
            fields: All header fields except the length of the body.
            body: The complete body.
            is_matching: Returns whether a response belongs to this request. A faulty server may
                repeat the response to an earlier request before it sends the matching one. The
                matching one is awaited, because a non-idempotent request can't be sent again.
            before_read: Awaited when the first bytes of the response have arrived, before they are
                read; not for a long body.

        Returns:
            The matching response, or the last response if none matched.

        Raises:
            HttpExchangeError: If the connection failed or the server sent no valid response.
        """
        head = forwarded_head(method, target, fields, body)
        self._begin_exchange()
        data = self._forward_bytes(head, body)
        if len(body) <= MAX_SEQUENTIAL_SEND_BYTES:
            reply = await self._send_and_read(data, MAX_REPLY_BODY_BYTES, before_read=before_read)
        else:
            reply = await self._send_while_reading(data)
        for _ in range(MAX_STALE_REPLIES):
            if is_matching(reply):
                break
            has_buffered_bytes = self._prepare_next_reply(head, body)
            reply = await self._send_and_read(b"", MAX_REPLY_BODY_BYTES, has_buffered_bytes)
        return reply

    def _prepare_next_reply(self, head: h11.Request, body: bytes) -> bool:
        """Reset the protocol state as if the request had just been sent, to read another response.

        Returns:
            Whether bytes that follow the previous response have already been received.
        """
        buffered, _ = self._http.trailing_data
        self.usable = False
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_REPLY_HEAD_BYTES)
        self._forward_bytes(head, body)
        if buffered:
            self._http.receive_data(buffered)
        return bool(buffered)

    async def _send_while_reading(self, data: bytes) -> HttpReply:
        status = _SendStatus()
        result: HttpReply | HttpExchangeError
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_concurrently, data, status)
            try:
                result = await self._send_and_read(b"", MAX_REPLY_BODY_BYTES)
            except HttpExchangeError as exc:
                result = exc
            nursery.cancel_scope.cancel()
        if not status.is_complete:
            self.usable = False
        if isinstance(result, HttpExchangeError):
            raise result
        return result

    async def _send_concurrently(self, data: bytes, status: _SendStatus) -> None:
        try:
            await self._socket.send_all(data)
            status.is_complete = True
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The task that reads from the connection gets the same error and reports it.
            return

    def _begin_exchange(self) -> None:
        if not self.usable:
            message = "connection is no longer usable"
            raise HttpExchangeError(message, ExchangeFault.NOT_SENT)
        self.usable = False
        self.used = True

    async def _send_and_read(
        self,
        data: bytes,
        max_body: int,
        has_buffered_bytes: bool = False,
        before_read: BeforeRead | None = None,
    ) -> HttpReply:
        try:
            await self._socket.send_all(data)
            reply = await self._read_reply(max_body, has_buffered_bytes, before_read)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            fault = self._close_fault or ExchangeFault.LOST
            self.closed_by_peer = self._close_fault is None
            raise HttpExchangeError(f"connection failed: {exc}", fault) from exc
        except h11.RemoteProtocolError as exc:
            raise HttpExchangeError(
                f"invalid HTTP response: {exc}", self._protocol_fault()
            ) from exc
        self._prepare_reuse()
        return reply

    def _protocol_fault(self) -> ExchangeFault:
        # h11 raises the same error for a truncated response, which is a lost connection, and for an
        # invalid one. Only after a truncated response has the end of the stream been reached.
        return ExchangeFault.LOST if self._http.trailing_data[1] else ExchangeFault.GARBAGE

    def _request_bytes(
        self, method: str, target: str, body: bytes, headers: Sequence[tuple[str, str]]
    ) -> bytes:
        if headers:
            head = request_head(method, target, self._host, len(body), headers)
        else:
            head = cached_head(method, target, self._host, len(body))
        return self._forward_bytes(head, body)

    def _forward_bytes(self, head: h11.Request, body: bytes) -> bytes:
        send = self._http.send
        self._awaits_body = head.method != b"HEAD"
        data = send(head) or b""
        if body:
            data += send(h11.Data(data=body)) or b""
        return data + (send(END_OF_MESSAGE) or b"")

    async def _read_reply(
        self, max_body: int, has_buffered_bytes: bool, before_read: BeforeRead | None
    ) -> HttpReply:
        limits = ReplyLimits(max_body, self._awaits_body)
        try:
            if not has_buffered_bytes:
                await self._receive(limits, before_read)
            head = await self._read_head(limits)
            body = await self._read_body(limits)
        finally:
            self._unfinished.remove(self)
        # h11's header sequence computes its items on each iteration, so it is copied to a list.
        return HttpReply(head.status_code, list(head.headers), bytes(body))

    async def _read_head(self, limits: ReplyLimits) -> h11.Response:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                check_begin(self._http.trailing_data[0])
                await self._receive(limits)
            elif isinstance(event, h11.Response):
                limits.on_head(event)
                return event
            elif isinstance(event, h11.InformationalResponse):
                limits.on_informational()
            else:
                raise _incomplete()

    async def _read_body(self, limits: ReplyLimits) -> bytearray:
        body = bytearray()
        event_count = 0
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                await self._unfinished.wait_for_room(self)
                await self._receive(limits)
                event_count = 0
            elif isinstance(event, h11.Data):
                limits.on_data(event)
                body += event.data
                self._unfinished.add(self, len(event.data))
                event_count += 1
                if event_count % MAX_EVENTS_PER_TURN == 0:
                    await trio.lowlevel.checkpoint()
                self._check_open()
            elif isinstance(event, h11.EndOfMessage):
                return body
            else:
                raise _incomplete()

    def _check_open(self) -> None:
        if self._is_closed:
            raise trio.ClosedResourceError("connection was closed while its response was read")

    async def _receive(self, limits: ReplyLimits, before_read: BeforeRead | None = None) -> None:
        data = await self._socket.receive(before_read)
        self.last_progress_at = trio.current_time() * SECOND
        self.closed_by_peer = not data
        limits.on_bytes(len(data))
        self._http.receive_data(data)

    def _prepare_reuse(self) -> None:
        """Make the connection usable again if the exchange has ended without surplus bytes."""
        if self._http.trailing_data[0]:
            # Bytes after a complete response belong to no request. On a reused connection they
            # would be read as the next response, and a caller would get the data of another.
            return
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self.usable = True

    def close(self, fault: ExchangeFault | None = None) -> None:
        """Close the connection at once; an exchange in progress on it fails.

        Args:
            fault: The fault that the exchange in progress reports, ``lost`` by default.
        """
        self.usable = False
        self._is_closed = True
        self._close_fault = fault
        self._socket.close()

    async def aclose(self) -> None:
        """Close the connection at once."""
        self.close()
        await trio.lowlevel.checkpoint()


def _incomplete() -> HttpExchangeError:
    message = "server closed the connection before a complete response"
    return HttpExchangeError(message, ExchangeFault.LOST)
