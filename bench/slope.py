"""Straight lines through measured points: what one more of something costs."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple


class Slope(NamedTuple):
    """A least-squares line through points at several sizes."""

    name: str
    unit: str
    """What the values are in."""
    per: str
    """What the sizes count."""
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    base: float
    """The line's value at size 0."""
    slope: float
    """What one more costs."""
    fit: float
    """The share of the values' variance that the line explains; 1 is a perfect line."""

    def at(self, size: float) -> float:
        """Return the line's value at a size, beyond the measured ones if need be."""
        return self.base + self.slope * size


def fit_slope(
    name: str, unit: str, per: str, sizes: Sequence[float], values: Sequence[float]
) -> Slope:
    """Return the line through the points.

    Raises:
        ValueError: If there are fewer than three points; two always lie on a line.
    """
    if len(sizes) < 3 or len(sizes) != len(values):
        raise ValueError("a slope needs three points or more")
    slope, base = statistics.linear_regression(sizes, values)
    fit = statistics.correlation(sizes, values) ** 2 if len(set(values)) > 1 else 1.0
    return Slope(name, unit, per, tuple(sizes), tuple(values), base, slope, fit)


def cpu_micros(work: Callable[[], object], repeats: int = 5) -> float:
    """Return the processor time of some work in microseconds, the median of several runs."""
    spans = []
    for _ in range(repeats):
        gc.collect()
        start = time.process_time_ns()
        work()
        spans.append((time.process_time_ns() - start) / 1000)
    return statistics.median(spans)


def bytes_held(make: Callable[[], Any]) -> float:
    """Return how much memory a value keeps, in bytes, as Python's allocator counts it."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(after - before)
