"""The node's parts put together."""

from __future__ import annotations

import gc
from collections.abc import AsyncIterator
from random import Random
from typing import NamedTuple

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..control.log_messages import PEER_MESSAGE_TYPES
from ..control.member_steps import HandOver, take_step
from ..core.control.configuration_register import ConfigurationRegister
from ..entry.connection_pool import ConnectionPool
from ..http.messages import HttpLimits, HttpRequest, HttpResponse
from ..http.server import Handler, ServeState, serve_http
from ..link import Link, Peer, serve_links
from ..log import log_event
from ..log_events import LogEvent
from ..log_output import BoundedLogHandler
from ..stop_signal import STOP_SIGNALS, wait_for_stop
from .bootstrap import BOOTSTRAP_ROLE, BootstrapCoordinator, bootstrap_cluster
from .caller_side import CallerSide
from .configuration_service import ConfigurationService
from .control_member import ControlMember
from .dialect import Dialect
from .forward_runner import ForwardRunner
from .gather_messages import GATHER_MESSAGE_TYPES
from .gather_server import GatherServer
from .hand_over_client import HandOverClient
from .hand_over_messages import HAND_OVER_MESSAGE_TYPES, HAND_OVER_ROLE
from .hand_over_server import HandOverServer
from .host_probe import probe_hosts
from .leader_announcements import announce_leader
from .node_metrics import NodeMetrics
from .node_settings import NodeSettings
from .node_state import Decoder, NodeState
from .parts_collector import PartsCollector
from .request_log import RequestLog
from .server_list import FRESH_FOR, ServerListReader, ServerListSource
from .split_gather import SplitGathers
from .state_checkpoint import CheckpointStore
from .tier_client import TierClient
from .tier_messages import (
    TIER_MESSAGE_TYPES,
    ConfigurationNews,
    DiskRecord,
    Join,
    KeptNews,
    Place,
    Redirect,
    Report,
)
from .tier_server import HOST_ROLE, TierServer
from .voter_reconciler import VoterReconciler

CONTROL_ROLE = "control"
LINK_MESSAGE_TYPES = (*HAND_OVER_MESSAGE_TYPES, *GATHER_MESSAGE_TYPES)
PROGRESS_TIMEOUT: Millis = 60 * SECOND
"""Servers may work for long without a byte; the deadline of each request ends its wait."""
STOP_SERVING_BEFORE: Millis = 2000.0
"""How long before its time to stop is over a stopping node ends as soon as it is idle."""
STOP_MARGIN: Millis = 250.0
"""How long before that it ends whatever is still under way."""
WATCH_LEAD_EVERY: Millis = 40.0
"""A new leader reads the list of servers this much later at most; the look costs a microsecond."""
TEND_LOG_EVERY: Millis = 1 * SECOND
BACKLOG = 512
"""Connections that wait to be accepted; a restart of a tier brings all callers at once."""


class EdgeHandlers(NamedTuple):
    """What answers on the node's HTTP ports."""

    callers: Handler
    addresses: Handler
    readiness: Handler
    operators: Handler


class Node:
    """One host of the tier.

    Args:
        cfg: Its settings.
        dialect: The protocol that callers and servers speak.
        decode: Reads an operator's configuration.
        source: Where the list of servers comes from.
        log_output: Where log lines go, if they are bounded; told when to try again.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        dialect: Dialect,
        decode: Decoder,
        source: ServerListSource,
        log_output: BoundedLogHandler | None = None,
    ) -> None:
        self.cfg = cfg
        self._clock = LoopClock()
        self._codec = Codec(*PEER_MESSAGE_TYPES, *TIER_MESSAGE_TYPES, *LINK_MESSAGE_TYPES)
        self._rng = Random()
        # Servers count the connections of a host that lost power until they time out. With spares
        # the tier would hold four fifths of what a server accepts, and when all hosts have come
        # back the new connections would be reset: most queries failed for some 5 s.
        self._pool = ConnectionPool(0, PROGRESS_TIMEOUT, spares=False)
        self.state = NodeState(
            cfg.name,
            cfg.zone,
            decode,
            self._pool,
            cfg.budget,
            cfg.policy,
            self._clock,
            self._rng,
            cfg.cold,
        )
        self.seeds = cfg.seeds
        """Where to look for the tier; the settings may name others later."""
        self._founder: Place | None = None
        self._leaving = False
        self._serving = ServeState()
        self._register = ConfigurationRegister(self._orders_changed)
        self.member = self._make_member()
        """This host's part in the replicated log; None without a disk."""
        self._server = TierServer(
            self.member,
            lambda: self._register.directives,
            self._list_is_fresh,
            self._redirect,
            self._kept,
            lambda leader: self._client.add_leader_hint(leader),
            self.state.choose,
            lambda: self.state.live_host_count,
            self._codec,
        )
        self._reader = ServerListReader(source, self.state, self._server, self._rng)
        self._client = TierClient(
            self._join, self._report, self._places, self.state, self._codec, cfg.secret
        )
        self._runner = ForwardRunner(self._pool, self.state, dialect)
        self._judge = BootstrapCoordinator()
        self.log_output = log_output
        """Where log lines go, if they are bounded."""
        self.metrics = NodeMetrics(self)
        self._request_log = RequestLog(self.state)
        self._hand_over_client = HandOverClient(self.state, self._codec, cfg.secret, self._rng)
        collector = PartsCollector(self._runner, dialect)
        self._gather_server = GatherServer(
            self.state, collector, dialect, self.metrics, self._request_log
        )
        self.callers = CallerSide(
            self.state,
            self._runner,
            dialect,
            self.metrics,
            self._request_log,
            self._hand_over_client,
            SplitGathers(self.state, collector, self._hand_over_client),
        )
        self._hand_over_server = HandOverServer(
            self.callers.handle_handed,
            self._gather_server.answer,
            lambda: self.state.stored.version,
            self._serving,
        )
        self.configuration_service = ConfigurationService(
            self.member, self._register, cfg.tolerated_hosts, self.metrics.count_change
        )

    def _make_member(self) -> ControlMember | None:
        cfg = self.cfg
        if cfg.data_folder is None:
            return None
        return ControlMember(
            cfg.place,
            cfg.data_folder,
            cfg.secret,
            self._register,
            self._role_changed,
            cfg.process_started,
        )

    # Beliefs

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.state.is_started and not self._leaving

    @property
    def leader(self) -> Place | None:
        """The leader of the replicated log, or who may know it, if this host knows any."""
        own = self.member.leader() if self.member is not None else None
        if own is not None or self._client.leader is not None:
            return own or self._client.leader
        # Who founded the log is worth asking only until there is a first configuration; later it
        # is a host like any other, and may itself be cut off.
        is_new = self.state.stored.version == 0
        return (self._judge.founder or self._founder) if is_new else None

    @property
    def running(self) -> int:
        """How many requests are being answered."""
        return self._serving.exchanges

    @property
    def leader_heard_at(self) -> Millis:
        """When the leader was last heard; 0 if never."""
        return self._client.last_heard_at

    def _list_is_fresh(self) -> bool:
        return self.state.list_age() < FRESH_FOR

    def _orders_changed(self) -> None:
        self._server.updates_pending.notify()

    def _role_changed(self) -> None:
        # A voter hears of a new leader at once; left to its search, it would find it by chance.
        leader = self.member.leader() if self.member is not None else None
        if leader is not None and self._client.leader is None:
            self._client.add_leader_hint(leader)
        self._server.role_changed.notify()
        self._server.updates_pending.notify()

    def _disk(self) -> DiskRecord | None:
        return self.member.disk if self.member is not None else None

    def _join(self) -> Join:
        cfg = self.cfg
        caller_address = f"{cfg.address}:{cfg.ports.callers}"
        started = self.state.is_started
        return Join(cfg.place, cfg.zone, caller_address, cfg.processor, self._disk(), started)

    def _report(self) -> Report:
        crashes = self.state.take_crash_reports()
        sends = self.state.table.take_sends()
        version = self.state.stored.version
        wants_servers = self.state.wants_servers
        return Report(self.ready, version, self._disk(), crashes, sends, wants_servers)

    def _redirect(self) -> Redirect:
        return Redirect(self.leader, self._controls())

    def _kept(self, name: str) -> KeptNews | None:
        state = self.state
        if state.stored.version == 0 or state.view is None:
            return None
        has_use = self._list_is_fresh() and state.view.is_active_host(name)
        servers = list(state.records.values()) if has_use else []
        news = ConfigurationNews(*state.stored)
        return KeptNews(news, state.view, servers, state.evacuations)

    def _controls(self) -> list[Place]:
        return self.member.controls() if self.member is not None else self.state.controls

    def _places(self) -> list[Place]:
        return [*self._controls(), *self.seeds]

    # Life

    async def run(self, handlers: EdgeHandlers) -> None:
        """Serve until told to stop by a signal."""
        # Taken only once the ports are open, a signal to stop would end the process under the first
        # requests that it has read: their callers would see a connection cut without an answer.
        with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
            await self._serve(handlers, signals)
        log_event(LogEvent.NODE_STOPPED, node=self.cfg.name)

    async def _serve(self, handlers: EdgeHandlers, signals: AsyncIterator[int]) -> None:
        async with trio.open_nursery() as nursery:
            if self.cfg.data_folder is not None:
                keeper = CheckpointStore(self.cfg.data_folder, self.state)
                await keeper.restore()
                nursery.start_soon(keeper.run)
            await nursery.start(self._pool.run)
            await nursery.start(self._runner.run)
            await nursery.start(self._hand_over_client.run)
            await self._open_ports(nursery, handlers)
            if self.member is not None:
                nursery.start_soon(self.member.run)
                nursery.start_soon(self._server.run)
                nursery.start_soon(self._watch_lead)
                nursery.start_soon(self._introduce)
                voters = VoterReconciler(
                    self.member, self._server, self.cfg.tolerated_hosts, self.cfg.catch_up
                )
                nursery.start_soon(voters.run)
                if self.cfg.first_start:
                    nursery.start_soon(self._bid)
            nursery.start_soon(self._tend_log)
            nursery.start_soon(self._reader.run)
            nursery.start_soon(self._client.run)
            nursery.start_soon(probe_hosts, self.state, lambda: self._client.leader is not None)
            self.callers.begin()
            log_event(LogEvent.NODE_STARTED, node=self.cfg.name, zone=self.cfg.zone)
            gc.collect()
            gc.freeze()
            await wait_for_stop(signals)
            await self._drain()
            nursery.cancel_scope.cancel()

    async def _watch_lead(self) -> None:
        """Tell those who wait for it that this host has begun or ceased to lead.

        A new leader is told of its role before it holds the lease. Whoever looked only then would
        find that it doesn't lead yet, and look again seconds later: until then no host would get
        the list of servers.
        """
        led = False
        while True:
            if self._server.leads != led:
                led = not led
                self._role_changed()
            await trio.sleep(WATCH_LEAD_EVERY / SECOND)

    async def _introduce(self) -> None:
        cfg = self.cfg
        await announce_leader(self._server, cfg.place, lambda: self.seeds, self._codec, cfg.secret)

    async def _bid(self) -> None:
        assert self.member is not None
        cfg = self.cfg
        self._founder = await bootstrap_cluster(
            self.member, cfg.place, self._judge_place, self._judge, self._codec, cfg.secret
        )

    def _judge_place(self) -> Place:
        return min(self.seeds, key=lambda place: (place.address, place.port))

    async def _open_ports(self, nursery: trio.Nursery, handlers: EdgeHandlers) -> None:
        ports = self.cfg.ports
        links = await self._listen(ports.links)
        me = Peer(self.cfg.name, CONTROL_ROLE)
        await nursery.start(
            lambda task_status: serve_links(
                links, self._codec, self.cfg.secret, me, self._on_link, task_status=task_status
            )
        )
        for port, handler in (
            (ports.addresses, handlers.addresses),
            (ports.readiness, handlers.readiness),
            (ports.operators, handlers.operators),
        ):
            listeners = await self._listen(port)
            nursery.start_soon(serve_http, listeners, handler, OPERATOR_LIMITS)
        listeners = await self._listen(ports.metrics)
        nursery.start_soon(serve_http, listeners, self._metrics_page, METRICS_LIMITS)
        listeners = await self._listen(ports.callers)
        nursery.start_soon(
            serve_http, listeners, handlers.callers, self._caller_limits, self._serving
        )

    async def _metrics_page(self, req: HttpRequest) -> HttpResponse:
        page = self.metrics.page()
        return HttpResponse(200, page.body, page.content_type)

    async def _tend_log(self) -> None:
        while True:
            await trio.sleep(TEND_LOG_EVERY / SECOND)
            self._request_log.flush()
            if self.log_output is None:
                continue
            dropped = self.log_output.newly_dropped()
            if dropped:
                log_event(LogEvent.LOG_LINES_DROPPED, lines=dropped)
            self.log_output.write_waiting()

    async def _listen(self, port: int) -> list[trio.SocketListener]:
        return await trio.open_tcp_listeners(port, host=self.cfg.address, backlog=BACKLOG)

    def _caller_limits(self) -> HttpLimits:
        limits = self.state.limits
        return HttpLimits(
            MAX_CALLER_CONNECTIONS,
            limits.head_bytes,
            limits.body_bytes,
            limits.head_timeout,
            limits.idle_timeout,
        )

    async def _on_link(self, link: Link) -> None:
        match link.peer.role:
            case "control" if self.member is not None:
                await self.member.serve_peer(link)
            case role if role == HOST_ROLE:
                await self._server.serve(link)
            case role if role == HAND_OVER_ROLE:
                await self._hand_over_server.serve(link)
            case role if role == BOOTSTRAP_ROLE and self.cfg.first_start:
                await self._judge.serve(link)
            case role:
                log_event(LogEvent.LINK_ROLE_REFUSED, peer=link.peer.name, role=role)

    async def _drain(self) -> None:
        """Leave the address answers, serve on while callers hold old ones, then end."""
        began = self._clock.now()
        self._leaving = True
        self._serving.closing = True
        self._client.report_changed.notify()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hand_over)
            await trio.sleep(max(0.0, self.cfg.stop_span - STOP_SERVING_BEFORE) / SECOND)
            end = began + self.cfg.stop_span - STOP_MARGIN
            while self._serving.exchanges and self._clock.now() < end:
                await trio.sleep(0.02)
            # The tasks run on until all of them are cancelled, and one could read another request
            # just then: sent to a server and cut off there, its caller would not know whether it
            # ran. Closed before anything is sent, its caller simply asks another host.
            self._serving.refusing = True
            nursery.cancel_scope.cancel()

    async def _hand_over(self) -> None:
        member = self.member
        if member is None or member.log is None or not member.log.is_leader:
            return
        await take_step(member.log, HandOver())


MAX_CALLER_CONNECTIONS = 1500
"""Under half of the descriptors of a small host; the rest is for servers and links."""
METRICS_LIMITS = HttpLimits(connections=20, body_bytes=0, idle_timeout=30_000.0)
OPERATOR_LIMITS = HttpLimits(connections=200, body_bytes=4 * 1024 * 1024, idle_timeout=30_000.0)
