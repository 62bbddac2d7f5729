"""Polls the platform's list of live and leaving hosts, which lags behind the actual state."""

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

    If the list can't be fetched, the last one stays in use: without it, hosts that are leaving
    would get new requests.

    Args:
        endpoint: Where the platform serves the list.
        interval: The time between two fetches, in milliseconds.
        on_hosts: Receives each list.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        interval: Millis,
        on_hosts: Callable[[list[PlatformHost]], None],
    ) -> None:
        self._endpoint = endpoint
        self._interval = interval
        self._on_hosts = on_hosts

    async def run(self) -> None:
        """Fetch the list at the interval until cancelled."""
        while True:
            await self.fetch()
            await trio.sleep(self._interval / SECOND)

    async def fetch(self) -> None:
        """Fetch the list once."""
        source = self._endpoint
        try:
            reply = await http_once(
                source.address, source.port, "GET", HOSTS_PATH, timeout=FETCH_TIMEOUT
            )
            if reply.status != OK:
                return
            hosts = parse_hosts(reply.body)
        except (HttpExchangeError, ProtocolError):
            return
        self._on_hosts(hosts)
