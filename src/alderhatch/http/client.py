"""An HTTP/1.1 client by h11 on trio sockets: one connection, one exchange at a time."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import h11
import trio

from ..clock import SECOND, Millis

READ_BYTES = 65_536
MAX_REPLY_HEAD_BYTES = 16_384
MAX_REPLY_BODY_BYTES = 16 * 1024 * 1024


class HttpReply(NamedTuple):
    """One whole response as a client sees it."""

    status: int
    headers: list[tuple[bytes, bytes]]
    """Header fields with lower-case names."""
    body: bytes


class HttpExchangeError(Exception):
    """An exchange did not give a whole response; the connection is of no further use."""

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent
        """Whether any byte of the request may have left this host."""


class HttpConnection:
    """One connection to a server. Exchanges on it must not overlap."""

    def __init__(self, stream: trio.SocketStream, host: str) -> None:
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_REPLY_HEAD_BYTES)
        self._host = host
        self.usable = True
        """False once the connection can't carry another exchange."""

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
        if not self.usable:
            raise HttpExchangeError("the connection is no longer usable", sent=False)
        self.usable = False
        data = self._request_bytes(method, target, body, headers)
        try:
            await self._stream.send_all(data)
            reply = await self._read_reply(max_body)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise HttpExchangeError(f"the connection broke: {exc}", sent=True) from exc
        except h11.RemoteProtocolError as exc:
            raise HttpExchangeError(f"not a response: {exc}", sent=True) from exc
        self._make_usable()
        return reply

    def _request_bytes(
        self, method: str, target: str, body: bytes, headers: Sequence[tuple[str, str]]
    ) -> bytes:
        fields = [("Host", self._host), ("Content-Length", str(len(body)))]
        if body:
            fields.append(("Content-Type", "application/json"))
        fields += headers
        data = self._http.send(h11.Request(method=method, target=target, headers=fields)) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    async def _read_reply(self, max_body: int) -> HttpReply:
        head: h11.Response | None = None
        chunks: list[bytes] = []
        size = 0
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._stream.receive_some(READ_BYTES))
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > max_body:
                    raise HttpExchangeError(f"a body of over {max_body} bytes", sent=True)
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                break
            elif not isinstance(event, h11.InformationalResponse):
                raise HttpExchangeError("the server closed the connection", sent=True)
        return HttpReply(head.status_code, list(head.headers), b"".join(chunks))

    def _make_usable(self) -> None:
        if self._http.trailing_data[0]:
            # Bytes after a complete answer belong to no request of ours. Kept, they would be read
            # as the answer to the next one, and a caller would get somebody else's rows.
            return
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self.usable = True

    async def aclose(self) -> None:
        """Close the connection at once."""
        self.usable = False
        await trio.aclose_forcefully(self._stream)


async def open_http(address: str, port: int, timeout: Millis = 2000.0) -> HttpConnection:
    """Connect to a server.

    Args:
        address: An IP address.
        port: A TCP port.
        timeout: The longest time to wait, in milliseconds.

    Raises:
        HttpExchangeError: With ``sent`` false if there is no connection in time.
    """
    try:
        with trio.fail_after(timeout / SECOND):
            stream = await trio.open_tcp_stream(address, port)
    except (OSError, trio.TooSlowError) as exc:
        raise HttpExchangeError(f"no connection to {address}:{port}: {exc}", sent=False) from exc
    return HttpConnection(stream, f"{address}:{port}")


async def http_once(
    address: str,
    port: int,
    method: str,
    target: str,
    body: bytes = b"",
    headers: Sequence[tuple[str, str]] = (),
    timeout: Millis = 5000.0,
) -> HttpReply:
    """Make one exchange on a connection of its own.

    Raises:
        HttpExchangeError: If there was no whole response in time.
    """
    conn = await open_http(address, port, timeout)
    try:
        with trio.fail_after(timeout / SECOND):
            return await conn.exchange(method, target, body, headers)
    except trio.TooSlowError as exc:
        raise HttpExchangeError(f"no answer within {timeout} ms", sent=True) from exc
    finally:
        with trio.CancelScope(shield=True):
            await conn.aclose()
