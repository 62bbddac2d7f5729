"""The numbers that an entry shows to Prometheus."""

from __future__ import annotations

from collections.abc import Mapping

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from ..clock import SECOND, Millis
from ..core.entry_events import Answered, Outcome, Refused

BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.29, 0.5, 1.0, 2.0, 5.0, float("inf"))
ANSWERED = "answered"


class EntryMetrics:
    """Counts requests by rule and outcome; gauges are read when somebody asks."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._requests = Counter(
            "alderhatch_requests_total",
            "Requests that were answered, by rule and outcome.",
            registry=self._registry,
        )
        self._seconds = Histogram(
            "alderhatch_request_seconds",
            "Time from a whole request to its answer, by rule.",
            registry=self._registry,
            buckets=BUCKETS_S,
        )
        self._uncovered = Counter(
            "alderhatch_uncovered_total",
            "The sum of what answers did not cover, by rule; 1 is a whole snapshot.",
            registry=self._registry,
        )
        self._gauges: dict[str, Gauge] = {}

    def count(self, outcome: Outcome, span: Millis) -> None:
        """Count one outcome and the time that it took, in milliseconds."""
        rule = {"rule": outcome.rule}
        match outcome:
            case Answered(coverage=coverage):
                self._requests.inc(rule | {"outcome": ANSWERED})
                self._seconds.observe(rule, span / SECOND)
                if coverage < 1:
                    self._uncovered.add(rule, 1 - coverage)
            case Refused(failure=failure):
                self._requests.inc(rule | {"outcome": str(failure.kind)})

    def show(self, gauges: Mapping[str, float]) -> bytes:
        """Return everything in the text format of Prometheus.

        Args:
            gauges: Present values by their names, without the prefix.
        """
        for name, value in gauges.items():
            gauge = self._gauges.get(name)
            if gauge is None:
                full_name = f"alderhatch_{name}"
                doc = name.replace("_", " ").capitalize() + "."
                gauge = self._gauges[name] = Gauge(full_name, doc, registry=self._registry)
            gauge.set({}, value)
        content, _ = render(self._registry, [])
        return bytes(content)
