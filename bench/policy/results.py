"""What is kept of a run, small enough to pass between processes."""

from __future__ import annotations

from typing import NamedTuple

from alderhatch.clock import Millis

from .baseline_entry import Baseline
from .tally import percentile
from .tier import Tier


class Result(NamedTuple):
    """The figures of one run."""

    scenario: str
    upstream: str
    entry: str
    load: float
    requests: int
    p50: Millis
    p99: Millis
    p999: Millis
    coverage: float
    """The mean."""
    coverage_p1: float
    """What 99 of 100 requests reach at least."""
    under_wanted: float
    """The share of requests that got less than their rule wants."""
    sent_ratio: float
    """Shard requests sent for each one needed."""
    wasted: float
    """The share of the servers' work that went into cancelled requests."""
    refused: float
    faults: tuple[str, ...]
    """Broken promises."""
    extra: dict[str, float]
    """Further figures of this scenario, by name."""
    windows: tuple[tuple[Millis, Millis], ...]
    """The p99 of each second."""


def entry_name(entry: object) -> str:
    """Return the name of a kind of entry."""
    return entry.value if isinstance(entry, Baseline) else "alderhatch"


def collect(
    tier: Tier, scenario: str, since: Millis = 0.0, extra: dict[str, float] | None = None
) -> Result:
    """Return the figures of a run.

    Args:
        tier: The run, ended.
        scenario: Its name.
        since: Only requests that arrived later count.
        extra: Further figures.
    """
    histogram = tier.tally.latencies(since)
    coverages = tier.tally.coverages(since) or [0.0]
    done = len(tier.tally.done)
    return Result(
        scenario,
        tier.shape.upstream,
        entry_name(tier.plan.entry),
        tier.plan.phases[0].load,
        len(coverages),
        percentile(histogram, 50.0),
        percentile(histogram, 99.0),
        percentile(histogram, 99.9),
        sum(coverages) / len(coverages),
        coverages[len(coverages) // 100],
        tier.tally.under_wanted(since),
        tier.sent_ratio,
        tier.wasted,
        sum(tier.tally.refusals.values()) / done if done else 0.0,
        tuple(tier.faults),
        extra or {},
        tuple(tier.tally.windows()),
    )
