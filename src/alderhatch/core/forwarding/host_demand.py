"""Estimates the processor time that hosts need for the requests that they send to servers."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from math import ceil

from ...clock import SECOND, Millis
from .route import AllShards, Route

CPU_PER_REQUEST: Millis = 0.5
"""Processor time of one request to a server, answer included; ``bench/forward.py`` shows 0.46 ms
for a part of 200 bytes."""
TARGET_UTILIZATION = 0.25
"""The highest processor utilization of a host. A query over many shards arrives as a burst of work;
at a quarter, three of four find the host idle."""
MAX_PROCESSING_FRACTION = 0.5
"""The fraction of a gather's target latency that its host may take for the parts; the rest is for
servers, transfers and other requests."""
MIN_TARGET_LATENCY: Millis = 1.0
"""Stands for shorter targets; an operator may declare 0, which no host meets."""
BUCKET: Millis = 2 * SECOND
"""Requests are counted in buckets of this length: long enough for some ten queries."""
PEAK_WINDOW: Millis = 30 * SECOND
"""How long a peak counts. Hosts that become active open thousands of connections; removed in each
trough and added in each peak, they would never have warm connections."""
ROUNDING_STEP = 1.0
"""The demand is rounded up to multiples of this many cores, so that the hosts announced to
callers change rarely."""


def gather_cost(route: Route) -> Millis:
    """Return the processor time of a gather over the shards of a route; 0 for other routes."""
    if not isinstance(route.destination, AllShards):
        return 0.0
    return len(route.destination.shards) * CPU_PER_REQUEST


def processor_for_gathers(routes: Iterable[Route]) -> float:
    """Return the processor time with which a host answers any gather in time, if it is idle.

    Args:
        routes: All routes.

    Returns:
        Seconds of processor time per second, for the most demanding route; 0 without gathers.
    """
    return max(
        (
            gather_cost(route)
            / (MAX_PROCESSING_FRACTION * max(route.target_latency, MIN_TARGET_LATENCY))
            for route in routes
        ),
        default=0.0,
    )


class HostDemand:
    """Counts the requests that all hosts together send to servers."""

    def __init__(self) -> None:
        self._buckets: deque[tuple[Millis, int]] = deque()
        """The start of each bucket and its count; the newest one is still filling."""

    def count(self, requests: int, now: Millis) -> None:
        """Count requests that hosts have sent."""
        buckets = self._buckets
        if buckets and now < buckets[-1][0] + BUCKET:
            began, known = buckets.pop()
            buckets.append((began, known + requests))
            return
        buckets.append((now, requests))
        while buckets[0][0] < now - PEAK_WINDOW:
            buckets.popleft()

    def processor_needed(self) -> float:
        """Return the processor time that the hosts should have, in seconds per second."""
        most = max((count for _, count in self._buckets), default=0)
        return ROUNDING_STEP * ceil(
            most * CPU_PER_REQUEST / BUCKET / TARGET_UTILIZATION / ROUNDING_STEP
        )
