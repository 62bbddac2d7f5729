"""Warm connections to the servers of all upstreams, within this entry's shares."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import trio

from ..clock import MINUTE, SECOND, LoopClock, Millis
from ..core.shard_map import Server
from ..http.client import open_http
from ..http.connection import HttpConnection
from ..http.exchange import ExchangeFault, HttpExchangeError
from .server_connections import ServerConnections, Waiter

DEFAULT_SHARE = 2
OPENINGS_AT_ONCE = 16
CONNECT_TIMEOUT: Millis = 2000.0
SWEEP_EVERY: Millis = 100.0
SURPLUS_AFTER: Millis = 3 * SECOND
"""Without spares, how long a second connection to a server is kept when it is not needed."""
LOOK_EVERY_SWEEPS = 10
"""Each server's idle connections are looked at in one of so many sweeps; servers close what was
idle for some seconds, and a request that finds its connection closed waits for a new one."""
MAX_AGE: Millis = 10 * MINUTE
RETIRE_AFTER: Millis = 60 * SECOND
"""How long a server that left the map is kept for queries that still pin the old one."""


class ConnectionPool:
    """Hands out connections. A busy one belongs to whoever took it.

    A query never opens a connection when one is idle, and a spare is opened ahead in the
    background as long as the share allows.

    Args:
        default_share: Connections to each server as long as no lease gives shares.
        progress_timeout: How long an exchange may stand still, in milliseconds.
        spares: Whether spares are opened ahead and kept.
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
        """Whether a connection to each server of an upstream is opened ahead; else only when one is
        asked for."""
        self._sweeps = 0
        self._shares: Mapping[str, int] | None = None
        self._servers: dict[str, ServerConnections] = {}
        self._openings = trio.CapacityLimiter(OPENINGS_AT_ONCE)
        self._nursery: trio.Nursery | None = None
        self.opened_count = 0
        """Connections opened so far."""

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Open, watch and close connections until cancelled."""
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
        """How many connections there are."""
        return sum(len(conns.idle) + len(conns.busy) for conns in self._servers.values())

    def idle_and_busy_counts(self, server_id: str) -> tuple[int, int]:
        """Return how many idle and how many busy connections there are to a server."""
        conns = self._servers.get(server_id)
        return (len(conns.idle), len(conns.busy)) if conns is not None else (0, 0)

    @property
    def silent_count(self) -> int:
        """How many connections were dropped because nothing moved on them."""
        return sum(conns.silent_count for conns in self._servers.values())

    def set_shares(self, shares: Mapping[str, int] | None) -> None:
        """Hold no more connections to each server than this.

        Args:
            shares: By server id; a server that is not named gets none. None stands for the
                default share for each.
        """
        self._shares = shares
        now = self._clock.now()
        for server_id, conns in self._servers.items():
            conns.share = self.share_of(server_id)
            conns.trim(now)
            self._grow(conns)

    def share_of(self, server_id: str) -> int:
        """Return how many connections this entry may hold to a server."""
        if self._shares is None:
            return self._default_share
        return self._shares.get(server_id, 0)

    def within_shares(self) -> bool:
        """Return whether no server may count more connections than its share."""
        now = self._clock.now()
        return all(
            conns.counted_connections(now) <= conns.share for conns in self._servers.values()
        )

    def server_ids(self, upstream: str | None = None) -> list[str]:
        """Return the ids of the known servers, of one upstream or of all."""
        return [
            server_id
            for server_id, conns in self._servers.items()
            if upstream is None or conns.upstream == upstream
        ]

    def upstreams(self) -> set[str]:
        """Return the names of the upstreams to whose servers there are connections."""
        return {conns.upstream for conns in self._servers.values() if conns.retired_at is None}

    def update_servers(self, upstream: str, servers: Iterable[Server], gone: Iterable[str]) -> None:
        """Prepare connections to servers of a new map.

        Args:
            upstream: The upstream's name.
            servers: All servers of its newest map.
            gone: Ids of servers that were in the map before.
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
            self._grow(conns)
        for server_id in gone:
            known = self._servers.get(server_id)
            if known is not None and known.retired_at is None:
                known.retired_at = now

    def acquire_idle(self, server_id: str) -> HttpConnection | None:
        """Return a live idle connection to a server at once, or None."""
        conns = self._servers.get(server_id)
        if conns is None:
            return None
        conn = conns.acquire_idle(self._clock.now())
        if not conns.idle:
            self._grow(conns)
        return conn

    def acquire_oldest_idle(self, server_id: str) -> HttpConnection | None:
        """Return the live connection that was idle for longest at once, or None."""
        conns = self._servers.get(server_id)
        return None if conns is None else conns.acquire_oldest_idle(self._clock.now())

    async def acquire(self, server_id: str) -> HttpConnection:
        """Return a connection to a server: an idle one at once, else the next one there is.

        Raises:
            HttpExchangeError: Of the fault ``not_sent`` if no connection can be opened.
        """
        conn = self.acquire_idle(server_id)
        if conn is not None:
            return conn
        conns = self._servers.get(server_id)
        if conns is None or conns.share == 0:
            raise HttpExchangeError(f"no share of {server_id}", ExchangeFault.NOT_SENT)
        if conns.unreachable(self._clock.now()):
            raise HttpExchangeError(f"{server_id} was unreachable", ExchangeFault.NOT_SENT)
        return await self._wait(conns)

    async def acquire_within(self, server_id: str, timeout: Millis) -> HttpConnection:
        """Return a connection as ``acquire`` does, but wait no longer than a time in milliseconds.

        Raises:
            HttpExchangeError: Of the fault ``not_sent`` if there is none in time.
        """
        try:
            with trio.fail_after(timeout / SECOND):
                return await self.acquire(server_id)
        except trio.TooSlowError as exc:
            message = f"no free connection to {server_id}"
            raise HttpExchangeError(message, ExchangeFault.NOT_SENT) from exc

    async def _wait(self, conns: ServerConnections) -> HttpConnection:
        waiter = Waiter()
        conns.waiting.append(waiter)
        self._grow(conns)
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
        """Keep a connection for the next exchange, or close it if it can't carry one."""
        conns = self._servers.get(server_id)
        if conns is None or conn not in conns.busy:
            conn.close()
            return
        now = self._clock.now()
        if conn.usable:
            conns.put(conn, now)
            return
        conns.drop(conn, now)
        self._grow(conns)

    def _grow(self, conns: ServerConnections) -> None:
        if self._nursery is None or not conns.wants_more(self._clock.now()):
            return
        if not conns.waiting and not self.keeps_warm(conns.upstream):
            return
        conns.opening = True
        self._nursery.start_soon(self._open, conns)

    async def _open(self, conns: ServerConnections) -> None:
        server = conns.server
        try:
            async with self._openings:
                conn = await open_http(server.address, server.port, CONNECT_TIMEOUT)
        except HttpExchangeError as exc:
            conns.opening = False
            conns.failed(exc, self._clock.now())
            return
        finally:
            conns.opening = False
        self.opened_count += 1
        if self._servers.get(server.server_id) is not conns:
            conn.close()
            return
        conns.put(conn, self._clock.now())
        self._grow(conns)

    async def _sweep(self) -> None:
        try:
            swept_at = self._clock.now()
            while True:
                await trio.sleep(SWEEP_EVERY / SECOND)
                now = self._clock.now()
                # While this process itself stood still, nobody read what had come. Without the
                # allowance, one stall would drop every connection that was busy as silent.
                stall = max(0.0, now - swept_at - SWEEP_EVERY)
                self._sweep_once(now, stall)
                swept_at = now
        finally:
            # The nursery closes after its last task. Exchanges that end later, while the entry is
            # on its way down, still give connections back and must open no new ones.
            self._nursery = None

    def _sweep_once(self, now: Millis, stall: Millis) -> None:
        self._sweeps += 1
        for index, (server_id, conns) in enumerate(list(self._servers.items())):
            if (index + self._sweeps) % LOOK_EVERY_SWEEPS == 0:
                conns.drop_closed(now)
            conns.drop_silent(now - self._progress_timeout - stall, now)
            conns.drop_old(now - MAX_AGE, now)
            if not self._spares:
                conns.drop_surplus(now - SURPLUS_AFTER, now)
            self._grow(conns)
            if conns.retired_at is not None and conns.retired_at + RETIRE_AFTER <= now:
                conns.close_all(now)
                if not conns.busy and not conns.waiting:
                    del self._servers[server_id]
