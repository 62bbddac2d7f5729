"""What the operator side costs: pages of metrics by the number of rules."""

from __future__ import annotations

from functools import partial

from alderhatch.metric_catalogue import Metric
from alderhatch.metrics import Metrics

from .slope import Slope, cpu_micros, fit_slope

RULE_COUNTS = (10, 50, 200)
REQUESTS = 100


def _metrics(rules: int) -> Metrics:
    metrics = Metrics("entry-1")
    for number in range(rules):
        for span in range(REQUESTS):
            metrics.inc(Metric.ENTRY_REQUESTS, f"rule-{number}", "answered")
            metrics.observe(Metric.ENTRY_DURATION, float(span), f"rule-{number}")
            metrics.observe(Metric.ENTRY_COVERAGE, 1.0, f"rule-{number}")
    return metrics


def page_cost() -> Slope:
    """Return the processor time of one metrics page by its rules."""
    values = [cpu_micros(partial(_render, _metrics(rules))) for rules in RULE_COUNTS]
    return fit_slope("metrics page", "us", "rule", RULE_COUNTS, values)


def page_bytes() -> Slope:
    """Return the bytes of one metrics page by its rules."""
    values = [float(len(_metrics(rules).render().body)) for rules in RULE_COUNTS]
    return fit_slope("metrics page", "bytes", "rule", RULE_COUNTS, values)


def _render(metrics: Metrics) -> object:
    return metrics.render()
