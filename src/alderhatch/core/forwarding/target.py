"""One server that requests are forwarded to, as one host sees it."""

from __future__ import annotations

from ...clock import SECOND, Millis
from ..latency_histogram import LatencyHistogram
from ..policy import Policy
from ..server_view import NEVER, ServerView
from ..shard_map import Server
from .cold_start_limiter import MAX_LIST_DELAY, ColdServerLimiter

STALL_FACTOR = 4.0
"""A server is stalled if its oldest request takes longer than this multiple of the median
latency."""
FAULT_RATE_HALF_LIFE: Millis = 3 * SECOND
"""A server that was avoided for its faults is tried again after a few of these half-lives."""
MIN_STALL_TIME: Millis = 60.0
"""Well over a usual latency, well under the pauses of 120 to 150 ms that servers make."""
UNREACHABLE_MEMORY: Millis = 10 * SECOND
"""How long a failed connection counts: longer than the pause before the next one to a server that
has accepted connections before, and its timeout."""


class Target(ServerView):
    """One server, with this host's requests that are in flight there."""

    __slots__ = (
        "_fault_rate",
        "_fault_rate_at",
        "answered_at",
        "cold",
        "cold_span",
        "outstanding",
        "trials",
        "unreachable_until",
        "upstream",
        "warm_up",
    )

    def __init__(
        self, upstream: str, server: Server, upstream_latencies: LatencyHistogram, policy: Policy
    ) -> None:
        super().__init__(server, upstream_latencies, policy)
        self.upstream = upstream
        self._fault_rate = 0.0
        self._fault_rate_at: Millis = NEVER
        self.answered_at: Millis = NEVER
        """When it last answered any request."""
        self.unreachable_until: Millis = NEVER
        """Until when the failure of the last connection to it counts."""
        self.cold = ColdServerLimiter()
        """Limits what it gets while it is cold."""
        self.cold_span: Millis = 0.0
        """How long servers of its upstream are cold after a start."""
        self.warm_up: Millis = 0.0
        """How much longer it is cold, by the latest server list."""
        self.outstanding: dict[int, Millis] = {}
        """When each request that is in flight there was sent, oldest first."""
        self.trials: set[int] = set()
        """The requests in flight there that may crash it, and run on no other server."""

    def is_unavailable(self, now: Millis) -> bool:
        """Return whether it must get nothing now, for example as a cold server at its limit."""
        return super().is_unavailable(now) or self.cold.blocks(now)

    def is_last_resort(self, now: Millis) -> bool:
        """Return whether it is used only if no other replica is available."""
        return (
            now < self.unreachable_until
            or now < self.cold.maybe_until
            or super().is_last_resort(now)
        )

    def record_connection(self, is_open: bool, now: Millis) -> None:
        """Record that a connection to it was opened, or could not be opened."""
        self.unreachable_until = NEVER if is_open else now + UNREACHABLE_MEMORY

    def update_warm_up(self, warm_up: Millis, now: Millis) -> None:
        """Set how much longer it is cold, if the list has a new value."""
        if warm_up == self.warm_up:
            return
        self.warm_up = warm_up
        self.cold.until = now + warm_up if warm_up > 0 else NEVER
        self.cold.maybe_until = NEVER
        if warm_up > 0:
            self.record_start(now - max(0.0, self.policy.slow_start_ms - warm_up))

    def assume_cold(self, now: Millis) -> None:
        """Treat it as cold for one cold span and the delay of the server list."""
        self.cold.until = max(self.cold.until, now + self.cold_span + MAX_LIST_DELAY)

    def expect_cold_restart(self, now: Millis) -> None:
        """Note that it does not respond; once it answers again it has probably been restarted."""
        if self.cold.allowed is not None:
            self.cold.maybe_until = now + self.cold_span + MAX_LIST_DELAY

    def estimate(self, now: Millis) -> Millis:
        """Return the expected latency of a request sent now, plus the expected cost of a fault."""
        return super().estimate(now) + self.policy.trouble_cost_ms * self.fault_rate(now)

    def fault_rate(self, now: Millis) -> float:
        """Return the recent fraction of requests that failed; it decays with time.

        A server whose health and load look good may still refuse or fail many of its requests. Each
        of those uses up the retry budget; if every other server of an upstream is like that, the
        budget is exhausted and the requests that need it fail.
        """
        return float(self._fault_rate * 0.5 ** ((now - self._fault_rate_at) / FAULT_RATE_HALF_LIFE))

    def record_outcome(self, is_fault: bool, now: Millis) -> None:
        """Record an answer or a fault in the fault rate."""
        known = self.fault_rate(now)
        self._fault_rate = known + self.policy.latency_weight * (float(is_fault) - known)
        self._fault_rate_at = now

    def is_stalled(self, now: Millis) -> bool:
        """Return whether its oldest request takes so long that it is probably paused.

        Servers pause for a moment now and then. A request sent meanwhile waits for the end of the
        pause and is answered late; the other replica answers at once.
        """
        if not self.outstanding:
            return False
        oldest = next(iter(self.outstanding.values()))
        return now - oldest > max(MIN_STALL_TIME, STALL_FACTOR * self.upstream_latencies.median)
