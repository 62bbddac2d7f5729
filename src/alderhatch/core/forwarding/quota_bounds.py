"""What the quota of an organisation allows, over all hosts and at one host by itself."""

from __future__ import annotations

from math import ceil
from typing import NamedTuple

from ...clock import SECOND, Millis
from .organisation import Organisation

AHEAD_FRACTION = 0.5
"""The part of the slack that pays for requests which run before their tokens are confirmed."""
AHEAD_SPAN: Millis = 100.0
"""Owners confirm tokens well within this time, so a host runs ahead at most as many requests as
the rate admits in it."""
HOST_STARTS_PER_WINDOW = 2
"""How many processes of one host may use a reserve within a window: the present one and the one
before a restart. A new process may use its reserve at once, because after a restart of all hosts no
owner grants tokens for some seconds."""
RESERVE_BURST_FRACTION = 0.5
"""The part of a reserve that may be used at once; the rest refills over a window."""


class QuotaBounds(NamedTuple):
    """By how much the requests of an organisation may exceed its quota in any window.

    In every window of length ``window``, all hosts together run at most ``(rate * window + burst) *
    (1 + tolerance) + margin`` requests of an organisation.
    """

    window: Millis = 5 * SECOND
    tolerance: float = 0.0
    """Excess as a fraction of ``rate * window + burst``."""
    margin: float = 0.0
    """Excess in requests."""


class BucketLimit(NamedTuple):
    """The rate and the burst of a token bucket."""

    rate: float
    """Tokens per second."""
    burst: float
    """The most tokens that can accumulate."""


class SlackShare(NamedTuple):
    """How many requests one host may run without a confirmed token of the owner."""

    ahead: int
    """Requests whose tokens the owner hasn't confirmed yet."""
    reserve: BucketLimit
    """Requests that are not counted by the owner; a burst of 0 allows none."""


NO_RESERVE = BucketLimit(0.0, 0.0)
NO_SHARE = SlackShare(0, NO_RESERVE)


def bucket_limit(organisation: Organisation, window: Millis) -> BucketLimit:
    """Return the limit of the token bucket for an organisation's quota.

    A bucket must hold a whole token to admit anything. If the burst is smaller, the rate is lowered
    so that no window gets more than ``rate * window + burst``.
    """
    burst = max(1.0, organisation.burst)
    excess = burst - organisation.burst
    rate = organisation.rate - excess * SECOND / window
    return BucketLimit(rate, burst) if rate > 0.0 else BucketLimit(0.0, 0.0)


def slack_share(organisation: Organisation, bounds: QuotaBounds, hosts: int) -> SlackShare:
    """Divide the slack of an organisation's quota among hosts.

    Args:
        organisation: The organisation.
        bounds: The bounds of all quotas.
        hosts: The number of hosts that may have a share at the same time; 0 for no share.
    """
    if hosts == 0:
        return NO_SHARE
    limit = organisation.rate * bounds.window / SECOND + organisation.burst
    slack = limit * bounds.tolerance + bounds.margin
    ahead = min(int(slack * AHEAD_FRACTION / hosts), ceil(organisation.rate * AHEAD_SPAN / SECOND))
    reserve = (slack / hosts - ahead) / HOST_STARTS_PER_WINDOW
    if reserve < 1.0:
        return SlackShare(ahead, NO_RESERVE)
    burst = max(1.0, reserve * RESERVE_BURST_FRACTION)
    return SlackShare(ahead, BucketLimit((reserve - burst) * SECOND / bounds.window, burst))
