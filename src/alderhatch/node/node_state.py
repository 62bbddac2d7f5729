"""What a node believes: its configuration, the servers, and the other hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from random import Random

import trio

from ..clock import SECOND, Clock, Millis
from ..core.control.configuration_register import NO_CONFIGURATION, StoredConfiguration
from ..core.control.evacuations import NO_EVACUATIONS, Evacuations
from ..core.crash_detector import CrashDetector
from ..core.entry_events import AttemptFault
from ..core.forwarding.caller_hosts import HostRecord, choose_caller_hosts
from ..core.forwarding.cold_start_limiter import ColdServerLimits
from ..core.forwarding.crash_counter import CRASH_RETENTION, QUARANTINE_DURATION
from ..core.forwarding.host_reachability import HostReachability
from ..core.forwarding.retry_budget import BudgetLimits, constant_fraction, owner_constant_fraction
from ..core.forwarding.route import AllShards, CallerLimits, TierConfiguration
from ..core.forwarding.route_table import RouteTable
from ..core.forwarding.server_record import ServerRecord
from ..core.forwarding.shard_owners import ShardOwners
from ..core.forwarding.target import Target
from ..core.forwarding.target_table import TargetTable
from ..core.policy import Policy
from ..entry.connection_pool import ConnectionPool
from ..log import log_event
from ..log_events import LogEvent
from ..signal import Signal
from .tier_messages import CrashReport, Place, TierView

MAX_CRASHES = 20
"""Crashes in one report; a zone that is lost is no crash of requests."""
HOSTS_MEMORY: Millis = 30 * SECOND
"""Budgets and connections are divided by the most hosts seen within this time. A host that is cut
off from the leader goes on using its share, and those that are left must not use it as well."""

Decoder = Callable[[bytes], TierConfiguration]
"""Reads an operator's document; raises ``AlderhatchError`` if it is not valid."""


class NodeState:
    """The one place where a node's beliefs change.

    Args:
        name: This host's name.
        zone: This host's availability zone.
        decode: Reads configurations.
        pool: Told which servers there are.
        terms: The budget for extra requests.
        policy: The numbers that the choice of servers is tuned by.
        clock: The time.
        rng: Decides between servers that are equally good.
        cold: What cold servers may get; None for no limit.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        decode: Decoder,
        pool: ConnectionPool,
        terms: BudgetLimits,
        policy: Policy,
        clock: Clock,
        rng: Random,
        cold: ColdServerLimits | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self._decode = decode
        self._pool = pool
        self._clock = clock
        self.table = TargetTable(zone, terms, policy, rng, cold)
        self.crash_detector = CrashDetector(QUARANTINE_DURATION)
        """What this host saw of requests that crash servers."""
        self._quarantined_until: dict[str, Millis] = {}
        """When the requests that the leader refuses everywhere may run again."""
        self.crashes: list[CrashReport] = []
        """Crashes that the leader was not told of yet."""
        self._told_crashes: list[tuple[Millis, CrashReport]] = []
        """Crashes that it was told of, and when."""
        self.routes = RouteTable(())
        self.limits = CallerLimits()
        self.stored: StoredConfiguration = NO_CONFIGURATION
        self.evacuations = NO_EVACUATIONS
        """The availability zones whose servers get nothing."""
        self.configured = Signal()
        """Notified when a newer configuration is in use."""
        self.records: dict[str, ServerRecord] = {}
        """All listed servers by their ids."""
        self.listed_at: Millis | None = None
        """When the list was last known to be fresh."""
        self.view: TierView | None = None
        """The leader's last word of who is there."""
        self.hosts: list[HostRecord] = []
        """The live hosts that serve callers or may be next, by the leader's last word."""
        self.hosts_alive = 0
        """How many hosts there are in all."""
        self.caller_hosts: list[HostRecord] = []
        """Those of them that callers are sent to."""
        self.processor_needed = 0.0
        """How much processor time those should have together, in seconds a second."""
        self._reach = HostReachability()
        """What this host found out by itself since the leader's last word."""
        self.owners = ShardOwners(name, policy.split_parts)
        """Which of those hosts owns a shard."""
        self._named: dict[str, Millis] = {}
        """When each host was last among those that callers are sent to."""
        self.controls: list[Place] = []
        """Hosts of the replicated log by the leader's last word."""
        self.started = trio.Event()
        """Set once the node knows its configuration and the servers."""
        self.stands_by = False
        """Whether this host hands requests over, by the leader's word."""
        self.wants_servers = False
        """Whether it needs the list of servers although it stands by."""
        self._seen_version = 0
        self._wanted: frozenset[str] = frozenset()
        self._host_counts: list[tuple[Millis, int]] = []

    # The configuration

    def take_configuration(self, stored: StoredConfiguration) -> None:
        """Serve by a configuration if it is newer than the present one."""
        if stored.version <= self.stored.version:
            return
        cfg = self._decode(stored.document)
        self.stored = stored
        self.routes = RouteTable(cfg.routes)
        self.limits = cfg.limits
        self.table.set_upstreams(cfg.upstreams)
        self._wanted = frozenset(name for route in cfg.routes for name in route.upstreams)
        gathers = (one.upstreams for one in cfg.routes if isinstance(one.destination, AllShards))
        if self.owners.set_gathers(gathers, self._clock.now()):
            self.table.set_owners(self.owners)
        self.table.retain_routes({route.name for route in cfg.routes})
        self._choose_caller_hosts()
        self._connect()
        self.configured.notify()
        log_event(LogEvent.CONFIGURATION_ADOPTED, version=stored.version, routes=len(cfg.routes))

    @property
    def gathers_many(self) -> bool:
        """Whether any route gathers so many parts that several hosts ask for them."""
        return self.owners.split_since is not None

    @property
    def seen_version(self) -> int:
        """The newest configuration that was in use here, also at hosts that answered for this one.

        A caller that was served by it must never meet an older one here.
        """
        return max(self._seen_version, self.stored.version)

    def saw_version(self, version: int) -> None:
        """Take the number of a configuration that another host served a caller of this one by."""
        self._seen_version = max(self._seen_version, version)

    def take_evacuations(self, evacuations: Evacuations) -> None:
        """Send nothing more to servers of evacuated availability zones, and again to the others.

        Nothing ever takes a host back to an earlier order.
        """
        if evacuations.number <= self.evacuations.number:
            return
        self.evacuations = evacuations
        self.table.set_evacuated(evacuations.zones, self._clock.now())
        log_event(
            LogEvent.EVACUATIONS_ADOPTED, number=evacuations.number, zones=list(evacuations.zones)
        )

    # The servers

    def take_servers(self, changed: Iterable[ServerRecord], gone: Iterable[str]) -> None:
        """Take what changed in the list of servers."""
        for server_id in gone:
            self.records.pop(server_id, None)
        for record in changed:
            self.records[record.server_id] = record
        self._connect()

    def list_is_fresh(self) -> None:
        """Note that the list of servers is as new as can be."""
        self.listed_at = self._clock.now()

    def list_age(self) -> Millis:
        """Return how long ago the list was known to be fresh."""
        return self._clock.now() - self.listed_at if self.listed_at is not None else float("inf")

    @property
    def is_started(self) -> bool:
        """Whether the node knows its configuration and the servers."""
        return self.started.is_set()

    def take_standing(self, stands_by: bool) -> None:
        """Take the leader's word of whether this host asks servers itself."""
        if stands_by == self.stands_by:
            return
        self.stands_by = stands_by
        self.wants_servers = False
        log_event(LogEvent.STANDING_CHANGED, stands_by=stands_by)
        if stands_by:
            # A list that nobody brings up to date names servers that are leaving.
            self.take_servers((), list(self.records))
            self.listed_at = None

    @property
    def hands_over(self) -> bool:
        """Whether requests are handed over: this host stands by and knows no servers."""
        return self.stands_by and not self.records

    def need_servers(self) -> None:
        """Ask for the list of servers, as no host was found to hand a request over to."""
        self.wants_servers = True

    def _start_if_known(self) -> None:
        others = any(host.name != self.name for host in self.caller_hosts)
        if self.stored.version > 0 and (self.records or (self.stands_by and others)):
            self.started.set()

    def _connect(self) -> None:
        self._start_if_known()
        now = self._clock.now()
        self.table.update(self.records.values(), now)
        # Connections are kept only to upstreams that a route names: an index that is being built
        # has as many servers as the one in use, and each connection costs its server a moment.
        for name in self._wanted:
            upstream = self.table.upstream(name)
            held = set(self._pool.server_ids(name))
            gone = held - upstream.targets.keys()
            self._pool.update_servers(name, [one.server for one in upstream.targets.values()], gone)
        for name in self._pool.upstreams() - self._wanted:
            self._pool.update_servers(name, (), self._pool.server_ids(name))
        self._share()

    # Requests that crash servers

    def saw_attempt(
        self, fingerprint: str, target: Target, fault: AttemptFault | None, now: Millis
    ) -> None:
        """Take what became of a request at a server."""
        watch = self.crash_detector
        match fault:
            case None | AttemptFault.FAILED:
                watch.record_answer(fingerprint)
            case AttemptFault.LOST:
                watch.record_loss(fingerprint, target.upstream, target.server_id, now)
            case AttemptFault.NOT_SENT:
                # It takes no connection any more, so what it lost shortly before was a crash.
                for crash in watch.confirm_crashes(target.server_id, now)[:MAX_CRASHES]:
                    self.crashes.append(CrashReport(crash.fingerprint, crash.server_id))

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is known to crash servers.

        Two lost connections alone prove nothing: servers lose answers, too. Only a server that
        takes no connection after that makes a loss a crash.
        """
        now = self._clock.now()
        if self._quarantined_until.get(fingerprint, 0.0) > now:
            return True
        return self.crash_detector.is_quarantined(fingerprint, now)

    def take_quarantine(self, fingerprints: Iterable[str]) -> None:
        """Take the leader's word of which requests are refused everywhere.

        Each is refused for as long as callers are told, also if no leader says that it is over.
        """
        until = self._clock.now() + QUARANTINE_DURATION
        known = self._quarantined_until
        self._quarantined_until = {one: known.get(one, until) for one in fingerprints}

    def take_crashes(self) -> list[CrashReport]:
        """Return the crashes to be reported, once."""
        crashes = self.crashes[:MAX_CRASHES]
        self.crashes = []
        now = self._clock.now()
        told = [one for one in self._told_crashes if now - one[0] < CRASH_RETENTION]
        self._told_crashes = [*told, *((now, crash) for crash in crashes)]
        return crashes

    def follow_new_leader(self) -> None:
        """Tell a leader that is new to this host what the last one was told.

        Leaders keep what is reported in memory. A body that has crashed one server would be allowed
        two more with each change of the leader.
        """
        now = self._clock.now()
        recent = [crash for at, crash in self._told_crashes if now - at < CRASH_RETENTION]
        self._told_crashes = []
        self.crashes = [*recent, *self.crashes]

    # The hosts

    def take_view(self, view: TierView) -> None:
        """Take the leader's word of who is there."""
        # Those of the last view were there until now, however long ago that came.
        alive = max(len(view.hosts), view.alive)
        most = max(self.hosts_alive, alive)
        self.hosts_alive = alive
        self.view = view
        self._reach = HostReachability()
        self.hosts = view.hosts
        self.controls = view.controls
        self.processor_needed = view.processor_needed
        now = self._clock.now()
        counts = [(at, count) for at, count in self._host_counts if now - at < HOSTS_MEMORY]
        self._host_counts = [*counts, (now, most)]
        self._choose_caller_hosts()
        self._start_if_known()
        self._share()

    @property
    def unreachable_hosts(self) -> frozenset[str]:
        """The names of hosts that were not reached since the leader's last word."""
        return self._reach.unreachable

    def hosts_to_try(self) -> list[HostRecord]:
        """Return the other hosts of which it should be known whether they can be reached."""
        named = self.choose(self._reach.reachable(self.hosts), self.processor_needed)
        lost = [host for host in self.hosts if host.name in self._reach.unreachable]
        return [host for host in (*named, *lost) if host.name != self.name]

    def saw_hosts(self, reached: Mapping[str, bool]) -> None:
        """Take which of those hosts were reached, by name."""
        self._reach.record_probes(reached)
        self._choose_caller_hosts()
        self._share()

    def choose(self, hosts: Iterable[HostRecord], processor_needed: float) -> list[HostRecord]:
        """Return those of the hosts that callers are sent to.

        Args:
            hosts: The hosts that are there.
            processor_needed: How much processor time the chosen ones should have together.
        """
        return choose_caller_hosts(hosts, self.table.usable_connections(), processor_needed)

    def _choose_caller_hosts(self) -> None:
        now = self._clock.now()
        before = self.caller_hosts
        self.caller_hosts = self.choose(self._reach.eligible(self.hosts), self.processor_needed)
        if self.owners.set_hosts(self.caller_hosts, now):
            self.table.set_owners(self.owners)
        for host in (*before, *self.caller_hosts):
            self._named[host.name] = now
        self._named = {name: at for name, at in self._named.items() if now - at < HOSTS_MEMORY}

    def _keeps_warm(self, upstream: str) -> bool:
        """Return whether connections to an upstream are opened before there is a request.

        What another host owns is asked for here only if that host is lost.
        """
        owners = self.owners
        return not owners.is_split(upstream) or owners.owner(upstream) == self.name

    def _share(self) -> None:
        most = max((count for _, count in self._host_counts), default=1)
        is_named = self.name in self._named
        # A host that stands by makes do with one connection to a server, opened when it is needed.
        part = constant_fraction(most, len(self._named), is_named)
        owned = {
            one: owner_constant_fraction(most, len(self._named), is_named, one)
            for one in (False, True)
        }
        self.table.set_host_share(part, len(self._named) if is_named else most, owned)
        self._pool.keeps_warm = self._keeps_warm if is_named else lambda upstream: False
        self._pool.set_shares(self.table.connection_shares())
