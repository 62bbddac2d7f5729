"""How often entries may be hurried, so that many changes at once can't overload control."""

from __future__ import annotations

from ...clock import Millis

MIN_GAP: Millis = 50.0
GAP_PER_ENTRY: Millis = 2.0


def min_renewal_interval(entries: int) -> Millis:
    """Return the least time between two renewals of one entry that are not due.

    When hundreds of entries start at once, each of them is news to all the others. Told at once
    every time, all of them renew without a pause, each renewal brings more news, and the control
    hosts are too busy to grant a lease in time. With the gap growing with their number, all the
    entries together make at most 500 such renewals a second.

    Args:
        entries: How many entries take part.
    """
    return max(MIN_GAP, GAP_PER_ENTRY * entries)
