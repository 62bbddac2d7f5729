"""The connections to one server, never more than this entry's share."""

from __future__ import annotations

from collections import deque

import trio

from ..clock import SECOND, Millis
from ..core.shard_map import Server
from ..http.connection import HttpConnection
from ..http.exchange import ExchangeFault, HttpExchangeError

CLOSE_LINGER: Millis = 100.0
"""How long a closed connection still counts, as the server may not have seen the close yet."""
REJECTION_WINDOW: Millis = 500.0
"""An unused connection that the server closes within this time was rejected because the server is
at its limit; idle connections are closed later."""
MIN_BACKOFF: Millis = 50.0
MAX_BACKOFF: Millis = 5000.0
MIN_UNKNOWN_BACKOFF: Millis = 200.0
MAX_UNKNOWN_BACKOFF: Millis = 60 * SECOND
"""The same for connections that are opened ahead of requests to a server which has never accepted
one. The list may name thousands of addresses at which there is no server."""


class Waiter:
    """A task that waits for a connection."""

    __slots__ = ("conn", "error", "ready")

    def __init__(self) -> None:
        self.ready = trio.Event()
        self.conn: HttpConnection | None = None
        self.error: HttpExchangeError | None = None


class ServerConnections:
    """Counts and hands out the connections to one server; the pool opens them.

    Args:
        upstream: The name of the upstream that the server belongs to.
        server: The server.
        share: The maximum number of connections of this entry to it.
        keeps_spare: Whether a connection is opened ahead of demand while all others are busy.
    """

    def __init__(self, upstream: str, server: Server, share: int, keeps_spare: bool = True) -> None:
        self.upstream = upstream
        self.server = server
        self.share = share
        self.keeps_spare = keeps_spare
        self.idle: deque[HttpConnection] = deque()
        """Idle connections, the most recently used at the right."""
        self.busy: set[HttpConnection] = set()
        self.opening = False
        self.waiting: deque[Waiter] = deque()
        self.retired_at: Millis | None = None
        """When the server left the shard map; None while it is part of it."""
        self._closed_at: deque[Millis] = deque()
        self._backoff: Millis = 0.0
        self._retry_at: Millis = 0.0
        self._unknown_backoff: Millis = 0.0
        self._has_accepted = False
        """Whether the server has ever accepted a connection."""
        self.ahead_at: Millis = 0.0
        """When a connection may be opened ahead of requests."""
        self.awaits_retry = False
        """Whether the pool will look at it again because of that."""
        self.silent_count = 0
        """The number of connections closed so far because they made no progress."""

    def counted_connections(self, now: Millis) -> int:
        """Return the number of connections that the server may count for this entry."""
        # Until the server has seen a connection close, it counts it together with a replacement. A
        # replacement opened at once could exceed the server's limit and be rejected.
        while self._closed_at and self._closed_at[0] + CLOSE_LINGER <= now:
            self._closed_at.popleft()
        return len(self.idle) + len(self.busy) + self.opening + len(self._closed_at)

    def acquire_idle(self, now: Millis) -> HttpConnection | None:
        """Return the most recently used live idle connection, or None."""
        while self.idle:
            conn = self.idle.pop()
            if conn.alive:
                self.busy.add(conn)
                conn.last_progress_at = now
                return conn
            self.drop(conn, now)
        return None

    def acquire_oldest_idle(self, now: Millis) -> HttpConnection | None:
        """Return the live connection that was idle for longest, or None."""
        self.idle.rotate(-1)
        return self.acquire_idle(now)

    def put(self, conn: HttpConnection, now: Millis) -> None:
        """Hand a usable connection to the first waiter, or keep it as idle."""
        if conn.used:
            self._backoff = 0.0
        self.busy.discard(conn)
        if len(self.idle) + len(self.busy) + self.opening >= self.share:
            self.drop(conn, now)
            return
        while self.waiting:
            waiter = self.waiting.popleft()
            self.busy.add(conn)
            conn.last_progress_at = now
            waiter.conn = conn
            waiter.ready.set()
            return
        self.idle.append(conn)

    def drop(self, conn: HttpConnection, now: Millis, fault: ExchangeFault | None = None) -> None:
        """Close a connection; unless the server closed it, it counts for ``CLOSE_LINGER`` more."""
        self.busy.discard(conn)
        conn.close(fault)
        if not conn.closed_by_peer:
            self._closed_at.append(now)
        elif not conn.used and now - conn.opened_at < REJECTION_WINDOW:
            # A server at its limit closes each new connection at once. Reopening without a pause
            # would keep it busy with connection attempts.
            self._increase_backoff(now)

    def trim_to_share(self, now: Millis) -> None:
        """Close idle connections beyond the share."""
        while self.idle and len(self.idle) + len(self.busy) + self.opening > self.share:
            self.drop(self.idle.popleft(), now)
        if self.share == 0:
            # The waiters would wait for connections that this entry may no longer open.
            message = f"connections to {self.server.server_id} are no longer allowed"
            self._fail_waiting(HttpExchangeError(message, ExchangeFault.NOT_SENT))

    def should_open(self, now: Millis) -> bool:
        """Return whether another connection should be opened now."""
        # Connections are opened one at a time. Each costs the server some milliseconds of its few
        # slots, and a burst at a server that just restarted would delay all its requests.
        if self.opening or self.retired_at is not None or now < self._retry_at:
            return False
        if not self.waiting and now < self.ahead_at:
            return False
        wanted = bool(self.waiting) or (not self.idle and (self.keeps_spare or not self.busy))
        return wanted and self.counted_connections(now) < self.share

    @property
    def retries_ahead(self) -> bool:
        """Whether all connections so far have failed, of one or more."""
        return self._unknown_backoff > 0.0

    def unused_count(self) -> int:
        """Return how many idle connections have carried no request, or are being opened."""
        return self.opening + sum(1 for conn in self.idle if not conn.used)

    def record_open(self) -> None:
        """Record that the server has accepted a connection."""
        self._unknown_backoff = 0.0
        self.ahead_at = 0.0
        self._has_accepted = True

    def record_open_failure(self, error: HttpExchangeError, now: Millis) -> None:
        """Record a failed connection attempt; without busy connections, all waiters fail too."""
        self._increase_backoff(now)
        if not self._has_accepted:
            doubled = max(MIN_UNKNOWN_BACKOFF, 2 * self._unknown_backoff)
            self._unknown_backoff = min(MAX_UNKNOWN_BACKOFF, doubled)
            self.ahead_at = now + self._unknown_backoff
        if not self.busy:
            self._fail_waiting(error)

    def _increase_backoff(self, now: Millis) -> None:
        self._backoff = min(MAX_BACKOFF, max(MIN_BACKOFF, 2 * self._backoff))
        self._retry_at = now + self._backoff

    def _fail_waiting(self, error: HttpExchangeError) -> None:
        while self.waiting:
            waiter = self.waiting.popleft()
            waiter.error = error
            waiter.ready.set()

    def retire(self, now: Millis) -> None:
        """Close idle connections and fail the waiters, as another server has taken this ID."""
        self.share = 0
        self.close_all(now)
        message = f"the address or data of {self.server.server_id} changed in the shard map"
        self._fail_waiting(HttpExchangeError(message, ExchangeFault.NOT_SENT))

    def is_unreachable(self, now: Millis) -> bool:
        """Return whether there is no connection and none may be opened before the backoff ends."""
        return now < self._retry_at and not self.idle and not self.busy

    def drop_silent(self, before: Millis, now: Millis) -> None:
        """Close the busy connections without progress since a point in time."""
        for conn in [conn for conn in self.busy if conn.last_progress_at < before]:
            # A device in between may have lost the state of this connection while new ones work. So
            # only the connection is closed; the core decides from other observations whether the
            # server has failed.
            self.silent_count += 1
            self.drop(conn, now, ExchangeFault.SILENT)

    def drop_closed(self, now: Millis) -> None:
        """Drop idle connections that the server has closed."""
        for conn in [conn for conn in self.idle if not conn.alive]:
            self.idle.remove(conn)
            self.drop(conn, now)

    def drop_surplus(self, before: Millis, now: Millis) -> None:
        """Close idle connections unused since a point in time, except the last used one."""
        while len(self.idle) > 1 and self.idle[0].last_progress_at < before:
            self.drop(self.idle.popleft(), now)

    def drop_old(self, before: Millis, now: Millis) -> None:
        """Close at most one idle connection that was opened before a point in time."""
        for conn in self.idle:
            if conn.opened_at < before:
                self.idle.remove(conn)
                self.drop(conn, now)
                return

    def close_all(self, now: Millis) -> None:
        """Close every idle connection."""
        while self.idle:
            self.drop(self.idle.pop(), now)
