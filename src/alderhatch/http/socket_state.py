"""What the kernel tells about a client's connection."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import sys
import termios

import trio

from ..clock import Millis

TCP_INFO_BYTES = 104
SEGMENT_OFFSET = 16
"""Offset of the greatest segment that is sent, in bytes, in the kernel's ``struct tcp_info``."""
LAST_DATA_OFFSET = 52
"""Offset of the time since the last data arrived, in milliseconds, in ``struct tcp_info``."""
RTT_OFFSET = 68
"""Offset of the smoothed round-trip time, in microseconds, in the kernel's ``struct tcp_info``."""
CLOSED = select.POLLHUP | select.POLLERR


class SocketState:
    """Answers questions about one connection, each with one system call.

    Args:
        stream: The connection, which has to stay open.
    """

    __slots__ = ("_poll", "_sock")

    def __init__(self, stream: trio.SocketStream) -> None:
        self._sock = stream.socket
        self._poll = select.poll()
        self._poll.register(self._sock.fileno(), select.POLLRDHUP)

    def client_address(self) -> str:
        """Return the client's IP address; empty if it is not available."""
        try:
            return str(self._sock.getpeername()[0])
        except (OSError, IndexError):
            # The client has closed the connection, or it is not a TCP connection, as in tests.
            return ""

    def hang_up(self) -> int:
        """Return 0 while the client's end is open, else the events that show what was closed."""
        events = self._poll.poll(0)
        return events[0][1] if events else 0

    def has_input(self) -> bool:
        """Return whether bytes, or the end of the stream, are unread."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def unacknowledged(self) -> int:
        """Return how many written bytes the client's host has not taken yet."""
        try:
            data = fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, bytes(4))
        except OSError:
            # Only a connection that has failed has no queue, and then nothing is left to take.
            return 0
        return int.from_bytes(data, sys.byteorder)

    def segment_bytes(self) -> int:
        """Return the greatest segment that is sent to the client, in bytes; 0 if unknown."""
        return self._tcp_info(SEGMENT_OFFSET)

    def data_age(self) -> Millis:
        """Return how long ago the client's last bytes arrived; 0 if unknown."""
        return float(self._tcp_info(LAST_DATA_OFFSET))

    def round_trip(self) -> Millis:
        """Return the round-trip time of the connection in milliseconds; 0 if unknown."""
        return self._tcp_info(RTT_OFFSET) / 1000.0

    def _tcp_info(self, offset: int) -> int:
        try:
            info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except (OSError, AttributeError):
            # Not a TCP socket, as in tests.
            return 0
        if len(info) < offset + 4:
            return 0
        return int(struct.unpack_from("=I", info, offset)[0])
