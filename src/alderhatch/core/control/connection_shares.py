"""How the connections that a server allows are divided over the entries.

A share is a divisor and a set of plans of owners, each of which is an upper bound by itself. With
divisor ``d`` an entry may hold ``floor(max_connections / d)`` connections to each server; with a
plan that names ``k`` owners of a server, each of them may hold a ``k``-th of nine tenths and nobody
else any. No server's limit is exceeded, whatever the limit is, as long as the sum of
``1 / d`` over all entries is at most 1, or there is one plan that all of them obey. So control need
not know the servers at all, and what the rounding leaves over is the spare for changes.
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
"""The divisor that bounds nothing: what an entry may hold follows from its plans alone."""
SPARE_PART = 10
"""One of so many connections to a server is no owner's."""
MAX_PLANS = 8
"""An entry that would have to obey more plans at once gives up its share instead."""


def connections_per_entry(max_connections: int, divisor: int) -> int:
    """Return how many connections to one server a divisor allows.

    Args:
        max_connections: What the server accepts from all entries together.
        divisor: The entry's divisor; ``NO_SHARE`` allows none.
    """
    return 0 if divisor == NO_SHARE else max_connections // divisor


def owned_connections(max_connections: int, owners: int) -> int:
    """Return how many connections to one server each of its owners may hold.

    Args:
        max_connections: What the server accepts from all entries together.
        owners: How many entries own it.
    """
    # An entry that has just started fetches its first shard map on a connection that nobody
    # counts. With every place taken, the server would close it, or one with a request on it.
    return max_connections // owners - max_connections // (owners * SPARE_PART)


class Share(NamedTuple):
    """What an entry may hold: no more than the divisor and each of the plans allow."""

    divisor: int
    plans: tuple[int, ...] = ()
    """Digests of plans of owners, the oldest first."""

    @property
    def nothing(self) -> bool:
        """Whether it allows no connection at all."""
        return self.divisor == NO_SHARE

    def narrowed(self, other: Share) -> Share:
        """Return the share that allows what both this and another one allow."""
        if self.nothing or other.nothing:
            return Share(NO_SHARE)
        added = tuple(plan for plan in other.plans if plan not in self.plans)
        return Share(max(self.divisor, other.divisor), self.plans + added)

    def widened(self, other: Share) -> Share:
        """Return a share that allows whatever either this or another one allows."""
        if self.nothing:
            return other
        if other.nothing:
            return self
        common = tuple(plan for plan in self.plans if plan in other.plans)
        return Share(min(self.divisor, other.divisor), common)

    def contains(self, other: Share) -> bool:
        """Return whether each bound of this share is a bound of another one too."""
        if self.nothing or other.nothing:
            return other.nothing
        return self.divisor <= other.divisor and set(self.plans) <= set(other.plans)


class _Ghost(NamedTuple):
    """The share of an entry that was taken out but may still hold connections."""

    name: str
    share: Share | None
    until: Millis


class ConnectionShares:
    """The leader's view of what each entry may hold at most.

    An entry's bound is the largest share that it may be using now: what it last said it obeys, or
    a larger one that it was granted since. A share is raised only while all the bounds together
    leave room for it.
    """

    def __init__(self, quiet_until: Millis = 0.0) -> None:
        """Start without entries.

        Args:
            quiet_until: No share is raised before this time, because entries that an earlier
                leader took out may still hold connections of which this one does not know.
        """
        self._quiet_until = quiet_until
        self._bounds: dict[str, Share | None] = {}
        self._ghosts: list[_Ghost] = []
        self.plan: int | None = None
        """The digest of the plan of owners to come to; None makes every entry an owner."""

    def add(self, name: str, share: Share | None) -> None:
        """Take in an entry.

        Args:
            name: The entry's name.
            share: Its bound; None if an earlier leader may have granted it anything.
        """
        self._bounds[name] = share

    def remove(self, name: str, held_until: Millis) -> None:
        """Take out an entry whose connections may be open until a point in time."""
        self._ghosts.append(_Ghost(name, self._bounds.pop(name), held_until))

    def bound(self, name: str) -> Share | None:
        """Return the largest share that an entry may use now; None if that is not known."""
        return self._bounds[name]

    def grant(self, name: str, obeyed: Share, wanted: bool, now: Millis) -> Share:
        """Return the share that an entry is to use from now on.

        Args:
            name: The entry's name.
            obeyed: What it obeys at the time of its renewal.
            wanted: Whether it wants a larger share at all.
            now: The leader's time.
        """
        self._bounds[name] = obeyed
        granted = self._next_share(name, obeyed, wanted, now)
        # The grant may get lost on its way, so that from here on the entry may use either.
        self._bounds[name] = obeyed.widened(granted)
        return granted

    def _next_share(self, name: str, obeyed: Share, wanted: bool, now: Millis) -> Share:
        target = Share(len(self._bounds)) if self.plan is None else Share(FULL_SHARE, (self.plan,))
        narrowed = obeyed.narrowed(target)
        if not obeyed.nothing and narrowed != obeyed:
            # Room first: as long as others go by an older plan or divisor, what this entry holds
            # has to be within both. Taken up at once, the new one would come on top of what the
            # old owners still hold, and the server would close what is over its limit.
            return self._shortened(name, narrowed, target, now)
        if not wanted or obeyed == target or not self._has_room(name, target, now):
            return obeyed
        return target

    def _has_room(self, name: str, target: Share, now: Millis) -> bool:
        held = self._held_by_others(name, now)
        if held is None:
            return False
        if target.plans and any(ghost.name == name for ghost in self._ghosts):
            # A plan names an entry, not a process. The one before, which hangs or is cut off, may
            # still hold what the plan gives to the name; both together would be over the limit.
            return False
        if target.plans:
            return set(target.plans) <= _common_plans(held, set(target.plans))
        return _sum_of_shares([*(share.divisor for share in held), target.divisor]) <= 1

    def _shortened(self, name: str, share: Share, target: Share, now: Millis) -> Share:
        """Return a share without the plans that nobody relies on any more."""
        older = [plan for plan in share.plans if plan not in target.plans]
        if len(older) <= 1:
            return share
        held = self._held_by_others(name, now)
        common = set() if held is None else _common_plans(held, set(older))
        for plan in older:
            if plan in common:
                return Share(share.divisor, (plan, *target.plans))
        return Share(NO_SHARE) if len(share.plans) > MAX_PLANS else share

    def _held_by_others(self, name: str, now: Millis) -> list[Share] | None:
        """Return what may be held besides one entry; None while that is not known."""
        if now < self._quiet_until:
            return None
        self._ghosts = [ghost for ghost in self._ghosts if ghost.until > now]
        held = [bound for other, bound in self._bounds.items() if other != name]
        held += [ghost.share for ghost in self._ghosts]
        known = [share for share in held if share is not None]
        if len(known) < len(held):
            return None
        return [share for share in known if not share.nothing]


def _common_plans(shares: Iterable[Share], plans: set[int]) -> set[int]:
    """Return those of some plans that all shares obey."""
    for share in shares:
        plans = plans.intersection(share.plans)
    return plans


def _sum_of_shares(divisors: Iterable[int]) -> Fraction:
    counts = Counter(divisors)
    return sum((Fraction(count, divisor) for divisor, count in counts.items()), Fraction(0))
