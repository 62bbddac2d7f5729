"""The servers of all upstreams, and what is known of each upstream as a whole."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..clock import Millis
from .entry_events import HealthReported, ServerState
from .latency_histogram import LatencyHistogram
from .policy import Policy
from .ratio_budget import RatioBudget
from .server_view import NEVER, ServerView
from .shard_map import Shard, ShardMap, Snapshot


class ShardPlan(NamedTuple):
    """A shard with the views of the servers that hold it."""

    shard: Shard
    replicas: tuple[ServerView, ...]


class UpstreamView:
    """One upstream: its newest map, latencies and retry budget."""

    def __init__(self, name: str, policy: Policy) -> None:
        self.name = name
        self.latencies = LatencyHistogram(policy.first_latency_ms)
        self.query_latencies = LatencyHistogram(policy.first_latency_ms)
        """The times of whole queries from admission to answer."""
        self.retry_budget = RatioBudget(policy.retry_share, policy.retry_burst, policy.retry_burst)
        """Bounds retries to a fraction of the upstream's shard requests."""
        self.shard_map: ShardMap | None = None
        self.plans: tuple[ShardPlan, ...] = ()
        """The shards of the newest map, in its order."""
        self.servers: dict[str, ServerView] = {}
        self.ejected: set[str] = set()


class ServerTable:
    """All upstreams and servers that this entry knows."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self.upstreams: dict[str, UpstreamView] = {}
        self.servers: dict[str, ServerView] = {}
        self._leaving: dict[str, frozenset[str]] = {}
        self._shares: Mapping[str, int] = {}

    def snapshot_of(self, upstream: str) -> Snapshot | None:
        """Return the newest snapshot of an upstream, or None if no map of it is known."""
        view = self.upstreams.get(upstream)
        return None if view is None or view.shard_map is None else view.shard_map.snapshot

    def update_shard_map(self, shard_map: ShardMap, now: Millis) -> bool:
        """Take a shard map; return False if it tells nothing new, or is not to be believed.

        A map of the snapshot that is known may place its shards on other servers, as when a
        replica is moved to another host. It may not weigh them otherwise: coverage is counted by
        the weights of the pinned map.
        """
        view = self.upstreams.get(shard_map.upstream)
        if view is None:
            view = self.upstreams[shard_map.upstream] = UpstreamView(
                shard_map.upstream, self._policy
            )
        known = view.shard_map
        # Answers about the map can overtake each other. An older one taken back would send new
        # queries to index versions that the servers have dropped.
        if known is not None and not _replaces(shard_map, known):
            return False
        view.shard_map = shard_map
        self._renew(view, shard_map, now, first=known is None)
        return True

    def _renew(self, view: UpstreamView, shard_map: ShardMap, now: Millis, first: bool) -> None:
        earlier = view.servers
        view.servers = {}
        for server in shard_map.servers:
            known = earlier.get(server.server_id)
            if known is None:
                known = ServerView(server, view.latencies, self._policy)
                known.cold_since = NEVER if first else now
                known.leaving = {s for s, ids in self._leaving.items() if server.server_id in ids}
            known.describe(server)
            view.servers[server.server_id] = known
            self.servers[server.server_id] = known
            self._share(known)
        for server_id in earlier.keys() - view.servers.keys():
            del self.servers[server_id]
        view.ejected &= view.servers.keys()
        view.plans = tuple(
            ShardPlan(shard, tuple(view.servers[s] for s in shard.servers if s in view.servers))
            for shard in shard_map.shards
        )

    def _share(self, server: ServerView) -> None:
        # Without any shares the entry runs alone. With them, a server that control has not
        # divided up yet gets nothing: otherwise all entries together could go over its limit.
        if self._shares:
            server.set_share(self._shares.get(server.server_id, 0))
        else:
            server.set_share(server.server.max_connections)

    def set_retry_share(self, share: float) -> None:
        """Bound the retries of each upstream to this fraction of its shard requests."""
        self._policy = self._policy._replace(retry_share=share)
        for view in self.upstreams.values():
            view.retry_budget.ratio = share

    def set_shares(self, shares: Mapping[str, int]) -> None:
        """Take the shares of connections that came with the lease."""
        self._shares = shares
        for server in self.servers.values():
            self._share(server)

    def set_leaving(self, source: str, server_ids: frozenset[str]) -> None:
        """Take one source's word on which servers are leaving."""
        self._leaving[source] = server_ids
        for server_id, server in self.servers.items():
            if server_id in server_ids:
                server.leaving.add(source)
            else:
                server.leaving.discard(source)

    def boot_id_of(self, server_id: str) -> str | None:
        """Return the boot id that a server last gave, or None if it never gave one."""
        server = self.servers.get(server_id)
        return None if server is None else server.boot_id

    def apply_health(self, event: HealthReported, now: Millis) -> bool:
        """Take what a health endpoint says; return whether the server was started anew."""
        server = self.servers.get(event.server_id)
        if server is None:
            return False
        restarted = (
            event.boot_id is not None
            and server.boot_id is not None
            and event.boot_id != server.boot_id
        )
        was_starting = server.health is ServerState.STARTING
        if restarted or (was_starting and event.state is ServerState.READY):
            server.record_start(now)
        server.boot_id = event.boot_id or server.boot_id
        server.health = event.state
        if event.load is not None:
            server.record_load(event.load, now)
        return restarted

    def record_failure(self, upstream: str, server: ServerView, now: Millis) -> None:
        """Count a failure of a server; eject it after some in a row, within the cap."""
        server.failures += 1
        if server.failures < self._policy.eject_failures or now < server.ejected_until:
            return
        view = self.upstreams[upstream]
        ejected = {s for s in view.ejected if s in view.servers}
        ejected = {s for s in ejected if now < view.servers[s].ejected_until}
        # A fault of this entry's own network looks like a fault of every server. Without the cap
        # all of them would be out and the load would fall on the few that are left.
        if len(ejected) + 1 > max(1.0, self._policy.max_ejected_share * len(view.servers)):
            view.ejected = ejected
            return
        server.eject(now)
        view.ejected = ejected | {server.server_id}


def _replaces(shard_map: ShardMap, known: ShardMap) -> bool:
    if shard_map.snapshot != known.snapshot:
        return shard_map.snapshot > known.snapshot
    return shard_map != known and _weights(shard_map) == _weights(known)


def _weights(shard_map: ShardMap) -> dict[str, int]:
    return {shard.name: shard.documents for shard in shard_map.shards}
