"""What one entry knows of one server, from what it saw and from what it was told."""

from __future__ import annotations

from ..clock import Millis
from .entry_events import LoadReport, ServerState
from .latency_histogram import LatencyHistogram
from .policy import Policy
from .shard_map import Server

NEVER: Millis = float("-inf")
MAX_DOUBLINGS = 10
"""Past the longest ejection already; counted on, the figure would outgrow a float some day."""
CLIP = 5.0
"""A single latency counts for at most this multiple of the upstream's median."""
DISTRUST_RATIO = 4.0
DISTRUST_AT = 0.5
DISTRUST_WEIGHT = 0.25


class ServerView:
    """One server as this entry sees it."""

    __slots__ = (
        "adaptive_cap",
        "boot_id",
        "cap",
        "cold_since",
        "drained_until",
        "ejected_until",
        "ejections",
        "failures",
        "health",
        "in_flight",
        "latency",
        "latency_at",
        "leaving",
        "lower_priority_in_flight",
        "mean_other_load",
        "next_low_at",
        "other_load",
        "other_load_at",
        "policy",
        "report_mismatch",
        "server",
        "server_id",
        "share",
        "shed_until",
        "silent_at",
        "slots",
        "suspect_attempts",
        "upstream_latencies",
        "zone",
    )

    def __init__(
        self, server: Server, upstream_latencies: LatencyHistogram, policy: Policy
    ) -> None:
        self.server_id = server.server_id
        self.policy = policy
        self.upstream_latencies = upstream_latencies
        """The latencies of all servers of the upstream."""
        self.in_flight = 0
        """Attempts of this entry that are out."""
        self.lower_priority_in_flight = 0
        """Those of them that are not urgent."""
        self.next_low_at: Millis = NEVER
        """When the next one that is not urgent may be sent while the upstream is overloaded."""
        self.share = server.max_connections
        """Connections that this entry may hold."""
        self.adaptive_cap = float(server.max_connections)
        """Attempts that the server has shown to bear; shrinks when it sheds."""
        self.cap = self.adaptive_cap
        """How many attempts of this entry may be out there: the lower of the two."""
        self.describe(server)
        self.other_load = 0.0
        """Load of other entries by its last report."""
        self.other_load_at: Millis = NEVER
        self.mean_other_load = 0.0
        """Its moving mean, which an old report fades into."""
        self.report_mismatch = 0.0
        """How often, lately, its report disagreed with the latency that was seen."""
        self.latency: Millis = 0.0
        """A moving mean; 0 until there is a sample."""
        self.latency_at: Millis = NEVER
        self.health = ServerState.READY
        self.boot_id: str | None = None
        self.cold_since: Millis = NEVER
        self.leaving: set[str] = set()
        """The sources that say that it leaves."""
        self.shed_until: Millis = NEVER
        self.drained_until: Millis = NEVER
        self.ejected_until: Millis = NEVER
        self.ejections = 0
        self.failures = 0
        """Failures in a row."""
        self.silent_at: Millis = NEVER
        self.suspect_attempts = 0
        """Attempts out there whose body may have crashed another server."""

    def describe(self, server: Server) -> None:
        """Take what the newest map says of it."""
        self.server = server
        self.zone = server.zone
        self.slots = max(1, server.slots)

    def set_share(self, share: int) -> None:
        """Take the number of connections that this entry may hold."""
        self.share = share
        self.cap = min(share, self.adaptive_cap)

    def _adapt(self, cap: float) -> None:
        self.adaptive_cap = min(cap, float(self.server.max_connections))
        self.cap = min(self.share, self.adaptive_cap)

    def is_unavailable(self, now: Millis) -> bool:
        """Return whether it must get nothing now, whatever the other replicas are like."""
        return bool(self.leaving) or now < self.shed_until or now < self.drained_until

    def is_last_resort(self, now: Millis) -> bool:
        """Return whether it is asked only if no other replica is there.

        A health endpoint can be wrong in both directions. Taken at its word it could empty a
        shard that is well, seen as missing coverage; so its word only moves a server back.
        """
        return now < self.ejected_until or self.health is not ServerState.READY

    def load(self, now: Millis) -> float:
        """Return the requests that it is held to have: our own and those reported of others."""
        if self.report_mismatch >= DISTRUST_AT:
            return float(self.in_flight)
        age = now - self.other_load_at
        if age >= self.policy.report_age_ms:
            return self.in_flight + self.mean_other_load
        fresh = 1.0 - age / self.policy.report_age_ms
        return (
            self.in_flight + self.mean_other_load + (self.other_load - self.mean_other_load) * fresh
        )

    def estimate(self, now: Millis) -> Millis:
        """Return how long a request sent now is likely to take, in milliseconds."""
        latency = self.latency
        idle = now - self.latency_at
        if not latency:
            # Held to be as slow as the one replica that was asked so far, a server without a
            # sample would never be asked, however slow that one is.
            latency = min(self.policy.first_latency_ms, self.upstream_latencies.median)
        elif idle > self.policy.report_age_ms:
            typical = self.upstream_latencies.median
            fade = 0.5 ** (idle / self.policy.latency_half_life_ms)
            latency = typical + (latency - typical) * fade
        span = latency * (1.0 + self.load(now) / self.slots)
        cold = now - self.cold_since
        if cold < self.policy.slow_start_ms:
            span *= 1.0 + (self.policy.slow_start_factor - 1.0) * (
                1.0 - cold / self.policy.slow_start_ms
            )
        return span

    def record_answer(self, latency: Millis, load: LoadReport | None, now: Millis) -> None:
        """Count an answer; the attempt is no longer counted in ``in_flight``."""
        self.failures = 0
        self.ejections = 0
        self.ejected_until = NEVER
        self.silent_at = NEVER
        if self.adaptive_cap < self.server.max_connections:
            self._adapt(self.adaptive_cap + 0.1)
        if load is not None:
            self._check_report(latency, load)
            self.record_load(load, now)
        self.record_latency(latency, now)

    def record_latency(self, latency: Millis, now: Millis) -> None:
        """Count a latency, or for a cancelled attempt the time that it had taken so far."""
        clipped = min(latency, CLIP * self.upstream_latencies.median)
        if not self.latency:
            self.latency = clipped
        else:
            self.latency += self.policy.latency_weight * (clipped - self.latency)
        self.latency_at = now

    def record_load(self, load: LoadReport, now: Millis) -> None:
        """Take a reported load."""
        others = load.in_flight + load.queued - self.in_flight
        self.other_load = float(others) if others > 0 else 0.0
        self.mean_other_load += 0.1 * (self.other_load - self.mean_other_load)
        self.other_load_at = now

    def _check_report(self, latency: Millis, load: LoadReport) -> None:
        # A report that lags or lies draws all requests to a server that is slow; it shows as a
        # latency far from what the report lets expect. Such reports are left out of the estimate.
        expected = self.upstream_latencies.median * (1.0 + load.queued / self.slots)
        wrong = latency > DISTRUST_RATIO * expected or latency * DISTRUST_RATIO < expected
        self.report_mismatch += DISTRUST_WEIGHT * (float(wrong) - self.report_mismatch)

    def eject(self, now: Millis) -> None:
        """Leave it alone for a while, for twice as long each time until it answers."""
        span = self.policy.eject_ms * 2.0**self.ejections
        self.ejected_until = now + min(span, self.policy.max_eject_ms)
        self.ejections = min(self.ejections + 1, MAX_DOUBLINGS)

    def record_shed(self, retry_after: Millis | None, now: Millis) -> None:
        """Count a refusal by load."""
        span = self.policy.shed_ms if retry_after is None else retry_after
        self.shed_until = max(self.shed_until, now + min(span, self.policy.max_shed_ms))
        self._adapt(max(1.0, min(self.adaptive_cap, self.in_flight + 1.0) / 2))

    def record_draining(self, now: Millis) -> None:
        """Count its own word that it is leaving."""
        self.drained_until = now + self.policy.drained_ms

    def record_start(self, now: Millis) -> None:
        """Note that it has just started."""
        self.cold_since = now
        self.latency = 0.0
        self.other_load_at = NEVER
        self.drained_until = NEVER
        self.shed_until = NEVER
        self.ejected_until = NEVER
        self.failures = 0
        self._adapt(float(self.server.max_connections))

    def restrictions(self, now: Millis) -> list[str]:
        """Return the reasons, if any, why it is not asked as usual."""
        reasons = [f"leaving ({source})" for source in sorted(self.leaving)]
        for held, reason in (
            (now < self.shed_until, "shed"),
            (now < self.drained_until, "draining"),
            (now < self.ejected_until, "ejected"),
            (self.health is not ServerState.READY, f"health says {self.health}"),
            (now - self.cold_since < self.policy.slow_start_ms, "cold"),
            (self.report_mismatch >= DISTRUST_AT, "load report distrusted"),
            (self.in_flight >= self.cap, "full"),
        ):
            if held:
                reasons.append(reason)
        return reasons
