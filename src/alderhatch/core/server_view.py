"""The state of one server as observed by and reported to one entry."""

from __future__ import annotations

from ..clock import Millis
from .entry_events import LoadReport, ServerState
from .latency_histogram import LatencyHistogram
from .policy import Policy
from .shard_map import Server

NEVER: Millis = float("-inf")
MAX_EJECT_DOUBLINGS = 10
"""Enough to exceed the longest ejection; without a bound the power would overflow a float."""
LATENCY_CLIP_FACTOR = 5.0
"""A single latency counts as at most this multiple of the upstream's median."""
MISMATCH_FACTOR = 4.0
"""A latency that differs from the expected one by more than this factor contradicts the report."""
DISTRUST_THRESHOLD = 0.5
"""Load reports are ignored while their mean mismatch is at least this."""
MISMATCH_WEIGHT = 0.25


class ServerView:
    """One server as seen by this entry."""

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
        "next_lower_priority_at",
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
        """Latencies of all servers of the upstream."""
        self.in_flight = 0
        """Attempts of this entry in flight to the server."""
        self.lower_priority_in_flight = 0
        """Those of them in lower priority classes."""
        self.next_lower_priority_at: Millis = NEVER
        """When the next lower priority attempt may be sent while the upstream is overloaded."""
        self.share = server.max_connections
        """Connections that this entry may hold."""
        self.adaptive_cap = float(server.max_connections)
        """An adaptive limit on the attempts in flight; it shrinks when the server sheds load."""
        self.cap = self.adaptive_cap
        """The limit on attempts in flight: the lower of ``share`` and ``adaptive_cap``."""
        self.update_from_map(server)
        self.other_load = 0.0
        """The load from other entries according to the last report."""
        self.other_load_at: Millis = NEVER
        self.mean_other_load = 0.0
        """The moving mean of ``other_load``; the estimate decays to it as a report ages."""
        self.report_mismatch = 0.0
        """The moving mean of how often a report disagreed with the observed latency."""
        self.latency: Millis = 0.0
        """The moving mean latency; 0 until there is a sample."""
        self.latency_at: Millis = NEVER
        self.health = ServerState.READY
        self.boot_id: str | None = None
        self.cold_since: Millis = NEVER
        self.leaving: set[str] = set()
        """The sources that report the server as leaving."""
        self.shed_until: Millis = NEVER
        self.drained_until: Millis = NEVER
        self.ejected_until: Millis = NEVER
        self.ejections = 0
        self.failures = 0
        """Consecutive failures."""
        self.silent_at: Millis = NEVER
        self.suspect_attempts = 0
        """Attempts in flight whose body may have crashed another server."""

    def update_from_map(self, server: Server) -> None:
        """Apply the description of the server in the newest shard map."""
        self.server = server
        self.zone = server.zone
        self.slots = max(1, server.slots)

    def set_share(self, share: int) -> None:
        """Set the number of connections that this entry may hold."""
        self.share = share
        self.cap = min(share, self.adaptive_cap)

    def _set_adaptive_cap(self, cap: float) -> None:
        self.adaptive_cap = min(cap, float(self.server.max_connections))
        self.cap = min(self.share, self.adaptive_cap)

    def is_unavailable(self, now: Millis) -> bool:
        """Return whether the server must get nothing now, even if no other replica is left."""
        return bool(self.leaving) or now < self.shed_until or now < self.drained_until

    def is_last_resort(self, now: Millis) -> bool:
        """Return whether the server is used only if there is no other replica.

        A health endpoint can be wrong in both directions. If its reports excluded servers, a
        healthy shard could lose all of them and its coverage, so they only lower the preference.
        """
        return now < self.ejected_until or self.health is not ServerState.READY

    def load(self, now: Millis) -> float:
        """Return the estimated requests at the server: this entry's own and the reported others."""
        if self.report_mismatch >= DISTRUST_THRESHOLD:
            return float(self.in_flight)
        age = now - self.other_load_at
        if age >= self.policy.report_age_ms:
            return self.in_flight + self.mean_other_load
        freshness = 1.0 - age / self.policy.report_age_ms
        return (
            self.in_flight
            + self.mean_other_load
            + (self.other_load - self.mean_other_load) * freshness
        )

    def estimate(self, now: Millis) -> Millis:
        """Return the expected latency of a request sent now, in milliseconds."""
        latency = self.latency
        idle = now - self.latency_at
        if not latency:
            # The median may come from a single slow replica. If a server without samples were
            # assumed to be as slow, it would never be tried.
            latency = min(self.policy.first_latency_ms, self.upstream_latencies.median)
        elif idle > self.policy.report_age_ms:
            typical = self.upstream_latencies.median
            fade = 0.5 ** (idle / self.policy.latency_half_life_ms)
            latency = typical + (latency - typical) * fade
        duration = latency * (1.0 + self.load(now) / self.slots)
        uptime = now - self.cold_since
        if uptime < self.policy.slow_start_ms:
            duration *= 1.0 + (self.policy.slow_start_factor - 1.0) * (
                1.0 - uptime / self.policy.slow_start_ms
            )
        return duration

    def record_answer(self, latency: Millis, load: LoadReport | None, now: Millis) -> None:
        """Record an answer; the attempt is no longer counted in ``in_flight``."""
        self.failures = 0
        self.ejections = 0
        self.ejected_until = NEVER
        self.silent_at = NEVER
        if self.adaptive_cap < self.server.max_connections:
            self._set_adaptive_cap(self.adaptive_cap + 0.1)
        if load is not None:
            self._check_report(latency, load)
            self.record_load(load, now)
        self.record_latency(latency, now)

    def record_latency(self, latency: Millis, now: Millis) -> None:
        """Record a latency, or the time that a cancelled attempt had taken so far."""
        clipped = min(latency, LATENCY_CLIP_FACTOR * self.upstream_latencies.median)
        if not self.latency:
            self.latency = clipped
        else:
            self.latency += self.policy.latency_weight * (clipped - self.latency)
        self.latency_at = now

    def record_load(self, load: LoadReport, now: Millis) -> None:
        """Record a load report."""
        others = load.in_flight + load.queued - self.in_flight
        self.other_load = float(others) if others > 0 else 0.0
        self.mean_other_load += 0.1 * (self.other_load - self.mean_other_load)
        self.other_load_at = now

    def _check_report(self, latency: Millis, load: LoadReport) -> None:
        # A stale or wrong load report attracts requests to a slow server. It shows as a latency far
        # from the one that the report predicts. Such reports are left out of the estimate.
        expected = self.upstream_latencies.median * (1.0 + load.queued / self.slots)
        mismatch = latency > MISMATCH_FACTOR * expected or latency * MISMATCH_FACTOR < expected
        self.report_mismatch += MISMATCH_WEIGHT * (float(mismatch) - self.report_mismatch)

    def eject(self, now: Millis) -> None:
        """Eject the server for a while, twice as long each time until it answers."""
        duration = self.policy.eject_ms * 2.0**self.ejections
        self.ejected_until = now + min(duration, self.policy.max_eject_ms)
        self.ejections = min(self.ejections + 1, MAX_EJECT_DOUBLINGS)

    def record_shed(self, retry_after: Millis | None, now: Millis) -> None:
        """Record that the server shed a request."""
        duration = self.policy.shed_ms if retry_after is None else retry_after
        self.shed_until = max(self.shed_until, now + min(duration, self.policy.max_shed_ms))
        self._set_adaptive_cap(max(1.0, min(self.adaptive_cap, self.in_flight + 1.0) / 2))

    def record_draining(self, now: Millis) -> None:
        """Record an answer that says the server is draining."""
        self.drained_until = now + self.policy.drained_ms

    def record_start(self, now: Millis) -> None:
        """Record a start of the server; reset its latency, limit and restrictions."""
        self.cold_since = now
        self.latency = 0.0
        self.other_load_at = NEVER
        self.drained_until = NEVER
        self.shed_until = NEVER
        self.ejected_until = NEVER
        self.failures = 0
        self._set_adaptive_cap(float(self.server.max_connections))

    def restrictions(self, now: Millis) -> list[str]:
        """Return the reasons, if any, why the server is not used normally."""
        reasons = [f"leaving ({source})" for source in sorted(self.leaving)]
        for applies, reason in (
            (now < self.shed_until, "shed"),
            (now < self.drained_until, "draining"),
            (now < self.ejected_until, "ejected"),
            (self.health is not ServerState.READY, f"health says {self.health}"),
            (now - self.cold_since < self.policy.slow_start_ms, "cold"),
            (self.report_mismatch >= DISTRUST_THRESHOLD, "load report distrusted"),
            (self.in_flight >= self.cap, "full"),
        ):
            if applies:
                reasons.append(reason)
        return reasons
