"""What one run measured."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from alderhatch.clock import SECOND, Millis
from alderhatch.core.priority import Priority

HIGHEST_MICROS = 60_000_000
MICROS = 1000


def new_histogram() -> HdrHistogram:
    """Return a histogram of microseconds with three digits."""
    return HdrHistogram(1, HIGHEST_MICROS, 3)


def percentile(histogram: HdrHistogram, share: float) -> Millis:
    """Return a percentile in milliseconds."""
    return float(histogram.get_value_at_percentile(share)) / MICROS


class Done(NamedTuple):
    """How one request ended."""

    arrived: Millis
    finished: Millis
    priority: Priority
    caller: str
    coverage: float
    wanted: float
    refusal: str
    """The kind of error; empty if it was answered."""


class Tally:
    """Counts the requests that arrive after the warm-up."""

    def __init__(self, warm_up: Millis) -> None:
        self.warm_up = warm_up
        self.done: list[Done] = []
        self.refusals: Counter[str] = Counter()

    def add(self, done: Done) -> None:
        """Count a request that has ended."""
        if done.arrived >= self.warm_up:
            self.done.append(done)
            if done.refusal:
                self.refusals[done.refusal] += 1

    def latencies(
        self,
        since: Millis = 0.0,
        until: Millis = float("inf"),
        priority: Priority | None = None,
        caller: str = "",
    ) -> HdrHistogram:
        """Return the latencies of answered requests, by the time of their arrival."""
        histogram = new_histogram()
        for done in self.done:
            if done.refusal or not since <= done.arrived < until:
                continue
            if priority is not None and done.priority is not priority:
                continue
            if caller and done.caller != caller:
                continue
            histogram.record_value(max(1, int((done.finished - done.arrived) * MICROS)))
        return histogram

    def coverages(self, since: Millis = 0.0) -> list[float]:
        """Return the coverage of each request, lowest first; a failed one covers nothing."""
        return sorted(done.coverage for done in self.done if done.arrived >= since)

    def under_wanted(self, since: Millis = 0.0) -> float:
        """Return the share of requests that got less coverage than their rule wants."""
        chosen = [done for done in self.done if done.arrived >= since]
        under = sum(1 for done in chosen if done.coverage < done.wanted)
        return under / len(chosen) if chosen else 0.0

    def good(self, since: Millis, until: Millis) -> int:
        """Return how many requests were answered as wanted, by the time of their answer."""
        return sum(
            1
            for done in self.done
            if not done.refusal and done.coverage >= done.wanted and since <= done.finished < until
        )

    def windows(self, span: Millis = SECOND) -> list[tuple[Millis, Millis]]:
        """Return the p99 of each window of time, by the time of arrival."""
        by_window: dict[int, HdrHistogram] = {}
        for done in self.done:
            if done.refusal:
                continue
            histogram = by_window.setdefault(int(done.arrived // span), new_histogram())
            histogram.record_value(max(1, int((done.finished - done.arrived) * MICROS)))
        return [
            (index * span, percentile(histogram, 99.0))
            for index, histogram in sorted(by_window.items())
        ]
