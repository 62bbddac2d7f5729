"""A TCP socket with less overhead per exchange than a trio stream."""

from __future__ import annotations

import select
import socket
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import trio

READ_BYTES = 65_536

BeforeRead: TypeAlias = Callable[[], Awaitable[None]]


class DirectSocket:
    """Sends without a checkpoint and waits for data before it reads.

    A trio stream runs a checkpoint after each send and tries to read before it waits. In an HTTP
    exchange the client reads right after it has sent its request, when the response has never
    arrived yet, so the one costs a needless task switch and the other a needless system call.

    Args:
        stream: The connection, whose socket this object takes over. The stream must not be used
            afterwards.
    """

    __slots__ = ("_poll", "_sock")

    def __init__(self, stream: trio.SocketStream) -> None:
        self._sock = socket.socket(fileno=stream.socket.detach())
        self._sock.setblocking(False)
        self._poll = select.poll()
        self._poll.register(self._sock, select.POLLIN)

    def is_readable(self) -> bool:
        """Return whether data, the end of the stream or an error is pending."""
        return bool(self._poll.poll(0))

    async def send_all(self, data: bytes) -> None:
        """Send all bytes; a checkpoint runs only if the kernel does not accept all of them at once.

        Raises:
            trio.BrokenResourceError: If the connection failed.
            trio.ClosedResourceError: If this end closed the connection.
        """
        sent = self._send(data)
        while sent < len(data):
            await trio.lowlevel.wait_writable(self._sock)
            sent += self._send(data[sent:])

    def _send(self, data: bytes) -> int:
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as exc:
            raise self._error(exc) from exc

    async def receive(self, before_read: BeforeRead | None = None) -> bytes:
        """Wait for data and return it; empty at the end of the stream.

        Args:
            before_read: Awaited between the arrival of the data and its reading.

        Raises:
            trio.BrokenResourceError: If the connection failed.
            trio.ClosedResourceError: If this end closed the connection, before or during the wait.
        """
        while True:
            await trio.lowlevel.wait_readable(self._sock)
            if before_read is not None:
                await before_read()
            try:
                return self._sock.recv(READ_BYTES)
            except BlockingIOError:
                continue
            except OSError as exc:
                raise self._error(exc) from exc

    def _error(self, exc: OSError) -> trio.BrokenResourceError | trio.ClosedResourceError:
        if self._sock.fileno() < 0:
            return trio.ClosedResourceError("socket was closed locally")
        return trio.BrokenResourceError(f"socket error: {exc}")

    def close(self) -> None:
        """Close the socket at once and wake the tasks that wait for it."""
        if self._sock.fileno() >= 0:
            # Without this call a task that waits for the socket would never wake up.
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()
