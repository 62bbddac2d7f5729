"""Warm connections to the servers of all upstreams."""

from __future__ import annotations

from ..core.shard_map import Server
from ..http.client import HttpConnection, open_http


class ConnectionPool:
    """Idle connections, the last used first. A busy one belongs to whoever took it."""

    def __init__(self) -> None:
        self._idle: dict[str, list[HttpConnection]] = {}
        self.opened = 0
        """Connections opened so far."""

    async def take(self, server: Server) -> HttpConnection:
        """Return an idle connection to a server, or a new one if there is none.

        Raises:
            HttpExchangeError: If no connection can be opened.
        """
        idle = self._idle.get(server.server_id)
        if idle:
            return idle.pop()
        self.opened += 1
        return await open_http(server.address, server.port)

    async def give_back(self, server: Server, conn: HttpConnection) -> None:
        """Keep a connection for the next exchange, or close it if it can't carry one."""
        if conn.usable:
            self._idle.setdefault(server.server_id, []).append(conn)
            return
        await conn.aclose()
