"""Metrics: plain counters on the hot paths, a Prometheus page on request.

The registry and the renderer are those of aioprometheus; its asyncio service stays unused. An
update here costs a dictionary access. The registry is only filled when somebody asks for the page.
"""

from __future__ import annotations

import resource
import time
from bisect import bisect_left
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from .clock import SECOND
from .metric_catalogue import Metric, MetricKind, Unit

if TYPE_CHECKING:
    from aioprometheus.collectors import Collector, Registry

MAX_SERIES = 2000
"""Label combinations kept for one metric; further ones are counted together as ``other``."""
OTHER = "other"

FAST_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.29)
SECONDS_BUCKETS = (*FAST_BUCKETS, 0.4, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0)
FRACTION_BUCKETS = (0.25, 0.5, 0.75, 0.8, 0.9, 0.95, 0.97, 0.98, 0.99, 0.995, 0.999, 1.0)


class MetricsPage(NamedTuple):
    """A rendered page of metrics."""

    body: bytes
    content_type: str


class _Observed:
    """What a histogram has seen of one label combination."""

    __slots__ = ("counts", "total")

    def __init__(self, buckets: tuple[float, ...]) -> None:
        self.counts = [0] * (len(buckets) + 1)
        self.total = 0.0


class Metrics:
    """The metrics of one process.

    Args:
        process: The process's name, put on each metric as the label ``process``.
    """

    def __init__(self, process: str) -> None:
        self._process = process
        self._started = time.monotonic()
        self._sources: list[Callable[[], None]] = []
        self._values: dict[Metric, dict[tuple[str, ...], float]] = {}
        self._observed: dict[Metric, dict[tuple[str, ...], _Observed]] = {}
        for metric in Metric:
            if metric.value.kind is MetricKind.HISTOGRAM:
                self._observed[metric] = {}
            else:
                self._values[metric] = {}

    def inc(self, metric: Metric, *labels: str, by: float = 1) -> None:
        """Raise a counter.

        Args:
            metric: Which.
            *labels: The values of its labels, in the order of the catalogue.
            by: By how much; not negative.
        """
        series = self._values[metric]
        if labels in series:
            series[labels] += by
            return
        key = self._new_key(metric, labels, len(series))
        series[key] = series.get(key, 0) + by

    def set(self, metric: Metric, value: float, *labels: str) -> None:
        """Set a gauge, or a counter to a value that is counted elsewhere.

        Args:
            metric: Which.
            value: The present value, in the unit of the catalogue.
            *labels: The values of its labels, in the order of the catalogue.
        """
        series = self._values[metric]
        key = labels if labels in series else self._new_key(metric, labels, len(series))
        series[key] = value

    def clear(self, metric: Metric) -> None:
        """Forget all label combinations of a gauge, before those that still hold are set."""
        self._values[metric].clear()

    def observe(self, metric: Metric, value: float, *labels: str) -> None:
        """Put one value into a histogram.

        Args:
            metric: Which.
            value: The value; spans are given in milliseconds and shown in seconds.
            *labels: The values of its labels, in the order of the catalogue.
        """
        series = self._observed[metric]
        buckets = _buckets(metric)
        seen = series.get(labels)
        if seen is None:
            key = self._new_key(metric, labels, len(series))
            seen = series.setdefault(key, _Observed(buckets))
        shown = value / SECOND if metric.value.unit is Unit.SECONDS else value
        seen.counts[bisect_left(buckets, shown)] += 1
        seen.total += shown

    def add_source(self, source: Callable[[], None]) -> None:
        """Have a function called before each page, to copy in what is counted elsewhere."""
        self._sources.append(source)

    def render(self) -> MetricsPage:
        """Return the page in Prometheus' text format."""
        # Loaded with the first page: 2 MB that a process whose metrics nobody reads does not need.
        from aioprometheus.collectors import Registry
        from aioprometheus.renderer import render

        self._copy_process()
        for source in self._sources:
            source()
        registry = Registry()
        for metric, series in self._values.items():
            if not series:
                continue
            collector = self._collector(metric, registry)
            for labels, value in series.items():
                collector.set_value(_named(metric, labels), value)
        for metric, observed in self._observed.items():
            if not observed:
                continue
            self._fill_histogram(metric, observed, registry)
        body, headers = render(registry, ())
        return MetricsPage(body, headers["Content-Type"])

    def _new_key(self, metric: Metric, labels: tuple[str, ...], known: int) -> tuple[str, ...]:
        if len(labels) != len(metric.value.labels):
            raise ValueError(f"{metric.name} takes the labels {metric.value.labels}")
        # Labels come from rules and upstreams, which operators change. Without a bound, a long
        # run of changes would fill the memory of the process and of whatever scrapes it.
        if known >= MAX_SERIES:
            return (OTHER,) * len(labels)
        return labels

    def _copy_process(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.set(Metric.PROCESS_CPU, usage.ru_utime + usage.ru_stime)
        self.set(Metric.PROCESS_MEMORY, usage.ru_maxrss * 1024)
        self.set(Metric.PROCESS_UPTIME, time.monotonic() - self._started)

    def _collector(self, metric: Metric, registry: Registry) -> Collector:
        from aioprometheus.collectors import Counter, Gauge

        row = metric.value
        made = Counter if row.kind is MetricKind.COUNTER else Gauge
        return made(row.name, row.meaning, {"process": self._process}, registry)

    def _fill_histogram(
        self, metric: Metric, observed: dict[tuple[str, ...], _Observed], registry: Registry
    ) -> None:
        from aioprometheus.collectors import Histogram

        row = metric.value
        buckets = _buckets(metric)
        labels = {"process": self._process}
        collector = Histogram(row.name, row.meaning, labels, registry, list(buckets))
        for key, seen in observed.items():
            collector.add(_named(metric, key), 0.0)
            shown = collector.values[_named(metric, key)]
            below = 0
            for bound, count in zip(shown.buckets, seen.counts, strict=True):
                below += count
                shown.buckets[bound] = below
            shown.observations = below
            shown.sum = seen.total


def _buckets(metric: Metric) -> tuple[float, ...]:
    return FRACTION_BUCKETS if metric.value.unit is Unit.FRACTION else SECONDS_BUCKETS


def _named(metric: Metric, labels: tuple[str, ...]) -> dict[str, str]:
    return dict(zip(metric.value.labels, labels, strict=True))
