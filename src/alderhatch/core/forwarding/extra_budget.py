"""A bound on the requests that reach an upstream beyond the first of each."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from ...clock import SECOND, Millis

SLOT: Millis = 250.0
"""Requests are counted in steps of this length; a step counts as long as any of it is in the
window."""


class BudgetTerms(NamedTuple):
    """How many extra requests all hosts together may send to one upstream."""

    ratio: float
    """For each request in the window."""
    constant: float
    """Besides, in each window."""
    window: Millis


class BudgetShare(NamedTuple):
    """What one host may use of the budget."""

    ratio: float
    constant: float


class _Slot:
    __slots__ = ("begins_at", "extra", "first")

    def __init__(self, begins_at: Millis) -> None:
        self.begins_at = begins_at
        self.first = 0
        self.extra = 0


class ExtraBudget:
    """Counts the requests of one upstream in a sliding window.

    The budget is shared by all hosts without a message for each request: the part that grows with
    the requests is each host's own, since each counts its own requests, and the constant is divided
    by the number of hosts. Together they never exceed the whole, whoever gets the traffic.

    Args:
        window: The length of the window in milliseconds.
    """

    def __init__(self, window: Millis = 10 * SECOND) -> None:
        self._window = window
        self._slots: deque[_Slot] = deque()
        self.refused = 0
        """Extra requests that were not sent for lack of budget."""

    def count_first(self, now: Millis) -> None:
        """Count a request that goes to this upstream."""
        self._slot(now).first += 1

    def level(self, share: BudgetShare, now: Millis) -> float:
        """Return which part of what the window allows is left, between 0 and 1."""
        first, extra = self._counts(now)
        allowed = share.ratio * first + share.constant
        return max(0.0, 1.0 - extra / allowed) if allowed > 0 else 0.0

    def left(self, share: BudgetShare, now: Millis) -> float:
        """Return how many extra requests may be sent now; below 1 is none."""
        first, extra = self._counts(now)
        return share.ratio * first + share.constant - extra

    def _counts(self, now: Millis) -> tuple[int, int]:
        # A step that has only just left the window at its beginning may still be in the window
        # that the servers' side counts, so extra requests are held for one more step.
        extra = sum(
            slot.extra for slot in self._slots if slot.begins_at > now - self._window - SLOT
        )
        first = sum(slot.first for slot in self._slots if slot.begins_at > now - self._window)
        return first, extra

    def spend(self, share: BudgetShare, now: Millis) -> bool:
        """Count one extra request; return False, and count none, if the budget is used up."""
        if self.left(share, now) < 1.0:
            self.refused += 1
            return False
        self._slot(now).extra += 1
        return True

    def _slot(self, now: Millis) -> _Slot:
        slots = self._slots
        if not slots or now >= slots[-1].begins_at + SLOT:
            slots.append(_Slot(now))
            while slots[0].begins_at <= now - self._window - 2 * SLOT:
                slots.popleft()
        return slots[-1]
