"""Asks servers for other hosts' shares of gathers."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import LoopClock, Millis
from ..core.forwarding.forward_run import ForwardRun
from ..core.forwarding.parts_bundle import PartsBundle
from ..core.forwarding.route import AllShards
from ..core.forwarding.run_limits import RunTimes, ShareRules
from ..core.forwarding.split_run import FIRST_REPORT_FRACTION, HOP_LATENCY
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest
from .dialect import Dialect
from .gather_messages import PartsEnd, PartsNews, PartsRequest, check_parts_request
from .hand_over_messages import to_http
from .node_metrics import NodeMetrics
from .node_state import NodeState
from .parts_collector import PartsCollector
from .request_log import RequestEnd, RequestLog
from .split_gather import agreed_servers

Say = Callable[[PartsNews], None]


class GatherServer:
    """Answers requests for parts.

    Args:
        state: The node's beliefs.
        collector: Asks the servers.
        dialect: Reads requests.
        metrics: Counts what is sent.
        log: Writes a line about those that have one.
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
        self._clock = LoopClock()

    async def answer(self, asked: PartsRequest, say: Say) -> PartsEnd:
        """Ask for the parts of a request, and say what comes in.

        Raises:
            AlderhatchError: If it is not even begun.
        """
        arrived = self._clock.now()
        http = to_http(asked.method, asked.target, asked.fields, asked.body)
        run = self._begin(asked, http, arrived)
        req = self._dialect.read_request(http)._replace(time_left=asked.time_left)
        places = {shard: place for place, shard in enumerate(asked.shards)}

        def take(bundle: PartsBundle) -> None:
            here = [places[shard] for shard in bundle.shards]
            spent = [places[shard] for shard in bundle.spent]
            say(PartsNews(asked.number, here, list(bundle.signatures), bundle.records, spent))

        try:
            await self._collector.collect(req, run, self._words(asked, arrived), take)
        finally:
            self._metrics.count_steps(run)
            self._log.share_ended(req, run, self._end(run, arrived))
        return PartsEnd(asked.number)

    def _begin(self, asked: PartsRequest, http: HttpRequest, arrived: Millis) -> ForwardRun:
        if self._state.hands_over:
            message = "this host stands by and asks no servers"
            raise AlderhatchError(Failure(ErrorKind.NOT_SERVING, message))
        req = self._dialect.read_request(http)
        route = self._state.routes.find(req.host, http.path)
        if route is None or not isinstance(route.destination, AllShards):
            message = f"target: no gather for host {req.host!r} and path {http.path!r}"
            raise AlderhatchError(Failure(ErrorKind.NO_CONFIGURATION, message, "target"))
        check_parts_request(asked, route.destination.shards)
        servers = agreed_servers(self._state, route, asked.shards, self._state.zone)
        rules = ShareRules(servers, False, arrived + asked.due_in - HOP_LATENCY)
        deadline = arrived + min(asked.time_left, route.timeout)
        # Which parts are left out is for the first host to decide, which sees all of them.
        times = RunTimes(arrived, deadline, deadline)
        return ForwardRun(route, tuple(asked.shards), times, self._state.table, rules)

    def _words(self, asked: PartsRequest, arrived: Millis) -> tuple[Millis, ...]:
        due = max(0.0, asked.due_in)
        return (arrived + FIRST_REPORT_FRACTION * due, arrived + max(0.0, due - HOP_LATENCY))

    def _end(self, run: ForwardRun, arrived: Millis) -> RequestEnd:
        parts_in = sum(shard.part is not None for shard in run.shards.values())
        outcome = "complete" if parts_in == len(run.shards) else "partial"
        return RequestEnd(outcome, parts_in / len(run.shards), self._clock.now() - arrived)
