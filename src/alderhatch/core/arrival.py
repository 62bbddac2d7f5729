"""The way of a request from its arrival to its admission or refusal."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Millis
from ..errors import ErrorKind
from .admission import Admission, UpstreamGate
from .core_state import CoreState
from .crash_watch import fingerprint_of
from .query_run import QueryRun
from .rate_limiter import RateLimiter
from .request import Request
from .rule import Refuse, Rule, Serve
from .run import Run
from .server_table import UpstreamView
from .single_run import SingleRun
from .timers import TimerKind

MAX_START_SHARE = 0.5
"""At most this part of a request's time is kept for its run when it waits."""
SPREAD = 0.2
"""Callers are told to come back at times that differ by up to this share."""


class Arrival:
    """Decides for each request whether it starts, waits or is refused.

    Every refusal given here is true to its word "not run": nothing of the request has been sent.

    Args:
        state: The core's shared state.
        start: Called with each request that is admitted.
    """

    def __init__(self, state: CoreState, start: Callable[[Run], None]) -> None:
        self._state = state
        self._start = start
        self._rates = RateLimiter()
        self.admission = Admission(state.policy)
        self.stopping = False
        self.serve_until: Millis | None = None
        """When the lease ends; None if the entry runs without control."""

    @property
    def lease_is_over(self) -> bool:
        """Whether no new request may be taken."""
        return self.serve_until is not None and self._state.now >= self.serve_until

    def arrive(self, query: int, request: Request) -> None:
        """Take a caller's request."""
        core = self._state
        if self.stopping:
            core.refuse(query, None, ErrorKind.STOPPING, "this entry is stopping")
            return
        if self.lease_is_over:
            message = "this entry has not heard from control for the length of its lease"
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
        held = core.crashes.refused_for(fingerprint, core.now)
        if held is not None:
            message = "requests with this body crashed the servers that ran them"
            core.refuse(query, rule, ErrorKind.QUARANTINED, message, held)
            return
        upstream = core.servers.upstreams.get(request.upstream)
        if upstream is None or upstream.shard_map is None:
            message = f"no shard map of {request.upstream} yet"
            core.refuse(query, rule, ErrorKind.NO_SNAPSHOT, message)
            return
        if serve.caller_rate is not None:
            wait = self._rates.take(rule.name, request.caller, serve.caller_rate, core.now)
            if wait:
                message = f"more than {serve.caller_rate:g} requests a second"
                core.refuse(query, rule, ErrorKind.CALLER_LIMIT, message, wait)
                return
        shard_map = upstream.shard_map
        known = (query, request, rule, serve, fingerprint, upstream, shard_map, core.now)
        if request.idempotent:
            self._admit(QueryRun(*known, core.policy.hedge_few_share), upstream)
        else:
            self._admit(SingleRun(*known), upstream)

    def _admit(self, run: Run, upstream: UpstreamView) -> None:
        core = self._state
        needed = upstream.latencies.p05 + core.policy.path_cost_ms
        if core.now + needed > run.deadline:
            message = f"the fastest answers take {needed:.1f} ms"
            core.refuse(run.query, run.rule, ErrorKind.DEADLINE_TOO_SHORT, message)
            return
        slots = sum(server.server.slots for server in upstream.servers.values())
        gate = self.admission.gate(upstream.name, slots)
        if gate.fits(run) and not self._others_first(gate, run):
            self._enter(gate, run)
            return
        wait = gate.expected_wait(run.rank)
        latest = self._latest_start(run)
        if core.now + wait > latest or wait > core.policy.max_wait_share * run.time_budget:
            self._refuse(run, gate, f"a wait of {wait:.0f} ms is too long")
            return
        if self.admission.full():
            other = gate.evict_below(run.rank)
            if other is None:
                self._refuse(run, gate, "the queue is full")
                return
            self._refuse(other, gate, "the queue is full of more urgent requests")
        core.runs[run.query] = run
        gate.put(run)
        core.timers.add(latest, TimerKind.QUEUE, run)

    def _others_first(self, gate: UpstreamGate, run: Run) -> bool:
        """Return whether a request that waits comes before a new one."""
        if not gate.waiting or gate.waiting[0].rank > run.rank:
            return False
        return any(
            waiting.rank <= run.rank and gate.fits(waiting.run) for waiting in gate.waiting[:8]
        )

    def _latest_start(self, run: Run) -> Millis:
        # A request that starts with hardly any time left takes servers' time and ends without an
        # answer. Under overload all that wait are near their deadlines; without this the work that
        # is done would be mostly for nothing.
        policy = self._state.policy
        needed = run.upstream.latencies.median
        if isinstance(run, QueryRun):
            needed = max(needed, run.upstream.query_latencies.quantile(policy.start_quantile))
        return run.deadline - min(needed, MAX_START_SHARE * run.time_budget) - policy.path_cost_ms

    def _enter(self, gate: UpstreamGate, run: Run) -> None:
        core = self._state
        core.runs[run.query] = run
        units = len(run.shards) if isinstance(run, QueryRun) else 1
        gate.enter(run, units, core.now)
        self._start(run)

    def _refuse(self, run: Run, gate: UpstreamGate, message: str) -> None:
        core = self._state
        run.ended = True
        core.runs.pop(run.query, None)
        # Callers that were refused together and told the same time would come back together.
        spread = 1.0 + SPREAD * core.rng.random()
        retry_after = self.admission.retry_after(gate) * spread
        core.refuse(run.query, run.rule, ErrorKind.OVERLOADED, message, retry_after)

    def admit_waiting(self) -> None:
        """Start the requests that wait, as far as their gates allow."""
        for gate in self.admission.gates.values():
            while gate.waiting:
                run = gate.next()
                if run is None:
                    break
                self._enter_late(gate, run)

    def _enter_late(self, gate: UpstreamGate, run: Run) -> None:
        core = self._state
        if self.lease_is_over:
            run.ended = True
            core.runs.pop(run.query, None)
            message = "the lease ran out while the request waited"
            core.refuse(run.query, run.rule, ErrorKind.LEASE_EXPIRED, message)
            return
        if core.now > self._latest_start(run):
            self._refuse(run, gate, "the deadline can no longer be met")
            return
        if isinstance(run, QueryRun) and run.upstream.shard_map is not None:
            # A newer map may have come while it waited; the snapshot is pinned when it starts.
            run.pin(run.upstream.shard_map)
        self._enter(gate, run)

    def too_late(self, run: Run) -> None:
        """Refuse a request that still waits when its deadline can no longer be met."""
        gate = self.admission.gates.get(run.upstream.name)
        if run.gate is None and gate is not None and gate.remove(run):
            self._refuse(run, gate, "the wait outlasted the deadline")

    def withdraw(self, run: Run) -> bool:
        """Take a request out whose caller left; return False if it does not wait."""
        gate = self.admission.gates.get(run.upstream.name)
        if run.gate is not None or gate is None or not gate.remove(run):
            return False
        run.ended = True
        self._state.runs.pop(run.query, None)
        return True
