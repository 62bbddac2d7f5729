"""Quantiles of recent latencies."""

from __future__ import annotations

from math import log

from ..clock import Millis

MIN_LATENCY_MS: Millis = 0.05
BUCKET_RATIO = 1.08
BUCKET_COUNT = 190
"""The buckets reach up to 0.05 ms * 1.08 ** 190, about 110 s."""
HALVE_AT_SAMPLES = 1000.0
"""At this many samples all counts are halved, so that older samples weigh less."""
REFRESH_INTERVAL_SAMPLES = 64
QUANTILE_STEPS = 1000
"""Quantiles are rounded to one part in this many."""

_LOG_BUCKET_RATIO = log(BUCKET_RATIO)


class LatencyHistogram:
    """A histogram with exponentially growing buckets and decaying counts.

    Args:
        initial: The value of every quantile before the first sample.
    """

    def __init__(self, initial: Millis) -> None:
        self._counts = [0.0] * BUCKET_COUNT
        self._total = 0.0
        self._initial = initial
        self._since_refresh = REFRESH_INTERVAL_SAMPLES
        self._cache: dict[int, Millis] = {}
        self.median = initial
        """The median, recomputed every ``REFRESH_INTERVAL_SAMPLES`` samples."""

    @property
    def samples(self) -> float:
        """The number of samples; older ones count for less."""
        return self._total

    @property
    def p05(self) -> Millis:
        """The 5th percentile of the latencies; 0 before the first sample."""
        return self.quantile(0.05) if self._total >= 1.0 else 0.0

    def record(self, latency: Millis) -> None:
        """Add one latency."""
        index = (
            int(log(latency / MIN_LATENCY_MS) / _LOG_BUCKET_RATIO)
            if latency > MIN_LATENCY_MS
            else 0
        )
        self._counts[min(index, BUCKET_COUNT - 1)] += 1.0
        self._total += 1.0
        self._since_refresh += 1
        if self._since_refresh >= REFRESH_INTERVAL_SAMPLES:
            self._refresh()

    def _refresh(self) -> None:
        self._since_refresh = 0
        self._cache.clear()
        if self._total >= HALVE_AT_SAMPLES:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
        self.median = self.quantile(0.5)

    def quantile(self, fraction: float) -> Millis:
        """Return the latency that this fraction of the samples does not exceed, within 8 %.

        Values are cached and recomputed every ``REFRESH_INTERVAL_SAMPLES`` samples.
        """
        if self._total < 1.0:
            return self._initial
        step = int(fraction * QUANTILE_STEPS + 0.5)
        cached = self._cache.get(step)
        if cached is None:
            cached = self._cache[step] = self._compute_quantile(step / QUANTILE_STEPS)
        return cached

    def _compute_quantile(self, fraction: float) -> Millis:
        target = fraction * self._total
        cumulative = 0.0
        for index, count in enumerate(self._counts):
            cumulative += count
            if cumulative >= target and count:
                return MIN_LATENCY_MS * BUCKET_RATIO ** (index + 1)
        return MIN_LATENCY_MS * BUCKET_RATIO**BUCKET_COUNT
