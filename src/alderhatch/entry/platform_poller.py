"""Reads the platform's list of live and leaving hosts, which lags."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..clock import SECOND, Millis
from ..http.client import http_once
from ..http.exchange import HttpExchangeError
from ..settings.models import Endpoint
from .upstream_lists import PlatformHost, parse_hosts
from .upstream_protocol import OK, ProtocolError

HOSTS_PATH = "/hosts"
FETCH_TIMEOUT: Millis = 2000.0


class PlatformPoller:
    """Fetches the list at an interval.

    A list that can't be fetched leaves the last one in place: it is a hint, and to forget that a
    host is leaving would send it new work.

    Args:
        endpoint: Where the platform serves the list.
        interval: Milliseconds between two fetches.
        take: Takes each list that was read.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        interval: Millis,
        take: Callable[[list[PlatformHost]], None],
    ) -> None:
        self._endpoint = endpoint
        self._interval = interval
        self._take = take

    async def run(self) -> None:
        """Fetch until cancelled."""
        while True:
            await self.fetch()
            await trio.sleep(self._interval / SECOND)

    async def fetch(self) -> None:
        """Fetch the list once."""
        where = self._endpoint
        try:
            reply = await http_once(
                where.address, where.port, "GET", HOSTS_PATH, timeout=FETCH_TIMEOUT
            )
            if reply.status != OK:
                return
            hosts = parse_hosts(reply.body)
        except (HttpExchangeError, ProtocolError):
            return
        self._take(hosts)
