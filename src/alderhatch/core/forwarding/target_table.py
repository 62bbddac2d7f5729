"""The servers that requests are forwarded to, as one host sees them."""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Iterable, Mapping
from random import Random

from ...clock import Millis
from ..entry_events import AttemptFault, LoadReport
from ..latency_histogram import LatencyHistogram
from ..owners import rendezvous
from ..policy import Policy
from ..replica_choice import choose_replica
from ..shard_map import Server
from .cold_start_limiter import ColdServerLimits
from .retry_budget import BudgetLimits, BudgetShare
from .route import UpstreamSettings
from .server_record import ServerRecord
from .server_state_change import ServerStateChange
from .shard_owners import ShardOwners
from .target import Target
from .upstream_targets import DEFAULT_MAX_CONNECTIONS, UpstreamTargets, usable

EVACUATED_SOURCE = "evacuated"
"""The source of the word that nothing may be sent to a server's availability zone."""
LIST_SOURCE = "list"
"""The source of the word that a server leaves: it is draining there, or gone."""
MAX_CHANGES = 300
"""Changes of belief kept until somebody asks for them; the oldest are dropped."""
SILENT_AFTER: Millis = 200.0
"""A server that has answered nothing for so long is out of order, as the pauses are shorter; one
such silence is enough to leave it alone for a while."""


class TargetTable:
    """All upstreams' servers: who is there, how well they do, and which one is asked.

    Args:
        zone: This host's availability zone.
        terms: The budget for extra requests of each upstream.
        policy: The numbers that the choice is tuned by.
        rng: Decides between servers that are equally good.
        cold: What cold servers may get; None for no limit.
    """

    def __init__(
        self,
        zone: str,
        terms: BudgetLimits,
        policy: Policy,
        rng: Random,
        cold: ColdServerLimits | None = None,
    ) -> None:
        self._zone = zone
        self._terms = terms
        self._cold = cold
        self._owners: ShardOwners | None = None
        self.policy = policy
        """The numbers that the choice is tuned by."""
        self._rng = rng
        self._constant_part = 1.0
        self._owned_parts: dict[bool, float] = {}
        """The part of the constant of upstreams that one host asks for all, by whether this one
        does."""
        self._connecting_hosts = 1
        self._evacuated: frozenset[str] = frozenset()
        """Availability zones whose servers get nothing."""
        self._sends = 0
        """Requests sent to servers since somebody asked."""
        self._upstreams: dict[str, UpstreamTargets] = {}
        self._route_latencies: dict[str, LatencyHistogram] = {}
        self._changes: deque[ServerStateChange] = deque(maxlen=MAX_CHANGES)

    # Who is there

    def upstream(self, name: str) -> UpstreamTargets:
        """Return an upstream; one that was never heard of has no servers."""
        known = self._upstreams.get(name)
        if known is None:
            known = UpstreamTargets(name, self._terms, self.policy.first_latency_ms)
            self._take_owner(known)
            self._upstreams[name] = known
        return known

    def set_host_share(
        self,
        constant_fraction: float,
        connecting: int,
        owned_parts: dict[bool, float] | None = None,
    ) -> None:
        """Take which part of budgets and connections is this host's.

        Args:
            constant_fraction: Of the constant of each upstream's budget.
            owned_parts: The same for upstreams that one host asks for all, by whether this one
                does; None for no difference.
            connecting: How many hosts hold connections to all servers.
        """
        self._constant_part = constant_fraction
        self._owned_parts = owned_parts or {}
        self._connecting_hosts = max(1, connecting)
        for upstream in self._upstreams.values():
            self._share_out(upstream)

    def set_max_connections(self, limits: Mapping[str, int]) -> None:
        """Take the connection limits of upstreams."""
        for name, limit in limits.items():
            upstream = self.upstream(name)
            upstream.max_connections = limit
            self._share_out(upstream)

    def set_upstreams(self, settings: Iterable[UpstreamSettings]) -> None:
        """Take what the configuration says of upstreams."""
        settings = list(settings)
        self.set_max_connections({one.name: one.max_connections for one in settings})
        for one in settings:
            upstream = self.upstream(one.name)
            upstream.cold_span = one.cold_span
            upstream.cold_allowed = None
            if self._cold is not None and one.cold_rate is not None:
                upstream.cold_allowed = self._cold.allowed(one.cold_rate)
            for target in upstream.targets.values():
                self._take_cold_terms(upstream, target)

    def set_owners(self, owners: ShardOwners) -> None:
        """Take who owns which upstream."""
        self._owners = owners
        for upstream in self._upstreams.values():
            self._take_owner(upstream)
            for target in upstream.targets.values():
                target.cold.owned_from = owners.owned_from(upstream.name)

    def _take_owner(self, upstream: UpstreamTargets) -> None:
        if self._owners is not None:
            is_owned = self._owners.is_split(upstream.name)
            upstream.owned_from = self._owners.split_since if is_owned else None
            upstream.is_owned_here = self._owners.owned_from(upstream.name) is not None

    def _take_cold_terms(self, upstream: UpstreamTargets, target: Target) -> None:
        target.cold_span = upstream.cold_span
        target.cold.allowed = upstream.cold_allowed
        if self._owners is not None:
            target.cold.owned_from = self._owners.owned_from(upstream.name)

    def connection_share(self, upstream: UpstreamTargets) -> int:
        """Return how many connections to each of its servers this host may hold."""
        return max(1, upstream.usable_connections // self._connecting_hosts)

    def usable_connections(self) -> int:
        """Return how many connections all hosts together may hold to any server."""
        limits = [one.max_connections for one in self._upstreams.values()]
        return usable(min(limits, default=DEFAULT_MAX_CONNECTIONS))

    def connection_shares(self) -> dict[str, int]:
        """Return the connections that this host may hold, by server id."""
        return {
            server_id: self.connection_share(upstream)
            for upstream in self._upstreams.values()
            for server_id in upstream.targets
        }

    def _share_out(self, upstream: UpstreamTargets) -> None:
        share = self.connection_share(upstream)
        for target in upstream.targets.values():
            target.set_share(share)

    def set_evacuated(self, zones: Iterable[str], now: Millis) -> None:
        """Take the availability zones whose servers get nothing from now on."""
        before = self._evacuated
        self._evacuated = frozenset(zones)
        for upstream in self._upstreams.values():
            for target in upstream.targets.values():
                if target.zone in before ^ self._evacuated:
                    self._take_evacuated(target, now)

    def _take_evacuated(self, target: Target, now: Millis) -> None:
        if target.zone in self._evacuated:
            target.leaving.add(EVACUATED_SOURCE)
            return
        target.leaving.discard(EVACUATED_SOURCE)
        # Without requests its servers may have become cold, which the list tells a moment later.
        target.may_be_cold(now)

    def update(self, records: Iterable[ServerRecord], now: Millis) -> None:
        """Take a newer list of all servers.

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
            self._take_draining(target, record.draining)
            target.take_warm_up(record.warm_up, now)
        listed = {record.server_id for record in records}
        for server_id in [server_id for server_id in known if server_id not in listed]:
            known.pop(server_id).leaving.add(LIST_SOURCE)
            self._changes.append(ServerStateChange(server_id, upstream.name, "gone", LIST_SOURCE))

    def _take_draining(self, target: Target, draining: bool) -> None:
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
        """Return what changed since this was last asked."""
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
        self._take_cold_terms(upstream, target)
        target.set_share(self.connection_share(upstream))
        if record.zone in self._evacuated:
            target.leaving.add(EVACUATED_SOURCE)
        upstream.targets[record.server_id] = target
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

    # Which one is asked

    def count_usable(self, name: str, now: Millis) -> int:
        """Return how many servers of an upstream could be asked now."""
        return sum(1 for one in self.upstream(name).targets.values() if not one.is_unavailable(now))

    def choose_sound(
        self,
        name: str,
        excluded: Container[str],
        now: Millis,
        only: Container[str] | None = None,
    ) -> Target | None:
        """Return a server that nothing speaks against, or None.

        A hedge that goes to a server which was ejected, or stands still itself, only uses up the
        budget.
        """
        target = self.choose(name, excluded, now, only)
        if target is None or target.is_last_resort(now) or target.stands_still(now):
            return None
        return target

    def agreed_servers(self, name: str, count: int, zone: str) -> frozenset[str] | None:
        """Return the servers that hosts ask which ask for the same shard one after the other.

        Every host works out the same from the same list of servers.

        Args:
            name: The upstream.
            count: How many of them may run a request.
            zone: The availability zone of the host that owns the shard.

        Returns:
            Their ids; None if there are no more servers than that which stay.
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
    ) -> Target | None:
        """Return the server of an upstream that is likely to answer first, or None.

        Servers that seem to stand still are asked only if there is no other.

        Args:
            name: The upstream.
            excluded: Ids of servers that are not to be asked.
            now: The time.
            only: Ids of the only servers that may be asked; None for all.
        """
        upstream = self.upstream(name)
        targets = [
            one for one in upstream.targets.values() if only is None or one.server_id in only
        ]
        moving = [one for one in targets if not one.stands_still(now)]
        cost = self.policy.zone_cost_ms
        # A part that comes a little later is as good, as long as it is in when the answer is due;
        # what crosses between zones is the largest part of a request's cost.
        policy = self.policy
        is_owned = upstream.owned_from is not None
        factor = policy.owner_near_factor if is_owned else policy.near_factor
        other_zone_floor = factor * upstream.latencies.median
        for among in (moving, targets):
            found = choose_replica(
                among,
                excluded,
                self._zone,
                cost,
                now,
                self._rng,
                other_zone_floor=other_zone_floor,
            )
            if isinstance(found, Target):
                return found
        return None

    # Budgets

    def budget_share(self, name: str, now: Millis) -> BudgetShare:
        """Return what this host may use of an upstream's budget."""
        upstream = self.upstream(name)
        part = self._constant_part
        if upstream.owned_from is not None and now >= upstream.owned_from + self._terms.window:
            # Until then, requests count that other hosts sent before one host asked for all.
            part = self._owned_parts.get(upstream.is_owned_here, part)
        return BudgetShare(self._terms.ratio, self._terms.constant * part)

    def count_first(self, name: str, now: Millis) -> None:
        """Count a request that goes to an upstream."""
        self.upstream(name).budget.count_first(now)

    def spend(self, name: str, now: Millis) -> bool:
        """Take one extra request to an upstream out of the budget; False if there is none."""
        return self.upstream(name).budget.spend(self.budget_share(name, now), now)

    def budget_level(self, name: str, now: Millis) -> float:
        """Return how much of an upstream's budget is left, between 0 and 1."""
        return self.upstream(name).budget.level(self.budget_share(name, now), now)

    # What was seen

    def route_latencies(self, route: str) -> LatencyHistogram:
        """Return how long the servers take for the requests of a route, for each shard alone.

        Requests of different routes go to the same servers and differ in their work; by the
        latencies of all of them, a light request's late shard would be noticed too late.
        """
        known = self._route_latencies.get(route)
        if known is None:
            known = LatencyHistogram(self.policy.first_latency_ms)
            self._route_latencies[route] = known
        return known

    def retain_routes(self, names: Container[str]) -> None:
        """Forget what was seen of routes that are no more."""
        for name in [name for name in self._route_latencies if name not in names]:
            del self._route_latencies[name]

    def record_sent(self, target: Target, attempt: int, now: Millis) -> None:
        """Count a request as out at a server."""
        self._sends += 1
        target.in_flight += 1
        target.cold.count(now)
        target.outstanding[attempt] = now

    def take_sends(self) -> int:
        """Return how many requests were sent since this was last asked."""
        sends = self._sends
        self._sends = 0
        return sends

    def record_end(self, target: Target, attempt: int) -> Millis | None:
        """Count a request as no longer out; return when it was sent, None if it was not out."""
        sent_at = target.outstanding.pop(attempt, None)
        if sent_at is not None:
            target.in_flight -= 1
        return sent_at

    def record_answer(
        self, target: Target, span: Millis, load: LoadReport | None, now: Millis
    ) -> None:
        """Take note of an answer and how long it took."""
        target.answered_at = now
        target.count_outcome(False, now)
        target.record_answer(span, load, now)
        target.upstream_latencies.record(span)

    def record_abandoned(self, target: Target, sent_at: Millis, now: Millis) -> None:
        """Take note of a request that was given up before its answer came.

        A server that has gone dark resets nothing: each request to it just waits, a second one is
        sent elsewhere, and the first is given up. Without this it would look idle, and be asked
        again and again, until the platform's list drops it some seconds later.
        """
        target.record_latency(now - sent_at, now)
        if now - sent_at >= SILENT_AFTER and target.answered_at < sent_at:
            # Once its ejection is over, a dark server of the host's own zone would be asked first
            # again and again; as a fault, its silence sends the next requests elsewhere.
            target.count_outcome(True, now)
            target.failures = max(target.failures, self.policy.eject_failures - 1)
            self._eject_after_failures(target, AttemptFault.SILENT, now)

    def record_failure(
        self, target: Target, fault: AttemptFault, retry_after: Millis | None, now: Millis
    ) -> None:
        """Take note of a request that came to nothing."""
        target.count_outcome(True, now)
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
        others = self.upstream(target.upstream).targets.values()
        ejected = sum(1 for one in others if one is not target and now < one.ejected_until)
        # Faults of the network look like faults of every server at once. Without this bound they
        # would empty an upstream that is well, seen as refusals with all its servers idle.
        if ejected + 1 > self.policy.max_ejected_share * len(others):
            return
        target.eject(now)
        if fault in (AttemptFault.NOT_SENT, AttemptFault.SILENT):
            target.may_come_back_cold(now)
        why = f"{fault}, {target.failures} in a row"
        self._changes.append(ServerStateChange(target.server_id, target.upstream, "ejected", why))
