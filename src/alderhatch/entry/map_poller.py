"""Polls an upstream's shard map."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..clock import SECOND, Millis
from ..core.shard_map import ShardMap
from ..http.client import exchange_within, http_once
from ..http.exchange import HttpExchangeError, HttpReply
from ..log import log_event
from ..log_events import LogEvent
from ..settings.models import Endpoint, UpstreamSettings
from .connection_pool import ConnectionPool
from .owner_client import OwnerClient
from .owner_link import OwnerCallError
from .server_connections import CLOSE_LINGER
from .upstream_lists import parse_shard_map
from .upstream_protocol import OK, ProtocolError

MAP_PATH = "/shard-map"
FETCH_TIMEOUT: Millis = 2000.0


class MapPoller:
    """Keeps one upstream's shard map up to date.

    Args:
        cfg: The upstream's settings.
        pool: The connections to the servers of the current shard map.
        on_map: Receives each shard map that replaces the one before.
        owners: Reaches servers through other entries; None if this entry has no links to them.
    """

    def __init__(
        self,
        cfg: UpstreamSettings,
        pool: ConnectionPool,
        on_map: Callable[[ShardMap], None],
        owners: OwnerClient | None = None,
    ) -> None:
        self._cfg = cfg
        self.upstream = cfg.name
        self._pool = pool
        self._on_map = on_map
        self._owners = owners
        self.newest: ShardMap | None = None
        self._fetch_requested = trio.Event()

    async def run(self) -> None:
        """Fetch the shard map at the poll interval and whenever requested, until cancelled."""
        while True:
            with trio.move_on_after(self._cfg.map_poll_ms / SECOND):
                await self._fetch_requested.wait()
            self._fetch_requested = trio.Event()
            await self.fetch()

    def fetch_now(self, upstream: str) -> None:
        """Fetch the shard map now if ``upstream`` is the one of this poller."""
        if upstream == self.upstream:
            self._fetch_requested.set()

    async def fetch(self) -> None:
        """Query the seeds and some known servers in turn until one returns a valid shard map."""
        for endpoint in self._endpoints():
            server_id = self._server_at(endpoint)
            if server_id is not None and not self._can_query(server_id):
                # Without a share and without owners, for example while it stops, this entry must
                # not connect to the server.
                continue
            try:
                reply = await self._get(endpoint)
                if reply.status != OK:
                    raise ProtocolError(f"unexpected HTTP status {reply.status}")
                shard_map = parse_shard_map(reply.body, self._cfg.name)
            except (HttpExchangeError, OwnerCallError, ProtocolError) as exc:
                log_event(LogEvent.SHARD_MAP_REFUSED, upstream=self._cfg.name, why=str(exc))
                continue
            self._update_map(shard_map)
            return

    def _can_query(self, server_id: str) -> bool:
        if self._pool.share_of(server_id):
            return True
        return self._owners is not None and self._owners.can_reach(server_id)

    def _endpoints(self) -> list[Endpoint]:
        # Seeds may be replaced by other servers over time. With seeds alone, the shard map could
        # then never be updated, and queries would keep naming a version that no server holds.
        known = self.newest.servers if self.newest is not None else ()
        known_endpoints = [
            Endpoint(address=candidate.address, port=candidate.port) for candidate in known[:3]
        ]
        return list(dict.fromkeys([*self._cfg.seeds, *known_endpoints]))

    async def _get(self, endpoint: Endpoint) -> HttpReply:
        server_id = self._server_at(endpoint)
        if server_id is None:
            reply = await http_once(
                endpoint.address, endpoint.port, "GET", MAP_PATH, timeout=FETCH_TIMEOUT
            )
            # The server may still count this connection when the first pooled one is opened.
            await trio.sleep(CLOSE_LINGER / SECOND)
            return reply
        if self._owners is not None and not self._pool.share_of(server_id):
            return await self._owners.fetch_path(server_id, MAP_PATH, FETCH_TIMEOUT)
        # A separate connection would also count against the server's connection limit.
        conn = await self._pool.acquire_within(server_id, FETCH_TIMEOUT)
        try:
            return await exchange_within(conn, FETCH_TIMEOUT, "GET", MAP_PATH)
        finally:
            self._pool.release(server_id, conn)

    def _server_at(self, endpoint: Endpoint) -> str | None:
        for server in self.newest.servers if self.newest is not None else ():
            if (server.address, server.port) == (endpoint.address, endpoint.port):
                return server.server_id
        return None

    def _update_map(self, shard_map: ShardMap) -> None:
        known = self.newest
        if known is not None and (shard_map == known or shard_map.snapshot < known.snapshot):
            return
        self.newest = shard_map
        version, epoch = shard_map.snapshot
        log_event(LogEvent.SHARD_MAP_ADOPTED, upstream=self._cfg.name, version=version, epoch=epoch)
        self._on_map(shard_map)
