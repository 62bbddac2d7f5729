"""The core's state as plain data, for the operators' dump."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..clock import Millis
from .core_state import CoreState
from .dispatcher import Dispatcher
from .server_table import UpstreamView
from .server_view import ServerView

if TYPE_CHECKING:
    from .arrival import ArrivalHandler

MAX_ITEMS = 500
"""The maximum number of servers, requests or bodies listed in one dump."""


def dump_state(
    state: CoreState, arrival: ArrivalHandler, dispatcher: Dispatcher, now: Millis
) -> dict[str, Any]:
    """Return the core's state as maps, lists, numbers and strings."""
    lease = arrival.serve_until
    return {
        "revision": state.revision,
        "rules": len(state.rules.rules),
        "stopping": arrival.stopping,
        "lease_ms_left": None if lease is None else round(lease - now, 1),
        "running": len(state.runs),
        "timers": state.timers.size,
        "attempts_out": len(dispatcher.attempts),
        "waiting_for_server": dispatcher.waiting_count,
        "shard_requests_sent": state.shard_requests_sent,
        "shard_requests_needed": state.shard_requests_needed,
        "wasted": state.wasted,
        "hedges": {
            rule: {"tokens": round(budget.tokens, 2), "spent": budget.spent}
            for rule, budget in list(state.hedges.items())[:MAX_ITEMS]
        },
        "upstreams": {
            name: _dump_upstream(view, arrival, now)
            for name, view in state.servers.upstreams.items()
        },
        "requests": [
            {
                "query": run.query,
                "rule": run.rule.name,
                "upstream": run.upstream.name,
                "age_ms": round(now - run.started_at, 1),
                "admitted": run.limiter is not None,
                "open_shards": run.units,
            }
            for run in list(state.runs.values())[:MAX_ITEMS]
        ],
        "refused_bodies": list(state.crashes.blocked_fingerprints(now))[:MAX_ITEMS],
    }


def _dump_upstream(view: UpstreamView, arrival: ArrivalHandler, now: Millis) -> dict[str, Any]:
    limiter = arrival.admission.limiters.get(view.name)
    snapshot = view.shard_map.snapshot if view.shard_map is not None else None
    servers = list(view.servers.values())[:MAX_ITEMS]
    return {
        "snapshot": None if snapshot is None else list(snapshot),
        "latency_ms": {
            "p50": round(view.latencies.quantile(0.5), 2),
            "p95": round(view.latencies.quantile(0.95), 2),
        },
        "retry_tokens": round(view.retry_budget.tokens, 1),
        "limit": None if limiter is None else round(limiter.limit, 1),
        "open_shards": 0 if limiter is None else limiter.open,
        "waiting": 0 if limiter is None else len(limiter.waiting),
        "server_queue": 0.0 if limiter is None else round(limiter.queue, 3),
        "holds_lower_classes_back": limiter is not None and limiter.overloaded,
        "servers": {server.server_id: _dump_server(server, now) for server in servers},
    }


def _dump_server(server: ServerView, now: Millis) -> dict[str, Any]:
    return {
        "zone": server.server.zone,
        "in_flight": server.in_flight,
        "cap": round(server.cap, 1),
        "latency_ms": round(server.latency, 2),
        "estimate_ms": round(server.estimate(now), 2),
        "others": round(server.other_load, 1),
        "failures": server.failures,
        "boot_id": server.boot_id,
        "reasons": server.restrictions(now),
    }
