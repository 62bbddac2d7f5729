"""Division of each server's connection limit among the entries.

A share is a divisor and a set of owner plans. The divisor and each plan are independent upper
bounds. With divisor ``d`` an entry may hold ``floor(max_connections / d)`` connections to each
server. With a plan that names ``k`` owners of a server, each owner may hold a ``k``-th of nine
tenths of the limit, and other entries may hold none. No server's limit is exceeded, whatever it is,
as long as the sum of ``1 / d`` over all entries is at most 1, or there is one plan that all of them
follow. Control therefore does not need to know the servers. The remainder of the rounding is a
reserve for changes of the membership.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from fractions import Fraction
from typing import NamedTuple

from ...clock import Millis

NO_SHARE = 0
"""The divisor of an entry that may hold no connection."""
FULL_SHARE = 1
"""The divisor that sets no bound; the owner plans alone limit the connections."""
RESERVE_DIVISOR = 10
"""A server's limit divided by this is reserved and given to no owner."""
MAX_PLANS = 8
"""Maximum number of plans in one share; an entry with more gives up its share."""


def connections_per_entry(max_connections: int, divisor: int) -> int:
    """Return how many connections to one server a divisor allows.

    Args:
        max_connections: The server's limit for all entries together.
        divisor: The entry's divisor; ``NO_SHARE`` allows none.
    """
    return 0 if divisor == NO_SHARE else max_connections // divisor


def connections_per_owner(max_connections: int, owners: int) -> int:
    """Return how many connections to one server each of its owners may hold.

    Args:
        max_connections: The server's limit for all entries together.
        owners: The number of owners of the server.
    """
    # An entry that has just started fetches its first shard map on a connection outside of all
    # shares. Without a reserve the server would close this connection or one with a request on it.
    return max_connections // owners - max_connections // (owners * RESERVE_DIVISOR)


class Share(NamedTuple):
    """The bounds on an entry's connections: a divisor and owner plans, all of which apply."""

    divisor: int
    plans: tuple[int, ...] = ()
    """Digests of owner plans, oldest first."""

    @property
    def is_empty(self) -> bool:
        """Whether the share allows no connection."""
        return self.divisor == NO_SHARE

    def intersect(self, other: Share) -> Share:
        """Return the share that allows only what both shares allow."""
        if self.is_empty or other.is_empty:
            return Share(NO_SHARE)
        added = tuple(plan for plan in other.plans if plan not in self.plans)
        return Share(max(self.divisor, other.divisor), self.plans + added)

    def union(self, other: Share) -> Share:
        """Return a share that allows everything that either share allows."""
        if self.is_empty:
            return other
        if other.is_empty:
            return self
        common = tuple(plan for plan in self.plans if plan in other.plans)
        return Share(min(self.divisor, other.divisor), common)

    def contains(self, other: Share) -> bool:
        """Return whether this share allows everything that another one allows."""
        if self.is_empty or other.is_empty:
            return other.is_empty
        return self.divisor <= other.divisor and set(self.plans) <= set(other.plans)


class _RemovedEntry(NamedTuple):
    """The share of a removed entry that may still hold connections."""

    name: str
    share: Share | None
    until: Millis


class ConnectionShares:
    """The leader's upper bounds on the share of each entry.

    An entry's bound is the largest share that it may be using now: the one it last reported, or a
    larger one granted since. A share is increased only if the sum of all bounds leaves room for it.
    """

    def __init__(self, frozen_until: Millis = 0.0) -> None:
        """Start without entries.

        Args:
            frozen_until: No share is increased before this time, because entries that an earlier
                leader removed may still hold connections unknown to this leader.
        """
        self._frozen_until = frozen_until
        self._bounds: dict[str, Share | None] = {}
        self._removed: list[_RemovedEntry] = []
        self.plan: int | None = None
        """The digest of the target owner plan; None makes every entry an owner."""

    def add(self, name: str, share: Share | None) -> None:
        """Add an entry.

        Args:
            name: The entry's name.
            share: Its bound; None if unknown because an earlier leader may have granted any share.
        """
        self._bounds[name] = share

    def remove(self, name: str, held_until: Millis) -> None:
        """Remove an entry whose connections may stay open until the given time."""
        self._removed.append(_RemovedEntry(name, self._bounds.pop(name), held_until))

    def bound(self, name: str) -> Share | None:
        """Return the largest share that an entry may be using now; None if unknown."""
        return self._bounds[name]

    def grant(self, name: str, in_use: Share, wanted: bool, now: Millis) -> Share:
        """Return the share to grant to an entry.

        Args:
            name: The entry's name.
            in_use: The share it uses according to its renewal.
            wanted: Whether it accepts a larger share.
            now: The leader's time.
        """
        self._bounds[name] = in_use
        granted = self._next_share(name, in_use, wanted, now)
        # The grant can be lost, so from now on the entry may be using either share.
        self._bounds[name] = in_use.union(granted)
        return granted

    def _next_share(self, name: str, in_use: Share, wanted: bool, now: Millis) -> Share:
        target = Share(len(self._bounds)) if self.plan is None else Share(FULL_SHARE, (self.plan,))
        narrowed = in_use.intersect(target)
        if not in_use.is_empty and narrowed != in_use:
            # As long as other entries use an older plan or divisor, this entry has to stay within
            # both bounds. Otherwise its new connections would add to those that the old owners
            # still hold, and the server would close those above its limit.
            return self._without_unused_plans(name, narrowed, target, now)
        if not wanted or in_use == target or not self._has_room(name, target, now):
            return in_use
        return target

    def _has_room(self, name: str, target: Share, now: Millis) -> bool:
        held = self._bounds_of_others(name, now)
        if held is None:
            return False
        if target.plans and any(removed.name == name for removed in self._removed):
            # A plan names an entry, not a process. An earlier process of this entry that hangs or
            # is disconnected may still hold the connections that the plan gives to the entry; both
            # processes together would exceed the limit.
            return False
        if target.plans:
            return set(target.plans) <= _common_plans(held, set(target.plans))
        return _sum_of_shares([*(share.divisor for share in held), target.divisor]) <= 1

    def _without_unused_plans(self, name: str, share: Share, target: Share, now: Millis) -> Share:
        """Return a share without the older plans that no other entry relies on."""
        older = [plan for plan in share.plans if plan not in target.plans]
        if len(older) <= 1:
            return share
        held = self._bounds_of_others(name, now)
        common = set() if held is None else _common_plans(held, set(older))
        for plan in older:
            if plan in common:
                return Share(share.divisor, (plan, *target.plans))
        return Share(NO_SHARE) if len(share.plans) > MAX_PLANS else share

    def _bounds_of_others(self, name: str, now: Millis) -> list[Share] | None:
        """Return the bounds of all other entries, including removed ones.

        Returns:
            The bounds that allow connections; None while any bound is unknown.
        """
        if now < self._frozen_until:
            return None
        self._removed = [removed for removed in self._removed if removed.until > now]
        held = [bound for other, bound in self._bounds.items() if other != name]
        held += [removed.share for removed in self._removed]
        known = [share for share in held if share is not None]
        if len(known) < len(held):
            return None
        return [share for share in known if not share.is_empty]


def _common_plans(shares: Iterable[Share], plans: set[int]) -> set[int]:
    """Return the subset of the plans that is part of every share."""
    for share in shares:
        plans = plans.intersection(share.plans)
    return plans


def _sum_of_shares(divisors: Iterable[int]) -> Fraction:
    counts = Counter(divisors)
    return sum((Fraction(count, divisor) for divisor, count in counts.items()), Fraction(0))
