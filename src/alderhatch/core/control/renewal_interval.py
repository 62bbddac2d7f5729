"""Rate limit for early renewals, so that many simultaneous changes cannot overload control."""

from __future__ import annotations

from ...clock import Millis

MIN_INTERVAL_MS: Millis = 50.0
INTERVAL_PER_ENTRY_MS: Millis = 2.0


def min_renewal_interval(entries: int) -> Millis:
    """Return the minimum time between two early renewals of one entry.

    When hundreds of entries start at once, each start is an update for all others. If every update
    caused an immediate renewal, all entries would renew continuously, each renewal would deliver
    further updates, and the control hosts would be too busy to grant leases in time. The interval
    grows with the number of entries, so that all of them together send at most 500 early renewals
    a second.

    Args:
        entries: The number of registered entries.
    """
    return max(MIN_INTERVAL_MS, INTERVAL_PER_ENTRY_MS * entries)
