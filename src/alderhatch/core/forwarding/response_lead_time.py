"""How long before it is due an answer has to be finished."""

from __future__ import annotations

from collections import deque

from ...clock import Millis

LEAST: Millis = 4.0
"""From the moment at which an answer is due to its last byte on the wire: up to 2 ms for the timer
and a busy loop, 1 ms for the merge of 20 shards, 1 ms for the response."""
MOST: Millis = 25.0
"""Longer overruns are those of a host that stood still; no answer should give up parts for them."""
SAMPLES = 20
LEVEL = 0.8
"""The share of answers that should be on the wire in time."""


class ResponseLeadTime:
    """Learns from how late the answers of one route were finished.

    On a small host the parts of a hundred shards keep the processor busy just when the answer is
    due: the timer fires late, and the merge takes its time. Finished a few milliseconds after the
    target, an answer is worth a tenth of one that left out the parts that were still missing.
    """

    def __init__(self) -> None:
        self._overruns: deque[Millis] = deque(maxlen=SAMPLES)

    def record_overrun(self, overrun: Millis) -> None:
        """Take by how much an answer that had to leave was finished after that moment."""
        self._overruns.append(min(max(0.0, overrun), MOST))

    @property
    def lead_time(self) -> Millis:
        """How long before its target an answer has to leave."""
        if not self._overruns:
            return LEAST
        ranked = sorted(self._overruns)
        return LEAST + ranked[int(LEVEL * (len(ranked) - 1))]
