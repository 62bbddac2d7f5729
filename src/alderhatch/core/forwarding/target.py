"""One server that forwarded requests go to, as one host sees it."""

from __future__ import annotations

from ...clock import SECOND, Millis
from ..latency_histogram import LatencyHistogram
from ..policy import Policy
from ..server_view import NEVER, ServerView
from ..shard_map import Server
from .cold_start_limiter import LIST_BEHIND, ColdServerLimiter

STALL_FACTOR = 4.0
"""A server whose oldest request takes longer than this multiple of the median stands still."""
TROUBLE_HALF_LIFE: Millis = 3 * SECOND
"""A server that was avoided for its faults is tried again after some such spans."""
MIN_STALL: Millis = 60.0
"""Well over a usual answer, well under the pauses of 120 to 150 ms that servers take."""


class Target(ServerView):
    """One server with the requests of this host that are out there."""

    __slots__ = (
        "_trouble",
        "_trouble_at",
        "answered_at",
        "cold",
        "cold_span",
        "outstanding",
        "upstream",
        "warm_up",
    )

    def __init__(
        self, upstream: str, server: Server, upstream_latencies: LatencyHistogram, policy: Policy
    ) -> None:
        super().__init__(server, upstream_latencies, policy)
        self.upstream = upstream
        self._trouble = 0.0
        self._trouble_at: Millis = NEVER
        self.answered_at: Millis = NEVER
        """When it last answered anything."""
        self.cold = ColdServerLimiter()
        """What it may get while it is cold."""
        self.cold_span: Millis = 0.0
        """How long its upstream's servers are cold after a start."""
        self.warm_up: Millis = 0.0
        """How much longer it was to be cold by the list's last word."""
        self.outstanding: dict[int, Millis] = {}
        """When each request that is out there was sent, oldest first."""

    def is_unavailable(self, now: Millis) -> bool:
        """Return whether it must get nothing now, also because it is cold and got its share."""
        return super().is_unavailable(now) or self.cold.closed(now)

    def is_last_resort(self, now: Millis) -> bool:
        """Return whether it is asked only if no other replica is there."""
        return super().is_last_resort(now) or now < self.cold.may_until

    def take_warm_up(self, warm_up: Millis, now: Millis) -> None:
        """Take the list's word of how much longer it is cold, if that is new."""
        if warm_up == self.warm_up:
            return
        self.warm_up = warm_up
        self.cold.until = now + warm_up if warm_up > 0 else NEVER
        self.cold.may_until = NEVER
        if warm_up > 0:
            self.record_start(now - max(0.0, self.policy.slow_start_ms - warm_up))

    def may_be_cold(self, now: Millis) -> None:
        """Treat it as cold until the list would have said so."""
        self.cold.until = max(self.cold.until, now + self.cold_span + LIST_BEHIND)

    def may_come_back_cold(self, now: Millis) -> None:
        """Note that it is out of order; once it answers again it has probably started anew."""
        if self.cold.allowed is not None:
            self.cold.may_until = now + self.cold_span + LIST_BEHIND

    def estimate(self, now: Millis) -> Millis:
        """Return how long a request sent now is likely to take, with what a fault of it costs."""
        return super().estimate(now) + self.policy.trouble_cost_ms * self.trouble(now)

    def trouble(self, now: Millis) -> float:
        """Return which share of the requests lately came to nothing; it fades with time.

        A server that is well by its health and load may still refuse or fail a good part of its
        requests. Each of those takes a second request out of the budget; with every other server
        of an upstream like that, the budget is used up and the requests fail that need it.
        """
        return float(self._trouble * 0.5 ** ((now - self._trouble_at) / TROUBLE_HALF_LIFE))

    def count_outcome(self, is_fault: bool, now: Millis) -> None:
        """Take an answer or a fault into the share of those that came to nothing."""
        known = self.trouble(now)
        self._trouble = known + self.policy.latency_weight * (float(is_fault) - known)
        self._trouble_at = now

    def stands_still(self, now: Millis) -> bool:
        """Return whether its oldest request is out for so long that it probably pauses.

        Servers stop for a moment now and then. What is sent meanwhile waits for the end of the
        pause, seen as an answer that is late by as much; the other replica answers at once.
        """
        if not self.outstanding:
            return False
        oldest = next(iter(self.outstanding.values()))
        return now - oldest > max(MIN_STALL, STALL_FACTOR * self.upstream_latencies.median)
