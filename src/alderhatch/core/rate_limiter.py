"""Limits the requests per second of each caller under each rule."""

from __future__ import annotations

from collections import OrderedDict

from ..clock import SECOND, Millis
from .token_bucket import TokenBucket

MAX_BUCKETS = 10_000
BURST_WINDOW_MS: Millis = SECOND
"""A caller that was idle may send at once what its rate allows in this time."""


class RateLimiter:
    """Token buckets by rule and caller; the least recently used ones are evicted."""

    def __init__(self) -> None:
        self._buckets: OrderedDict[tuple[str, str], TokenBucket] = OrderedDict()

    def take(self, rule: str, caller: str, rate: float, now: Millis) -> Millis:
        """Count one request.

        Args:
            rule: The rule's name.
            caller: The caller's name.
            rate: Requests per second.
            now: The present time.

        Returns:
            0 if the request is within the rate, otherwise the time until it would be.
        """
        burst = max(1.0, rate * BURST_WINDOW_MS / SECOND)
        bucket = self._buckets.pop((rule, caller), None) or TokenBucket(burst, now)
        wait = bucket.take(rate, burst, now)
        self._buckets[rule, caller] = bucket
        if len(self._buckets) > MAX_BUCKETS:
            self._buckets.popitem(last=False)
        return wait
