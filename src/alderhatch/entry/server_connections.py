"""The connections to one server: never more of them than this entry's share."""

from __future__ import annotations

from collections import deque

import trio

from ..clock import Millis
from ..core.shard_map import Server
from ..http.connection import HttpConnection
from ..http.exchange import ExchangeFault, HttpExchangeError

CLOSE_LINGER: Millis = 100.0
"""How long a closed connection still counts: the server may not have seen it close yet."""
TURNED_AWAY_WITHIN: Millis = 500.0
"""A server that is full closes a new connection within this time; idle ones are closed later."""
FIRST_BACKOFF: Millis = 50.0
LONGEST_BACKOFF: Millis = 5000.0


class Waiter:
    """Somebody who waits for a connection."""

    __slots__ = ("conn", "error", "ready")

    def __init__(self) -> None:
        self.ready = trio.Event()
        self.conn: HttpConnection | None = None
        self.error: HttpExchangeError | None = None


class ServerConnections:
    """Counts and hands out the connections to one server; opening them is left to its owner.

    Args:
        upstream: The name of the upstream that the server belongs to.
        server: The server.
        share: How many connections this entry may hold to it.
        spare: Whether a connection is opened ahead while all others are busy.
    """

    def __init__(self, upstream: str, server: Server, share: int, spare: bool = True) -> None:
        self.upstream = upstream
        self.server = server
        self.share = share
        self.spare = spare
        self.idle: deque[HttpConnection] = deque()
        """Idle connections, the last used at the right."""
        self.busy: set[HttpConnection] = set()
        self.opening = False
        self.waiting: deque[Waiter] = deque()
        self.retired_at: Millis | None = None
        """When the server left the newest shard map; None while it is in it."""
        self._closed_at: deque[Millis] = deque()
        self._backoff: Millis = 0.0
        self._retry_at: Millis = 0.0
        self.silent_count = 0
        """Connections that went silent so far."""

    def counted_connections(self, now: Millis) -> int:
        """Return how many connections the server may still count as this entry's."""
        # A server that has not yet seen the old connection close counts it along with its
        # successor. Opened at once, the successor would be one too many there, and be refused.
        while self._closed_at and self._closed_at[0] + CLOSE_LINGER <= now:
            self._closed_at.popleft()
        return len(self.idle) + len(self.busy) + self.opening + len(self._closed_at)

    def acquire_idle(self, now: Millis) -> HttpConnection | None:
        """Return the connection that was used last, or None if there is no live idle one."""
        while self.idle:
            conn = self.idle.pop()
            if conn.alive:
                self.busy.add(conn)
                conn.progress_at = now
                return conn
            self.drop(conn, now)
        return None

    def acquire_oldest_idle(self, now: Millis) -> HttpConnection | None:
        """Return the idle connection that was unused for longest, or None."""
        if self.idle:
            self.idle.rotate(1)
        return self.acquire_idle(now)

    def put(self, conn: HttpConnection, now: Millis) -> None:
        """Take a connection that can carry another exchange: for who waits, or for later."""
        if conn.used:
            self._backoff = 0.0
        self.busy.discard(conn)
        if len(self.idle) + len(self.busy) + self.opening >= self.share:
            self.drop(conn, now)
            return
        while self.waiting:
            waiter = self.waiting.popleft()
            self.busy.add(conn)
            conn.progress_at = now
            waiter.conn = conn
            waiter.ready.set()
            return
        self.idle.append(conn)

    def drop(self, conn: HttpConnection, now: Millis, fault: ExchangeFault | None = None) -> None:
        """Close a connection; its place is free again a little later."""
        self.busy.discard(conn)
        conn.close(fault)
        if not conn.closed_by_peer:
            self._closed_at.append(now)
        elif not conn.used and now - conn.opened_at < TURNED_AWAY_WITHIN:
            # A server that is full closes each new connection at once. Opened again at once, they
            # would keep it busy with nothing else.
            self._back_off(now)

    def trim(self, now: Millis) -> None:
        """Close idle connections that are over the share."""
        while self.idle and len(self.idle) + len(self.busy) + self.opening > self.share:
            self.drop(self.idle.popleft(), now)
        if self.share == 0:
            # Who waits would wait for a connection that this entry may not open any more.
            message = f"no share of {self.server.server_id} any more"
            self._fail_waiting(HttpExchangeError(message, ExchangeFault.NOT_SENT))

    def wants_more(self, now: Millis) -> bool:
        """Return whether one more connection should be opened now."""
        # One at a time: each costs the server some milliseconds of its few slots, and a burst of
        # them at a server that has just come back would make it late for everyone.
        if self.opening or self.retired_at is not None or now < self._retry_at:
            return False
        wanted = bool(self.waiting) or (not self.idle and (self.spare or not self.busy))
        return wanted and self.counted_connections(now) < self.share

    def failed(self, error: HttpExchangeError, now: Millis) -> None:
        """Take note that no connection could be opened, and tell everyone who waits."""
        self._back_off(now)
        if not self.busy:
            self._fail_waiting(error)

    def _back_off(self, now: Millis) -> None:
        self._backoff = min(LONGEST_BACKOFF, max(FIRST_BACKOFF, 2 * self._backoff))
        self._retry_at = now + self._backoff

    def _fail_waiting(self, error: HttpExchangeError) -> None:
        while self.waiting:
            waiter = self.waiting.popleft()
            waiter.error = error
            waiter.ready.set()

    def retire(self, now: Millis) -> None:
        """Close what is idle and turn away who waits: another server has taken this id."""
        self.share = 0
        self.close_all(now)
        message = f"{self.server.server_id} has moved"
        self._fail_waiting(HttpExchangeError(message, ExchangeFault.NOT_SENT))

    def unreachable(self, now: Millis) -> bool:
        """Return whether there is no connection, and none may be opened yet."""
        return now < self._retry_at and not self.idle and not self.busy

    def drop_silent(self, before: Millis, now: Millis) -> None:
        """Close the busy connections on which nothing has moved since a point in time."""
        for conn in [conn for conn in self.busy if conn.progress_at < before]:
            # The way between the two ends may have lost track of one connection while new ones
            # work. So it is the connection that goes; whether the server is at fault as well is
            # for the core to judge by what it hears from others.
            self.silent_count += 1
            self.drop(conn, now, ExchangeFault.SILENT)

    def drop_closed(self, now: Millis) -> None:
        """Let go of idle connections that the server has closed."""
        for conn in [conn for conn in self.idle if not conn.alive]:
            self.idle.remove(conn)
            self.drop(conn, now)

    def drop_surplus(self, before: Millis, now: Millis) -> None:
        """Close idle connections but the last used one that were not used since a point in time."""
        while len(self.idle) > 1 and self.idle[0].progress_at < before:
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
