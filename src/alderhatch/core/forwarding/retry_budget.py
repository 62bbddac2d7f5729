"""Limits the additional requests (retries and hedges) that reach an upstream."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from ...clock import SECOND, Millis

BUCKET: Millis = 250.0
"""Requests are counted in buckets of this length; a bucket counts while any of it is in the
window."""


ACTIVE_FRACTION = 0.65
"""The fraction of ``BudgetLimits.constant`` for the active hosts."""
STANDBY_FRACTION = 0.2
"""The fraction for the standby hosts. The rest covers moments in which hosts don't agree on which
hosts are active."""

OWNER_FRACTION = 0.35
"""The fraction for the host that queries an upstream for all; one that is partitioned may continue
as the owner beside its successor."""
OTHER_ACTIVE_FRACTION = 0.2
"""The fraction for the other active hosts, which repeat the requests that a lost owner had in
flight."""
OWNED_STANDBY_FRACTION = 0.05
"""The fraction for all standby hosts, where one host queries an upstream for all."""


class BudgetLimits(NamedTuple):
    """How many additional requests all hosts together may send to one upstream."""

    ratio: float
    """For each request in the window."""
    constant: float
    """In each window, independent of the number of requests."""
    window: Millis


class BudgetShare(NamedTuple):
    """What one host may use of the budget."""

    ratio: float
    constant: float


def constant_fraction(live_hosts: int, active_hosts: int, is_active: bool) -> float:
    """Return the fraction of the constant that one host may use.

    Standby hosts send almost nothing. With the budget of two hundred hosts divided evenly, the five
    active ones had a fortieth of it: late parts were not hedged, and answers were late or
    incomplete.

    Args:
        live_hosts: The highest recent number of hosts.
        active_hosts: How many of them were active recently.
        is_active: Whether the host is one of these.
    """
    even_fraction = 1.0 / max(1, live_hosts)
    standby_hosts = live_hosts - active_hosts
    if active_hosts == 0 or standby_hosts <= 0:
        return even_fraction
    if is_active:
        return max(
            ACTIVE_FRACTION / active_hosts, (ACTIVE_FRACTION + STANDBY_FRACTION) * even_fraction
        )
    return min(
        STANDBY_FRACTION / standby_hosts, (ACTIVE_FRACTION + STANDBY_FRACTION) * even_fraction
    )


def owner_constant_fraction(
    live_hosts: int, active_hosts: int, is_active: bool, is_owner: bool
) -> float:
    """Return the fraction of the constant for one host, where one host queries an upstream for all.

    Divided among all active hosts, five sixths of it would be with hosts that have no use for it,
    and late parts would not be hedged.

    Args:
        live_hosts: The highest recent number of hosts.
        active_hosts: How many of them were active recently.
        is_active: Whether the host is one of these.
        is_owner: Whether it is the one that queries the upstream.
    """
    if is_owner:
        return OWNER_FRACTION
    if is_active:
        return OTHER_ACTIVE_FRACTION / max(1, active_hosts - 1)
    return OWNED_STANDBY_FRACTION / max(1, live_hosts - active_hosts)


class _SlidingWindowCounter:
    """Counts the events of a sliding window and keeps their total up to date.

    A request over a hundred shards reads the total a hundred times and more; summing the buckets of
    ten seconds each time took a sixteenth of its processor time.
    """

    def __init__(self, window: Millis) -> None:
        self._window = window
        self._buckets: deque[tuple[Millis, int]] = deque()
        """The start and the count of each complete bucket."""
        self._bucket_start: Millis = 0.0
        self._bucket_count = 0
        """The count of the current bucket."""
        self._total_count = 0

    def add(self, now: Millis) -> None:
        """Count one event."""
        if now >= self._bucket_start + BUCKET:
            # The total may never be read, as for an upstream whose requests are not idempotent. If
            # only reading it dropped old buckets, they would fill the memory over days.
            self.total(now)
            self._buckets.append((self._bucket_start, self._bucket_count))
            self._bucket_start = now
            self._bucket_count = 0
        self._bucket_count += 1
        self._total_count += 1

    def total(self, now: Millis) -> int:
        """Return the number of events in the buckets that began within the window."""
        buckets = self._buckets
        while buckets and buckets[0][0] <= now - self._window:
            self._total_count -= buckets.popleft()[1]
        if self._bucket_start <= now - self._window:
            self._total_count -= self._bucket_count
            self._bucket_count = 0
        return self._total_count


class RetryBudget:
    """Counts the requests of one upstream in a sliding window.

    All hosts share the budget without a message for each request: the part that grows with the
    requests belongs to each host, since each counts its own requests, and of the constant each has
    its ``constant_fraction``. Together they never exceed the budget, wherever the traffic goes.

    Args:
        window: The length of the window in milliseconds.
    """

    def __init__(self, window: Millis = 10 * SECOND) -> None:
        self._first_requests = _SlidingWindowCounter(window)
        # A bucket that has just left the window may still be in the window that the servers count,
        # so additional requests are counted for one more bucket.
        self._additional = _SlidingWindowCounter(window + BUCKET)

    def count_first(self, now: Millis) -> None:
        """Count a request to this upstream, without its retries and hedges."""
        self._first_requests.add(now)

    def remaining_fraction(self, share: BudgetShare, now: Millis) -> float:
        """Return the fraction of the window's budget that is left, between 0 and 1."""
        allowed = share.ratio * self._first_requests.total(now) + share.constant
        return max(0.0, 1.0 - self._additional.total(now) / allowed) if allowed > 0 else 0.0

    def remaining(self, share: BudgetShare, now: Millis) -> float:
        """Return how many additional requests may be sent now; below 1 means none."""
        allowed = share.ratio * self._first_requests.total(now) + share.constant
        return allowed - self._additional.total(now)

    def spend(self, share: BudgetShare, now: Millis) -> bool:
        """Count one additional request; if the budget is exhausted, return False instead."""
        if self.remaining(share, now) < 1.0:
            return False
        self._additional.add(now)
        return True
