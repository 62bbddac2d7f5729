"""Requests a second for each caller under each rule."""

from __future__ import annotations

from collections import OrderedDict

from ..clock import SECOND, Millis

MAX_CALLERS = 10_000
BURST: Millis = SECOND
"""A caller that was quiet may send what its rate allows in this span at once."""


class RateLimiter:
    """Token buckets by rule and caller, bounded in number."""

    def __init__(self) -> None:
        self._buckets: OrderedDict[tuple[str, str], tuple[float, Millis]] = OrderedDict()

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
        tokens, at = self._buckets.pop((rule, caller), (burst, now))
        tokens = min(burst, tokens + (now - at) * rate / SECOND)
        wait = 0.0 if tokens >= 1.0 else (1.0 - tokens) * SECOND / rate
        self._buckets[rule, caller] = (tokens if wait else tokens - 1.0, now)
        if len(self._buckets) > MAX_CALLERS:
            self._buckets.popitem(last=False)
        return wait
