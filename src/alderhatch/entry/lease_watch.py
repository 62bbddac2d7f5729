"""Keeps the connections within the shares of the lease, and gives them up when it runs out."""

from __future__ import annotations

from collections.abc import Mapping

import trio

from ..clock import SECOND, Millis
from .connection_pool import ConnectionPool


class LeaseWatch:
    """Applies the shares of each renewal, and none once the lease has run out.

    Args:
        pool: The connections.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._serve_until: Millis | None = None
        self._renewed = trio.Event()

    def renew(self, serve_until: Millis, shares: Mapping[str, int]) -> None:
        """Take a renewed lease."""
        self._serve_until = serve_until
        self._pool.set_shares(shares)
        self._renewed.set()

    async def run(self) -> None:
        """Watch the lease until cancelled."""
        while True:
            self._renewed = trio.Event()
            if self._serve_until is None:
                await self._renewed.wait()
                continue
            with trio.move_on_at(self._serve_until / SECOND):
                await self._renewed.wait()
                continue
            # Control gives the places of an entry whose lease ran out to others. Kept on, its
            # connections would then be more than the server allows from all entries together.
            self._pool.set_shares({})
            self._serve_until = None
