"""Reads the requests of one client."""

from __future__ import annotations

from collections.abc import Callable

import h11
import trio

from ..clock import SECOND, Millis
from ..errors import AlderhatchError, ErrorKind, Failure
from .messages import HttpLimits, HttpRequest
from .request_target import parse_target
from .serve_state import ServeState
from .socket_state import SocketState

READ_BYTES = 65_536
MAX_PIPELINED_BYTES = 65_536
"""Bytes that a client may send ahead while its request is being answered."""


class RequestReader:
    """Reads one request at a time, within the limits for clients.

    Args:
        stream: The connection.
        socket_state: The state of its socket.
        current_limits: Returns the limits for the next request.
        state: The state of the server.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        socket_state: SocketState,
        current_limits: Callable[[], HttpLimits],
        state: ServeState,
    ) -> None:
        self._stream = stream
        self._state = state
        self._current_limits = current_limits
        self.limits = current_limits()
        """The limits for the current request."""
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.head_bytes)
        self.method = b""
        """Of the current request; empty until its head has been read."""
        self._pipelined = b""
        self._count = 0
        """Requests read completely."""
        self._socket_state = socket_state
        self._round_trip = socket_state.round_trip()
        self._unread_time: Millis = 0.0

    @property
    def has_ahead(self) -> bool:
        """Whether bytes of a further request have been read."""
        return bool(self._pipelined or self.http.trailing_data[0])

    async def read(self) -> HttpRequest | None:
        """Return the next request; None if none comes.

        Raises:
            AlderhatchError: If it is invalid, too large or too slow.
        """
        self.limits = self._current_limits()
        self.method = b""
        if not await self._await_request():
            return None
        # Without this timeout, a client that sends a byte now and then would occupy its
        # connection and this task indefinitely, and many of them would exclude all others.
        with trio.move_on_after(self.limits.request_timeout / SECOND):
            return await self._read_full_request()
        raise _request_error(
            ErrorKind.TOO_SLOW, "request was not received completely within the timeout"
        )

    async def _await_request(self) -> bool:
        """Wait for the first bytes of a request; return whether there are any."""
        if self._state.refusing:
            return await self._await_crossing_request()
        with trio.move_on_after(self.limits.idle_timeout / SECOND) as scope:
            self._state.begin_idle(scope)
            try:
                return await self._await_first_bytes()
            finally:
                self._state.end_idle(scope)
        return self._state.refusing and await self._await_crossing_request()

    async def _await_crossing_request(self) -> bool:
        """Return whether a request has arrived, without waiting for one.

        A request that has arrived when the server begins to refuse is told so. A connection that
        was closed instead would leave its client in doubt.
        """
        has_input = self.has_ahead or self._socket_state.has_input()
        return has_input and await self._await_first_bytes()

    async def read_ahead(self) -> bool:
        """Keep the bytes that the client sends ahead; return whether its stream has ended."""
        while len(self._pipelined) < MAX_PIPELINED_BYTES:
            data = await self._stream.receive_some(READ_BYTES)
            if not data:
                return True
            self._pipelined += bytes(data)
        return False

    async def _await_first_bytes(self) -> bool:
        self._unread_time = 0.0
        if self.http.trailing_data[0]:
            return True
        is_unread = not self._pipelined
        data = await self._receive()
        if is_unread:
            self._unread_time = self._measure_unread_time()
        if not data:
            return False
        self.http.receive_data(data)
        return True

    async def _receive(self) -> bytes:
        """Return the next bytes of the client, those first that it has sent ahead."""
        data = self._pipelined
        if data:
            self._pipelined = b""
            return data
        return await self._stream.receive_some(READ_BYTES)

    def _measure_unread_time(self) -> Millis:
        loop_delay = self._state.loop_delay
        return 0.0 if loop_delay is None else loop_delay.unread_time(self._count == 0)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as exc:
                is_too_large = exc.error_status_hint == 431
                kind = ErrorKind.TOO_LARGE if is_too_large else ErrorKind.BAD_REQUEST
                raise _request_error(kind, f"invalid HTTP/1.1 request: {exc}") from exc
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if self.http.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[], reason=b"Continue"
                )
                await self._stream.send_all(self.http.send(continue_response) or b"")
            self.http.receive_data(await self._receive())

    async def _read_full_request(self) -> HttpRequest | None:
        head = await self._next_event()
        if isinstance(head, h11.ConnectionClosed):
            return None
        if not isinstance(head, h11.Request):
            raise _request_error(ErrorKind.BAD_REQUEST, "expected a request head")
        self.method = head.method
        if head.method == b"CONNECT":
            # A tunnel has no response that could be passed on.
            raise _request_error(ErrorKind.BAD_REQUEST, "the method CONNECT is not supported")
        # h11 limits only incomplete heads; one that arrives in a single read is not checked.
        if sum(len(name) + len(value) for name, value in head.headers) > self.limits.head_bytes:
            message = f"request head is larger than {self.limits.head_bytes} bytes"
            raise _request_error(ErrorKind.TOO_LARGE, message)
        body = await self._read_body()
        req = _to_request(head, body, self._count > 0, self._round_trip, self._unread_time)
        self._count += 1
        return req

    async def _read_body(self) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)
            if not isinstance(event, h11.Data):
                raise _request_error(
                    ErrorKind.BAD_REQUEST, "request ended before its body was complete"
                )
            size += len(event.data)
            if size > self.limits.body_bytes:
                message = f"request body is larger than {self.limits.body_bytes} bytes"
                raise _request_error(ErrorKind.TOO_LARGE, message)
            chunks.append(bytes(event.data))


def _to_request(
    head: h11.Request,
    body: bytes,
    on_used_connection: bool,
    round_trip: Millis,
    unread_time: Millis,
) -> HttpRequest:
    try:
        target = head.target.decode("ascii")
    except ValueError as exc:
        raise _request_error(ErrorKind.BAD_REQUEST, f"invalid request target: {exc}") from exc
    path, query = parse_target(target)
    headers = {name.decode("ascii"): value.decode("latin-1") for name, value in head.headers}
    return HttpRequest(
        head.method.decode("ascii"),
        path,
        query,
        headers,
        body,
        target,
        list(head.headers),
        on_used_connection,
        round_trip,
        unread_time,
    )


def _request_error(kind: ErrorKind, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(kind, message))
