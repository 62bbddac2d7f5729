"""Learns how long callers of a route usually have when they first send a request."""

from __future__ import annotations

from collections import deque

from ...clock import Millis

MAX_SAMPLES = 32
QUANTILE = 0.9
"""Resent requests have less time left, and a few callers may state any time at all."""


class UsualTimeLeft:
    """The time that a request on one route usually has left when it is first sent.

    When a caller resends a request, it has less time left than at first. The difference tells how
    much of the target latency has passed before. The longest time of any request would tell it too,
    but a single caller that waits for much longer would then make all others seem late.
    """

    def __init__(self) -> None:
        self._samples: deque[Millis] = deque(maxlen=MAX_SAMPLES)

    def used_before(self, time_left: Millis) -> Millis:
        """Record the time that a request has left; return how much it has used before."""
        self._samples.append(time_left)
        ranked = sorted(self._samples)
        usual = ranked[min(len(ranked) - 1, int(QUANTILE * len(ranked)))]
        return max(0.0, usual - time_left)
