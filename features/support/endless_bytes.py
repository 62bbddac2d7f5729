"""Servers whose answers have no end, at full speed or a piece at a time."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

import trio

from features.support.scripted_servers import ScriptedServer, field_of, reply_bytes

READ_BYTES = 65_536
BLOCK_BYTES = 65_536
"""How much is written at once at full speed."""
TRICKLE_INTERVAL_S = 0.004
TRICKLE_BYTES = 8
"""The size of a piece of what is no line."""
MAX_SENT_BYTES = 64 * 1024 * 1024
"""A client that takes more than this reads without end."""
NOISE = bytes(Random(7).choice(b"\x00\x01\x8f\xffaZ <") for _ in range(BLOCK_BYTES))


class EndlessKind(NamedTuple):
    """An answer without end."""

    begin: bytes
    """What comes first; ``%s`` stands for the fields that name the request."""
    piece: bytes
    """What comes again and again, until the client closes the connection."""


HEAD = b"HTTP/1.1 200 OK\r\n%s"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FILLER = b"X-Filler: more\r\n"
KINDS = {
    "a status line": EndlessKind(b"HTTP/1.1 200 ", b"a" * TRICKLE_BYTES),
    "a header line": EndlessKind(HEAD + b"X-Filler: ", b"a" * TRICKLE_BYTES),
    "header lines": EndlessKind(HEAD, FILLER),
    "1xx answers": EndlessKind(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "1xx answers with fields": EndlessKind(
        b"", b"HTTP/1.1 102 Processing\r\n" + 500 * FILLER + b"\r\n"
    ),
    "a body of 1 TB": EndlessKind(
        HEAD + b"Content-Length: 1000000000000\r\n\r\n", b"a" * TRICKLE_BYTES
    ),
    "a body to the close": EndlessKind(HEAD + b"\r\n", b"a" * TRICKLE_BYTES),
    "chunks": EndlessKind(CHUNKED, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
    "tiny chunks": EndlessKind(CHUNKED, b"1\r\na\r\n"),
    "a chunk of 1 TB": EndlessKind(CHUNKED + b"ffffffffff\r\n", b"a" * TRICKLE_BYTES),
    "a chunk-size line": EndlessKind(CHUNKED, b"0" * TRICKLE_BYTES),
    "a chunk extension": EndlessKind(CHUNKED + b"1;a=", b"a" * TRICKLE_BYTES),
    "chunk extensions": EndlessKind(CHUNKED, b"1;a=" + b"a" * 8000 + b"\r\na\r\n"),
    "trailers": EndlessKind(CHUNKED + b"0\r\n", FILLER),
    "a trailer": EndlessKind(CHUNKED + b"0\r\nX-Filler: ", b"a" * TRICKLE_BYTES),
    "noise": EndlessKind(b"", NOISE),
    "empty lines": EndlessKind(b"", b"\r\n"),
}
IDENTITY = b"Attempt-Id: %s\r\nServer-Seal: seal\r\n"


class EndlessStream:
    """What one connection was sent, and when its client closed it."""

    def __init__(self, stream, max_sent=MAX_SENT_BYTES):
        self._stream = stream
        self._max_sent = max_sent
        self.sent = 0
        self.closed = trio.Event()

    async def send(self, kind, is_fast, request_id=""):
        """Send an answer of a kind until the client closes the connection."""
        begin = kind.begin.replace(b"%s", IDENTITY % request_id.encode("latin-1"))
        piece = kind.piece
        if is_fast:
            piece *= -(-BLOCK_BYTES // len(piece))
        elif piece is NOISE:
            piece = NOISE[:TRICKLE_BYTES]
        try:
            if begin:
                await self._send(begin)
            while self.sent < self._max_sent:
                await self._send(piece)
                if not is_fast:
                    await trio.sleep(TRICKLE_INTERVAL_S)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.closed.set()

    async def _send(self, data):
        await self._stream.send_all(data)
        self.sent += len(data)


class EndlessServer(ScriptedServer):
    """A server all of whose answers are of one kind, in place of those of a script."""

    def __init__(self, server_id, upstream, kind, is_fast):
        super().__init__(server_id, upstream, None)
        self.kind = kind
        self.is_fast = is_fast
        self.streams = []
        """One ``EndlessStream`` for each request that arrived."""

    async def _handle(self, stream):
        try:
            request_id = field_of(await read_head(stream), b"attempt-id")
        except (trio.BrokenResourceError, trio.EndOfChannel):
            return
        self.arrivals.append(request_id)
        endless = EndlessStream(stream)
        self.streams.append(endless)
        await endless.send(self.kind, self.is_fast, request_id)


async def read_head(stream):
    """Return a request's head; the request has no body."""
    head = b""
    while b"\r\n\r\n" not in head:
        data = await stream.receive_some(READ_BYTES)
        if not data:
            raise trio.EndOfChannel
        head += data
    return head


def sound_script(server, request_id, sent):
    """A ``ScriptedServer``'s script that answers each request."""
    server.runs.append(request_id)
    return reply_bytes(200, request_id, b"seal-" + server.server_id.encode(), b"r" * 16)
