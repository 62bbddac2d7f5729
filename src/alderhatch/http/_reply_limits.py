"""Limits of what a server may send for one response."""

from __future__ import annotations

import h11

from .exchange import ExchangeFault, HttpExchangeError

MAX_INFORMATIONAL_REPLIES = 256
"""1xx responses accepted before the final one. Servers send them to show progress."""
MAX_FRAMING_BYTES = 65_536
"""Bytes of a response that may come beside twice the greatest body."""
MAX_SMALL_CHUNKS = 8192
"""Chunks of a body that may be smaller than ``SMALL_CHUNK_BYTES``."""
SMALL_CHUNK_BYTES = 256
"""Each chunk costs processor time, however small it is."""
STATUS_LINE_BEGIN = b"HTTP/"
BODILESS_STATUSES = (204, 304)


class ReplyLimits:
    """Checks one response as it arrives.

    Args:
        max_body: Size limit of the body, in bytes.
        has_body: Whether a response to the request's method has a body.
    """

    __slots__ = ("_chunks", "_has_body", "_informational", "_max_body", "_received", "_size")

    def __init__(self, max_body: int, has_body: bool) -> None:
        self._max_body = max_body
        self._has_body = has_body
        self._received = 0
        self._size = 0
        self._chunks = 0
        self._informational = 0

    def on_bytes(self, size: int) -> None:
        """Check the number of bytes, as extensions of chunks are no part of the body.

        Raises:
            HttpExchangeError: With the fault ``garbage``, as the other checks.
        """
        self._received += size
        max_bytes = 2 * self._max_body + MAX_FRAMING_BYTES
        if self._received > max_bytes:
            raise _garbage(f"response is larger than {max_bytes} bytes")

    def on_informational(self) -> None:
        """Check the number of 1xx responses.

        Each of them counts as progress, so without a limit a server that keeps sending them would
        prevent the exchange from ever timing out.
        """
        self._informational += 1
        if self._informational > MAX_INFORMATIONAL_REPLIES:
            raise _garbage("too many 1xx responses")

    def on_head(self, head: h11.Response) -> None:
        """Check the length that a response announces, rather than read what can't be used."""
        if not self._has_body or head.status_code in BODILESS_STATUSES:
            return
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._max_body:
                raise self._too_large()

    def on_data(self, event: h11.Data) -> None:
        """Check the size of the body and of its chunks."""
        self._size += len(event.data)
        if self._size > self._max_body:
            raise self._too_large()
        if event.chunk_start:
            self._chunks += 1
            if self._chunks > MAX_SMALL_CHUNKS + self._size // SMALL_CHUNK_BYTES:
                raise _garbage(f"response body has {self._chunks} chunks, most of them tiny")

    def _too_large(self) -> HttpExchangeError:
        return _garbage(f"response body is larger than {self._max_body} bytes")


def check_begin(received: bytes) -> None:
    """Check the begin of a head of which a part has arrived.

    Otherwise bytes that are no response would be found out only when the head exceeds its limit,
    which takes until the request's deadline if they come slowly.
    """
    if not received.startswith(STATUS_LINE_BEGIN[: len(received)]):
        raise _garbage("the bytes are no HTTP response")


def _garbage(message: str) -> HttpExchangeError:
    return HttpExchangeError(message, ExchangeFault.GARBAGE)
