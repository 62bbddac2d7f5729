"""How much processor time the hosts need for the requests that they send to servers."""

from __future__ import annotations

from collections import deque
from math import ceil

from ...clock import SECOND, Millis

COST: Millis = 0.5
"""Processor time of one request to a server, answer included; ``bench/forward.py`` shows 0.46 ms
for a part of 200 bytes."""
USE = 0.25
"""Which part of its processor a host should be busy at most. A query over many shards comes as a
burst of work; at a quarter, three of four find the host idle."""
STEP: Millis = 2 * SECOND
"""Requests are counted in steps of this length: long enough for some ten queries."""
MEMORY: Millis = 30 * SECOND
"""For how long a peak counts. Hosts that are added open thousands of connections; taken away in
each trough and added in each peak, they would never be warm."""
GRAIN = 1.0
"""The need is rounded up to multiples of this, so that callers are told of few changes."""


class HostDemand:
    """Counts the requests that all hosts together send to servers."""

    def __init__(self) -> None:
        self._steps: deque[tuple[Millis, int]] = deque()
        """When each step began, and its count; the newest is still going on."""

    def count(self, requests: int, now: Millis) -> None:
        """Count requests that hosts have sent."""
        steps = self._steps
        if steps and now < steps[-1][0] + STEP:
            began, known = steps.pop()
            steps.append((began, known + requests))
            return
        steps.append((now, requests))
        while steps[0][0] < now - MEMORY:
            steps.popleft()

    def processor_needed(self) -> float:
        """Return the processor time that the hosts should have, in seconds a second."""
        most = max((count for _, count in self._steps), default=0)
        return GRAIN * ceil(most * COST / STEP / USE / GRAIN)
