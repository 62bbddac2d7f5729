"""Answers callers: finds the route, runs the request, and says which addresses to use."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.forwarding.crash_counter import QUARANTINE_DURATION
from ..core.forwarding.forward_run import ForwardRun
from ..core.forwarding.outcome import Outcome
from ..core.forwarding.response_lead_time import ResponseLeadTime
from ..core.forwarding.route import AllShards, OneUpstream, Route, SplitUpstreams
from ..core.forwarding.run_limits import RunTimes
from ..core.forwarding.weighted_round_robin import WeightedRoundRobin
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse
from .dialect import CallerRequest, Dialect
from .forward_runner import ForwardRunner
from .hand_over_client import HandOverClient
from .node_metrics import NodeMetrics
from .node_state import NodeState
from .request_log import RequestLog, end_of
from .split_gather import SplitGather, SplitGathers

FIRST_ROUND_TRIPS = 2.0
"""A caller's new connection takes a round trip, its request and its answer another."""
LATER_ROUND_TRIPS = 1.0
NO_CONFIGURATION_RETRY: Millis = 300.0
START_SPAN: Millis = 2500.0
"""How long after its start a node may still be expected to become ready: an election, the leader's
introduction and the first news take some 1.5 s when all hosts start at once."""
START_SHARE = 0.4
"""The part of its time that a request is kept for that; the rest is for the request itself."""
VERSION_WAIT: Millis = 300.0
"""How long a handed over request waits for a configuration that its host has seen already."""
ANSWERED = "answered"
MAX_WAITING = 200
MIN_ZONE_HOSTS = 2
"""With fewer serving hosts in a caller's zone the hosts of all zones are named, so that the loss of
one leaves the caller another."""
MAX_ADDRESSES = 64


class CallerSide:
    """Serves callers by what the node believes.

    Args:
        state: The node's beliefs.
        runner: Carries requests out.
        dialect: Reads and writes the protocol.
        metrics: Counts requests.
        log: Writes a line about those that have one.
        hand_over_client: Has other hosts answer while this one stands by.
        gathers: Has other hosts ask for shares of large gathers.
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
    ) -> None:
        self._state = state
        self._metrics = metrics
        self._log = log
        self._runner = runner
        self._dialect = dialect
        self._hand_over_client = hand_over_client
        self._gathers = gathers
        self._clock = LoopClock()
        self._splits: dict[str, WeightedRoundRobin] = {}
        self._longest: dict[str, Millis] = {}
        self._own_times: dict[str, ResponseLeadTime] = {}
        self._waiting = 0
        self._began = 0.0
        """When the node began to take requests."""

    def begin(self) -> None:
        """Note that the node takes requests from now on."""
        self._began = self._clock.now()

    async def handle(self, http: HttpRequest) -> HttpResponse:
        """Answer one request.

        Raises:
            AlderhatchError: If it is not even begun.
        """
        arrived = self._clock.now()
        req = self._dialect.read_request(http)
        if self._state.hands_over:
            return await self._hand_over(req, arrived)
        return await self._serve(req, arrived)

    async def handle_handed(
        self, http: HttpRequest, time_left: Millis | None, version: int
    ) -> HttpResponse:
        """Answer a request that another host has handed over.

        Args:
            http: The request as that host got it.
            time_left: How long its caller waits from now on, if it said so.
            version: The least configuration that may decide about it.

        Raises:
            AlderhatchError: If it is not even begun.
        """
        arrived = self._clock.now()
        req = self._dialect.read_request(http)._replace(time_left=time_left)
        if self._state.hands_over:
            # Each of the two would hand it to the other again and again.
            raise _refused(ErrorKind.NOT_SERVING, "this host stands by as well")
        await self._wait_for_version(version)
        return await self._serve(req, arrived)

    async def _wait_for_version(self, version: int) -> None:
        """Wait a moment for a configuration that another host has seen already."""
        state = self._state
        until = self._clock.now() + VERSION_WAIT
        while state.stored.version < version:
            if self._clock.now() >= until:
                message = f"this host has no configuration {version} yet"
                raise _refused(ErrorKind.NO_CONFIGURATION, message, NO_CONFIGURATION_RETRY)
            await state.configured.wait_for(until - self._clock.now())

    async def _hand_over(self, req: CallerRequest, arrived: Millis) -> HttpResponse:
        try:
            handed = await self._hand_over_client.hand_over(req.http, req.time_left)
        except AlderhatchError as exc:
            kind = exc.failure.kind
            if kind is ErrorKind.NOT_SERVING:
                self._state.request_server_list()
            self._metrics.count_handed_over(kind)
            self._log.handed_over(req, None, kind, self._clock.now() - arrived)
            raise
        self._metrics.count_handed_over(ANSWERED)
        self._log.handed_over(req, handed.host, ANSWERED, self._clock.now() - arrived)
        return handed.response

    async def _serve(self, req: CallerRequest, arrived: Millis) -> HttpResponse:
        try:
            await self._wait_for_start(req, arrived)
            route = self._route_of(req)
            self._check_quarantine(req)
        except AlderhatchError as exc:
            self._metrics.count_refused(exc.failure.kind)
            self._log.refused(req, exc.failure.kind, exc.failure.message)
            raise
        times = self._times(route, req, arrived)
        gather = self._gathers.begin(req, route, times)
        if gather is not None:
            return await self._gather(gather, req)
        run = ForwardRun(route, self._upstreams(route), times, self._state.table)
        with self._logged_if_cancelled(req, run):
            outcome = await self._runner.forward(req, run)
        return self._end(req, run, outcome, run.omitted_late_parts)

    async def _gather(self, gather: SplitGather, req: CallerRequest) -> HttpResponse:
        with self._logged_if_cancelled(req, gather.own):
            outcome = await gather.run()
        for run in gather.again:
            self._metrics.count_steps(run)
        return self._end(req, gather.own, outcome, gather.split.omitted_late_parts)

    def _end(
        self, req: CallerRequest, run: ForwardRun, outcome: Outcome, omitted_late_parts: bool
    ) -> HttpResponse:
        end = end_of(outcome, self._clock.now() - run.times.arrived)
        self._metrics.count(run, end)
        self._log.ended(req, run, end)
        res = self._dialect.response(run.route, outcome)
        if omitted_late_parts:
            self._own_time(run.route).record_overrun(self._clock.now() - run.due)
        return res

    @contextmanager
    def _logged_if_cancelled(self, req: CallerRequest, run: ForwardRun) -> Iterator[None]:
        try:
            yield
        except trio.Cancelled:
            self._log.cancelled(req, run, self._clock.now() - run.times.arrived)
            raise

    def _own_time(self, route: Route) -> ResponseLeadTime:
        return self._own_times.setdefault(route.name, ResponseLeadTime())

    def _route_of(self, req: CallerRequest) -> Route:
        # The version that another host served a caller of this one by may not have come yet.
        if self._state.stored.version == 0 or self._state.stored.version < self._state.seen_version:
            message = "this host has no configuration yet"
            raise _refused(ErrorKind.NO_CONFIGURATION, message, NO_CONFIGURATION_RETRY)
        route = self._state.routes.find(req.host, req.http.path)
        if route is None:
            message = f"no route for host {req.host!r} and path {req.http.path!r}"
            raise AlderhatchError(Failure(ErrorKind.NOT_FOUND, message))
        return route

    def _check_quarantine(self, req: CallerRequest) -> None:
        if self._state.is_quarantined(req.fingerprint):
            message = "this request crashed servers that ran it"
            raise AlderhatchError(
                Failure(ErrorKind.QUARANTINED, message, None, QUARANTINE_DURATION)
            )

    async def _wait_for_start(self, req: CallerRequest, arrived: Millis) -> None:
        """Keep a request that comes while the node learns its configuration and the servers.

        After a restart of all hosts that takes a second, and a caller that is refused meanwhile has
        no further try left when the node is ready. Later than that nothing is known of when the
        node will be ready, and the caller does better at another host.
        """
        if self._state.is_started or arrived - self._began > START_SPAN:
            return
        if self._waiting >= MAX_WAITING:
            return
        left = START_SPAN if req.time_left is None else req.time_left
        self._waiting += 1
        try:
            with trio.move_on_after(min(START_SPAN, left * START_SHARE) / SECOND):
                await self._state.started.wait()
        finally:
            self._waiting -= 1

    def _upstreams(self, route: Route) -> tuple[str, ...]:
        match route.destination:
            case OneUpstream(upstream):
                return (upstream,)
            case SplitUpstreams():
                counter = self._splits.setdefault(route.name, WeightedRoundRobin())
                return (counter.pick(route.destination),)
            case AllShards(shards):
                return shards

    def _times(self, route: Route, req: CallerRequest, now: Millis) -> RunTimes:
        left = route.timeout if req.time_left is None else req.time_left
        # A caller's second try has less time left than its first one had. What is missing of the
        # most that any caller of this route had lately has been used up before this try.
        longest = max(left, self._longest.get(route.name, 0.0))
        self._longest[route.name] = longest
        trips = LATER_ROUND_TRIPS if req.http.on_used_connection else FIRST_ROUND_TRIPS
        away = trips * req.http.round_trip + self._own_time(route).lead_time
        target = route.target_latency - (longest - left) - away
        return RunTimes(now, now + target, now + min(left, route.timeout))

    def addresses(self, zone: str) -> list[str]:
        """Return the addresses that a caller of a zone should use, as address and port."""
        serving = self._state.caller_hosts
        near = [one for one in serving if one.zone == zone]
        chosen = near if len(near) >= MIN_ZONE_HOSTS else serving
        return [one.caller_address for one in chosen[:MAX_ADDRESSES]]


def _refused(kind: ErrorKind, message: str, retry_after: Millis | None = None) -> AlderhatchError:
    return AlderhatchError(Failure(kind, message, None, retry_after))
