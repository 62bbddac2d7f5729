"""Decides in which order a pool opens its connections."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

MAX_AHEAD_OPENS = 16
"""A connection is opened ahead of requests only while fewer than this many are being opened."""
MAX_OPENS = 64
"""Connections being opened at the same time. Opening is mostly waiting; a request over a hundred
shards that has to open most of its connections would be late after a few rounds of sixteen."""

T = TypeVar("T", bound=Hashable)


class OpenQueue(Generic[T]):
    """The servers to which a connection is to be opened; those that requests wait for come first.

    After a restart a host opens a connection to each of hundreds of servers, and its first requests
    arrive at the same moment. In order of arrival, the connections that a request waits for would
    come after all others, and all requests of the first half second would be late.
    """

    def __init__(self) -> None:
        self._awaited: OrderedDict[T, None] = OrderedDict()
        self._ahead: OrderedDict[T, None] = OrderedDict()
        self._running = 0

    def add(self, server: T, is_awaited: bool) -> None:
        """Add a server, or move it forward if requests wait for it by now.

        Args:
            server: The server; it is queued at most once.
            is_awaited: Whether a request waits for the connection.
        """
        if is_awaited:
            self._ahead.pop(server, None)
            self._awaited[server] = None
        elif server not in self._awaited:
            self._ahead[server] = None

    def take(self) -> T | None:
        """Return the server whose connection is opened next, or None if none may be opened now."""
        if self._awaited and self._running < MAX_OPENS:
            return self._awaited.popitem(last=False)[0]
        if self._ahead and not self._awaited and self._running < MAX_AHEAD_OPENS:
            return self._ahead.popitem(last=False)[0]
        return None

    def begin(self) -> None:
        """Count a connection that is being opened."""
        self._running += 1

    def end(self) -> None:
        """Count a connection as opened or failed."""
        self._running -= 1
