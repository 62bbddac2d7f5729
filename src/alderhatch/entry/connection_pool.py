"""A pool of connections to the servers of all upstreams, within this entry's shares."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from heapq import heappop, heappush
from itertools import count
from typing import TypeVarTuple

import trio

from ..clock import MINUTE, SECOND, LoopClock, Millis
from ..core.shard_map import Server
from ..http.client import open_http
from ..http.connection import HttpConnection
from ..http.exchange import ExchangeFault, HttpExchangeError
from ..http.unfinished_replies import UnfinishedReplies
from ..task_faults import TaskKind, record_task_fault
from .open_queue import OpenQueue
from .server_connections import ServerConnections, Waiter

DEFAULT_SHARE = 2
CONNECT_TIMEOUT: Millis = 2000.0
SWEEP_INTERVAL: Millis = 100.0
SURPLUS_IDLE_TIME: Millis = 3 * SECOND
"""Without spares, how long an idle connection to a server is kept besides the last used one."""
SWEEPS_PER_LIVENESS_CHECK = 10
"""The idle connections of a server are checked for closure once in this many sweeps. Servers close
connections that are idle for some seconds, and a request that finds only closed ones has to wait
for a new one."""
MAX_UNUSED_CONNECTIONS = 1500
"""Connections that are open ahead of requests and have carried none. The list may name thousands of
addresses that accept connections and are no servers; without a limit, a host would run out of file
descriptors and accept no callers."""
MAX_RETRIES_PER_SWEEP = 5
"""Connections opened again ahead of requests to servers that have never accepted one."""
UNNEEDED_RETRY_PAUSE: Millis = 5 * SECOND
"""When it is looked again whether a connection to such a server is needed."""
MAX_CONNECTION_AGE: Millis = 10 * MINUTE
RETIRED_SERVER_RETENTION: Millis = 60 * SECOND
"""How long a server that left the shard map is kept for queries pinned to an older map."""

Args = TypeVarTuple("Args")


class ConnectionPool:
    """Hands out connections; each is used exclusively until it is released.

    No connection is opened for a request while one is idle. As far as the share allows, a spare
    connection is opened in the background ahead of demand.

    Args:
        default_share: The number of connections to each server while no shares are set.
        progress_timeout: How long an exchange may make no progress, in milliseconds.
        spares: Whether spare connections are opened ahead of demand and kept.
    """

    def __init__(
        self,
        default_share: int = DEFAULT_SHARE,
        progress_timeout: Millis = 1000.0,
        spares: bool = True,
    ) -> None:
        self._clock = LoopClock()
        self._default_share = default_share
        self._progress_timeout = progress_timeout
        self._spares = spares
        self.keeps_warm: Callable[[str], bool] = lambda upstream: True
        """Whether a connection to each server of an upstream is opened ahead of demand; otherwise
        one is opened only when a request waits for it."""
        self.on_refused: Callable[[str], None] = lambda server_id: None
        """Called with a server that refused a connection, as no process listens there."""
        self.on_accepted: Callable[[str, Millis], None] = lambda server_id, asked_at: None
        """Called with a server that accepted a connection, and when it was opened."""
        self.on_opened: Callable[[str, str, bool], None] = lambda upstream, server_id, success: None
        """Called with the upstream and the server of each connection that was tried to open, and
        whether it is open."""
        self._unused_count = 0
        """Connections that have carried no request, or are being opened, as of the last sweep, and
        those begun since."""
        self._retries: list[tuple[Millis, int, ServerConnections]] = []
        """A heap of the servers that have never accepted a connection, by when one is opened ahead
        of requests."""
        self._retry_numbers = count()
        self._sweeps = 0
        self._shares: Mapping[str, int] | None = None
        self._servers: dict[str, ServerConnections] = {}
        self._open_queue: OpenQueue[ServerConnections] = OpenQueue()
        self._unfinished_replies = UnfinishedReplies()
        self._nursery: trio.Nursery | None = None
        self.opened_count = 0
        """The number of connections opened so far."""

    def set_starting(self, is_starting: bool) -> None:
        """Set whether this host has just started and has no connections yet."""
        self._open_queue.is_starting = is_starting

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Open, monitor and close connections until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._sweep)
                task_status.started()
        finally:
            for conns in self._servers.values():
                conns.close_all(self._clock.now())

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return sum(len(conns.idle) + len(conns.busy) for conns in self._servers.values())

    def idle_and_busy_counts(self, server_id: str) -> tuple[int, int]:
        """Return the numbers of idle and of busy connections to a server."""
        conns = self._servers.get(server_id)
        return (len(conns.idle), len(conns.busy)) if conns is not None else (0, 0)

    @property
    def silent_count(self) -> int:
        """The number of connections closed so far because they made no progress."""
        return sum(conns.silent_count for conns in self._servers.values())

    def set_shares(self, shares: Mapping[str, int] | None) -> None:
        """Set the maximum number of connections to each server.

        Args:
            shares: The maximum by server ID; a server that is not listed gets no connection. None
                stands for the default share for every server.
        """
        self._shares = shares
        now = self._clock.now()
        for server_id, conns in self._servers.items():
            conns.share = self.share_of(server_id)
            conns.trim_to_share(now)
            self._open_if_needed(conns)

    def share_of(self, server_id: str) -> int:
        """Return the maximum number of connections of this entry to a server."""
        if self._shares is None:
            return self._default_share
        return self._shares.get(server_id, 0)

    def within_shares(self) -> bool:
        """Return whether no server can count more connections of this entry than its share."""
        now = self._clock.now()
        return all(
            conns.counted_connections(now) <= conns.share for conns in self._servers.values()
        )

    def server_ids(self, upstream: str | None = None) -> list[str]:
        """Return the IDs of the known servers of one upstream or of all upstreams."""
        return [
            server_id
            for server_id, conns in self._servers.items()
            if upstream is None or conns.upstream == upstream
        ]

    def upstreams(self) -> set[str]:
        """Return the names of the upstreams with servers that have not left the shard map."""
        return {conns.upstream for conns in self._servers.values() if conns.retired_at is None}

    def update_servers(
        self, upstream: str, servers: Iterable[Server], removed_ids: Iterable[str]
    ) -> None:
        """Take over the servers of a new shard map.

        Args:
            upstream: The upstream's name.
            servers: All servers of its newest shard map.
            removed_ids: IDs of servers that left the shard map.
        """
        now = self._clock.now()
        for server in servers:
            known = self._servers.get(server.server_id)
            if known is not None and known.server == server:
                known.retired_at = None
                continue
            if known is not None:
                known.retire(now)
            conns = ServerConnections(
                upstream, server, self.share_of(server.server_id), self._spares
            )
            self._servers[server.server_id] = conns
            self._open_if_needed(conns)
        for server_id in removed_ids:
            known = self._servers.get(server_id)
            if known is not None and known.retired_at is None:
                known.retired_at = now

    def acquire_idle(self, server_id: str) -> HttpConnection | None:
        """Return a live idle connection to a server without waiting, or None if there is none."""
        conns = self._servers.get(server_id)
        if conns is None:
            return None
        conn = conns.acquire_idle(self._clock.now())
        if not conns.idle:
            self._open_if_needed(conns)
        return conn

    def acquire_oldest_idle(self, server_id: str) -> HttpConnection | None:
        """Return the live connection that was idle for longest without waiting, or None."""
        conns = self._servers.get(server_id)
        return None if conns is None else conns.acquire_oldest_idle(self._clock.now())

    async def acquire(self, server_id: str) -> HttpConnection:
        """Return a connection to a server: an idle one at once, else the next available one.

        Raises:
            HttpExchangeError: With the fault ``not_sent`` if no connection can be opened.
        """
        conn = self.acquire_idle(server_id)
        if conn is not None:
            return conn
        conns = self._servers.get(server_id)
        if conns is None or conns.share == 0:
            raise HttpExchangeError(
                f"no connection to {server_id} allowed by the shares of this entry",
                ExchangeFault.NOT_SENT,
            )
        if conns.is_unreachable(self._clock.now()):
            raise HttpExchangeError(
                f"{server_id} could not be reached; waiting before the next connection attempt",
                ExchangeFault.NOT_SENT,
            )
        return await self._wait_for_connection(conns)

    async def acquire_within(self, server_id: str, timeout: Millis) -> HttpConnection:
        """Return a connection as ``acquire`` does, but wait at most ``timeout`` milliseconds.

        Raises:
            HttpExchangeError: With the fault ``not_sent`` if none is available in time.
        """
        try:
            with trio.fail_after(timeout / SECOND):
                return await self.acquire(server_id)
        except trio.TooSlowError as exc:
            message = f"no connection to {server_id} became free in time"
            raise HttpExchangeError(message, ExchangeFault.NOT_SENT) from exc

    async def _wait_for_connection(self, conns: ServerConnections) -> HttpConnection:
        waiter = Waiter()
        conns.waiting.append(waiter)
        self._open_if_needed(conns)
        try:
            await waiter.ready.wait()
        except trio.Cancelled:
            if waiter.conn is not None:
                conns.put(waiter.conn, self._clock.now())
            elif waiter in conns.waiting:
                conns.waiting.remove(waiter)
            raise
        if waiter.error is not None:
            raise waiter.error
        assert waiter.conn is not None
        return waiter.conn

    def release(self, server_id: str, conn: HttpConnection) -> None:
        """Return a connection to the pool; it is closed if it can't carry another exchange."""
        conns = self._servers.get(server_id)
        if conns is None or conn not in conns.busy:
            conn.close()
            return
        now = self._clock.now()
        if conn.usable:
            conns.put(conn, now)
            return
        conns.drop(conn, now)
        self._open_if_needed(conns)

    def probe(self, server_id: str) -> None:
        """Open a connection to a server, within its share, to learn whether it has ended."""
        conns = self._servers.get(server_id)
        if conns is None or self._nursery is None or conns.opening:
            return
        conns.drop_closed(self._clock.now())
        if conns.counted_connections(self._clock.now()) < conns.share:
            conns.opening = True
            self._open_queue.begin()
            self._nursery.start_soon(self._open, conns)

    def _open_if_needed(self, conns: ServerConnections) -> None:
        if self._is_open_needed(conns):
            self._open_queue.add(conns, bool(conns.waiting))
            self._begin_opens()

    def _is_open_needed(self, conns: ServerConnections) -> bool:
        if self._nursery is None or not conns.should_open(self._clock.now()):
            return False
        if conns.waiting:
            return True
        return self._unused_count < MAX_UNUSED_CONNECTIONS and self.keeps_warm(conns.upstream)

    def _begin_opens(self) -> None:
        while self._nursery is not None:
            conns = self._open_queue.take()
            if conns is None:
                return
            # It may have been given up, or have got a connection back, while it was queued.
            if self._is_open_needed(conns):
                conns.opening = True
                self._unused_count += 1
                self._open_queue.begin()
                self._nursery.start_soon(self._open, conns)
            elif conns.retries_ahead:
                self._retry_at(self._clock.now() + UNNEEDED_RETRY_PAUSE, conns)

    async def _open(self, conns: ServerConnections) -> None:
        try:
            await self._open_one(conns)
        finally:
            self._open_queue.end()
            self._begin_opens()

    async def _open_one(self, conns: ServerConnections) -> None:
        server = conns.server
        asked_at = self._clock.now()
        try:
            conn = await self._connect(server)
        except HttpExchangeError as exc:
            conns.opening = False
            conns.record_open_failure(exc, self._clock.now())
            if conns.retries_ahead:
                self._retry_at(conns.ahead_at, conns)
            self.on_opened(conns.upstream, server.server_id, False)
            if exc.refused:
                self.on_refused(server.server_id)
            return
        finally:
            conns.opening = False
        self.opened_count += 1
        conns.record_open()
        self.on_opened(conns.upstream, server.server_id, True)
        self.on_accepted(server.server_id, asked_at)
        if self._servers.get(server.server_id) is not conns:
            conn.close()
            return
        conns.put(conn, self._clock.now())
        self._open_if_needed(conns)

    async def _connect(self, server: Server) -> HttpConnection:
        try:
            return await open_http(
                server.address, server.port, CONNECT_TIMEOUT, self._unfinished_replies
            )
        except HttpExchangeError:
            raise
        except Exception as exc:
            # Uncaught, it would end the pool and with it the process, for one server's entry.
            record_task_fault(TaskKind.OPENING, exc)
            message = f"no connection to {server.server_id}: {exc}"
            raise HttpExchangeError(message, ExchangeFault.NOT_SENT) from exc

    async def _sweep(self) -> None:
        try:
            swept_at = self._clock.now()
            while True:
                await trio.sleep(SWEEP_INTERVAL / SECOND)
                now = self._clock.now()
                # While this process is stalled, it reads nothing that arrives. The time of the
                # stall is not counted as silence; otherwise a stall would close every busy
                # connection.
                stall = max(0.0, now - swept_at - SWEEP_INTERVAL)
                swept_at = now
                self._sweep_once(now, stall)
        finally:
            # The nursery closes after its last task. Exchanges that end later, during shutdown,
            # still release connections, which must not open new ones.
            self._nursery = None

    def _sweep_once(self, now: Millis, stall: Millis) -> None:
        self._sweeps += 1
        self._unused_count = sum(conns.unused_count() for conns in self._servers.values())
        _contain(self._retry_unknown, now)
        for index, conns in enumerate(list(self._servers.values())):
            if conns.retries_ahead and conns.retired_at is None:
                continue
            check_closed = (index + self._sweeps) % SWEEPS_PER_LIVENESS_CHECK == 0
            _contain(self._sweep_server, conns, now, stall, check_closed)

    def _sweep_server(
        self, conns: ServerConnections, now: Millis, stall: Millis, check_closed: bool
    ) -> None:
        if check_closed:
            conns.drop_closed(now)
        conns.drop_silent(now - self._progress_timeout - stall, now)
        conns.drop_old(now - MAX_CONNECTION_AGE, now)
        if not self._spares:
            conns.drop_surplus(now - SURPLUS_IDLE_TIME, now)
        self._open_if_needed(conns)
        if conns.retired_at is not None and conns.retired_at + RETIRED_SERVER_RETENTION <= now:
            conns.close_all(now)
            if not conns.busy and not conns.waiting:
                del self._servers[conns.server.server_id]

    def _retry_unknown(self, now: Millis) -> None:
        """Open connections again to some servers that have never accepted one.

        The list may name thousands of addresses at which there is no server. If each was tried as
        often as a server that has crashed, the host would do little else.
        """
        for _ in range(MAX_RETRIES_PER_SWEEP):
            if not self._retries or self._retries[0][0] > now:
                return
            _, _, conns = heappop(self._retries)
            conns.awaits_retry = False
            if self._servers.get(conns.server.server_id) is not conns:
                continue
            if self._is_open_needed(conns):
                self._open_if_needed(conns)
            else:
                self._retry_at(now + UNNEEDED_RETRY_PAUSE, conns)

    def _retry_at(self, at: Millis, conns: ServerConnections) -> None:
        """Look at a server again at some time, unless that is due already."""
        if not conns.awaits_retry:
            conns.awaits_retry = True
            heappush(self._retries, (at, next(self._retry_numbers), conns))


def _contain(step: Callable[[*Args], None], *args: *Args) -> None:
    """Take one step of a sweep; an error in it ends no other step, and not the pool."""
    try:
        step(*args)
    except Exception as exc:
        record_task_fault(TaskKind.BACKGROUND, exc)
