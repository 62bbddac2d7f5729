"""Which host asks the servers of a shard, where one host is to do it for all."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from ...clock import Millis
from ..owners import rendezvous
from .caller_hosts import STRONG_SHARE, HostRecord

MIN_PARTS = 40
"""Fewer parts keep one host busy for less time than the way to another host and back costs."""
MIN_SPLIT_HOSTS = 3
"""Two hosts would halve the time of a gather and double the hosts that it can fail with."""


class ShardOwners:
    """Divides the shards among the strong hosts that callers are sent to.

    Every host works out the same from the same hosts and gathers, without a message. No host owns
    more than its even part of a gather: the last host to bring its share makes the answer late.

    Args:
        me: This host's name.
        split_parts: Gathers of so many parts and more are asked for by several hosts; 0 for none.
    """

    def __init__(self, me: str, split_parts: int = MIN_PARTS) -> None:
        self._me = me
        self._split_parts = split_parts
        self._gathers: tuple[tuple[str, ...], ...] = ()
        self._owners: dict[str, str] = {}
        """Worked out so far, by shard."""
        self._owned_from: dict[str, Millis] = {}
        self._taken_at: Millis = 0.0
        self.split_since: Millis | None = None
        """Since when hosts ask for large gathers together; None if they don't."""
        self.hosts: dict[str, HostRecord] = {}
        """The hosts that own shards, by name."""

    def set_hosts(self, hosts: Iterable[HostRecord], now: Millis) -> bool:
        """Take the hosts that callers are sent to; return whether owners may have changed."""
        hosts = list(hosts)
        best = max((host.processor for host in hosts), default=0.0)
        strong = {host.name: host for host in hosts if host.processor >= STRONG_SHARE * best}
        is_same = strong.keys() == self.hosts.keys()
        self.hosts = strong
        if is_same:
            return False
        self._divide(now)
        return True

    def set_gathers(self, gathers: Iterable[tuple[str, ...]], now: Millis) -> bool:
        """Take the shards of each gather; return whether owners may have changed."""
        distinct = tuple(sorted(set(gathers)))
        if distinct == self._gathers:
            return False
        self._gathers = distinct
        self._divide(now)
        return True

    def _divide(self, now: Millis) -> None:
        mine = [shard for shard, owner in self._owners.items() if owner == self._me]
        self._owners = {}
        is_divided = any(self.splits(len(shards)) for shards in self._gathers)
        if not is_divided:
            self.split_since = None
        elif self.split_since is None:
            self.split_since = now
        for shards in self._gathers if self.hosts else ():
            self._divide_gather(shards)
        self._owned_from = {
            shard: self._owned_from.get(shard, now)
            for shard in mine
            if self.owner(shard) == self._me
        }
        self._taken_at = now

    def _divide_gather(self, shards: tuple[str, ...]) -> None:
        names = list(self.hosts)
        even = -(-len(shards) // len(names))
        owned = Counter(self._owners[shard] for shard in shards if shard in self._owners)
        for shard in shards:
            if shard in self._owners:
                continue
            ranked = rendezvous(shard, names)
            owner = next((name for name in ranked if owned[name] < even), ranked[0])
            self._owners[shard] = owner
            owned[owner] += 1

    def owner(self, shard: str) -> str | None:
        """Return the name of the host that owns a shard; None if there is no host."""
        if not self.hosts:
            return None
        known = self._owners.get(shard)
        if known is None:
            known = rendezvous(shard, list(self.hosts))[0]
            self._owners[shard] = known
        return known

    def splits(self, parts: int) -> bool:
        """Return whether a gather of so many parts is asked for by several hosts."""
        return 0 < self._split_parts <= parts and len(self.hosts) >= MIN_SPLIT_HOSTS

    def is_split(self, shard: str) -> bool:
        """Return whether a shard is of a gather that hosts ask for together."""
        return self.split_since is not None and shard in self._owners

    def owned_from(self, shard: str) -> Millis | None:
        """Return since when this host owns a shard; None if another one does."""
        if self.owner(shard) != self._me:
            return None
        return self._owned_from.setdefault(shard, self._taken_at)
