"""One upstream as a host sees it: servers, latencies and the retry budget."""

from __future__ import annotations

from ...clock import Millis
from ..latency_histogram import LatencyHistogram
from .newcomers import Newcomers
from .retry_budget import BudgetLimits, RetryBudget
from .target import Target

DEFAULT_MAX_CONNECTIONS = 16
"""For an upstream whose settings have not arrived yet."""
RESERVED_FRACTION = 0.1
"""The fraction of a server's connections that is left for those that are being closed."""


class UpstreamTargets:
    """The servers of one upstream and its retry budget."""

    def __init__(self, name: str, limits: BudgetLimits, first_latency: Millis) -> None:
        self.name = name
        self.max_connections = DEFAULT_MAX_CONNECTIONS
        self.cold_span: Millis = 0.0
        """How long its servers are cold after a start."""
        self.cold_rate_limit: int | None = None
        """What the owner may send to a cold server in a second; None for no limit."""
        self.single_owner_since: Millis | None = None
        """Since when one host, the owner, queries the upstream for all hosts and therefore observes
        how each server performs; None if all hosts query it."""
        self.is_owner = False
        """Whether this host is the owner."""
        self.targets: dict[str, Target] = {}
        """All listed servers."""
        self.proven: dict[str, Target] = {}
        """Those of them that have answered."""
        self.newcomers = Newcomers()
        """The others."""
        self.latencies = LatencyHistogram(first_latency)
        self.budget = RetryBudget(limits.window)

    def add(self, target: Target) -> None:
        """Add a server that was listed just now."""
        self.targets[target.server_id] = target
        self.newcomers.add(target)

    def remove(self, server_id: str) -> Target:
        """Remove a server that is no longer listed, and return it."""
        self.proven.pop(server_id, None)
        self.newcomers.remove(server_id)
        return self.targets.pop(server_id)

    def record_answer(self, target: Target) -> None:
        """Record an answer of one of its servers."""
        if self.newcomers.record_answer(target):
            self.proven[target.server_id] = target

    def candidates(self) -> list[Target]:
        """Return the servers that requests may be sent to, unless nothing else is left."""
        return [*self.proven.values(), *self.newcomers.reachable]

    @property
    def usable_connections(self) -> int:
        """How many connections all hosts together may hold to each of its servers."""
        return connection_capacity(self.max_connections)


def connection_capacity(max_connections: int) -> int:
    """Return how many of a server's connections hosts may use."""
    return int(max_connections * (1.0 - RESERVED_FRACTION))
