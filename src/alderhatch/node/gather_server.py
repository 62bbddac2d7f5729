"""Answers other hosts' requests for shares of gathers."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import LoopClock, Millis
from ..core.forwarding.forward_run import ForwardRun
from ..core.forwarding.identity import Identity
from ..core.forwarding.parts_bundle import PartsBundle
from ..core.forwarding.route import AllShards, Route
from ..core.forwarding.run_limits import RunTimes, ShareRules
from ..core.forwarding.split_run import FIRST_REPORT_FRACTION, HOP_LATENCY
from ..errors import AlderhatchError, ErrorKind, Failure
from .caller_identity import CallerIdentity
from .dialect import CallerRequest, Dialect
from .gather_messages import PartsEnd, PartsNews, PartsRequest, check_parts_request
from .hand_over_messages import to_http
from .node_metrics import NodeMetrics
from .node_state import NodeState
from .parts_collector import PartsCollector
from .request_log import RequestEnd, RequestLog
from .split_gather import agreed_servers

SendParts = Callable[[PartsNews], None]


class GatherServer:
    """Queries servers for a share of another host's gather.

    Args:
        state: The node's state.
        collector: Queries the servers.
        dialect: Parses requests.
        metrics: Counts requests to servers.
        log: Logs shares.
    """

    def __init__(
        self,
        state: NodeState,
        collector: PartsCollector,
        dialect: Dialect,
        metrics: NodeMetrics,
        log: RequestLog,
    ) -> None:
        self._state = state
        self._collector = collector
        self._dialect = dialect
        self._metrics = metrics
        self._log = log
        self._identity = CallerIdentity(state, dialect)
        self._clock = LoopClock()

    async def answer(
        self, parts_req: PartsRequest, identity: Identity | None, send_parts: SendParts
    ) -> PartsEnd:
        """Query the shards of a share and send the parts as they arrive.

        Args:
            parts_req: The other host's request.
            identity: What that host has decided about the caller; None if it has decided nothing.
            send_parts: Sends a message with parts to that host.

        Raises:
            AlderhatchError: If the request is refused before it runs.
        """
        arrived = self._clock.now()
        http = to_http(parts_req.method, parts_req.target, parts_req.fields, parts_req.body)
        req = self._dialect.read_request(http)
        req = req._replace(time_left=parts_req.time_left, identity=identity)
        if identity is not None:
            await self._identity.wait_for_version(identity.version)
        route, shards = self._gather_of(req)
        check_parts_request(parts_req, shards)
        req = self._identity.identify(req, route)
        if self._state.crash_guard.is_quarantined(req.fingerprint):
            return PartsEnd(parts_req.number)
        run = self._create_run(parts_req, route, req, arrived)
        positions = {shard: position for position, shard in enumerate(parts_req.shards)}

        def on_parts(bundle: PartsBundle) -> None:
            received = [positions[shard] for shard in bundle.shards]
            spent = [positions[shard] for shard in bundle.spent]
            send_parts(
                PartsNews(
                    parts_req.number, received, list(bundle.signatures), bundle.records, spent
                )
            )

        try:
            await self._collector.collect(
                req, run, self._report_times(parts_req, arrived), on_parts
            )
        finally:
            self._metrics.count_decisions(run)
            self._log.log_share_end(req, run, self._request_end(run, arrived))
        if run.ended_early:
            # With the end of the parts, the other host would not query the rest itself.
            message = "this host stops before all parts have come"
            raise AlderhatchError(Failure(ErrorKind.OUTCOME_UNKNOWN, message))
        return PartsEnd(parts_req.number)

    def _gather_of(self, req: CallerRequest) -> tuple[Route, tuple[str, ...]]:
        """Return the route of a gather, and the shards that it has at this host."""
        if self._state.hands_over:
            message = "this host is a standby host and queries no servers"
            raise AlderhatchError(Failure(ErrorKind.NOT_SERVING, message))
        route = self._state.routes.find(req.host, req.http.path)
        if route is None or not isinstance(route.destination, AllShards):
            message = f"target: no gather route for host {req.host!r} and path {req.http.path!r}"
            raise AlderhatchError(Failure(ErrorKind.NO_CONFIGURATION, message, "target"))
        return route, route.destination.shards

    def _create_run(
        self, parts_req: PartsRequest, route: Route, req: CallerRequest, arrived: Millis
    ) -> ForwardRun:
        servers = agreed_servers(self._state, route, parts_req.shards, self._state.zone)
        rules = ShareRules(servers, False, arrived + parts_req.due_in - HOP_LATENCY)
        deadline = arrived + min(parts_req.time_left, route.timeout)
        # The host that splits the gather sees all parts and decides which ones to omit.
        times = RunTimes(arrived, deadline, deadline)
        suspicion = self._state.crash_guard.suspicion(req.fingerprint)
        shards = tuple(parts_req.shards)
        return ForwardRun(route, shards, times, self._state.table, rules, suspicion)

    def _report_times(self, parts_req: PartsRequest, arrived: Millis) -> tuple[Millis, ...]:
        until_due = max(0.0, parts_req.due_in)
        return (
            arrived + FIRST_REPORT_FRACTION * until_due,
            arrived + max(0.0, until_due - HOP_LATENCY),
        )

    def _request_end(self, run: ForwardRun, arrived: Millis) -> RequestEnd:
        answered = sum(shard.part is not None for shard in run.shards.values())
        outcome = "complete" if answered == len(run.shards) else "partial"
        return RequestEnd(outcome, answered / len(run.shards), self._clock.now() - arrived)
