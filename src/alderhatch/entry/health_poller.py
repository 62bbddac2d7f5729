"""Reads the health endpoints of one upstream's servers, over the warm connections."""

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
TRIES = 2
TURNS_PER_LOOK = 10
"""A server that only other entries hold connections to is asked for in one of so many turns: its
owners ask it in each, and its answers to queries bring its load along."""
MAX_HEALTH_BYTES = 65_536


class HealthPoller:
    """Asks each server in turn, so that each is asked once an interval.

    The probes go over the connections that queries use. So a connection that went silent while
    it was idle is found before a query is sent on it, and no place of the server's limit is spent
    on probes.

    Args:
        cfg: The upstream's settings.
        pool: The connections.
        current_map: Returns the newest shard map, or None.
        report: Takes what was found.
        owners: Reaches servers through other entries, if there is such a way.
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
        self._hurried: set[str] = set()
        self._nursery: trio.Nursery | None = None

    def probe_now(self, server_id: str) -> None:
        """Probe a server now, if it is one of this upstream's."""
        shard_map = self._current_map()
        if shard_map is None or server_id not in shard_map.by_server_id:
            return
        if server_id in self._probing:
            # The probe under way was sent before whatever made the core ask; its answer may be
            # older than that.
            self._hurried.add(server_id)
            return
        self._start(server_id, hurried=True)

    def _start(self, server_id: str, hurried: bool = False) -> None:
        if self._nursery is not None and server_id not in self._probing:
            self._nursery.start_soon(self._probe, server_id, hurried)

    async def run(self) -> None:
        """Probe until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await self._take_turns()
            finally:
                self._nursery = None

    async def _take_turns(self) -> None:
        turn = 0
        while True:
            shard_map = self._current_map()
            servers = shard_map.servers if shard_map is not None else ()
            turn += bool(servers)
            for server in servers:
                if self._pool.share_of(server.server_id) or turn % TURNS_PER_LOOK == 1:
                    self._start(server.server_id)
                await trio.sleep(self._cfg.health_poll_ms / SECOND / len(servers))
            if not servers:
                await trio.sleep(self._cfg.health_poll_ms / SECOND)

    async def _probe(self, server_id: str, hurried: bool) -> None:
        self._probing.add(server_id)
        try:
            for _ in range(TRIES):
                if await self._ask(server_id, hurried):
                    return
            self._report(HealthReported(server_id, ServerState.UNREACHABLE, None, None))
        finally:
            self._probing.discard(server_id)
            if server_id in self._hurried:
                self._hurried.discard(server_id)
                self._start(server_id, hurried=True)

    async def _ask(self, server_id: str, hurried: bool) -> bool:
        """Ask once; return whether there is nothing more to find out in this round."""
        if self._pool.share_of(server_id) == 0:
            return await self._ask_owner(server_id)
        idle, busy = self._pool.idle_and_busy_counts(server_id)
        if busy and not idle and not hurried:
            # Every connection carries a query. Its answer tells more than a probe would, and a
            # probe that waited for it would hold up the next query.
            return True
        asked_at = self._clock.now()
        try:
            health = await self._exchange(server_id)
        except ProtocolError:
            return False
        except HttpExchangeError as exc:
            # One silent or broken connection says little of the server; another one tells.
            if exc.fault is not ExchangeFault.NOT_SENT:
                return False
            self._report(HealthReported(server_id, ServerState.UNREACHABLE, None, None))
            return True
        self._report(HealthReported(server_id, health.state, health.load, health.boot_id, asked_at))
        return True

    async def _ask_owner(self, server_id: str) -> bool:
        if self._owners is None or not self._owners.can_reach(server_id):
            return True
        asked_at = self._clock.now()
        try:
            health = parse_health(
                await self._owners.fetch_path(server_id, HEALTH_PATH, PROBE_TIMEOUT)
            )
        except ProtocolError:
            return False
        except OwnerCallError as exc:
            # An owner that is lost, or has no room, says nothing of the server.
            return exc.fault is not AttemptFault.LOST
        self._report(HealthReported(server_id, health.state, health.load, health.boot_id, asked_at))
        return True

    async def _exchange(self, server_id: str) -> Health:
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
