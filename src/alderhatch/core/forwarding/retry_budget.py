"""A bound on the requests that reach an upstream beyond the first of each."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from ...clock import SECOND, Millis

SLOT: Millis = 250.0
"""Requests are counted in steps of this length; a step counts as long as any of it is in the
window."""


NAMED_PART = 0.65
"""The part of the constant for the hosts that callers are sent to."""
OTHERS_PART = 0.2
"""The part for all others. The rest is for moments in which hosts don't agree on who is which."""

OWNER_FRACTION = 0.35
"""The part for the host that asks an upstream for all; one that is cut off may go on as the owner
beside its successor."""
REST_PART = 0.2
"""The part for the other hosts that callers are sent to: what a lost owner had under way they ask
for again."""
STANDBYS_PART = 0.05
"""The part for all that callers are not sent to, where one host asks for all."""


class BudgetLimits(NamedTuple):
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


def constant_fraction(alive: int, named: int, is_named: bool) -> float:
    """Return which part of the constant one host may use.

    Hosts that stand by send next to nothing. Divided evenly, the budget of two hundred hosts left
    the five that callers are sent to a fortieth of it: parts that were late were not asked for
    again, and answers came late or without them.

    Args:
        alive: The most hosts that there were lately.
        named: How many of them callers were sent to lately.
        is_named: Whether the host is one of these.
    """
    evenly = 1.0 / max(1, alive)
    others = alive - named
    if named == 0 or others <= 0:
        return evenly
    if is_named:
        return max(NAMED_PART / named, (NAMED_PART + OTHERS_PART) * evenly)
    return min(OTHERS_PART / others, (NAMED_PART + OTHERS_PART) * evenly)


def owner_constant_fraction(alive: int, named: int, is_named: bool, is_owner: bool) -> float:
    """Return which part of the constant one host may use where one host asks an upstream for all.

    Divided among all that callers are sent to, five sixths of it would be with hosts that have no
    use for it, and the parts of late servers were not asked for again.

    Args:
        alive: The most hosts that there were lately.
        named: How many of them callers were sent to lately.
        is_named: Whether the host is one of these.
        is_owner: Whether it is the one that asks.
    """
    if is_owner:
        return OWNER_FRACTION
    if is_named:
        return REST_PART / max(1, named - 1)
    return STANDBYS_PART / max(1, alive - named)


class _SlidingCount:
    """Counts events of a sliding window, with the sum at hand.

    A request over a hundred shards asks for the sum a hundred times and more; added up anew each
    time, the steps of ten seconds took a sixteenth of its processor time.
    """

    def __init__(self, window: Millis) -> None:
        self._window = window
        self._steps: deque[tuple[Millis, int]] = deque()
        """When each whole step began, and its count."""
        self._began: Millis = 0.0
        self._count = 0
        """Of the step that is going on."""
        self._sum = 0

    def add(self, now: Millis) -> None:
        """Count one event."""
        if now >= self._began + SLOT:
            # Nobody may ever ask for the sum, as for an upstream whose requests must not run twice;
            # old steps that only went then would fill the memory over days.
            self.total(now)
            self._steps.append((self._began, self._count))
            self._began = now
            self._count = 0
        self._count += 1
        self._sum += 1

    def total(self, now: Millis) -> int:
        """Return how many events the steps hold that began within the window."""
        steps = self._steps
        while steps and steps[0][0] <= now - self._window:
            self._sum -= steps.popleft()[1]
        if self._began <= now - self._window:
            self._sum -= self._count
            self._count = 0
        return self._sum


class RetryBudget:
    """Counts the requests of one upstream in a sliding window.

    The budget is shared by all hosts without a message for each request: the part that grows with
    the requests is each host's own, since each counts its own requests, and of the constant each
    has its ``constant_fraction``. Together they never exceed the whole, whoever gets the traffic.

    Args:
        window: The length of the window in milliseconds.
    """

    def __init__(self, window: Millis = 10 * SECOND) -> None:
        self._first = _SlidingCount(window)
        # A step that has only just left the window at its beginning may still be in the window
        # that the servers' side counts, so extra requests are held for one more step.
        self._extra = _SlidingCount(window + SLOT)

    def count_first(self, now: Millis) -> None:
        """Count a request that goes to this upstream."""
        self._first.add(now)

    def level(self, share: BudgetShare, now: Millis) -> float:
        """Return which part of what the window allows is left, between 0 and 1."""
        allowed = share.ratio * self._first.total(now) + share.constant
        return max(0.0, 1.0 - self._extra.total(now) / allowed) if allowed > 0 else 0.0

    def left(self, share: BudgetShare, now: Millis) -> float:
        """Return how many extra requests may be sent now; below 1 is none."""
        allowed = share.ratio * self._first.total(now) + share.constant
        return allowed - self._extra.total(now)

    def spend(self, share: BudgetShare, now: Millis) -> bool:
        """Count one extra request; return False, and count none, if the budget is used up."""
        if self.left(share, now) < 1.0:
            return False
        self._extra.add(now)
        return True
