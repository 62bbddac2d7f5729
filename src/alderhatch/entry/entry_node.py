"""The entry round its core: events in, effects out, one loop."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

import trio

from ..clock import LoopClock, Millis
from ..core.entry_core import EntryCore
from ..core.entry_events import (
    CallerGone,
    CancelAttempt,
    Claim,
    ClaimDecided,
    ClaimRun,
    EntryEffect,
    EntryEvent,
    FetchShardMap,
    Finish,
    LeaseChanged,
    Outcome,
    ProbeServer,
    QueryArrived,
    RecordOutcome,
    Refused,
    ReportCrash,
    RulesChanged,
    SendShard,
    ServersLeaving,
    ShardMapFetched,
    WakeAt,
    Woke,
)
from ..core.request import Request
from ..core.rule_list import RuleList
from ..core.shard_map import Server, ShardMap
from ..errors import ErrorKind, Failure
from ..http.messages import HttpLimits
from ..http.server import ServeState, serve_http
from ..log import log_event
from ..log_events import LogEvent
from ..settings.models import EntrySettings
from .address_book import AddressBook, EntryAddress
from .attempt_runner import AttemptRunner
from .caller_side import CallerSide
from .connection_pool import ConnectionPool
from .control_hook import ControlEffect, ControlHook, ControlHookMaker
from .entry_metrics import EntryMetrics
from .health_poller import HealthPoller
from .map_poller import MapPoller
from .owner_client import OwnerClient
from .owner_server import OwnerServer
from .platform_poller import PlatformPoller
from .upstream_lists import PlatformHost
from .wake_timer import WakeTimer

PLATFORM = "platform"
FOREVER: Millis = float("inf")
"""The end of the lease of an entry that runs without control."""


class EntryNode:
    """One entry process.

    Args:
        cfg: Its settings.
        seed: Fixes the core's random choices.
        make_control: Makes the link to the control hosts; without one the entry runs alone.
        secret: The secret shared by our own processes, for links with other entries.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        seed: int = 0,
        make_control: ControlHookMaker | None = None,
        secret: bytes | None = None,
    ) -> None:
        self.cfg = cfg
        self._clock = LoopClock()
        self.core = EntryCore(cfg.name, Random(f"{cfg.name}/{seed}"), cfg.zone)
        self.pool = ConnectionPool(cfg.connections_per_server, cfg.progress_timeout_ms)
        self.owners: OwnerClient | None = None
        self.owner_server: OwnerServer | None = None
        if secret is not None and cfg.links is not None:
            self.owners = OwnerClient(cfg.name, secret, cfg.progress_timeout_ms)
            self.owner_server = OwnerServer(cfg.name, secret, self.pool)
        self.attempts = AttemptRunner(self.pool, self.feed, self.owners)
        self.addresses = AddressBook(cfg.address_ttl_ms)
        self.upstreams = frozenset(upstream.name for upstream in cfg.upstreams)
        self.callers = ServeState()
        self.maps = [
            MapPoller(upstream, self.pool, self._adopt, self.owners) for upstream in cfg.upstreams
        ]
        self._probers = [
            HealthPoller(
                upstream, self.pool, partial(getattr, poller, "newest"), self.feed, self.owners
            )
            for upstream, poller in zip(cfg.upstreams, self.maps, strict=True)
        ]
        self.stop_requested = trio.Event()
        """Set once somebody wants a planned stop."""
        self._control: ControlHook | None = make_control(self) if make_control else None
        self._timer = WakeTimer(partial(self.feed, Woke()))
        self._waiting: dict[int, Callable[[Outcome], None]] = {}
        self._last_query = 0
        self._events: deque[EntryEvent] = deque()
        self._stepping = False
        self._serve_until = FOREVER
        self._has_share = make_control is None
        self._hosts: list[PlatformHost] = []
        self._leaving: frozenset[str] = frozenset()
        self.metrics = EntryMetrics(self)
        self.port = 0
        """The port that callers connect to, once it listens."""
        self.operator_port = 0
        """The port of the operators' side, once it listens."""
        self.link_port = 0
        """The port for links of other entries, once it listens; 0 if it takes none."""

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        where = self.cfg.callers
        listeners = await trio.open_tcp_listeners(where.port, host=where.address)
        self.port = listeners[0].socket.getsockname()[1]
        self.set_roster([EntryAddress(where.address, self.port, self.cfg.zone)])
        serve = partial(
            serve_http, listeners, CallerSide(self).handle, self._limits(), self.callers
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(self.pool.run)
            await nursery.start(self.attempts.run)
            await self._start_links(nursery)
            nursery.start_soon(self._timer.run)
            if self._control is not None:
                await nursery.start(self._control.run)
                nursery.start_soon(self._poll_once_there_is_a_share, nursery, self._control)
            else:
                await self._start_pollers(nursery)
            await nursery.start(serve)
            log_event(LogEvent.ENTRY_STARTED, name=self.cfg.name, port=self.port)
            task_status.started()

    async def _start_links(self, nursery: trio.Nursery) -> None:
        where = self.cfg.links
        if where is None or self.owners is None or self.owner_server is None:
            return
        listeners = await trio.open_tcp_listeners(where.port, host=where.address)
        self.link_port = listeners[0].socket.getsockname()[1]
        await nursery.start(self.owners.run)
        await nursery.start(self.owner_server.serve, listeners)

    @property
    def running_for_others(self) -> int:
        """How many shard requests of other entries are under way."""
        return 0 if self.owner_server is None else self.owner_server.running

    def _limits(self) -> HttpLimits:
        limits = self.cfg.limits
        return HttpLimits(
            limits.connections,
            limits.head_bytes,
            limits.body_bytes,
            limits.request_timeout_ms,
            limits.idle_timeout_ms,
        )

    async def _poll_once_there_is_a_share(
        self, nursery: trio.Nursery, control: ControlHook
    ) -> None:
        # The first fetch of a shard map takes a connection to a server that others may have
        # filled up to its limit; it would close that connection or one with a request on it.
        await control.wait_share()
        await self._start_pollers(nursery)

    async def _start_pollers(self, nursery: trio.Nursery) -> None:
        async with trio.open_nursery() as first:
            for poller in self.maps:
                first.start_soon(poller.fetch)
        for poller in self.maps:
            nursery.start_soon(poller.run)
        for prober in self._probers:
            nursery.start_soon(prober.run)
        platform = self.cfg.platform
        if platform is not None:
            poll = PlatformPoller(platform, self.cfg.platform_poll_ms, self._take_hosts)
            nursery.start_soon(poll.run)

    @property
    def may_serve(self) -> bool:
        """Whether there is a live lease with connections, or the entry needs none."""
        return self._has_share and self._clock.now() < self._serve_until

    def change_rules(self, revision: int, rules: RuleList) -> None:
        """Put a newer list of rules in force."""
        self.feed(RulesChanged(revision, rules))

    def set_roster(self, roster: Iterable[EntryAddress]) -> None:
        """Take the entries that callers may be told of."""
        self.addresses.roster = tuple(roster)

    def request_stop(self) -> None:
        """Begin a planned stop; whoever runs this entry carries it out."""
        self.stop_requested.set()

    def leave_addresses(self) -> None:
        """Name this entry to no caller from now on, while requests are still served."""
        self.addresses.leave(self.cfg.callers.address, self.port)

    async def say_goodbye(self) -> None:
        """Close what is idle and tell control that this entry is gone, if there is control."""
        if self.owner_server is not None:
            self.owner_server.closing = True
        self.pool.set_shares({})
        if self._control is not None:
            await self._control.leave()

    def known_servers(self) -> list[Server]:
        """Return the servers of all shard maps."""
        maps = [poller.newest for poller in self.maps if poller.newest is not None]
        return [server for shard_map in maps for server in shard_map.servers]

    def within_shares(self) -> bool:
        """Return whether no server may count more connections than the present share."""
        return self.pool.within_shares()

    async def outcome_of(self, request: Request) -> Outcome:
        """Run one request; if the caller of this is cancelled, so is the request."""
        if not self._has_share and not self.stop_requested.is_set():
            # An entry that has just joined has to wait until the others have given up some of
            # their connections. Its refusals would otherwise look as if the upstream were full.
            message = "this entry has no share of connections yet"
            return Refused(Failure(ErrorKind.LEASE_EXPIRED, message))
        self._last_query += 1
        query = self._last_query
        done = trio.Event()
        outcomes: list[Outcome] = []

        def finish(outcome: Outcome) -> None:
            outcomes.append(outcome)
            done.set()

        self._waiting[query] = finish
        start = self._clock.now()
        try:
            self.feed(QueryArrived(query, request))
            await done.wait()
        finally:
            # Work for a caller that has gone is load without use for anyone.
            if self._waiting.pop(query, None) is not None:
                self.feed(CallerGone(query))
        self.metrics.count(outcomes[0], self._clock.now() - start)
        return outcomes[0]

    def feed(self, event: EntryEvent) -> None:
        """Tell the core what happened, and begin what it asks for."""
        self._events.append(event)
        # An effect may bring about the next event at once. Stepping the core from within its own
        # step would show it a state that is only half changed.
        if self._stepping:
            return
        self._stepping = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._stepping = False

    def _step(self, event: EntryEvent) -> None:
        if isinstance(event, LeaseChanged):
            self._serve_until = event.serve_until
            self._has_share = any(event.shares.values())
            connections = event.connections
            self.pool.set_shares(event.shares if connections is None else connections)
        try:
            effects = self.core.step(event, self._clock.now())
        except Exception as exc:
            # One request that hits a fault of the core must not end the process, and with it
            # every other request that runs here.
            log_event(LogEvent.ENTRY_FAULT, exc=exc, told=type(event).__name__)
            if isinstance(event, QueryArrived):
                failure = Failure(ErrorKind.INTERNAL, "a fault in alderhatch")
                self._finish(event.query, Refused(failure))
            return
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect: EntryEffect) -> None:
        match effect:
            case SendShard():
                self.attempts.start(effect)
            case CancelAttempt(attempt=attempt):
                self.attempts.cancel(attempt)
            case WakeAt(at=at):
                self._timer.set(at)
            case Finish(query=query, outcome=outcome):
                self._finish(query, outcome)
            case ClaimRun() | RecordOutcome() | ReportCrash():
                self._ask_control(effect)
            case ProbeServer(server_id=server_id):
                for prober in self._probers:
                    prober.probe_now(server_id)
            case FetchShardMap(upstream=upstream):
                for poller in self.maps:
                    poller.fetch_now(upstream)

    def _finish(self, query: int, outcome: Outcome) -> None:
        finish = self._waiting.pop(query, None)
        if finish is not None:
            finish(outcome)

    def _ask_control(self, effect: ControlEffect) -> None:
        if self._control is not None:
            self._control.carry_out(effect)
        elif isinstance(effect, ClaimRun):
            # Without control hosts there is no ledger that could keep a request from running
            # twice, so it does not run at all.
            self.feed(ClaimDecided(effect.query, Claim.UNAVAILABLE))

    def _adopt(self, shard_map: ShardMap) -> None:
        known = {server.server_id for server in shard_map.servers}
        gone = [item for item in self.pool.server_ids(shard_map.upstream) if item not in known]
        self.pool.update_servers(shard_map.upstream, shard_map.servers, gone)
        self.feed(ShardMapFetched(shard_map))
        self._share_out()
        self._tell_leaving()

    def _share_out(self) -> None:
        if self._control is not None:
            self._control.servers_changed()
            return
        most = self.cfg.connections_per_server
        shares = {
            server.server_id: min(most, server.max_connections) for server in self.known_servers()
        }
        self.feed(LeaseChanged(FOREVER, shares, frozenset()))

    def _take_hosts(self, hosts: list[PlatformHost]) -> None:
        self._hosts = [host for host in hosts if host.leaving]
        self._tell_leaving()

    def _tell_leaving(self) -> None:
        leaving = frozenset(
            server.server_id
            for server in self.known_servers()
            if any(host.matches(server.address, server.port) for host in self._hosts)
        )
        self.addresses.platform_leaving = [
            (item.address, item.port)
            for item in self.addresses.roster
            if any(host.matches(item.address, item.port) for host in self._hosts)
        ]
        if leaving != self._leaving:
            self._leaving = leaving
            self.feed(ServersLeaving(PLATFORM, leaving))
