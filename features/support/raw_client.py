"""A client on a plain socket, whose reads and ends a test controls."""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

import trio

LOOPBACK = "127.0.0.1"
BUFFER_BYTES = 32_768
REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


class RawAnswer(NamedTuple):
    status: int | None
    """None if no whole head came."""
    received: int
    """Bytes of the body."""
    is_whole: bool


class RawClient:
    """One connection with small buffers."""

    def __init__(self, stream):
        self.stream = stream
        self.body = b""
        self.head = b""
        self.was_reset = False
        self.has_ended = False
        """Whether the server has ended its half in order."""

    @classmethod
    async def connect(cls, port, address=LOOPBACK):
        sock = trio.socket.socket()
        # A large buffer would take most of an answer that the client doesn't read.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        await sock.connect((address, port))
        return cls(trio.SocketStream(sock))

    async def send_request(self, request=REQUEST):
        await self.stream.send_all(request)

    async def receive(self):
        """Return the next bytes; empty at the end of the stream or after a reset."""
        try:
            data = await self.stream.receive_some(BUFFER_BYTES)
        except trio.BrokenResourceError:
            self.was_reset = True
            return b""
        self.has_ended = self.has_ended or not data
        return data

    async def read_answer(self, rate=None):
        """Read one answer, so many bytes a second, or as fast as it comes."""
        buffer = b""
        while b"\r\n\r\n" not in buffer:
            data = await self.receive()
            if not data:
                return RawAnswer(None, 0, False)
            buffer += data
        self.head, _, self.body = buffer.partition(b"\r\n\r\n")
        lines = self.head.decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        length = int(fields["content-length"])
        while len(self.body) < length:
            data = await self.receive()
            if not data:
                break
            self.body += data
            if rate:
                await trio.sleep(len(data) / rate)
        return RawAnswer(int(lines[0].split()[1]), len(self.body), len(self.body) == length)

    def close(self):
        self.stream.socket.close()

    def reset(self):
        linger = struct.pack("ii", 1, 0)
        self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()
