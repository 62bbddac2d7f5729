"""Opens connections to servers and runs single exchanges."""

from __future__ import annotations

import socket
from collections.abc import Sequence

import trio

from ..clock import SECOND, Millis
from ..tcp_stream import open_tcp
from .connection import MAX_REPLY_BODY_BYTES, HttpConnection
from .exchange import ExchangeFault, HttpExchangeError, HttpReply
from .unfinished_replies import UnfinishedReplies

KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 5000
"""Time for which sent bytes may stay unacknowledged before the kernel closes the connection."""


def _enable_dead_peer_detection(stream: trio.SocketStream) -> None:
    """Let the kernel detect that the peer or the network path to it has failed."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _is_refused(exc: Exception) -> bool:
    cause = exc.__cause__
    errors = cause.exceptions if isinstance(cause, BaseExceptionGroup) else (cause,)
    return any(isinstance(error, ConnectionRefusedError) for error in errors)


async def open_http(
    address: str,
    port: int,
    timeout: Millis = 2000.0,
    unfinished: UnfinishedReplies | None = None,
) -> HttpConnection:
    """Connect to a server.

    Args:
        address: An IP address.
        port: A TCP port.
        timeout: Longest time to wait, in milliseconds.
        unfinished: Bounds the bodies that arrive on all connections that share it.

    Raises:
        HttpExchangeError: With the fault ``not_sent``, if no connection is open in time.
    """
    try:
        with trio.fail_after(timeout / SECOND):
            stream = await open_tcp(address, port)
        _enable_dead_peer_detection(stream)
    except (OSError, trio.TooSlowError) as exc:
        message = f"no connection to {address}:{port}: {exc}"
        raise HttpExchangeError(message, ExchangeFault.NOT_SENT, _is_refused(exc)) from exc
    opened_at = trio.current_time() * SECOND
    return HttpConnection(stream, f"{address}:{port}", opened_at, unfinished)


async def exchange_within(
    conn: HttpConnection,
    timeout: Millis,
    method: str,
    target: str,
    body: bytes = b"",
    headers: Sequence[tuple[str, str]] = (),
    max_body: int = MAX_REPLY_BODY_BYTES,
) -> HttpReply:
    """Run one exchange with a timeout in milliseconds.

    Raises:
        HttpExchangeError: With the fault ``silent``, if no complete response came in time; or as
            raised by ``HttpConnection.exchange``.
    """
    try:
        with trio.fail_after(timeout / SECOND):
            return await conn.exchange(method, target, body, headers, max_body)
    except trio.TooSlowError as exc:
        message = f"no complete response within {timeout} ms"
        raise HttpExchangeError(message, ExchangeFault.SILENT) from exc


async def http_once(
    address: str,
    port: int,
    method: str,
    target: str,
    body: bytes = b"",
    headers: Sequence[tuple[str, str]] = (),
    timeout: Millis = 5000.0,
) -> HttpReply:
    """Run one exchange on a new connection, which is closed afterwards.

    Raises:
        HttpExchangeError: If no complete response came in time.
    """
    conn = await open_http(address, port, timeout)
    try:
        return await exchange_within(conn, timeout, method, target, body, headers)
    finally:
        conn.close()
