"""Polls the health endpoints of one upstream's servers over pooled connections."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.entry_events import AttemptFault, HealthReported, ServerState
from ..core.shard_map import ShardMap
from ..http.client import exchange_within
from ..http.exchange import ExchangeFault, HttpExchangeError
from ..settings.models import UpstreamSettings
from .connection_pool import ConnectionPool
from .owner_client import OwnerClient
from .owner_link import OwnerCallError
from .upstream_protocol import Health, ProtocolError, parse_health

HEALTH_PATH = "/health"
PROBE_TIMEOUT: Millis = 1000.0
MAX_PROBE_ATTEMPTS = 2
ROUNDS_PER_OWNER_PROBE = 10
"""A server to which only other entries hold connections is probed once in this many rounds. Its
owners probe it in every round, and its answers to queries report its load."""
MAX_HEALTH_BYTES = 65_536


class HealthPoller:
    """Probes the servers one after the other, each once per interval.

    Probes use the same connections as queries. So a connection that went silent while idle is
    found before a query is sent on it, and probes take nothing of the server's connection limit.

    Args:
        cfg: The upstream's settings.
        pool: The connections to the servers.
        current_map: Returns the newest shard map, or None if there is none yet.
        report: Receives the result of each probe.
        owners: Reaches servers through other entries; None if this entry has no links to them.
    """

    def __init__(
        self,
        cfg: UpstreamSettings,
        pool: ConnectionPool,
        current_map: Callable[[], ShardMap | None],
        report: Callable[[HealthReported], None],
        owners: OwnerClient | None = None,
    ) -> None:
        self._cfg = cfg
        self._pool = pool
        self._current_map = current_map
        self._report = report
        self._owners = owners
        self._clock = LoopClock()
        self._probing: set[str] = set()
        self._reprobe: set[str] = set()
        self._nursery: trio.Nursery | None = None

    def probe_now(self, server_id: str) -> None:
        """Probe a server now if it belongs to this upstream."""
        shard_map = self._current_map()
        if shard_map is None or server_id not in shard_map.by_server_id:
            return
        if server_id in self._probing:
            # The running probe was sent before the event that led to this call, so its answer may
            # not reflect it. Another probe follows.
            self._reprobe.add(server_id)
            return
        self._start(server_id, urgent=True)

    def _start(self, server_id: str, urgent: bool = False) -> None:
        if self._nursery is not None and server_id not in self._probing:
            self._nursery.start_soon(self._probe, server_id, urgent)

    async def run(self) -> None:
        """Probe until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await self._probe_in_rounds()
            finally:
                self._nursery = None

    async def _probe_in_rounds(self) -> None:
        probe_round = 0
        while True:
            shard_map = self._current_map()
            servers = shard_map.servers if shard_map is not None else ()
            probe_round += bool(servers)
            for server in servers:
                if (
                    self._pool.share_of(server.server_id)
                    or probe_round % ROUNDS_PER_OWNER_PROBE == 1
                ):
                    self._start(server.server_id)
                await trio.sleep(self._cfg.health_poll_ms / SECOND / len(servers))
            if not servers:
                await trio.sleep(self._cfg.health_poll_ms / SECOND)

    async def _probe(self, server_id: str, urgent: bool) -> None:
        self._probing.add(server_id)
        try:
            for _ in range(MAX_PROBE_ATTEMPTS):
                if await self._probe_once(server_id, urgent):
                    return
            self._report(HealthReported(server_id, ServerState.UNREACHABLE, None, None))
        finally:
            self._probing.discard(server_id)
            if server_id in self._reprobe:
                self._reprobe.discard(server_id)
                self._start(server_id, urgent=True)

    async def _probe_once(self, server_id: str, urgent: bool) -> bool:
        """Send one probe; return whether the round is over for this server."""
        if self._pool.share_of(server_id) == 0:
            return await self._probe_through_owner(server_id)
        idle, busy = self._pool.idle_and_busy_counts(server_id)
        if busy and not idle and not urgent:
            # All connections carry queries. Their answers tell more than a probe, and a probe that
            # waits for a connection would delay the next query.
            return True
        sent_at = self._clock.now()
        try:
            health = await self._fetch_health(server_id)
        except ProtocolError:
            return False
        except HttpExchangeError as exc:
            # One silent or broken connection says little about the server; the next attempt uses
            # another one.
            if exc.fault is not ExchangeFault.NOT_SENT:
                return False
            self._report(HealthReported(server_id, ServerState.UNREACHABLE, None, None))
            return True
        self._report(HealthReported(server_id, health.state, health.load, health.boot_id, sent_at))
        return True

    async def _probe_through_owner(self, server_id: str) -> bool:
        if self._owners is None or not self._owners.can_reach(server_id):
            return True
        sent_at = self._clock.now()
        try:
            health = parse_health(
                await self._owners.fetch_path(server_id, HEALTH_PATH, PROBE_TIMEOUT)
            )
        except ProtocolError:
            return False
        except OwnerCallError as exc:
            # A lost or overloaded owner says nothing about the server.
            return exc.fault is not AttemptFault.LOST
        self._report(HealthReported(server_id, health.state, health.load, health.boot_id, sent_at))
        return True

    async def _fetch_health(self, server_id: str) -> Health:
        conn = self._pool.acquire_oldest_idle(server_id)
        if conn is None:
            conn = await self._pool.acquire_within(server_id, PROBE_TIMEOUT)
        try:
            reply = await exchange_within(
                conn, PROBE_TIMEOUT, "GET", HEALTH_PATH, max_body=MAX_HEALTH_BYTES
            )
        finally:
            self._pool.release(server_id, conn)
        return parse_health(reply)
