"""The servers that requests are forwarded to, as one host sees them."""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Iterable, Mapping
from functools import partial
from random import Random
from typing import TypeVar

from ...clock import Millis
from ..entry_events import AttemptFault, LoadReport
from ..latency_histogram import LatencyHistogram
from ..owners import rendezvous
from ..policy import Policy
from ..replica_choice import choose_replica
from ..shard_map import Server
from .cold_start_limiter import ColdServerLimits
from .connection_waits import ConnectionWaits
from .retry_budget import BudgetLimits, BudgetShare
from .route import UpstreamSettings
from .server_record import ServerRecord
from .server_state_change import ServerStateChange
from .shard_owners import ShardOwners
from .target import Target
from .upstream_targets import DEFAULT_MAX_CONNECTIONS, UpstreamTargets, connection_capacity

T = TypeVar("T")

EVACUATED_SOURCE = "evacuated"
"""The source of a drain that is caused by the evacuation of a server's availability zone."""
LIST_SOURCE = "list"
"""The source of changes from the server list: the server is draining there, or gone."""
MAX_CHANGES = 300
"""State changes kept until they are read; the oldest are dropped."""
SILENCE_LIMIT: Millis = 200.0
"""A server that has answered nothing for so long is unresponsive, since pauses are shorter; one
such silence is enough to eject it."""


class TargetTable:
    """The servers of all upstreams: which are listed, their health, and which one is used.

    Args:
        zone: This host's availability zone.
        budget_limits: The retry budget of each upstream.
        policy: The tuning parameters of the choice.
        rng: Decides between servers that are equally good.
        cold: The limits of cold servers; None for no limit.
    """

    def __init__(
        self,
        zone: str,
        budget_limits: BudgetLimits,
        policy: Policy,
        rng: Random,
        cold: ColdServerLimits | None = None,
    ) -> None:
        self._zone = zone
        self._budget_limits = budget_limits
        self._cold_limits = cold
        self._owners: ShardOwners | None = None
        self.policy = policy
        """The tuning parameters of the choice."""
        self._rng = rng
        self._constant_fraction = 1.0
        self._owner_fractions: dict[bool, float] = {}
        """The fraction of the constant for upstreams that one host queries for all, by whether this
        host is that one."""
        self._connecting_hosts = 1
        self._evacuated: frozenset[str] = frozenset()
        """Availability zones whose servers get nothing."""
        self._sends = 0
        """Requests sent to servers since the last call of ``take_sends``."""
        self._upstreams: dict[str, UpstreamTargets] = {}
        self._route_latencies: dict[str, LatencyHistogram] = {}
        self._changes: deque[ServerStateChange] = deque(maxlen=MAX_CHANGES)
        self.connection_waits = ConnectionWaits()
        """The requests that wait for a connection to their server."""

    # Membership

    def upstream(self, name: str) -> UpstreamTargets:
        """Return an upstream; an unknown one has no servers."""
        known = self._upstreams.get(name)
        if known is None:
            known = UpstreamTargets(name, self._budget_limits, self.policy.first_latency_ms)
            self._update_owner(known)
            self._upstreams[name] = known
        return known

    def set_host_share(
        self,
        constant_fraction: float,
        connecting: int,
        owner_fractions: dict[bool, float] | None = None,
    ) -> None:
        """Set this host's share of the budgets and connections.

        Args:
            constant_fraction: Its fraction of the constant of each upstream's budget.
            connecting: How many hosts hold connections to all servers.
            owner_fractions: The same fraction for upstreams that one host queries for all, by
                whether this host is that one; None for no difference.
        """
        self._constant_fraction = constant_fraction
        self._owner_fractions = owner_fractions or {}
        self._connecting_hosts = max(1, connecting)
        for upstream in self._upstreams.values():
            self._update_connection_shares(upstream)

    def set_max_connections(self, limits: Mapping[str, int]) -> None:
        """Set the connection limits of upstreams."""
        for name, limit in limits.items():
            upstream = self.upstream(name)
            upstream.max_connections = limit
            self._update_connection_shares(upstream)

    def set_upstreams(self, settings: Iterable[UpstreamSettings]) -> None:
        """Set the configuration of upstreams."""
        settings = list(settings)
        self.set_max_connections({one.name: one.max_connections for one in settings})
        for one in settings:
            upstream = self.upstream(one.name)
            upstream.cold_span = one.cold_span
            upstream.cold_rate_limit = None
            if self._cold_limits is not None and one.cold_rate is not None:
                upstream.cold_rate_limit = self._cold_limits.allowed(one.cold_rate)
            for target in upstream.targets.values():
                self._update_cold_limits(upstream, target)

    def set_owners(self, owners: ShardOwners) -> None:
        """Set which host owns which upstream."""
        self._owners = owners
        for upstream in self._upstreams.values():
            self._update_owner(upstream)
            for target in upstream.targets.values():
                target.cold.owned_since = owners.owned_since(upstream.name)

    def _update_owner(self, upstream: UpstreamTargets) -> None:
        if self._owners is not None:
            is_owned = self._owners.is_split(upstream.name)
            upstream.single_owner_since = self._owners.split_since if is_owned else None
            upstream.is_owner = self._owners.owned_since(upstream.name) is not None

    def _update_cold_limits(self, upstream: UpstreamTargets, target: Target) -> None:
        target.cold_span = upstream.cold_span
        target.cold.allowed = upstream.cold_rate_limit
        if self._owners is not None:
            target.cold.owned_since = self._owners.owned_since(upstream.name)

    def connections_per_server(self, upstream: UpstreamTargets) -> int:
        """Return how many connections to each server of an upstream this host may hold."""
        return max(1, upstream.usable_connections // self._connecting_hosts)

    def usable_connections(self) -> int:
        """Return how many connections all hosts together may hold to any server."""
        limits = [one.max_connections for one in self._upstreams.values()]
        return connection_capacity(min(limits, default=DEFAULT_MAX_CONNECTIONS))

    def connection_shares(self) -> dict[str, int]:
        """Return the connections that this host may hold, by server ID."""
        return {
            server_id: self.connections_per_server(upstream)
            for upstream in self._upstreams.values()
            for server_id in upstream.targets
        }

    def _update_connection_shares(self, upstream: UpstreamTargets) -> None:
        share = self.connections_per_server(upstream)
        for target in upstream.targets.values():
            target.set_share(share)

    def set_evacuated(self, zones: Iterable[str], now: Millis) -> None:
        """Set the availability zones whose servers get nothing from now on."""
        before = self._evacuated
        self._evacuated = frozenset(zones)
        for upstream in self._upstreams.values():
            for target in upstream.targets.values():
                if target.zone in before ^ self._evacuated:
                    self._update_evacuated(target, now)

    def _update_evacuated(self, target: Target, now: Millis) -> None:
        if target.zone in self._evacuated:
            target.leaving.add(EVACUATED_SOURCE)
            return
        target.leaving.discard(EVACUATED_SOURCE)
        # Without requests its servers may have become cold, which the list shows a moment later.
        target.assume_cold(now)

    def update(self, records: Iterable[ServerRecord], now: Millis) -> None:
        """Replace the list of all servers.

        Args:
            records: Every server that is listed.
            now: The time.
        """
        listed: dict[str, list[ServerRecord]] = {}
        for record in records:
            listed.setdefault(record.upstream, []).append(record)
        for name in {*listed, *self._upstreams}:
            self._update_upstream(self.upstream(name), listed.get(name, []), now)

    def _update_upstream(
        self, upstream: UpstreamTargets, records: list[ServerRecord], now: Millis
    ) -> None:
        known = upstream.targets
        for record in records:
            target = known.get(record.server_id)
            if target is None:
                target = self._add(upstream, record, now)
            self._update_draining(target, record.draining)
            target.update_warm_up(record.warm_up, now)
        listed = {record.server_id for record in records}
        for server_id in [server_id for server_id in known if server_id not in listed]:
            upstream.remove(server_id).leaving.add(LIST_SOURCE)
            self._changes.append(ServerStateChange(server_id, upstream.name, "gone", LIST_SOURCE))

    def _update_draining(self, target: Target, draining: bool) -> None:
        if draining == (LIST_SOURCE in target.leaving):
            return
        if draining:
            target.leaving.add(LIST_SOURCE)
        else:
            target.leaving.discard(LIST_SOURCE)
        belief = "leaving" if draining else "staying"
        self._changes.append(
            ServerStateChange(target.server_id, target.upstream, belief, LIST_SOURCE)
        )

    def take_changes(self) -> list[ServerStateChange]:
        """Return the changes since the last call."""
        changes = list(self._changes)
        self._changes.clear()
        return changes

    def _add(self, upstream: UpstreamTargets, record: ServerRecord, now: Millis) -> Target:
        server = Server(
            record.server_id,
            record.address,
            record.port,
            record.zone,
            record.slots,
            upstream.max_connections,
        )
        target = Target(upstream.name, server, upstream.latencies, self.policy)
        self._update_cold_limits(upstream, target)
        target.set_share(self.connections_per_server(upstream))
        if record.zone in self._evacuated:
            target.leaving.add(EVACUATED_SOURCE)
        upstream.add(target)
        self._changes.append(
            ServerStateChange(record.server_id, upstream.name, "listed", LIST_SOURCE)
        )
        return target

    def count_states(self, now: Millis) -> dict[str, int]:
        """Return how many listed servers are usable, doubtful and barred."""
        counts = {"usable": 0, "doubtful": 0, "barred": 0}
        for upstream in self._upstreams.values():
            for target in upstream.targets.values():
                if target.is_unavailable(now):
                    counts["barred"] += 1
                else:
                    counts["doubtful" if target.is_last_resort(now) else "usable"] += 1
        return counts

    # Choice of a server

    def count_usable(self, name: str, now: Millis) -> int:
        """Return how many servers of an upstream could be used now."""
        upstream = self.upstream(name)
        usable = sum(1 for one in upstream.candidates() if not one.is_unavailable(now))
        if usable:
            return usable
        return sum(1 for one in upstream.newcomers.unreachable if not one.is_unavailable(now))

    def choose_healthy(
        self,
        name: str,
        excluded: Container[str],
        now: Millis,
        only: Container[str] | None = None,
        avoid_newcomers: bool = False,
    ) -> Target | None:
        """Return the best server if it is healthy, or None.

        A hedge that goes to a server which was ejected or is stalled only uses up the budget.
        """
        target = self.choose(name, excluded, now, only, avoid_newcomers)
        if target is None or target.is_last_resort(now) or target.is_stalled(now):
            return None
        return target

    def servers_in_trial(self, name: str) -> set[str]:
        """Return the servers of an upstream that run a request which may crash them.

        If two such requests ran on the same server, its end would prove nothing about either.
        """
        targets = self.upstream(name).targets
        return {server_id for server_id, one in targets.items() if one.trials}

    def in_random_order(self, items: Iterable[T]) -> list[T]:
        """Return items in an order that is different each time and at each host."""
        shuffled = list(items)
        self._rng.shuffle(shuffled)
        return shuffled

    def nearby_servers(self, target: Target, count: int) -> list[str]:
        """Return servers other than a given one, at random, those of its zone first."""
        others = self.in_random_order(
            one
            for upstream in self._upstreams.values()
            for one in upstream.targets.values()
            if one is not target and not one.leaving
        )
        others.sort(key=lambda one: one.zone != target.zone)
        return [one.server_id for one in others[:count]]

    def agreed_servers(self, name: str, count: int, zone: str) -> frozenset[str] | None:
        """Return the servers to which every host sends its queries of the same shard.

        Every host computes the same result from the same list of servers.

        Args:
            name: The upstream.
            count: How many of them may run a request.
            zone: The availability zone of the host that owns the shard.

        Returns:
            Their IDs; None if no more servers than that are staying.
        """
        listed = self.upstream(name).targets
        targets = {server_id: one for server_id, one in listed.items() if not one.leaving}
        if len(targets) <= count:
            return None
        near = {server_id for server_id, one in targets.items() if one.zone == zone}
        ranked = sorted(rendezvous(name, sorted(targets)), key=lambda one: one not in near)
        return frozenset(ranked[:count])

    def choose(
        self,
        name: str,
        excluded: Container[str],
        now: Millis,
        only: Container[str] | None = None,
        avoid_newcomers: bool = False,
    ) -> Target | None:
        """Return the server of an upstream that is likely to answer first, or None.

        Servers that seem to be stalled are used only if there is no other. Of those that have never
        answered, only a few are tried at a time while proven ones can be used.

        Args:
            name: The upstream.
            excluded: Ids of servers that must not be used.
            now: The time.
            only: Ids of the only servers that may be used; None for all.
            avoid_newcomers: Whether no server that has never answered is tried while a proven one
                has a free slot.
        """
        upstream = self.upstream(name)
        cost = self.policy.zone_cost_ms
        # A slightly later part is as good, as long as it arrives before the answer is due; traffic
        # between zones is the largest part of a request's cost.
        policy = self.policy
        is_owned = upstream.single_owner_since is not None
        factor = policy.owner_near_factor if is_owned else policy.near_factor
        other_zone_floor = factor * upstream.latencies.median
        choose_from = partial(
            choose_replica,
            excluded=excluded,
            zone=self._zone,
            zone_cost=cost,
            now=now,
            rng=self._rng,
            other_zone_floor=other_zone_floor,
        )
        newcomers = upstream.newcomers
        may_try = newcomers.may_try(now)
        if newcomers and (avoid_newcomers or not may_try):
            proven = _listed(upstream.proven.values(), only)
            found = choose_from([one for one in proven if not one.is_stalled(now)])
            if isinstance(found, Target) and _serves_now(found, now, needs_slot=may_try):
                return found
        candidates = _listed(upstream.candidates(), only)
        not_stalled = [one for one in candidates if not one.is_stalled(now)]
        for servers in (not_stalled, candidates):
            found = choose_from(servers)
            if isinstance(found, Target):
                return found
        found = choose_from(_listed(newcomers.unreachable, only))
        return found if isinstance(found, Target) else None

    # Budgets

    def budget_share(self, name: str, now: Millis) -> BudgetShare:
        """Return what this host may use of an upstream's budget."""
        upstream = self.upstream(name)
        part = self._constant_fraction
        if (
            upstream.single_owner_since is not None
            and now >= upstream.single_owner_since + self._budget_limits.window
        ):
            # Before that, the window holds requests sent by other hosts while they all queried the
            # upstream.
            part = self._owner_fractions.get(upstream.is_owner, part)
        return BudgetShare(self._budget_limits.ratio, self._budget_limits.constant * part)

    def count_first(self, name: str, now: Millis) -> None:
        """Count a request to an upstream, without its retries and hedges."""
        self.upstream(name).budget.count_first(now)

    def spend(self, name: str, now: Millis) -> bool:
        """Charge one additional request to an upstream; return False if its budget is exhausted."""
        return self.upstream(name).budget.spend(self.budget_share(name, now), now)

    def remaining_budget(self, name: str, now: Millis) -> float:
        """Return the fraction of an upstream's budget that is left, between 0 and 1."""
        return self.upstream(name).budget.remaining_fraction(self.budget_share(name, now), now)

    # Observations

    def route_latencies(self, route: str) -> LatencyHistogram:
        """Return the latencies of a route's requests to servers, for each shard alone.

        Requests of different routes go to the same servers and differ in their work. Judged by the
        latencies of all of them, a late shard of a light request would be noticed too late.
        """
        known = self._route_latencies.get(route)
        if known is None:
            known = LatencyHistogram(self.policy.first_latency_ms)
            self._route_latencies[route] = known
        return known

    def retain_routes(self, names: Container[str]) -> None:
        """Drop the latencies of routes that no longer exist."""
        for name in [name for name in self._route_latencies if name not in names]:
            del self._route_latencies[name]

    def record_sent(
        self, target: Target, attempt: int, now: Millis, in_trial: bool = False
    ) -> None:
        """Record that a request was sent to a server.

        Args:
            target: The server.
            attempt: The number of the attempt.
            now: The time.
            in_trial: Whether it may crash the server, and runs on no other.
        """
        if in_trial:
            target.trials.add(attempt)
        self._sends += 1
        target.in_flight += 1
        target.cold.count_request(now)
        target.outstanding[attempt] = now

    def record_connected(self, target: Target, attempt: int, now: Millis) -> None:
        """Record that a request got its connection only now, through no fault of its server."""
        if attempt in target.outstanding:
            target.outstanding[attempt] = now

    def take_sends(self) -> int:
        """Return how many requests were sent since the last call."""
        sends = self._sends
        self._sends = 0
        return sends

    def record_end(self, target: Target, attempt: int) -> Millis | None:
        """Mark a request as no longer in flight; return when it was sent, None if it was not."""
        target.trials.discard(attempt)
        sent_at = target.outstanding.pop(attempt, None)
        if sent_at is not None:
            target.in_flight -= 1
        return sent_at

    def record_answer(
        self, target: Target, span: Millis, load: LoadReport | None, now: Millis
    ) -> None:
        """Record an answer and its latency."""
        target.answered_at = now
        self.upstream(target.upstream).record_answer(target)
        target.record_outcome(False, now)
        target.record_answer(span, load, now)
        target.upstream_latencies.record(span)

    def record_abandoned(self, target: Target, sent_at: Millis, now: Millis) -> None:
        """Record a request that was abandoned before its answer arrived.

        A server that stops responding resets no connection: each request to it just waits, a second
        one is sent elsewhere, and the first is abandoned. Without this record it would look idle
        and be chosen again and again, until the platform's list drops it some seconds later.
        """
        target.record_latency(now - sent_at, now)
        if now - sent_at >= SILENCE_LIMIT and target.answered_at < sent_at:
            # Once its ejection ends, an unresponsive server of the host's own zone would be chosen
            # first again and again; counted as a fault, its silence sends the next requests
            # elsewhere.
            target.record_outcome(True, now)
            self.upstream(target.upstream).newcomers.record_failure(target, now)
            target.failures = max(target.failures, self.policy.eject_failures - 1)
            self._eject_after_failures(target, AttemptFault.SILENT, now)

    def record_failure(
        self, target: Target, fault: AttemptFault, retry_after: Millis | None, now: Millis
    ) -> None:
        """Record a request that failed."""
        target.record_outcome(True, now)
        if fault is not AttemptFault.SHED:
            self.upstream(target.upstream).newcomers.record_failure(target, now)
        match fault:
            case AttemptFault.SHED:
                target.record_shed(retry_after, now)
            case AttemptFault.DRAINING | AttemptFault.MOVED:
                target.record_draining(now)
            case _:
                self._eject_after_failures(target, fault, now)

    def _eject_after_failures(self, target: Target, fault: AttemptFault, now: Millis) -> None:
        target.failures += 1
        if target.failures < self.policy.eject_failures:
            return
        if not self._may_eject(target, now):
            return
        target.eject(now)
        if fault in (AttemptFault.NOT_SENT, AttemptFault.SILENT):
            target.expect_cold_restart(now)
        why = f"{fault}, {target.failures} in a row"
        self._changes.append(ServerStateChange(target.server_id, target.upstream, "ejected", why))

    def _may_eject(self, target: Target, now: Millis) -> bool:
        upstream = self.upstream(target.upstream)
        others = upstream.targets.values()
        if target in upstream.newcomers and len(upstream.newcomers) < len(others):
            return True
        ejected = sum(1 for one in others if one is not target and now < one.ejected_until)
        # Network faults look like faults of every server at once. Without this limit they would
        # eject all servers of a healthy upstream, and requests would be refused while its servers
        # are idle.
        return ejected + 1 <= self.policy.max_ejected_share * len(others)

    def record_connection(self, name: str, server_id: str, is_open: bool, now: Millis) -> None:
        """Record that a connection to a server of an upstream was opened, or could not be."""
        upstream = self.upstream(name)
        target = upstream.targets.get(server_id)
        if target is not None:
            target.record_connection(is_open, now)
            upstream.newcomers.record_connection(target, is_open)


def _listed(targets: Iterable[Target], only: Container[str] | None) -> list[Target]:
    return [one for one in targets if only is None or one.server_id in only]


def _serves_now(target: Target, now: Millis, needs_slot: bool) -> bool:
    """Return whether a proven server can take a request, in a free slot if it needs one."""
    return not target.is_last_resort(now) and (not needs_slot or target.load(now) < target.slots)
