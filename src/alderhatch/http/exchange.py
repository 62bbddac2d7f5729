"""Results of an HTTP exchange with a server: a complete response or a fault."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple


class HttpReply(NamedTuple):
    """A complete response as a client receives it."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    """Header fields with lower-case names."""
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header field with this lower-case name, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ExchangeFault(StrEnum):
    """Why an exchange ended without a complete response."""

    NOT_SENT = "not_sent"
    """No byte of the request left this host."""
    LOST = "lost"
    """The connection failed after a byte may have been sent."""
    SILENT = "silent"
    """No data arrived within the timeout."""
    GARBAGE = "garbage"
    """The server sent no valid HTTP response, or one that exceeds a limit."""


class HttpExchangeError(Exception):
    """An exchange ended without a complete response; its connection can't be used again."""

    def __init__(self, message: str, fault: ExchangeFault, refused: bool = False) -> None:
        super().__init__(message)
        self.fault = fault
        self.refused = refused
        """Whether the server's host refused the connection, as no process listens there."""

    @property
    def sent(self) -> bool:
        """Whether any byte of the request may have left this host."""
        return self.fault is not ExchangeFault.NOT_SENT
