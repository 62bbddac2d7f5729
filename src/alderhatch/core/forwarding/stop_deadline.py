"""Decides which requests a host that is stopping still runs."""

from __future__ import annotations

from math import inf

from ...clock import Millis
from ..latency_histogram import LatencyHistogram

EXPECTED_QUANTILE = 0.95
SAFETY_FACTOR = 1.25
"""Allows for the time to read the request and to send its answer, and for slower servers."""


class StopDeadline:
    """When a host ends what it still runs; callers reach it for some seconds after it is told to.

    A request that is still running then is cut off, and its caller can't know whether it has run.
    Refused before it runs, it is sent to another host at once.
    """

    def __init__(self) -> None:
        self.ends_at: Millis = inf
        """When the host ends its requests; infinite until it is told to stop."""

    def can_finish(self, latencies: LatencyHistogram, now: Millis) -> bool:
        """Return whether a request that arrives now is likely to be answered before the end.

        Args:
            latencies: What servers have taken for requests of the same route; if there are none, it
                is expected to be quick.
            now: The time.
        """
        if self.ends_at == inf or not latencies.samples:
            return now < self.ends_at
        return now + SAFETY_FACTOR * latencies.quantile(EXPECTED_QUANTILE) < self.ends_at
