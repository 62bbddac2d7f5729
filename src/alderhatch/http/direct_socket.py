"""A connected TCP socket without the steps that an exchange has no use for."""

from __future__ import annotations

import select
import socket

import trio

READ_BYTES = 65_536


class DirectSocket:
    """Sends at once and reads only once there is something to read.

    trio's own stream gives way to other tasks after each send, and tries to read before it waits.
    Whoever makes an exchange waits for the answer right after its request, and the answer is never
    there yet: the first is a switch of tasks, the second a call of the kernel, for nothing.

    Args:
        stream: The connection; it must not be used any more.
    """

    __slots__ = ("_poll", "_sock")

    def __init__(self, stream: trio.SocketStream) -> None:
        self._sock = socket.socket(fileno=stream.socket.detach())
        self._sock.setblocking(False)
        self._poll = select.poll()
        self._poll.register(self._sock, select.POLLIN)

    def is_readable(self) -> bool:
        """Return whether there are bytes to read, or the end of the stream or an error."""
        return bool(self._poll.poll(0))

    async def send_all(self, data: bytes) -> None:
        """Send bytes; gives way to other tasks only if the kernel does not take them all.

        Raises:
            trio.BrokenResourceError: If the connection broke.
            trio.ClosedResourceError: If it was closed at this end.
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

    async def receive(self) -> bytes:
        """Return the next bytes, once there are some; empty at the end of the stream.

        Raises:
            trio.BrokenResourceError: If the connection broke.
            trio.ClosedResourceError: If it was closed at this end, also while this waits.
        """
        while True:
            await trio.lowlevel.wait_readable(self._sock)
            try:
                return self._sock.recv(READ_BYTES)
            except BlockingIOError:
                continue
            except OSError as exc:
                raise self._error(exc) from exc

    def _error(self, exc: OSError) -> trio.BrokenResourceError | trio.ClosedResourceError:
        if self._sock.fileno() < 0:
            return trio.ClosedResourceError("closed at this end")
        return trio.BrokenResourceError(f"the socket broke: {exc}")

    def close(self) -> None:
        """Close the socket at once; whoever waits for it is told."""
        if self._sock.fileno() >= 0:
            # Closed without this word, a task that waits for the socket would wait for ever.
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()
