"""Determines how long before its target latency an answer has to leave."""

from __future__ import annotations

from collections import deque

from ...clock import Millis

MIN_LEAD_TIME: Millis = 4.0
"""The time from the moment an answer is due to its last byte on the wire: up to 2 ms for the timer
and a busy event loop, 1 ms for the merge of 20 shards, 1 ms for the response."""
MAX_OVERRUN: Millis = 25.0
"""Longer overruns come from a host that was paused; no answer should omit parts because of them."""
MAX_SAMPLES = 20
OVERRUN_QUANTILE = 0.8
"""The fraction of answers that should be on the wire in time."""


class ResponseLeadTime:
    """Learns the lead time of one route from how late its answers were finished.

    On a small host the parts of a hundred shards keep the processor busy just when the answer is
    due: the timer fires late, and the merge takes its time. Finished a few milliseconds after the
    target, an answer is worth a tenth of one that omits the parts that were still missing.
    """

    def __init__(self) -> None:
        self._overruns: deque[Millis] = deque(maxlen=MAX_SAMPLES)

    def record_overrun(self, overrun: Millis) -> None:
        """Record how long after it was due an answer was finished."""
        self._overruns.append(min(max(0.0, overrun), MAX_OVERRUN))

    @property
    def lead_time(self) -> Millis:
        """How long before its target an answer has to leave."""
        if not self._overruns:
            return MIN_LEAD_TIME
        ranked = sorted(self._overruns)
        return MIN_LEAD_TIME + ranked[int(OVERRUN_QUANTILE * (len(ranked) - 1))]
