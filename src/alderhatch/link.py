"""Authenticated links between alderhatch processes: CBOR messages over WebSocket.

Each end proves that it holds the shared secret with an HMAC over two fresh nonces, so that a
recorded handshake can't be replayed. The secret itself is never sent.
"""

from __future__ import annotations

import hmac
import os
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import trio
from websockets.exceptions import ConnectionClosed, InvalidHandshake
from websockets.trio.client import ClientConnection, connect
from websockets.trio.server import ServerConnection, serve

from .clock import SECOND, Millis
from .codec import MAX_MESSAGE_BYTES, Codec
from .errors import AlderhatchError, ErrorKind, Failure
from .log import log_event
from .log_events import LogEvent
from .task_faults import TaskKind, record_task_fault
from .tcp_stream import open_tcp

NONCE_BYTES = 16
OPEN_TIMEOUT: Millis = 2 * SECOND
CLOSE_TIMEOUT: Millis = 1 * SECOND
"""How long the end of a link waits for the peer to agree."""
NO_ROLES: Mapping[str, str] = {}


class Peer(NamedTuple):
    """Name and role of one end of a link, authenticated with the shared secret."""

    name: str
    """Name of the process from its settings."""
    role: str
    """``entry``, ``control`` or another role of the protocol."""


class _Challenge(NamedTuple):
    nonce: bytes


class _Proof(NamedTuple):
    name: str
    role: str
    nonce: bytes
    mac: bytes


class _Welcome(NamedTuple):
    name: str
    role: str
    mac: bytes


_HANDSHAKE = Codec(_Challenge, _Proof, _Welcome)


class LinkClosedError(Exception):
    """The link is closed; the last messages may not have been delivered."""


CLOSE_ERRORS = (
    LinkClosedError,
    ConnectionClosed,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class Link:
    """An open, authenticated link that transfers messages in order."""

    def __init__(self, conn: ClientConnection | ServerConnection, codec: Codec, peer: Peer) -> None:
        self._conn = conn
        self._codec = codec
        self.peer = peer
        """The other end of the link."""
        self.sent_bytes = 0
        """Payload bytes sent so far."""
        self.received_bytes = 0
        """Payload bytes received so far."""

    async def send(self, message: tuple[Any, ...]) -> None:
        """Send one message.

        Raises:
            LinkClosedError: If the link is closed.
        """
        await self.send_encoded(self.encode(message))

    def encode(self, message: tuple[Any, ...]) -> bytes:
        """Encode a message that is to be sent over several links of the same protocol."""
        return self._codec.encode(message)

    async def send_encoded(self, data: bytes) -> None:
        """Send an encoded message.

        Raises:
            LinkClosedError: If the link is closed.
        """
        try:
            await self._conn.send(data)
        except (ConnectionClosed, trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise LinkClosedError(str(exc)) from exc
        self.sent_bytes += len(data)

    async def receive(self) -> Any:
        """Wait for the next message.

        Raises:
            LinkClosedError: If the link is closed, or the peer sent an invalid message.
        """
        try:
            data = await self._conn.recv()
        except (ConnectionClosed, trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise LinkClosedError(str(exc)) from exc
        raw = data.encode() if isinstance(data, str) else bytes(data)
        self.received_bytes += len(raw)
        try:
            return self._codec.decode(raw)
        except AlderhatchError as exc:
            field = exc.failure.field
            log_event(LogEvent.LINK_MESSAGE_REFUSED, peer=self.peer.name, why=str(exc), field=field)
            await self.aclose()
            raise LinkClosedError(str(exc)) from exc

    async def aclose(self) -> None:
        """Close the link; further calls have no effect."""
        with trio.move_on_after(CLOSE_TIMEOUT / SECOND):
            await self._conn.aclose()

    async def abort(self) -> None:
        """Close the link without telling the peer, which no longer responds.

        ``aclose`` waits up to ``CLOSE_TIMEOUT`` for the peer to agree, and so does the end of
        ``open_link``.
        """
        await trio.aclose_forcefully(self._conn.stream)


def _mac(secret: bytes, label: bytes, *parts: bytes) -> bytes:
    text = label + b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.digest(secret, text, "sha256")


async def _receive_handshake(conn: ClientConnection | ServerConnection) -> Any:
    data = await conn.recv()
    return _HANDSHAKE.decode(data.encode() if isinstance(data, str) else bytes(data))


async def _authenticate_client(
    conn: ServerConnection, secret: bytes, local_peer: Peer, roles: Mapping[str, str]
) -> Peer | None:
    nonce = os.urandom(NONCE_BYTES)
    await conn.send(_HANDSHAKE.encode(_Challenge(nonce)))
    proof = await _receive_handshake(conn)
    if not isinstance(proof, _Proof):
        return None
    parts = (nonce, proof.nonce, proof.name.encode(), proof.role.encode())
    if not hmac.compare_digest(proof.mac, _mac(secret, b"client", *parts)):
        return None
    role = roles.get(proof.role, local_peer.role)
    mac = _mac(secret, b"server", *parts, local_peer.name.encode(), role.encode())
    await conn.send(_HANDSHAKE.encode(_Welcome(local_peer.name, role, mac)))
    return Peer(proof.name, proof.role)


async def serve_links(
    listeners: list[trio.SocketListener],
    codec: Codec,
    secret: bytes,
    local_peer: Peer,
    handler: Callable[[Link], Awaitable[None]],
    max_links: int = 1024,
    roles: Mapping[str, str] = NO_ROLES,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept links until cancelled and call the handler for each of them.

    Args:
        listeners: Open listening sockets; the kernel may have chosen their ports.
        codec: Codec of the protocol.
        secret: Shared secret of both ends.
        local_peer: Name and role of this end.
        handler: Runs until the link is no longer used; ``LinkClosedError`` ends it without a log
            event.
        max_links: Maximum number of open links; further ones are refused, so that a faulty peer
            that keeps opening links can't exhaust the memory of this process.
        roles: This end's role on links of peers with certain roles, if it isn't that of
            ``local_peer``.
        task_status: Started when links are accepted.
    """
    open_links = 0

    async def on_connection(conn: ServerConnection) -> None:
        nonlocal open_links
        if open_links >= max_links:
            await conn.aclose()
            return
        open_links += 1
        try:
            await _serve_one(conn, codec, secret, local_peer, roles, handler)
        finally:
            open_links -= 1

    async with trio.open_nursery() as nursery:
        await nursery.start(
            lambda task_status: serve(
                on_connection,
                listeners=listeners,
                compression=None,
                max_size=MAX_MESSAGE_BYTES,
                open_timeout=OPEN_TIMEOUT / SECOND,
                ping_interval=None,
                close_timeout=CLOSE_TIMEOUT / SECOND,
                server_header=None,
                task_status=task_status,
            )
        )
        task_status.started()


async def _serve_one(
    conn: ServerConnection,
    codec: Codec,
    secret: bytes,
    local_peer: Peer,
    roles: Mapping[str, str],
    handler: Callable[[Link], Awaitable[None]],
) -> None:
    try:
        peer: Peer | None = None
        with trio.move_on_after(OPEN_TIMEOUT / SECOND):
            peer = await _authenticate_client(conn, secret, local_peer, roles)
        if peer is None:
            log_event(LogEvent.LINK_REFUSED, remote=str(conn.remote_address))
            return
        await handler(Link(conn, codec, peer))
    except AlderhatchError as exc:
        log_event(LogEvent.LINK_REFUSED, remote=str(conn.remote_address), why=str(exc))
    except Exception as exc:
        if not _is_close(exc):
            # Uncaught, websockets would close the link as well, but this process's log and metrics
            # would lack the error.
            record_task_fault(TaskKind.LINK, exc)


def _is_close(exc: Exception) -> bool:
    """Return whether an error says nothing but that the link has closed."""
    if isinstance(exc, ExceptionGroup):
        # Nurseries raise groups.
        return exc.split(CLOSE_ERRORS)[1] is None
    return isinstance(exc, CLOSE_ERRORS)


@asynccontextmanager
async def open_link(
    host: str,
    port: int,
    codec: Codec,
    secret: bytes,
    local_peer: Peer,
    connect_timeout: Millis = OPEN_TIMEOUT,
) -> AsyncIterator[Link]:
    """Open a link to another alderhatch process for the duration of an ``async with`` block.

    Args:
        host: An IP address.
        port: A TCP port.
        codec: Codec of the protocol.
        secret: Shared secret of both ends.
        local_peer: Name and role of this end.
        connect_timeout: How long the connection may take to open. The kernel of a host that runs
            accepts it at once, also while the process is busy.

    Yields:
        The open link.

    Raises:
        LinkClosedError: If the peer can't be reached in time or lacks the shared secret.
    """
    address = f"{host}:{port}"
    opened = False
    try:
        with trio.fail_after(connect_timeout / SECOND):
            stream = await open_tcp(host, port)
        async with connect(
            f"ws://{address}/",
            stream=stream,
            compression=None,
            user_agent_header=None,
            proxy=None,
            open_timeout=OPEN_TIMEOUT / SECOND,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT / SECOND,
            max_size=MAX_MESSAGE_BYTES,
        ) as conn:
            with trio.fail_after(OPEN_TIMEOUT / SECOND):
                peer = await _authenticate_to_server(conn, secret, local_peer)
            opened = True
            yield Link(conn, codec, peer)
    except _HANDSHAKE_ERRORS as exc:
        if opened:
            raise
        raise LinkClosedError(f"{address}: {exc}") from exc


_HANDSHAKE_ERRORS = (
    OSError,
    ConnectionClosed,
    InvalidHandshake,
    AlderhatchError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    # The peer answered with a redirect, which can't be followed on an open connection.
    ValueError,
)


async def _authenticate_to_server(conn: ClientConnection, secret: bytes, local_peer: Peer) -> Peer:
    challenge = await _receive_handshake(conn)
    if not isinstance(challenge, _Challenge):
        raise _unauthorized("expected a challenge from the peer")
    nonce = os.urandom(NONCE_BYTES)
    parts = (challenge.nonce, nonce, local_peer.name.encode(), local_peer.role.encode())
    await conn.send(
        _HANDSHAKE.encode(
            _Proof(local_peer.name, local_peer.role, nonce, _mac(secret, b"client", *parts))
        )
    )
    welcome = await _receive_handshake(conn)
    if not isinstance(welcome, _Welcome):
        raise _unauthorized("expected a welcome from the peer")
    mac = _mac(secret, b"server", *parts, welcome.name.encode(), welcome.role.encode())
    if not hmac.compare_digest(welcome.mac, mac):
        raise _unauthorized("the peer does not hold the shared secret")
    return Peer(welcome.name, welcome.role)


def _unauthorized(message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.UNAUTHORIZED, message))
