"""How the connections that a server allows are divided over the entries.

An entry's share is a divisor: with divisor ``d`` it may hold ``floor(max_connections / d)``
connections to each server. As long as the sum of ``1 / d`` over all entries is at most 1, no
server's limit is exceeded, whatever the limit is. So control need not know the servers at all,
and what the rounding leaves over is the spare for changes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from fractions import Fraction
from typing import NamedTuple

from ...clock import Millis

NO_SHARE = 0
"""The divisor of an entry that may hold no connection."""


def connections_for(max_connections: int, divisor: int) -> int:
    """Return how many connections to one server a divisor allows.

    Args:
        max_connections: What the server accepts from all entries together.
        divisor: The entry's divisor; ``NO_SHARE`` allows none.
    """
    return 0 if divisor == NO_SHARE else max_connections // divisor


class _Ghost(NamedTuple):
    """The share of an entry that was taken out but may still hold connections."""

    divisor: int | None
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
        self._bounds: dict[str, int | None] = {}
        self._ghosts: list[_Ghost] = []

    def add(self, name: str, divisor: int | None) -> None:
        """Take in an entry.

        Args:
            name: The entry's name.
            divisor: Its bound; None if an earlier leader may have granted it anything.
        """
        self._bounds[name] = divisor

    def remove(self, name: str, held_until: Millis) -> None:
        """Take out an entry whose connections may be open until a point in time."""
        self._ghosts.append(_Ghost(self._bounds.pop(name), held_until))

    def bound(self, name: str) -> int | None:
        """Return the largest share that an entry may use now; None if that is not known."""
        return self._bounds[name]

    def grant(self, name: str, obeyed: int, wanted: bool, now: Millis) -> int:
        """Return the divisor that an entry is to use from now on.

        Args:
            name: The entry's name.
            obeyed: The divisor that it obeys at the time of its renewal.
            wanted: Whether it wants a larger share at all.
            now: The leader's time.
        """
        self._bounds[name] = obeyed
        target = len(self._bounds)
        if obeyed != NO_SHARE and target >= obeyed:
            return target
        if not wanted or not self._has_room(name, target, now):
            return obeyed
        self._bounds[name] = target
        return target

    def _has_room(self, name: str, divisor: int, now: Millis) -> bool:
        if now < self._quiet_until:
            return False
        self._ghosts = [ghost for ghost in self._ghosts if ghost.until > now]
        held = [bound for other, bound in self._bounds.items() if other != name]
        held += [ghost.divisor for ghost in self._ghosts]
        if None in held:
            return False
        return _sum_of_shares([*held, divisor]) <= 1


def _sum_of_shares(divisors: Iterable[int | None]) -> Fraction:
    counts = Counter(divisor for divisor in divisors if divisor)
    return sum((Fraction(count, divisor) for divisor, count in counts.items()), Fraction(0))
