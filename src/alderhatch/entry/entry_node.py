"""The entry process: passes events to the core and executes the effects that the core returns."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

import trio

from ..clock import SECOND, LoopClock, Millis
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
    StopExpired,
    StopRequested,
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
from .caller_handler import CallerHandler
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

PLATFORM_SOURCE = "platform"
IDLE_POLL_INTERVAL: Millis = 10.0
ANSWER_TIMEOUT: Millis = 1 * SECOND
"""How long callers have to read the answers that they get at the end of a stop."""
NO_EXPIRY: Millis = float("inf")
"""The lease expiry of an entry that runs without control."""


class EntryNode:
    """One entry process.

    Args:
        cfg: The settings.
        seed: The seed of the core's random choices.
        make_control: Creates the link to the control hosts; if None, the entry runs without
            control.
        secret: The secret shared by all processes of the tier, for links with other entries.
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
        self.map_pollers = [
            MapPoller(upstream, self.pool, self._on_shard_map, self.owners)
            for upstream in cfg.upstreams
        ]
        self._health_pollers = [
            HealthPoller(
                upstream, self.pool, partial(getattr, poller, "newest"), self.feed, self.owners
            )
            for upstream, poller in zip(cfg.upstreams, self.map_pollers, strict=True)
        ]
        self.stop_requested = trio.Event()
        """Set once a planned stop has been requested."""
        self._control: ControlHook | None = make_control(self) if make_control else None
        self._timer = WakeTimer(partial(self.feed, Woke()))
        self._finish_callbacks: dict[int, Callable[[Outcome], None]] = {}
        self._last_query = 0
        self._events: deque[EntryEvent] = deque()
        self._processing = False
        self._serve_until = NO_EXPIRY
        self._has_share = make_control is None
        self._leaving_hosts: list[PlatformHost] = []
        self._leaving_server_ids: frozenset[str] = frozenset()
        self.metrics = EntryMetrics(self)
        self.port = 0
        """The port for callers, once it is open."""
        self.operator_port = 0
        """The port for operators, once it is open."""
        self.link_port = 0
        """The port for links from other entries, once it is open; 0 if it accepts none."""

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        endpoint = self.cfg.callers
        listeners = await trio.open_tcp_listeners(endpoint.port, host=endpoint.address)
        self.port = listeners[0].socket.getsockname()[1]
        self.set_roster([EntryAddress(endpoint.address, self.port, self.cfg.zone)])
        serve = partial(
            serve_http, listeners, CallerHandler(self).handle, self._limits(), self.callers
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(self.pool.run)
            await nursery.start(self.attempts.run)
            await self._start_links(nursery)
            nursery.start_soon(self._timer.run)
            if self._control is not None:
                await nursery.start(self._control.run)
                nursery.start_soon(self._start_pollers_with_share, nursery, self._control)
            else:
                await self._start_pollers(nursery)
            await nursery.start(serve)
            log_event(LogEvent.ENTRY_STARTED, name=self.cfg.name, port=self.port)
            task_status.started()

    async def _start_links(self, nursery: trio.Nursery) -> None:
        endpoint = self.cfg.links
        if endpoint is None or self.owners is None or self.owner_server is None:
            return
        listeners = await trio.open_tcp_listeners(endpoint.port, host=endpoint.address)
        self.link_port = listeners[0].socket.getsockname()[1]
        await nursery.start(self.owners.run)
        await nursery.start(self.owner_server.serve, listeners)

    @property
    def running_for_others(self) -> int:
        """The number of shard requests in flight on behalf of other entries."""
        return 0 if self.owner_server is None else self.owner_server.running

    @property
    def requests_in_flight(self) -> int:
        """The number of requests in progress, of callers and of other entries."""
        return self.callers.exchanges + self.running_for_others

    def _limits(self) -> HttpLimits:
        limits = self.cfg.limits
        return HttpLimits(
            limits.connections,
            limits.head_bytes,
            limits.body_bytes,
            limits.request_timeout_ms,
            limits.idle_timeout_ms,
        )

    async def _start_pollers_with_share(self, nursery: trio.Nursery, control: ControlHook) -> None:
        # Fetching a shard map takes a connection to a server whose connection limit other entries
        # may have used up. The server would then close that connection or a busy one.
        await control.wait_share()
        await self._start_pollers(nursery)

    async def _start_pollers(self, nursery: trio.Nursery) -> None:
        async with trio.open_nursery() as fetches:
            for poller in self.map_pollers:
                fetches.start_soon(poller.fetch)
        for poller in self.map_pollers:
            nursery.start_soon(poller.run)
        for prober in self._health_pollers:
            nursery.start_soon(prober.run)
        platform = self.cfg.platform
        if platform is not None:
            hosts_poller = PlatformPoller(
                platform, self.cfg.platform_poll_ms, self._on_platform_hosts
            )
            nursery.start_soon(hosts_poller.run)

    @property
    def may_serve(self) -> bool:
        """Whether the entry has a valid lease with connections or needs no lease."""
        return self._has_share and self._clock.now() < self._serve_until

    def change_rules(self, revision: int, rules: RuleList) -> None:
        """Apply a newer list of rules."""
        self.feed(RulesChanged(revision, rules))

    def set_roster(self, roster: Iterable[EntryAddress]) -> None:
        """Set the entries that may be advertised to callers."""
        self.addresses.roster = tuple(roster)

    def request_stop(self) -> None:
        """Request a planned stop; the code that runs this entry carries it out."""
        self.stop_requested.set()

    def withdraw_address(self) -> None:
        """Stop advertising this entry to callers; requests are still served."""
        self.addresses.exclude(self.cfg.callers.address, self.port)

    def refuse_requests(self) -> None:
        """Refuse new requests of callers and of other entries; complete those that run."""
        self.callers.closing = True
        self.feed(StopRequested())
        if self.owner_server is not None:
            # Other entries receive a reliable not_sent and switch to another owner immediately.
            self.owner_server.closing = True

    async def complete_requests(self, end: Millis) -> None:
        """Wait until all requests are complete; at ``end``, answer those that still run.

        Args:
            end: A time of the loop's clock.
        """
        await self._wait_idle(end)
        self.feed(StopExpired())
        if self.owner_server is not None:
            self.owner_server.end_calls()
        await self._wait_idle(self._clock.now() + ANSWER_TIMEOUT)

    async def _wait_idle(self, end: Millis) -> None:
        while self.requests_in_flight and self._clock.now() < end:
            await trio.sleep(IDLE_POLL_INTERVAL / SECOND)

    async def deregister(self) -> None:
        """Close idle connections and deregister from control, if there is one."""
        if self.owner_server is not None:
            self.owner_server.closing = True
        self.pool.set_shares({})
        if self._control is not None:
            await self._control.leave()

    def known_servers(self) -> list[Server]:
        """Return the servers of all shard maps."""
        maps = [poller.newest for poller in self.map_pollers if poller.newest is not None]
        return [server for shard_map in maps for server in shard_map.servers]

    def within_shares(self) -> bool:
        """Return whether no server has more connections than the current share allows."""
        return self.pool.within_shares()

    async def run_request(self, request: Request) -> Outcome:
        """Run one request; cancelling this call cancels the request."""
        if not self._has_share and not self.stop_requested.is_set():
            # An entry that has just joined has to wait until the others have released some of their
            # connections. Without this check its refusals would suggest an overloaded upstream.
            message = "this entry has no share of connections yet"
            return Refused(Failure(ErrorKind.LEASE_EXPIRED, message))
        self._last_query += 1
        query = self._last_query
        done = trio.Event()
        outcomes: list[Outcome] = []

        def finish(outcome: Outcome) -> None:
            outcomes.append(outcome)
            done.set()

        self._finish_callbacks[query] = finish
        start = self._clock.now()
        try:
            self.feed(QueryArrived(query, request))
            await done.wait()
        finally:
            # Work for a caller that has closed its connection would only load the servers.
            if self._finish_callbacks.pop(query, None) is not None:
                self.feed(CallerGone(query))
        self.metrics.record_outcome(outcomes[0], self._clock.now() - start)
        return outcomes[0]

    def feed(self, event: EntryEvent) -> None:
        """Pass an event to the core and execute the resulting effects."""
        self._events.append(event)
        # Executing an effect can cause another event immediately. A nested step would see a state
        # that is only partly updated, so that event is queued until the current step is complete.
        if self._processing:
            return
        self._processing = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._processing = False

    def _step(self, event: EntryEvent) -> None:
        if isinstance(event, LeaseChanged):
            self._serve_until = event.serve_until
            self._has_share = any(event.shares.values())
            connections = event.connections
            self.pool.set_shares(event.shares if connections is None else connections)
        try:
            effects = self.core.step(event, self._clock.now())
        except Exception as exc:
            # A request that triggers a bug in the core must not end the process and with it all
            # other running requests.
            log_event(LogEvent.ENTRY_FAULT, exc=exc, told=type(event).__name__)
            if isinstance(event, QueryArrived):
                failure = Failure(ErrorKind.INTERNAL, "internal error in alderhatch")
                self._finish(event.query, Refused(failure))
            return
        for effect in effects:
            self._execute(effect)

    def _execute(self, effect: EntryEffect) -> None:
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
                self._send_to_control(effect)
            case ProbeServer(server_id=server_id):
                for prober in self._health_pollers:
                    prober.probe_now(server_id)
            case FetchShardMap(upstream=upstream):
                for poller in self.map_pollers:
                    poller.fetch_now(upstream)

    def _finish(self, query: int, outcome: Outcome) -> None:
        finish = self._finish_callbacks.pop(query, None)
        if finish is not None:
            finish(outcome)

    def _send_to_control(self, effect: ControlEffect) -> None:
        if self._control is not None:
            self._control.execute(effect)
        elif isinstance(effect, ClaimRun):
            # Without control hosts there is no ledger that prevents a request from running twice,
            # so the request is refused.
            self.feed(ClaimDecided(effect.query, Claim.UNAVAILABLE))

    def _on_shard_map(self, shard_map: ShardMap) -> None:
        known_ids = {server.server_id for server in shard_map.servers}
        removed = [
            held_id
            for held_id in self.pool.server_ids(shard_map.upstream)
            if held_id not in known_ids
        ]
        self.pool.update_servers(shard_map.upstream, shard_map.servers, removed)
        self.feed(ShardMapFetched(shard_map))
        self._update_shares()
        self._update_leaving()

    def _update_shares(self) -> None:
        if self._control is not None:
            self._control.on_servers_changed()
            return
        connection_limit = self.cfg.connections_per_server
        shares = {
            server.server_id: min(connection_limit, server.max_connections)
            for server in self.known_servers()
        }
        self.feed(LeaseChanged(NO_EXPIRY, shares, frozenset()))

    def _on_platform_hosts(self, hosts: list[PlatformHost]) -> None:
        self._leaving_hosts = [host for host in hosts if host.leaving]
        self._update_leaving()

    def _update_leaving(self) -> None:
        leaving = frozenset(
            server.server_id
            for server in self.known_servers()
            if any(host.matches(server.address, server.port) for host in self._leaving_hosts)
        )
        self.addresses.platform_leaving = [
            (entry.address, entry.port)
            for entry in self.addresses.roster
            if any(host.matches(entry.address, entry.port) for host in self._leaving_hosts)
        ]
        if leaving != self._leaving_server_ids:
            self._leaving_server_ids = leaving
            self.feed(ServersLeaving(PLATFORM_SOURCE, leaving))
