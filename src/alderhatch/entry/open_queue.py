"""Decides in which order a pool opens its connections."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

MAX_OPENS = 16
"""Most connections that are being opened at the same time, so that the loop stays free."""
AWAITED_OPENS = 8
"""Further ones for connections that requests wait for: the others may all be to addresses that do
not respond, and take seconds to fail."""
MAX_OPENS_AT_START = 64
"""The same for connections that requests wait for, on a host that has just started. Opening is
mostly waiting; sixteen at a time, the connections of a first request over a hundred shards would be
ready too late."""

T = TypeVar("T", bound=Hashable)


class OpenQueue(Generic[T]):
    """The servers to which a connection is to be opened; those that requests wait for come first.

    After a restart a host opens a connection to each of hundreds of servers, and its first requests
    arrive at the same moment. In order of arrival, the connections that a request waits for would
    come after all others, and all requests of the first half second would be late.
    """

    def __init__(self) -> None:
        self.is_starting = False
        """Whether the host has just started."""
        self._awaited: OrderedDict[T, None] = OrderedDict()
        """Servers to which requests wait for a connection."""
        self._unawaited: OrderedDict[T, None] = OrderedDict()
        """Servers whose connections are opened ahead of requests."""
        self._opening = 0

    def add(self, server: T, is_awaited: bool) -> None:
        """Add a server, or move it forward if requests wait for it by now.

        Args:
            server: The server; it is queued at most once.
            is_awaited: Whether a request waits for the connection.
        """
        if is_awaited:
            self._unawaited.pop(server, None)
            self._awaited[server] = None
        elif server not in self._awaited:
            self._unawaited[server] = None

    def take(self) -> T | None:
        """Return the server whose connection is opened next, or None if none may be opened now."""
        limit = MAX_OPENS_AT_START if self.is_starting else MAX_OPENS + AWAITED_OPENS
        if self._awaited:
            return self._awaited.popitem(last=False)[0] if self._opening < limit else None
        if self._unawaited and self._opening < MAX_OPENS:
            return self._unawaited.popitem(last=False)[0]
        return None

    def begin(self) -> None:
        """Count a connection that is being opened."""
        self._opening += 1

    def end(self) -> None:
        """Count a connection as opened or failed."""
        self._opening -= 1
