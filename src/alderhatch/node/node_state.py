"""The state of a node: its configuration, the servers, and the other hosts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from random import Random

import trio

from ..clock import SECOND, Clock, Millis
from ..core.control.configuration_register import NO_CONFIGURATION, StoredConfiguration
from ..core.control.evacuations import NO_EVACUATIONS, Evacuations
from ..core.forwarding.active_hosts_cause import ActiveHostsCause
from ..core.forwarding.caller_hosts import (
    HostRecord,
    caller_endpoint,
    choose_caller_hosts,
    rank_hosts,
)
from ..core.forwarding.cold_start_limiter import ColdServerLimits
from ..core.forwarding.configuration_lease import ConfigurationLease
from ..core.forwarding.host_reachability import HostReachability
from ..core.forwarding.organisation import Organisation, OrganisationTable
from ..core.forwarding.retry_budget import BudgetLimits, constant_fraction, owner_constant_fraction
from ..core.forwarding.route import AllShards, CallerLimits, TierConfiguration
from ..core.forwarding.route_table import RouteTable
from ..core.forwarding.server_record import ServerRecord
from ..core.forwarding.shard_owners import ShardOwners
from ..core.forwarding.target_table import TargetTable
from ..core.policy import Policy
from ..entry.connection_pool import ConnectionPool
from ..errors import AlderhatchError
from ..log import log_event
from ..log_events import LogEvent
from ..signal import Signal
from .crash_guard import CrashGuard
from .start_timeline import StartStep, StartTimeline
from .tier_messages import Place, TierView

HOST_COUNT_RETENTION: Millis = 30 * SECOND
"""Budgets and connections are divided by the highest number of hosts seen within this time. A host
that is cut off from the leader goes on using its share, so the others must not use it as well."""
RESERVES_PROBED = 4
"""How many hosts behind the active ones are probed with these in a tier with standby hosts. If one
of them answers, a host that reaches no active host knows that it is not cut off itself."""

Decoder = Callable[[bytes], TierConfiguration]
"""Decodes an operator's configuration; raises ``AlderhatchError`` if it is invalid."""


class NodeState:
    """Holds a node's state; all changes to it go through this class.

    Args:
        name: This host's name.
        zone: This host's availability zone.
        decode: Decodes configurations.
        pool: The connections to servers, opened and closed as the server list changes.
        budget_limits: The limits of the budget for additional requests.
        policy: The parameters of server selection.
        clock: The time source.
        rng: Breaks ties between servers.
        cold: The limits of cold servers; None for no limit.
        lease_duration: How long a confirmation of the configuration counts; None if keys are served
            without a lease.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        decode: Decoder,
        pool: ConnectionPool,
        budget_limits: BudgetLimits,
        policy: Policy,
        clock: Clock,
        rng: Random,
        cold: ColdServerLimits | None = None,
        lease_duration: Millis | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.timeline: StartTimeline | None = None
        """Logs the steps of the start; None for no log."""
        self._decode = decode
        self._pool = pool
        self._clock = clock
        self.table = TargetTable(zone, budget_limits, policy, rng, cold)
        self.crash_guard = CrashGuard(clock)
        """Protects servers from requests that crash them."""
        self.crash_guard.nearby_servers = self.table.nearby_servers
        self.routes = RouteTable(())
        self.limits = CallerLimits()
        self.organisations: OrganisationTable | None = None
        """The organisations; None if the configuration declares none."""
        self.lease = ConfigurationLease(lease_duration)
        """The lease on the configuration in use."""
        self.organisations_since: Millis = 0.0
        """Since when the configurations in use have declared organisations."""
        self.leased = Signal()
        """Notified when the lease may have been extended."""
        self.stored: StoredConfiguration = NO_CONFIGURATION
        self.evacuations = NO_EVACUATIONS
        """The availability zones whose servers get no requests."""
        self.configured = Signal()
        """Notified when a newer configuration is in use."""
        self.records: dict[str, ServerRecord] = {}
        """All listed servers by ID."""
        self.list_fresh_at: Millis | None = None
        """When the server list was last known to be fresh; None if never."""
        self.leader_since: Millis = float("-inf")
        """When this host found the leader that it followed last."""
        self.view: TierView | None = None
        """The leader's last view of the hosts."""
        self.hosts: list[HostRecord] = []
        """The live hosts that serve callers or are a reserve, from the leader's last view."""
        self.live_host_count = 0
        """The number of live hosts in the tier."""
        self.caller_hosts: list[HostRecord] = []
        """The active hosts, which callers are sent to."""
        self.processor_needed = 0.0
        """Processor time that the active hosts should have together, in seconds per second."""
        self._reachability = HostReachability()
        """Results of this host's probes since the leader's last view."""
        self.owners = ShardOwners(name, policy.split_parts)
        """Which of the active hosts owns a shard."""
        self._active_at: dict[str, Millis] = {}
        """When each host was last active, by name."""
        self._is_chosen = False
        """Whether this host is active by the leader's choice, and not only because active hosts
        can't be reached."""
        self._chosen_at: Millis | None = None
        """When this host was last active by the leader's choice; None if that is long ago."""
        self.active_host_changes: Counter[ActiveHostsCause] = Counter()
        """How often the active hosts changed, by cause."""
        self.controls: list[Place] = []
        """Members of the replicated log, from the leader's last view."""
        self.started = trio.Event()
        """Set once the node knows its configuration and the servers."""
        self.stands_by = False
        """Whether this host is a standby host, as decided by the leader."""
        self.wants_servers = False
        """Whether this host needs the server list although it is a standby host."""
        self._seen_version = 0
        self._routed_upstreams: frozenset[str] = frozenset()
        self._host_counts: list[tuple[Millis, int]] = []

    # The configuration

    def apply_configuration(self, stored: StoredConfiguration) -> None:
        """Use a configuration if it is newer than the current one."""
        if stored.version <= self.stored.version:
            return
        try:
            configuration = self._decode(stored.document)
        except AlderhatchError as exc:
            # A host of an earlier build may have accepted what this one finds invalid. An error
            # here would end the process, and again at each start from its checkpoint.
            failure = exc.failure
            log_event(
                LogEvent.CONFIGURATION_REFUSED,
                version=stored.version,
                field=failure.field,
                why=failure.message,
            )
            return
        self.stored = stored
        self.routes = RouteTable(configuration.routes)
        self.limits = configuration.limits
        self._apply_organisations(configuration.organisations)
        self.lease.use_version(stored.version)
        self.table.set_upstreams(configuration.upstreams)
        self._routed_upstreams = frozenset(
            name for route in configuration.routes for name in route.upstreams
        )
        gathers = (
            one.upstreams for one in configuration.routes if isinstance(one.destination, AllShards)
        )
        if self.owners.set_gathers(gathers, self._clock.now()):
            self.table.set_owners(self.owners)
        self.table.retain_routes({route.name for route in configuration.routes})
        self._choose_caller_hosts(ActiveHostsCause.CONFIGURATION)
        self._update_connections()
        self.configured.notify()
        self.leased.notify()
        log_event(
            LogEvent.CONFIGURATION_ADOPTED, version=stored.version, routes=len(configuration.routes)
        )

    def _apply_organisations(self, declared: tuple[Organisation, ...] | None) -> None:
        if self.organisations is None:
            self.organisations_since = self._clock.now()
        self.organisations = OrganisationTable(declared) if declared is not None else None

    @property
    def needs_lease(self) -> bool:
        """Whether keys may be served only while this host has a lease."""
        return self.organisations is not None and self.lease.duration is not None

    @property
    def awaits_first_lease(self) -> bool:
        """Whether no confirmation has arrived since this host first used organisations."""
        return self.needs_lease and self.lease.confirmed_at < self.organisations_since

    def organisation(self, name: str) -> Organisation | None:
        """Return the organisation with a name, as the configuration in use declares it."""
        return self.organisations.named(name) if self.organisations is not None else None

    @property
    def has_split_gather(self) -> bool:
        """Whether any route gathers so many parts that the gather is split among hosts."""
        return self.owners.split_since is not None

    @property
    def seen_version(self) -> int:
        """The newest version in use at this host, or at hosts that answered requests for it.

        A caller that was served with this version must never get an older one from this host.
        """
        return max(self._seen_version, self.stored.version)

    def record_seen_version(self, version: int) -> None:
        """Record the version that another host used to serve a caller of this host."""
        self._seen_version = max(self._seen_version, version)
        self.lease.record_seen(version)

    def apply_evacuations(self, evacuations: Evacuations) -> None:
        """Stop sending requests to evacuated availability zones, and resume for all others.

        Older evacuations than the current ones are ignored.
        """
        if evacuations.number <= self.evacuations.number:
            return
        self.evacuations = evacuations
        self.table.set_evacuated(evacuations.zones, self._clock.now())
        log_event(
            LogEvent.EVACUATIONS_ADOPTED, number=evacuations.number, zones=list(evacuations.zones)
        )

    # The servers

    def apply_servers(self, changed: Iterable[ServerRecord], gone: Iterable[str]) -> None:
        """Apply changes to the server list."""
        for server_id in gone:
            self.records.pop(server_id, None)
        for record in changed:
            self.records[record.server_id] = record
        if self.records:
            self.record_step(StartStep.SERVERS)
        self._update_connections()

    def record_connection(self, upstream: str, server_id: str, is_open: bool) -> None:
        """Record that a connection to a server was opened, or could not be."""
        self.table.record_connection(upstream, server_id, is_open, self._clock.now())

    def mark_list_fresh(self) -> None:
        """Record that the server list is up to date now."""
        self.list_fresh_at = self._clock.now()

    def list_age(self) -> Millis:
        """Return how long ago the server list was last known to be fresh."""
        return (
            self._clock.now() - self.list_fresh_at
            if self.list_fresh_at is not None
            else float("inf")
        )

    @property
    def is_started(self) -> bool:
        """Whether the node knows its configuration and the servers."""
        return self.started.is_set()

    def apply_standing(self, stands_by: bool) -> None:
        """Apply the leader's decision whether this host is a standby host."""
        if stands_by == self.stands_by:
            return
        self.stands_by = stands_by
        self.wants_servers = False
        log_event(LogEvent.STANDING_CHANGED, stands_by=stands_by)
        if stands_by:
            # Without updates the list would keep servers that are leaving.
            self.apply_servers((), list(self.records))
            self.list_fresh_at = None

    @property
    def hands_over(self) -> bool:
        """Whether requests are handed over: this is a standby host that knows no servers."""
        return self.stands_by and not self.records

    def request_server_list(self) -> None:
        """Request the server list, as no host was found to hand a request over to."""
        self.wants_servers = True

    def record_step(self, step: StartStep) -> None:
        """Log a step of the start, if the start is logged."""
        if self.timeline is not None:
            self.timeline.record(step)

    def _start_if_known(self) -> None:
        has_other_host = any(host.name != self.name for host in self.caller_hosts)
        if self.stored.version > 0 and (self.records or (self.stands_by and has_other_host)):
            self.started.set()
            self.record_step(StartStep.READY)

    def _update_connections(self) -> None:
        self._start_if_known()
        now = self._clock.now()
        self.table.update(self.records.values(), now)
        # Connections are kept only to upstreams that a route names. An index that is being built
        # has as many servers as the one in use, and each connection costs its server time.
        for name in self._routed_upstreams:
            upstream = self.table.upstream(name)
            connected = set(self._pool.server_ids(name))
            gone = connected - upstream.targets.keys()
            self._pool.update_servers(name, [one.server for one in upstream.targets.values()], gone)
        for name in self._pool.upstreams() - self._routed_upstreams:
            self._pool.update_servers(name, (), self._pool.server_ids(name))
        self._update_shares()

    def on_new_leader(self) -> None:
        """Prepare for a new leader."""
        self.leader_since = self._clock.now()
        self.record_step(StartStep.LEADER)
        self.crash_guard.on_new_leader()

    # The hosts

    def apply_view(self, view: TierView) -> None:
        """Apply the leader's view of the hosts."""
        # The hosts of the last view count as live until now, however old that view is.
        live_hosts = max(len(view.hosts), view.alive)
        max_hosts = max(self.live_host_count, live_hosts)
        self.live_host_count = live_hosts
        self.view = view
        self._reachability = HostReachability()
        self.hosts = view.hosts
        self.controls = view.controls
        self.processor_needed = view.processor_needed
        now = self._clock.now()
        counts = [(at, count) for at, count in self._host_counts if now - at < HOST_COUNT_RETENTION]
        self._host_counts = [*counts, (now, max_hosts)]
        self._choose_caller_hosts(ActiveHostsCause.LEADER)
        self._start_if_known()
        self._update_shares()

    @property
    def unreachable_hosts(self) -> frozenset[str]:
        """The names of hosts whose probes have failed since the leader's last view."""
        return self._reachability.unreachable

    def hosts_to_probe(self) -> list[HostRecord]:
        """Return the other hosts to probe.

        These are the active ones, in a tier with standby hosts a few that would replace them, and
        those that were unreachable.
        """
        reachable = self._reachability.reachable(self.hosts)
        active = self.choose(reachable, self.processor_needed)
        others = [host for host in rank_hosts(reachable) if host not in active]
        reserve = others[:RESERVES_PROBED] if self.has_standby_hosts else []
        lost = [host for host in self.hosts if host.name in self._reachability.unreachable]
        return [host for host in (*active, *reserve, *lost) if host.name != self.name]

    def record_host_probes(self, reached: Mapping[str, bool]) -> None:
        """Record which hosts were reached by the probes, by name."""
        self._reachability.record_probes(reached)
        self._choose_caller_hosts(ActiveHostsCause.PROBES)
        self._update_shares()

    def forget_host_probes(self) -> None:
        """Return to the leader's last view, as the leader is heard again."""
        if self._reachability.unreachable:
            self._reachability = HostReachability()
            self._choose_caller_hosts(ActiveHostsCause.LEADER)
            self._update_shares()

    def host_endpoints(self) -> set[tuple[str, int]]:
        """Return the addresses and ports at which the known hosts accept callers."""
        return {caller_endpoint(host) for host in self.hosts}

    @property
    def has_standby_hosts(self) -> bool:
        """Whether the tier has hosts that query no servers."""
        return self.view is not None and self.view.has_standby_hosts

    @property
    def is_advertised(self) -> bool:
        """Whether this host is one of the active ones or of those that would replace them."""
        return self.view is not None and self.view.lists(self.name)

    def choose(self, hosts: Iterable[HostRecord], processor_needed: float) -> list[HostRecord]:
        """Return the active hosts.

        Args:
            hosts: The live hosts.
            processor_needed: Processor time that the active hosts should have together.
        """
        return choose_caller_hosts(
            hosts,
            self.table.usable_connections(),
            processor_needed,
            self.routes.gather_processor,
        )

    def _choose_caller_hosts(self, cause: ActiveHostsCause) -> None:
        now = self._clock.now()
        before = self.caller_hosts
        self.caller_hosts = self.choose(
            self._reachability.eligible(self.hosts), self.processor_needed
        )
        if self.owners.set_hosts(self.caller_hosts, now):
            self.table.set_owners(self.owners)
        for host in (*before, *self.caller_hosts):
            self._active_at[host.name] = now
        self._active_at = {
            name: at for name, at in self._active_at.items() if now - at < HOST_COUNT_RETENTION
        }
        self._update_chosen(now)
        if {host.name for host in before} != {host.name for host in self.caller_hosts}:
            self._record_active_hosts_change(cause)

    def _update_chosen(self, now: Millis) -> None:
        is_active = self._is_in(self.caller_hosts)
        is_alternative = self.has_standby_hosts and bool(self._reachability.unreachable)
        was_chosen = self._is_chosen
        self._is_chosen = is_active and (
            not is_alternative or self._is_in(self.choose(self.hosts, self.processor_needed))
        )
        if was_chosen or self._is_chosen:
            self._chosen_at = now
        elif self._chosen_at is not None and now - self._chosen_at >= HOST_COUNT_RETENTION:
            self._chosen_at = None

    @property
    def stands_in(self) -> bool:
        """Whether this host is active only because active hosts can't be reached."""
        return not self._is_chosen and self._is_in(self.caller_hosts)

    def _is_in(self, hosts: Iterable[HostRecord]) -> bool:
        return any(host.name == self.name for host in hosts)

    def _record_active_hosts_change(self, cause: ActiveHostsCause) -> None:
        self.active_host_changes[cause] += 1
        log_event(
            LogEvent.ACTIVE_HOSTS_CHANGED,
            hosts=[host.name for host in self.caller_hosts],
            why=cause,
            stands_in=self.stands_in,
        )

    def _keeps_connections_warm(self, upstream: str) -> bool:
        """Return whether connections to an upstream are opened ahead of requests.

        Shards owned by another host are queried here only if that host is lost.
        """
        owners = self.owners
        return not owners.is_split(upstream) or owners.owner(upstream) == self.name

    def _update_shares(self) -> None:
        max_hosts = max((count for _, count in self._host_counts), default=1)
        was_active = self.name in self._active_at
        # A standby host uses at most one connection to each server, opened on demand.
        fraction = constant_fraction(max_hosts, len(self._active_at), was_active)
        owned = {
            one: owner_constant_fraction(max_hosts, len(self._active_at), was_active, one)
            for one in (False, True)
        }
        self.table.set_host_share(
            fraction, len(self._active_at) if was_active else max_hosts, owned
        )
        # The hosts that stand in for lost ones all begin at the same moment. If each opened a
        # connection to every server, the servers would be busy with that when requests arrive, and
        # the lost hosts may be back before it ends. They open connections for requests only.
        is_warm = was_active and self._chosen_at is not None
        self._pool.keeps_warm = self._keeps_connections_warm if is_warm else lambda upstream: False
        self._pool.set_shares(self.table.connection_shares())
