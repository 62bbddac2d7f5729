"""One host of the tier: creates its components and runs them."""

from __future__ import annotations

import gc
from collections.abc import AsyncIterator, Callable
from random import Random
from typing import NamedTuple

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..control.log_messages import PEER_MESSAGE_TYPES
from ..control.member_steps import HandOver, execute_step
from ..core.control.configuration_register import ConfigurationRegister
from ..core.forwarding.configuration_lease import lease_duration
from ..core.forwarding.connection_waits import START_SPAN, ConnectionWaits
from ..core.forwarding.crash_evidence import CONCLUDE_DELAY
from ..core.forwarding.quota_host import QuotaHost
from ..entry.connection_pool import ConnectionPool
from ..http.messages import HttpLimits, HttpRequest, HttpResponse
from ..http.serve_state import Refusal
from ..http.server import Handler, ServeState, serve_http
from ..link import Link, Peer, serve_links
from ..log import log_event
from ..log_events import LogEvent
from ..log_output import BoundedLogHandler
from ..loop_delay import LoopDelay
from ..loop_tasks import keep_running
from ..signal import Signal
from ..stop_signal import STOP_SIGNALS, wait_for_stop
from ..task_faults import TaskKind, record_task_fault
from .bootstrap import BOOTSTRAP_ROLE, BootstrapCoordinator, bootstrap_cluster
from .caller_handler import CallerHandler
from .configuration_service import ConfigurationService
from .control_member import ControlMember
from .dialect import Dialect
from .forward_runner import ForwardRunner
from .gather_messages import GATHER_MESSAGE_TYPES
from .gather_server import GatherServer
from .hand_over_client import HandOverClient
from .hand_over_messages import HAND_OVER_MESSAGE_TYPES, HAND_OVER_ROLE
from .hand_over_server import HandOverServer
from .host_probe import HostProber
from .identity_messages import IDENTITY_MESSAGE_TYPES
from .leader_announcements import announce_leader
from .leader_confirmations import LeaderConfirmations
from .lease_messages import LEASE_MESSAGE_TYPES, LEASING_ROLE
from .lease_renewal import log_lease_changes
from .node_metrics import NodeMetrics
from .node_settings import NodeSettings
from .node_state import Decoder, NodeState
from .node_stop import NodeStop
from .parts_collector import PartsCollector
from .quota_client import QuotaClient
from .quota_gate import QuotaGate
from .quota_log import QuotaLog
from .quota_messages import QUOTA_MESSAGE_TYPES, QUOTA_ROLE
from .quota_server import QuotaServer
from .request_log import RequestLog
from .server_list import FRESH_DURATION, ServerListReader, ServerListSource
from .service_turns import ServiceTurns
from .split_gather import SplitGathers
from .start_timeline import StartStep, StartTimeline
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
LINK_MESSAGE_TYPES = (
    *HAND_OVER_MESSAGE_TYPES,
    *GATHER_MESSAGE_TYPES,
    *IDENTITY_MESSAGE_TYPES,
    *LEASE_MESSAGE_TYPES,
    *QUOTA_MESSAGE_TYPES,
)
PROGRESS_TIMEOUT: Millis = 60 * SECOND
"""Servers may compute for long without sending a byte; each request's deadline ends its wait."""
LEADERSHIP_POLL_INTERVAL: Millis = 40.0
"""Upper bound of the delay until a new leader reads the server list; a check takes 1 µs."""
PAUSE_POLL_INTERVAL: Millis = 100.0
"""A fraction of ``MAX_PAUSE``, so that a busy loop is not taken for a pause."""
PROCESS_NUMBER_BITS = 53
"""Enough that two processes of a host never draw the same number."""
LOG_FLUSH_INTERVAL: Millis = 1 * SECOND
LISTEN_BACKLOG = 512
"""Connections waiting to be accepted; after a restart of the tier all callers connect at once."""


class EdgeHandlers(NamedTuple):
    """Handlers for the node's HTTP ports."""

    callers: Handler
    addresses: Handler
    readiness: Handler
    operators: Handler
    caller_refusal: Refusal
    """Returns the response to a caller's request that is refused before a handler has it."""


class Node:
    """One host of the tier.

    Args:
        cfg: The node's settings.
        dialect: The protocol of callers and servers.
        decode: Decodes an operator's configuration.
        source: Source of the server list.
        log_output: Bounded log output, if used; the node triggers its retries.
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
        # Servers count the connections of a host that lost power until they time out. With spare
        # connections, the tier would hold four fifths of what a server accepts. When all hosts have
        # come back, new connections would be reset, and most queries would fail for some 5 s.
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
            lease_duration(cfg.revocation_bound),
        )
        self.seeds = cfg.seeds
        """Addresses at which the tier is looked for; a change of the settings replaces them."""
        self._bootstrap_host: Place | None = None
        self.exit_within: Callable[[Millis], None] = lambda span: None
        """Ends the process after a time, whatever it waits for."""
        self._loop_delay = LoopDelay()
        self._serve_state = ServeState(self._loop_delay)
        self._register = ConfigurationRegister(self._on_directives_changed)
        self.member = self._make_member()
        """This host's member of the replicated log; None without a data folder."""
        self._server = TierServer(
            self.member,
            lambda: self._register.directives,
            self._list_is_fresh,
            self._redirect,
            self._kept_news,
            lambda leader: self._client.add_leader_hint(leader),
            self.state.choose,
            lambda: self.state.live_host_count,
            self.state.crash_guard,
            self._codec,
        )
        self._server_list_reader = ServerListReader(source, self.state, self._server, self._rng)
        self._client = TierClient(
            self._join, self._report, self._known_places, self.state, self._codec, cfg.secret
        )
        guard = self.state.crash_guard
        guard.probe = self._pool.probe
        guard.notify = self._client.report_changed.notify
        guard.leader_heard_at = lambda: self._client.last_heard_at
        self._trial_ended = Signal()
        guard.on_trial_ended = self._trial_ended.notify
        self._pool.on_refused = guard.record_refused
        self._pool.on_accepted = guard.record_accepted
        self._pool.on_opened = self.state.record_connection
        self._prober = HostProber(self.state, self._client.contact)
        self._runner = ForwardRunner(self._pool, self.state, dialect)
        self._bootstrap_coordinator = BootstrapCoordinator()
        self.log_output = log_output
        """Bounded log output, if used."""
        self.metrics = NodeMetrics(self)
        self._request_log = RequestLog(self.state, lambda: self.requests_in_flight)
        self._hand_over_client = HandOverClient(
            self.state, self._codec, cfg.secret, self._rng, self._prober.check_any
        )
        collector = PartsCollector(self._runner, dialect)
        self._gather_server = GatherServer(
            self.state, collector, dialect, self.metrics, self._request_log
        )
        self.turns = ServiceTurns(self.state, cfg.processor, self.metrics, self._rng)
        """The turns of requests at this host."""
        self.quotas = QuotaHost(cfg.name, cfg.quotas, self.state.organisation, self._rng)
        """Decides about the quotas of organisations."""
        self._quota_client = QuotaClient(
            self.state,
            self.quotas.allowances,
            self._rng.getrandbits(PROCESS_NUMBER_BITS),
            self._codec,
            cfg.secret,
        )
        self._quota_gate = QuotaGate(
            self.state,
            self.quotas,
            self._quota_client,
            LeaderConfirmations(self.state.lease, lambda: self._client.last_heard_at),
            QuotaLog(self.metrics),
        )
        self._quota_server = QuotaServer(self.state, self.quotas, self._quota_gate.refresh)
        self.callers = CallerHandler(
            self.state,
            self._runner,
            dialect,
            self.metrics,
            self._request_log,
            self._hand_over_client,
            SplitGathers(self.state, collector, self._hand_over_client),
            cfg.processor,
            self._quota_gate,
            self.turns,
        )
        self._hand_over_server = HandOverServer(
            self.callers.handle_handed_over,
            self._gather_server.answer,
            lambda: self.state.stored.version,
            self._serve_state,
        )
        self.stop = NodeStop(cfg.stop_span, self._serve_state, self.callers, self._hand_over_server)
        """The planned stop of this host."""
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
            self._on_role_changed,
            cfg.process_started,
        )

    # State

    @property
    def ready(self) -> bool:
        """Whether callers may be sent to this host."""
        return self.state.is_started and not self.stop.has_begun

    @property
    def leader(self) -> Place | None:
        """The leader of the replicated log, or a host that may know it; None if unknown."""
        own = self.member.leader() if self.member is not None else None
        if own is not None or self._client.leader is not None:
            return own or self._client.leader
        # The host that bootstrapped the log is a useful hint only before the first configuration.
        # Later it is a host like any other and may itself be partitioned.
        is_new = self.state.stored.version == 0
        return (self._bootstrap_coordinator.founder or self._bootstrap_host) if is_new else None

    @property
    def requests_in_flight(self) -> int:
        """Number of requests being answered."""
        return self._serve_state.exchanges

    @property
    def waiting_answer_bytes(self) -> int:
        """Bytes of answers that callers have not read yet."""
        return self._serve_state.answers.bytes

    @property
    def cut_answers(self) -> int:
        """Requests that were begun and whose answer was not written whole."""
        return self._serve_state.cut

    async def addresses(self, zone: str) -> list[str]:
        """Return the ``address:port`` of the hosts that a caller in a zone should use."""
        await self._prober.check_all()
        return self.callers.addresses(zone)

    @property
    def leader_last_heard_at(self) -> Millis:
        """When a message of the leader was last received; 0 if never."""
        return self._client.last_heard_at

    def _list_is_fresh(self) -> bool:
        return self.state.list_age() < FRESH_DURATION

    def _on_directives_changed(self) -> None:
        self._server.updates_pending.notify()

    def _on_role_changed(self) -> None:
        # A voter learns of a new leader immediately. Its own search would find the leader only by
        # chance.
        leader = self.member.leader() if self.member is not None else None
        if leader is not None and self._client.leader is None:
            self._client.add_leader_hint(leader)
        self._server.role_changed.notify()
        self._server.updates_pending.notify()

    def _disk_record(self) -> DiskRecord | None:
        return self.member.disk if self.member is not None else None

    def _join(self) -> Join:
        cfg = self.cfg
        caller_address = f"{cfg.address}:{cfg.ports.callers}"
        started = self.state.is_started
        return Join(
            cfg.place, cfg.zone, caller_address, cfg.processor, self._disk_record(), started
        )

    def _report(self) -> Report:
        crashes = self.state.crash_guard.take_reports()
        sends = self.state.table.take_sends()
        version = self.state.stored.version
        wants_servers = self.state.wants_servers
        return Report(self.ready, version, self._disk_record(), crashes, sends, wants_servers)

    def _redirect(self) -> Redirect:
        return Redirect(self.leader, self._control_places())

    def _kept_news(self, name: str) -> KeptNews | None:
        state = self.state
        if state.stored.version == 0 or state.view is None:
            return None
        is_useful = self._list_is_fresh() and state.view.is_active_host(name)
        servers = list(state.records.values()) if is_useful else []
        news = ConfigurationNews(*state.stored)
        return KeptNews(news, state.view, servers, state.evacuations)

    def _control_places(self) -> list[Place]:
        return self.member.controls() if self.member is not None else self.state.controls

    def _known_places(self) -> list[Place]:
        return [*self._control_places(), *self.seeds]

    # Lifecycle

    async def run(self, handlers: EdgeHandlers) -> None:
        """Serve until a signal requests a stop."""
        # Signals are handled before the ports open. Otherwise a stop signal could end the process
        # while it handles its first requests, whose callers would see their connections closed
        # without an answer.
        with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
            await self._serve(handlers, signals)
        log_event(
            LogEvent.NODE_STOPPED,
            node=self.cfg.name,
            after_ms=self.stop.elapsed,
            cut=self.stop.requests_cut,
            not_run=self.callers.in_progress.ended_not_run,
            may_have_run=self.callers.in_progress.ended_unknown,
        )

    async def _serve(self, handlers: EdgeHandlers, signals: AsyncIterator[int]) -> None:
        trio.lowlevel.add_instrument(self._loop_delay)
        self.state.timeline = StartTimeline(self._clock, self.cfg.process_started)
        async with trio.open_nursery() as nursery:
            if self.cfg.data_folder is not None:
                checkpoint_store = CheckpointStore(self.cfg.data_folder, self.state)
                self.state.crash_guard.on_verdicts_changed = checkpoint_store.save_soon
                nursery.start_soon(checkpoint_store.restore)
                await checkpoint_store.wait_restored()
                nursery.start_soon(keep_running, checkpoint_store.run)
            await nursery.start(self._pool.run)
            nursery.start_soon(self._open_first_connections)
            await nursery.start(self._runner.run)
            await nursery.start(self.turns.run)
            await nursery.start(self._hand_over_client.run)
            await nursery.start(self._quota_client.run)
            nursery.start_soon(keep_running, self._quota_gate.run)
            await self._open_ports(nursery, handlers)
            self.state.record_step(StartStep.PORTS)
            if self.member is not None:
                nursery.start_soon(self.member.run)
                nursery.start_soon(keep_running, self._server.run)
                nursery.start_soon(keep_running, self._watch_leadership)
                nursery.start_soon(keep_running, self._announce_leader)
                voters = VoterReconciler(
                    self.member, self._server, self.cfg.tolerated_hosts, self.cfg.catch_up
                )
                nursery.start_soon(keep_running, voters.run)
                if self.cfg.first_start:
                    nursery.start_soon(keep_running, self._bootstrap)
            nursery.start_soon(keep_running, self._flush_logs)
            nursery.start_soon(keep_running, self._server_list_reader.run)
            nursery.start_soon(keep_running, self._client.run)
            nursery.start_soon(keep_running, log_lease_changes, self.state)
            nursery.start_soon(keep_running, self._prober.run)
            nursery.start_soon(keep_running, self._judge_trials)
            nursery.start_soon(keep_running, self._watch_pauses)
            self.callers.start_accepting()
            cfg = self.cfg
            log_event(LogEvent.NODE_STARTED, node=cfg.name, zone=cfg.zone, processor=cfg.processor)
            gc.collect()
            gc.freeze()
            await wait_for_stop(signals)
            await self._drain()
            nursery.cancel_scope.cancel()

    async def _open_first_connections(self) -> None:
        """Open many connections at once, and blame no server for it, while this host has none."""
        self.state.table.connection_waits = ConnectionWaits(self._clock.now() + START_SPAN)
        self._pool.set_starting(True)
        await trio.sleep(START_SPAN / SECOND)
        self._pool.set_starting(False)

    async def _judge_trials(self) -> None:
        """Report at once that a request crashes servers, and not only when it comes again."""
        while True:
            await self._trial_ended.wait()
            while self.state.crash_guard.evidence.has_unjudged_trials:
                await trio.sleep(CONCLUDE_DELAY / SECOND)
                self.state.crash_guard.judge_trials()

    async def _watch_pauses(self) -> None:
        while True:
            await trio.sleep(PAUSE_POLL_INTERVAL / SECOND)
            self.state.crash_guard.may_be_outdated()

    async def _watch_leadership(self) -> None:
        """Notify the waiting tasks when this host starts or stops leading.

        A new leader learns of its role before it holds the lease. Tasks that are notified only then
        would find that it does not lead yet, and check again seconds later. Until then no host
        would get the server list.
        """
        was_leading = False
        while True:
            if self._server.leads != was_leading:
                was_leading = not was_leading
                self._on_role_changed()
            await trio.sleep(LEADERSHIP_POLL_INTERVAL / SECOND)

    async def _announce_leader(self) -> None:
        cfg = self.cfg
        await announce_leader(self._server, cfg.place, lambda: self.seeds, self._codec, cfg.secret)

    async def _bootstrap(self) -> None:
        assert self.member is not None
        cfg = self.cfg
        self._bootstrap_host = await bootstrap_cluster(
            self.member,
            cfg.place,
            self._bootstrap_coordinator_place,
            self._bootstrap_coordinator,
            self._codec,
            cfg.secret,
        )

    def _bootstrap_coordinator_place(self) -> Place:
        return min(self.seeds, key=lambda place: (place.address, place.port))

    async def _open_ports(self, nursery: trio.Nursery, handlers: EdgeHandlers) -> None:
        ports = self.cfg.ports
        links = await self._listen(ports.links)
        local_peer = Peer(self.cfg.name, CONTROL_ROLE)
        await nursery.start(
            lambda task_status: serve_links(
                links,
                self._codec,
                self.cfg.secret,
                local_peer,
                self._on_link,
                roles={HOST_ROLE: LEASING_ROLE},
                task_status=task_status,
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
        self._serve_state.refusal = handlers.caller_refusal
        listeners = await self._listen(ports.callers)
        nursery.start_soon(
            serve_http, listeners, handlers.callers, self._caller_limits, self._serve_state
        )

    async def _metrics_page(self, req: HttpRequest) -> HttpResponse:
        page = self.metrics.page()
        return HttpResponse(200, page.body, page.content_type)

    async def _flush_logs(self) -> None:
        while True:
            await trio.sleep(LOG_FLUSH_INTERVAL / SECOND)
            self._request_log.flush()
            if self.log_output is None:
                continue
            dropped = self.log_output.take_newly_dropped()
            if dropped:
                log_event(LogEvent.LOG_LINES_DROPPED, lines=dropped)
            self.log_output.write_pending()

    async def _listen(self, port: int) -> list[trio.SocketListener]:
        return await trio.open_tcp_listeners(port, host=self.cfg.address, backlog=LISTEN_BACKLOG)

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
            case role if role == CONTROL_ROLE and self.member is not None:
                await self.member.serve_peer(link)
            case role if role == HOST_ROLE:
                await self._server.serve(link)
            case role if role == HAND_OVER_ROLE:
                await self._hand_over_server.serve(link)
            case role if role == QUOTA_ROLE:
                await self._quota_server.serve(link)
            case role if role == BOOTSTRAP_ROLE and self.cfg.first_start:
                await self._bootstrap_coordinator.serve(link)
            case role:
                log_event(LogEvent.LINK_ROLE_REFUSED, peer=link.peer.name, role=role)

    async def _drain(self) -> None:
        """Stop advertising this host, serve callers that still have its address, then end."""
        self.stop.begin(self._loop_delay.unread_time(False))
        self.exit_within(self.stop.plan.gone_by - self._clock.now())
        self._client.report_changed.notify()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._transfer_leadership)
            await self.stop.run()
            nursery.cancel_scope.cancel()
        self.stop.log_end()

    async def _transfer_leadership(self) -> None:
        member = self.member
        if member is None or member.log is None or not member.log.is_leader:
            return
        try:
            await execute_step(member.log, HandOver())
        except Exception as exc:
            # Uncaught, it would end the process with all requests of its callers.
            record_task_fault(TaskKind.BACKGROUND, exc)


MAX_CALLER_CONNECTIONS = 1500
"""Less than half of a small host's file descriptors; the rest is for servers and links."""
METRICS_LIMITS = HttpLimits(connections=20, body_bytes=0, idle_timeout=30_000.0)
OPERATOR_LIMITS = HttpLimits(connections=200, body_bytes=4 * 1024 * 1024, idle_timeout=30_000.0)
