"""One upstream as a host sees it: servers, latencies and the budget for extra requests."""

from __future__ import annotations

from ...clock import Millis
from ..latency_histogram import LatencyHistogram
from .retry_budget import BudgetLimits, RetryBudget
from .target import Target

DEFAULT_MAX_CONNECTIONS = 16
"""For an upstream whose settings have not come yet."""
RESERVED_SHARE = 0.1
"""The part of a server's connections that no host counts on, for those that are being closed."""


class UpstreamTargets:
    """The servers of one upstream and its budget for extra requests."""

    def __init__(self, name: str, terms: BudgetLimits, first_latency: Millis) -> None:
        self.name = name
        self.max_connections = DEFAULT_MAX_CONNECTIONS
        self.cold_span: Millis = 0.0
        """How long its servers are cold after a start."""
        self.cold_allowed: int | None = None
        """What the owner may send to a cold server in a second; None for no limit."""
        self.owned_from: Millis | None = None
        """Since when one host asks it for all, and sees how each of its servers does; None if all
        do."""
        self.is_owned_here = False
        """Whether this is that host."""
        self.targets: dict[str, Target] = {}
        self.latencies = LatencyHistogram(first_latency)
        self.budget = RetryBudget(terms.window)

    @property
    def usable_connections(self) -> int:
        """How many connections all hosts together may hold to each of its servers."""
        return usable(self.max_connections)


def usable(max_connections: int) -> int:
    """Return how many of a server's connections may be counted on."""
    return int(max_connections * (1.0 - RESERVED_SHARE))
