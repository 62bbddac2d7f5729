"""Handling of an arriving request until it is admitted or refused."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Millis
from ..errors import ErrorKind
from .admission import Admission, UpstreamLimiter
from .core_state import CoreState
from .crash_detector import fingerprint_of
from .query_run import QueryRun
from .rate_limiter import RateLimiter
from .request import Request
from .rule import Refuse, Rule, Serve
from .run import Run
from .server_table import UpstreamView
from .single_run import SingleRun
from .timers import TimerKind

MAX_RESERVED_SHARE = 0.5
"""The largest share of a queued request's time span that is reserved for its execution."""
STOPPING_MESSAGE = "entry is stopping and takes no new requests"
RETRY_AFTER_JITTER = 0.2
"""Random share by which retry-after times are extended, so that callers don't retry together."""


class ArrivalHandler:
    """Decides for each request whether it starts, waits or is refused.

    A request that is refused here has not run: no shard request has been sent for it.

    Args:
        state: The core's shared state.
        start: Called with each request that is admitted.
    """

    def __init__(self, state: CoreState, start: Callable[[Run], None]) -> None:
        self._state = state
        self._start = start
        self._caller_rates = RateLimiter()
        self.admission = Admission(state.policy)
        self.stopping = False
        self.serve_until: Millis | None = None
        """When the lease ends; None if the entry runs without control hosts."""

    @property
    def is_lease_expired(self) -> bool:
        """Whether the lease has expired, so that new requests are refused."""
        return self.serve_until is not None and self._state.now >= self.serve_until

    def handle(self, query: int, request: Request) -> None:
        """Admit, queue or refuse a caller's request."""
        core = self._state
        if self.stopping:
            core.refuse(query, None, ErrorKind.STOPPING, STOPPING_MESSAGE)
            return
        if self.is_lease_expired:
            message = "entry lease expired: no renewal from control"
            core.refuse(query, None, ErrorKind.LEASE_EXPIRED, message)
            return
        rule = core.rules.match(request)
        match rule.then:
            case Refuse(refuse=reason, retry_after_ms=retry_after):
                core.refuse(query, rule, ErrorKind.REFUSED_BY_RULE, reason, retry_after)
            case Serve() as serve:
                self._check(query, request, rule, serve)

    def _check(self, query: int, request: Request, rule: Rule, serve: Serve) -> None:
        core = self._state
        fingerprint = fingerprint_of(request)
        block_time = core.crashes.block_time_left(fingerprint, core.now)
        if block_time is not None:
            message = "request body is quarantined: it crashed the servers that ran it"
            core.refuse(query, rule, ErrorKind.QUARANTINED, message, block_time)
            return
        upstream = core.servers.upstreams.get(request.upstream)
        if upstream is None or upstream.shard_map is None:
            message = f"no shard map of upstream {request.upstream} received yet"
            core.refuse(query, rule, ErrorKind.NO_SNAPSHOT, message)
            return
        if serve.caller_rate is not None:
            wait = self._caller_rates.take(rule.name, request.caller, serve.caller_rate, core.now)
            if wait:
                message = f"caller exceeds its limit of {serve.caller_rate:g} requests per second"
                core.refuse(query, rule, ErrorKind.CALLER_LIMIT, message, wait)
                return
        shard_map = upstream.shard_map
        run_args = (query, request, rule, serve, fingerprint, upstream, shard_map, core.now)
        if request.idempotent:
            self._admit(QueryRun(*run_args, core.policy.hedge_few_share), upstream)
        else:
            self._admit(SingleRun(*run_args), upstream)

    def _admit(self, run: Run, upstream: UpstreamView) -> None:
        core = self._state
        min_time = upstream.latencies.p05 + core.policy.path_cost_ms
        if core.now + min_time > run.deadline:
            message = f"deadline too short: the fastest answers take {min_time:.1f} ms"
            core.refuse(run.query, run.rule, ErrorKind.DEADLINE_TOO_SHORT, message)
            return
        slots = sum(server.server.slots for server in upstream.servers.values())
        limiter = self.admission.limiter(upstream.name, slots)
        if limiter.has_capacity_for(run) and not self._queued_takes_precedence(limiter, run):
            self._start_run(limiter, run)
            return
        wait = limiter.expected_wait(run.rank)
        latest = self._latest_start(run)
        if core.now + wait > latest or wait > core.policy.max_wait_share * run.time_budget:
            self._refuse(run, limiter, f"expected wait of {wait:.0f} ms is too long")
            return
        if self.admission.full():
            other = limiter.evict_lower_priority(run.rank)
            if other is None:
                self._refuse(run, limiter, "admission queue is full")
                return
            self._refuse(
                other, limiter, "evicted from the full admission queue by a more urgent request"
            )
        core.runs[run.query] = run
        limiter.enqueue(run)
        core.timers.add(latest, TimerKind.QUEUE, run)

    def _queued_takes_precedence(self, limiter: UpstreamLimiter, run: Run) -> bool:
        """Return whether a queued request that may start takes precedence over a new one."""
        if not limiter.waiting or limiter.waiting[0].rank > run.rank:
            return False
        return any(
            waiting.rank <= run.rank and limiter.has_capacity_for(waiting.run)
            for waiting in limiter.waiting[:8]
        )

    def _latest_start(self, run: Run) -> Millis:
        # A request that starts shortly before its deadline uses server time and still gets no
        # answer. Under overload all queued requests are near their deadlines, so without this limit
        # most of the work done would be wasted.
        policy = self._state.policy
        min_time = run.upstream.latencies.median
        if isinstance(run, QueryRun):
            min_time = max(min_time, run.upstream.query_latencies.quantile(policy.start_quantile))
        return (
            run.deadline - min(min_time, MAX_RESERVED_SHARE * run.time_budget) - policy.path_cost_ms
        )

    def _start_run(self, limiter: UpstreamLimiter, run: Run) -> None:
        core = self._state
        core.runs[run.query] = run
        units = len(run.shards) if isinstance(run, QueryRun) else 1
        limiter.admit(run, units, core.now)
        self._start(run)

    def _refuse(self, run: Run, limiter: UpstreamLimiter, message: str) -> None:
        core = self._state
        run.ended = True
        core.runs.pop(run.query, None)
        # Callers refused at the same moment with the same retry-after time would retry together.
        jitter = 1.0 + RETRY_AFTER_JITTER * core.rng.random()
        retry_after = self.admission.retry_after(limiter) * jitter
        core.refuse(run.query, run.rule, ErrorKind.OVERLOADED, message, retry_after)

    def admit_waiting(self) -> None:
        """Start queued requests as far as the limiters allow."""
        for limiter in self.admission.limiters.values():
            while limiter.waiting:
                run = limiter.dequeue()
                if run is None:
                    break
                self._start_queued(limiter, run)

    def _start_queued(self, limiter: UpstreamLimiter, run: Run) -> None:
        core = self._state
        if self.is_lease_expired:
            run.ended = True
            core.runs.pop(run.query, None)
            message = "entry lease expired while the request was queued"
            core.refuse(run.query, run.rule, ErrorKind.LEASE_EXPIRED, message)
            return
        if core.now > self._latest_start(run):
            self._refuse(run, limiter, "queued too long to meet the deadline")
            return
        if isinstance(run, QueryRun) and run.upstream.shard_map is not None:
            # The shard map may have been updated while the request was queued. The snapshot is
            # pinned when the request starts.
            run.pin(run.upstream.shard_map)
        self._start_run(limiter, run)

    def expire(self, run: Run) -> None:
        """Refuse a request that is still queued and can no longer meet its deadline."""
        limiter = self.admission.limiters.get(run.upstream.name)
        if run.limiter is None and limiter is not None and limiter.remove(run):
            self._refuse(run, limiter, "queued until the deadline could no longer be met")

    def refuse_waiting(self) -> None:
        """Refuse all requests that are still queued when the entry's stop ends."""
        core = self._state
        for run in list(core.runs.values()):
            if self.cancel_waiting(run):
                core.refuse(run.query, run.rule, ErrorKind.STOPPING, STOPPING_MESSAGE)

    def cancel_waiting(self, run: Run) -> bool:
        """Remove a queued request whose caller disconnected; return False if it is not queued."""
        limiter = self.admission.limiters.get(run.upstream.name)
        if run.limiter is not None or limiter is None or not limiter.remove(run):
            return False
        run.ended = True
        self._state.runs.pop(run.query, None)
        return True
