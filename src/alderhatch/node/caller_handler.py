"""Handles callers' requests and tells callers which host addresses to use."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from functools import partial

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.forwarding.caller_hosts import HostRecord
from ..core.forwarding.crash_counter import QUARANTINE_DURATION
from ..core.forwarding.forward_run import ForwardRun
from ..core.forwarding.gather_placement import faster_hosts
from ..core.forwarding.identity import Identity
from ..core.forwarding.outcome import Failed, FailureReason, NotRun, Outcome
from ..core.forwarding.response_lead_time import ResponseLeadTime
from ..core.forwarding.route import AllShards, OneUpstream, Route, SplitUpstreams
from ..core.forwarding.run_limits import RunTimes
from ..core.forwarding.stop_deadline import StopDeadline
from ..core.forwarding.usual_time_left import UsualTimeLeft
from ..core.forwarding.weighted_round_robin import WeightedRoundRobin
from ..errors import AlderhatchError, ErrorKind, Failure, Resend
from ..http.messages import HttpRequest, HttpResponse
from .caller_identity import CallerIdentity, check_still_identified
from .dialect import CallerRequest, Dialect
from .forward_runner import ForwardRunner
from .hand_over_client import HandOverClient
from .hand_over_messages import fits_hand_over
from .node_metrics import NodeMetrics
from .node_state import NodeState
from .quota_gate import QuotaGate
from .request_log import CALLER_GONE, RequestLog, to_request_end
from .requests_in_progress import RequestInProgress, RequestsInProgress
from .service_turns import ServiceTurn, ServiceTurns
from .split_gather import SplitGather, SplitGathers

NEW_CONNECTION_ROUND_TRIPS = 2.0
"""One round trip opens the connection, another carries the request and its answer."""
REUSED_CONNECTION_ROUND_TRIPS = 1.0
STARTUP_WINDOW: Millis = 2500.0
"""How long after its start a node is expected to become ready. When all hosts start at once, the
election, the leader's announcement and the first updates take some 1.5 s."""
STARTUP_WAIT_FRACTION = 0.4
"""Fraction of its remaining time that a request may wait for startup; the rest is for its run."""
ANSWERED = "answered"
MAX_STARTUP_WAITERS = 200
SHARE_END_SPAN: Millis = 20.0
"""How long before a host's own gathers its shares end, so that their parts are in the answers."""
MIN_ZONE_HOSTS = 2
"""With fewer active hosts in the caller's zone, the hosts of all zones are returned, so that the
caller still has a host after the loss of one."""
MAX_ADDRESSES = 64


class CallerHandler:
    """Handles callers' requests: runs them, splits them among hosts or hands them over.

    Args:
        state: The node's state.
        runner: Runs requests against servers.
        dialect: Reads and writes the protocol.
        metrics: Counts requests.
        log: Logs requests.
        hand_over_client: Hands requests over to active hosts, as a standby or slow host does.
        gathers: Splits large gathers among hosts.
        processor: Processor time of this host, in seconds per second.
        quotas: Admits requests within the quotas of their organisations.
        turns: Decides when a request runs.
    """

    def __init__(
        self,
        state: NodeState,
        runner: ForwardRunner,
        dialect: Dialect,
        metrics: NodeMetrics,
        log: RequestLog,
        hand_over_client: HandOverClient,
        gathers: SplitGathers,
        processor: float,
        quotas: QuotaGate,
        turns: ServiceTurns,
    ) -> None:
        self._state = state
        self._processor = processor
        self._quotas = quotas
        self._turns = turns
        self._metrics = metrics
        self._log = log
        self._runner = runner
        self._dialect = dialect
        self._identity = CallerIdentity(state, dialect)
        self._hand_over_client = hand_over_client
        self._gathers = gathers
        self._clock = LoopClock()
        self._upstream_pickers: dict[str, WeightedRoundRobin] = {}
        self._usual_times_left: dict[str, UsualTimeLeft] = {}
        self._lead_times: dict[str, ResponseLeadTime] = {}
        self.stop = StopDeadline()
        """When this host ends its requests."""
        self.in_progress = RequestsInProgress()
        """The callers' requests that are not answered yet, also those of other hosts."""
        self._startup_waiters = 0
        self._accepting_since = 0.0
        """When the node began to accept requests."""

    def start_accepting(self) -> None:
        """Record that the node accepts requests from now on."""
        self._accepting_since = self._clock.now()

    async def end_requests(self) -> None:
        """Let each request in progress be answered now, as the host ends."""
        self.in_progress.end_waiting()
        self._runner.end_shares()
        # The parts that have arrived get into the answers of this host's gathers.
        await trio.sleep(SHARE_END_SPAN / SECOND)
        self._runner.end_all()
        self._gathers.end_all()

    async def handle(self, http: HttpRequest) -> HttpResponse:
        """Answer one request.

        Raises:
            AlderhatchError: If the request is refused, or handed over and not answered.
        """
        return await self.in_progress.answer(partial(self._handle, http))

    async def _handle(self, http: HttpRequest, progress: RequestInProgress) -> HttpResponse:
        arrived = self._clock.now()
        req = self._dialect.read_request(http)
        if self._state.hands_over:
            req, route = await self._identify_before_hand_over(req, arrived)
            with self._refusal_recorded(req):
                self._check_can_finish(route)
            return await self._hand_over(req, arrived, self._faster_hosts(route), progress)
        return await self._serve(req, arrived, progress, may_hand_over=True)

    async def handle_handed_over(
        self, http: HttpRequest, time_left: Millis | None, version: int, identity: Identity | None
    ) -> HttpResponse:
        """Answer a request that another host has handed over.

        Args:
            http: The request as that host received it.
            time_left: How long the caller still waits; None if it set no limit.
            version: The oldest configuration version that may serve the request.
            identity: What that host has decided about the caller; None if it has decided nothing.

        Raises:
            AlderhatchError: If the request is refused before it runs.
        """
        return await self.in_progress.answer(
            partial(self._handle_handed_over, http, time_left, version, identity)
        )

    async def _handle_handed_over(
        self,
        http: HttpRequest,
        time_left: Millis | None,
        version: int,
        identity: Identity | None,
        progress: RequestInProgress,
    ) -> HttpResponse:
        arrived = self._clock.now()
        req = self._dialect.read_request(http)._replace(time_left=time_left, identity=identity)
        if self._state.hands_over:
            # Two standby hosts would hand the request back and forth.
            raise _error(ErrorKind.NOT_SERVING, "this host is a standby host as well")
        oldest = version if identity is None else max(version, identity.version)
        await self._identity.wait_for_version(oldest)
        return await self._serve(req, arrived, progress, may_hand_over=False)

    async def _identify_before_hand_over(
        self, req: CallerRequest, arrived: Millis
    ) -> tuple[CallerRequest, Route | None]:
        """Return a request as a standby host hands it over, without its key, and its route.

        Without organisations the other host decides everything, also that there is no route.
        """
        if self._state.organisations is None:
            return req, self._state.routes.find(req.host, req.http.path)
        with self._refusal_recorded(req):
            await self._wait_for_start(req, arrived)
            await self._identity.wait_for_version(self._state.seen_version)
            route = self._identity.route_of(req)
            return self._identity.identify(req, route), route

    def _faster_hosts(self, route: Route | None) -> list[HostRecord]:
        state = self._state
        if route is None:
            return []
        return faster_hosts(route, state.name, self._processor, state.caller_hosts)

    async def _run_at_faster_host(
        self, req: CallerRequest, route: Route, arrived: Millis, progress: RequestInProgress
    ) -> HttpResponse | None:
        """Hand over a gather that would be late here; return None if it has to run here."""
        hosts = self._faster_hosts(route)
        if not hosts or not fits_hand_over(req.http):
            return None
        try:
            return await self._hand_over(req, arrived, hosts, progress)
        except AlderhatchError as exc:
            if exc.failure.answer.resend is not Resend.OTHER_ENTRY:
                raise
            # No other host has begun to run it, and a late answer is better than none.
            progress.passed_on = False
            return None

    async def _hand_over(
        self,
        req: CallerRequest,
        arrived: Millis,
        hosts: Sequence[HostRecord],
        progress: RequestInProgress,
    ) -> HttpResponse:
        """Hand a request over to one of some hosts, or to any active host if there are none."""
        time_left = req.time_left
        if time_left is not None:
            time_left -= self._clock.now() - arrived
        progress.passed_on = True
        try:
            handed = await self._hand_over_client.hand_over(
                req.http, time_left, hosts, req.identity
            )
        except AlderhatchError as exc:
            kind = exc.failure.kind
            if kind is ErrorKind.NOT_SERVING and self._state.hands_over:
                self._state.request_server_list()
            self._metrics.count_handed_over(kind)
            self._log.log_handed_over(req, None, kind, self._clock.now() - arrived)
            raise
        self._metrics.count_handed_over(ANSWERED)
        self._log.log_handed_over(req, handed.host, ANSWERED, self._clock.now() - arrived)
        return handed.response

    async def _serve(
        self,
        req: CallerRequest,
        arrived: Millis,
        progress: RequestInProgress,
        may_hand_over: bool,
    ) -> HttpResponse:
        with self._refusal_recorded(req):
            await self._wait_for_start(req, arrived)
            route = self._identity.route_of(req)
            req = self._identity.identify(req, route)
            self._check_quarantine(req)
            self._check_can_finish(route)
        if may_hand_over:
            handed = await self._run_at_faster_host(req, route, arrived, progress)
            if handed is not None:
                return handed
        with self._refusal_recorded(req):
            times = self._run_times(route, req, arrived)
            try:
                outcome, res = await self._admit_and_run(req, route, times, progress)
            except trio.Cancelled:
                if not self.in_progress.is_over:
                    self._count_organisation(req, CALLER_GONE)
                raise
        if _ended_early(outcome):
            not_run = isinstance(outcome, NotRun)
            self.in_progress.count_end(not_run)
            if not_run and not may_hand_over:
                # The host that handed it over sends it to another one.
                raise _error(ErrorKind.STOPPING, "this host stops before the request could run")
        return res

    async def _admit_and_run(
        self, req: CallerRequest, route: Route, times: RunTimes, progress: RequestInProgress
    ) -> tuple[Outcome, HttpResponse]:
        token = None
        if req.organisation is not None:
            token = await self._quotas.admit(req.organisation, times.deadline)
        may_have_run = False
        try:
            async with self._turns.turn(route, req.organisation) as turn:
                # The key may have been taken away while the request waited.
                check_still_identified(self._state, req, route, self._clock.now())
                self._check_quarantine(req)
                may_have_run = True
                progress.passed_on = True
                progress.is_running = True
                outcome, res = await self._run(req, route, times, turn)
                may_have_run = not isinstance(outcome, NotRun)
        finally:
            if token is not None and not may_have_run:
                self._quotas.give_back(token)
        return outcome, res

    @contextmanager
    def _refusal_recorded(self, req: CallerRequest) -> Iterator[None]:
        try:
            yield
        except AlderhatchError as exc:
            self._metrics.count_refused(exc.failure.kind)
            self._count_organisation(req, exc.failure.kind)
            self._log.log_refused(req, exc.failure.kind, exc.failure.message)
            raise

    def _count_organisation(self, req: CallerRequest, outcome: str) -> None:
        if req.organisation is not None:
            self._metrics.count_organisation(req.organisation.name, outcome)

    async def _run(
        self, req: CallerRequest, route: Route, times: RunTimes, turn: ServiceTurn
    ) -> tuple[Outcome, HttpResponse]:
        gather = self._gathers.create(req, route, times)
        if gather is not None:
            return await self._gather(gather, req)
        suspicion = self._state.crash_guard.suspicion(req.fingerprint)
        run = ForwardRun(
            route, self._upstreams(route), times, self._state.table, suspicion=suspicion
        )
        with self._logged_if_cancelled(req, run):
            outcome = await self._runner.forward(req, run, turn)
        return outcome, self._finish(req, run, outcome, run.omitted_late_parts)

    async def _gather(
        self, gather: SplitGather, req: CallerRequest
    ) -> tuple[Outcome, HttpResponse]:
        with self._logged_if_cancelled(req, gather.own_run):
            outcome = await gather.run()
        for run in gather.repeat_runs:
            self._metrics.count_decisions(run)
        omitted_late_parts = gather.split.omitted_late_parts
        return outcome, self._finish(req, gather.own_run, outcome, omitted_late_parts)

    def _finish(
        self, req: CallerRequest, run: ForwardRun, outcome: Outcome, omitted_late_parts: bool
    ) -> HttpResponse:
        end = to_request_end(outcome, self._clock.now() - run.times.arrived)
        self._metrics.count_request(run, end, req.http.unread_time)
        self._count_organisation(req, end.outcome)
        self._log.log_end(req, run, end)
        res = self._dialect.response(run.route, outcome)
        if omitted_late_parts:
            self._lead_time(run.route).record_overrun(self._clock.now() - run.due)
        return res

    @contextmanager
    def _logged_if_cancelled(self, req: CallerRequest, run: ForwardRun) -> Iterator[None]:
        try:
            yield
        except trio.Cancelled:
            self._log.log_cancelled(req, run, self._clock.now() - run.times.arrived)
            raise

    def _lead_time(self, route: Route) -> ResponseLeadTime:
        return self._lead_times.setdefault(route.name, ResponseLeadTime())

    def _check_quarantine(self, req: CallerRequest) -> None:
        if self._state.crash_guard.is_quarantined(req.fingerprint):
            message = "this request crashed servers that ran it"
            raise AlderhatchError(
                Failure(ErrorKind.QUARANTINED, message, None, QUARANTINE_DURATION)
            )

    def _check_can_finish(self, route: Route | None) -> None:
        if route is None:
            return
        latencies = self._state.table.route_latencies(route.name)
        if not self.stop.can_finish(latencies, self._clock.now()):
            raise _error(ErrorKind.STOPPING, "this host stops before it could answer")

    async def _wait_for_start(self, req: CallerRequest, arrived: Millis) -> None:
        """Hold a request until the node has its configuration, the server list and its first lease.

        After a restart of all hosts this takes a second, and a caller that is refused meanwhile has
        no attempt left when the node is ready. After ``STARTUP_WINDOW`` it is unknown when the node
        will be ready, so requests no longer wait and callers can try another host.
        """
        state = self._state
        began = self._accepting_since
        if state.awaits_first_lease:
            began = max(began, state.organisations_since)
        if not self._awaits_start(req) or arrived - began > STARTUP_WINDOW:
            return
        if self._startup_waiters >= MAX_STARTUP_WAITERS:
            return
        remaining = STARTUP_WINDOW if req.time_left is None else req.time_left
        self._startup_waiters += 1
        try:
            with trio.move_on_after(
                min(STARTUP_WINDOW, remaining * STARTUP_WAIT_FRACTION) / SECOND
            ):
                await state.started.wait()
                while self._awaits_start(req):
                    await state.leased.wait()
        finally:
            self._startup_waiters -= 1

    def _awaits_start(self, req: CallerRequest) -> bool:
        if not self._state.is_started:
            return True
        if not self._state.awaits_first_lease:
            return False
        route = self._state.routes.find(req.host, req.http.path)
        return route is not None and not route.public

    def _upstreams(self, route: Route) -> tuple[str, ...]:
        match route.destination:
            case OneUpstream(upstream):
                return (upstream,)
            case SplitUpstreams():
                picker = self._upstream_pickers.setdefault(route.name, WeightedRoundRobin())
                return (picker.pick(route.destination),)
            case AllShards(shards):
                return shards

    def _run_times(self, route: Route, req: CallerRequest, now: Millis) -> RunTimes:
        remaining = route.timeout if req.time_left is None else req.time_left
        usual = self._usual_times_left.setdefault(route.name, UsualTimeLeft())
        used_before = usual.used_before(remaining)
        round_trips = (
            REUSED_CONNECTION_ROUND_TRIPS
            if req.http.on_used_connection
            else NEW_CONNECTION_ROUND_TRIPS
        )
        transfer_time = round_trips * req.http.round_trip + self._lead_time(route).lead_time
        target = route.target_latency - used_before - transfer_time
        return RunTimes(now, now + target, now + min(remaining, route.timeout))

    def addresses(self, zone: str) -> list[str]:
        """Return the ``address:port`` of the hosts that a caller in a zone should use."""
        serving = self._state.caller_hosts
        same_zone = [host_record for host_record in serving if host_record.zone == zone]
        chosen = same_zone if len(same_zone) >= MIN_ZONE_HOSTS else serving
        return [host_record.caller_address for host_record in chosen[:MAX_ADDRESSES]]


def _ended_early(outcome: Outcome) -> bool:
    """Return whether a request has no answer as the host ended."""
    match outcome:
        case NotRun(reason) | Failed(reason):
            return reason is FailureReason.STOPPING
    return False


def _error(kind: ErrorKind, message: str, retry_after: Millis | None = None) -> AlderhatchError:
    return AlderhatchError(Failure(kind, message, None, retry_after))
