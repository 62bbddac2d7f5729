"""Metrics: plain counters on hot paths, rendered in the Prometheus text format on request.

The registry and the renderer come from aioprometheus; its asyncio service is not used. An update
costs one dictionary access. The registry is only filled when the metrics page is requested.
"""

from __future__ import annotations

import resource
import time
from bisect import bisect_left
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from . import task_faults
from .build_info import build_info
from .clock import SECOND
from .metric_catalogue import Metric, MetricKind, Unit

if TYPE_CHECKING:
    from aioprometheus.collectors import Collector, Registry

MAX_SERIES = 2000
"""Maximum number of label combinations per metric; further ones are aggregated as ``other``."""
OTHER_LABEL = "other"

FAST_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.29)
SECONDS_BUCKETS = (*FAST_BUCKETS, 0.4, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0)
FRACTION_BUCKETS = (0.25, 0.5, 0.75, 0.8, 0.9, 0.95, 0.97, 0.98, 0.99, 0.995, 0.999, 1.0)


class MetricsPage(NamedTuple):
    """A rendered metrics page."""

    body: bytes
    content_type: str


class _HistogramSeries:
    """Bucket counts and sum of a histogram for one label combination."""

    __slots__ = ("counts", "total")

    def __init__(self, buckets: tuple[float, ...]) -> None:
        self.counts = [0] * (len(buckets) + 1)
        self.total = 0.0


class Metrics:
    """The metrics of one process.

    Args:
        process: Name of the process, added to each metric as the label ``process``.
    """

    def __init__(self, process: str) -> None:
        self._process = process
        self._started_at = time.monotonic()
        self._sources: list[Callable[[], None]] = []
        self._values: dict[Metric, dict[tuple[str, ...], float]] = {}
        self._histograms: dict[Metric, dict[tuple[str, ...], _HistogramSeries]] = {}
        for metric in Metric:
            if metric.value.kind is MetricKind.HISTOGRAM:
                self._histograms[metric] = {}
            else:
                self._values[metric] = {}

    def inc(self, metric: Metric, *labels: str, by: float = 1) -> None:
        """Increment a counter.

        Args:
            metric: The metric.
            *labels: Values of the labels, in the order of the catalogue.
            by: Increment; not negative.
        """
        series = self._values[metric]
        if labels in series:
            series[labels] += by
            return
        key = self._bounded_key(metric, labels, len(series))
        series[key] = series.get(key, 0) + by

    def set(self, metric: Metric, value: float, *labels: str) -> None:
        """Set a gauge, or a counter whose value is maintained elsewhere.

        Args:
            metric: The metric.
            value: Current value, in the unit of the catalogue.
            *labels: Values of the labels, in the order of the catalogue.
        """
        series = self._values[metric]
        key = labels if labels in series else self._bounded_key(metric, labels, len(series))
        series[key] = value

    def clear(self, metric: Metric) -> None:
        """Remove all label combinations of a metric, before the current ones are set."""
        self._values[metric].clear()

    def observe(self, metric: Metric, value: float, *labels: str) -> None:
        """Record a value in a histogram.

        Args:
            metric: The metric.
            value: The value; durations are passed in milliseconds and exported in seconds.
            *labels: Values of the labels, in the order of the catalogue.
        """
        series = self._histograms[metric]
        buckets = _buckets(metric)
        series_data = series.get(labels)
        if series_data is None:
            key = self._bounded_key(metric, labels, len(series))
            series_data = series.setdefault(key, _HistogramSeries(buckets))
        sample = value / SECOND if metric.value.unit is Unit.SECONDS else value
        series_data.counts[bisect_left(buckets, sample)] += 1
        series_data.total += sample

    def add_source(self, source: Callable[[], None]) -> None:
        """Register a function that updates metrics before each page is rendered."""
        self._sources.append(source)

    def render(self) -> MetricsPage:
        """Render the metrics page in the Prometheus text format."""
        # Imported on first use: the modules take 2 MB, which processes that are never scraped save.
        from aioprometheus.collectors import Registry
        from aioprometheus.renderer import render

        self._update_process_metrics()
        for source in self._sources:
            source()
        registry = Registry()
        for metric, series in self._values.items():
            if not series:
                continue
            collector = self._collector(metric, registry)
            for labels, value in series.items():
                collector.set_value(_label_dict(metric, labels), value)
        for metric, series_by_labels in self._histograms.items():
            if not series_by_labels:
                continue
            self._fill_histogram(metric, series_by_labels, registry)
        body, headers = render(registry, ())
        return MetricsPage(body, headers["Content-Type"])

    def _bounded_key(self, metric: Metric, labels: tuple[str, ...], known: int) -> tuple[str, ...]:
        if len(labels) != len(metric.value.labels):
            raise ValueError(f"{metric.name}: expected the labels {metric.value.labels}")
        # Label values come from rules and upstreams, which operators change. Without a bound, many
        # changes would exhaust the memory of the process and of the system that scrapes it.
        if known >= MAX_SERIES:
            return (OTHER_LABEL,) * len(labels)
        return labels

    def _update_process_metrics(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.set(Metric.PROCESS_CPU, usage.ru_utime + usage.ru_stime)
        self.set(Metric.PROCESS_MEMORY, usage.ru_maxrss * 1024)
        self.set(Metric.PROCESS_BUILD, 1, *build_info())
        self.set(Metric.PROCESS_UPTIME, time.monotonic() - self._started_at)
        for task, count in task_faults.counts.items():
            self.set(Metric.PROCESS_TASK_FAULTS, count, task)

    def _collector(self, metric: Metric, registry: Registry) -> Collector:
        from aioprometheus.collectors import Counter, Gauge

        row = metric.value
        collector_type = Counter if row.kind is MetricKind.COUNTER else Gauge
        return collector_type(row.name, row.meaning, {"process": self._process}, registry)

    def _fill_histogram(
        self,
        metric: Metric,
        series_by_labels: dict[tuple[str, ...], _HistogramSeries],
        registry: Registry,
    ) -> None:
        from aioprometheus.collectors import Histogram

        row = metric.value
        buckets = _buckets(metric)
        labels = {"process": self._process}
        collector = Histogram(row.name, row.meaning, labels, registry, list(buckets))
        for key, series_data in series_by_labels.items():
            collector.add(_label_dict(metric, key), 0.0)
            exported = collector.values[_label_dict(metric, key)]
            cumulative_count = 0
            for bound, count in zip(exported.buckets, series_data.counts, strict=True):
                cumulative_count += count
                exported.buckets[bound] = cumulative_count
            exported.observations = cumulative_count
            exported.sum = series_data.total


def _buckets(metric: Metric) -> tuple[float, ...]:
    return FRACTION_BUCKETS if metric.value.unit is Unit.FRACTION else SECONDS_BUCKETS


def _label_dict(metric: Metric, labels: tuple[str, ...]) -> dict[str, str]:
    return dict(zip(metric.value.labels, map(_escaped, labels), strict=True))


def _escaped(value: str) -> str:
    # The renderer writes values as they are. A quotation mark in a name that an operator has chosen
    # would make the whole page unreadable.
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
