"""Requests a second for each caller under each rule."""

from __future__ import annotations

from collections import OrderedDict

from ..clock import SECOND, Millis
from .token_bucket import TokenBucket

MAX_CALLERS = 10_000
BURST: Millis = SECOND
"""A caller that was quiet may send what its rate allows in this span at once."""


class RateLimiter:
    """Token buckets by rule and caller, bounded in number."""

    def __init__(self) -> None:
        self._buckets: OrderedDict[tuple[str, str], TokenBucket] = OrderedDict()

    def take(self, rule: str, caller: str, rate: float, now: Millis) -> Millis:
        """Count one request.

        Args:
            rule: The rule's name.
            caller: The caller's name.
            rate: Requests a second.
            now: The present time.

        Returns:
            0 if the request is within the rate, otherwise how long until it will be.
        """
        burst = max(1.0, rate * BURST / SECOND)
        bucket = self._buckets.pop((rule, caller), None) or TokenBucket(burst, now)
        wait = bucket.take(rate, burst, now)
        self._buckets[rule, caller] = bucket
        if len(self._buckets) > MAX_CALLERS:
            self._buckets.popitem(last=False)
        return wait
