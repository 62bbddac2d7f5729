"""What becomes of an exchange with a server: a whole response, or a fault."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple


class HttpReply(NamedTuple):
    """One whole response as a client sees it."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    """Header fields with lower-case names."""
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header field with a lower-case name, if there is one."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ExchangeFault(StrEnum):
    """How an exchange came to no whole response."""

    NOT_SENT = "not_sent"
    """No byte of the request left this host."""
    LOST = "lost"
    """The connection broke after a byte may have been sent."""
    SILENT = "silent"
    """Nothing came for too long."""
    GARBAGE = "garbage"
    """What came was no HTTP response, or one beyond all limits."""


class HttpExchangeError(Exception):
    """An exchange did not give a whole response; the connection is of no further use."""

    def __init__(self, message: str, fault: ExchangeFault) -> None:
        super().__init__(message)
        self.fault = fault

    @property
    def sent(self) -> bool:
        """Whether any byte of the request may have left this host."""
        return self.fault is not ExchangeFault.NOT_SENT
