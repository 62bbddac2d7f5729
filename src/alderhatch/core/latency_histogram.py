"""Quantiles of the latencies seen lately."""

from __future__ import annotations

from math import log

from ..clock import Millis

MIN_LATENCY_MS: Millis = 0.05
GROWTH = 1.08
BUCKETS = 190
"""Up to 0.05 ms * 1.08 ** 190, which is about 110 s."""
FORGET_AT = 1000.0
"""With this many samples all counts are halved, so that older ones weigh less."""
REFRESH_EVERY = 64
PARTS = 1000
"""Quantiles are told apart by this fraction."""

_LOG_GROWTH = log(GROWTH)


class LatencyHistogram:
    """A histogram with buckets of a constant ratio; older samples fade.

    Args:
        first: What every quantile is held to be before the first sample.
    """

    def __init__(self, first: Millis) -> None:
        self._counts = [0.0] * BUCKETS
        self._total = 0.0
        self._first = first
        self._since_refresh = REFRESH_EVERY
        self._cache: dict[int, Millis] = {}
        self.median = first
        """The median, as of some dozens of samples ago at most."""

    @property
    def samples(self) -> float:
        """How many samples there are; older ones count for less."""
        return self._total

    @property
    def p05(self) -> Millis:
        """A latency that only 5 % of the samples are below; 0 before the first sample."""
        return self.quantile(0.05) if self._total >= 1.0 else 0.0

    def record(self, latency: Millis) -> None:
        """Count one latency."""
        index = int(log(latency / MIN_LATENCY_MS) / _LOG_GROWTH) if latency > MIN_LATENCY_MS else 0
        self._counts[min(index, BUCKETS - 1)] += 1.0
        self._total += 1.0
        self._since_refresh += 1
        if self._since_refresh >= REFRESH_EVERY:
            self._refresh()

    def _refresh(self) -> None:
        self._since_refresh = 0
        self._cache.clear()
        if self._total >= FORGET_AT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
        self.median = self.quantile(0.5)

    def quantile(self, share: float) -> Millis:
        """Return the latency that this share of the samples does not exceed, within 8 %.

        The value is worked out anew after some dozens of samples only.
        """
        if self._total < 1.0:
            return self._first
        key = int(share * PARTS + 0.5)
        known = self._cache.get(key)
        if known is None:
            known = self._cache[key] = self._find(key / PARTS)
        return known

    def _find(self, share: float) -> Millis:
        wanted = share * self._total
        seen = 0.0
        for index, count in enumerate(self._counts):
            seen += count
            if seen >= wanted and count:
                return MIN_LATENCY_MS * GROWTH ** (index + 1)
        return MIN_LATENCY_MS * GROWTH**BUCKETS
