"""Assigns each shard to one host, its owner, which queries its servers on behalf of all hosts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from ...clock import Millis
from ..owners import rendezvous
from .caller_hosts import HostRecord, is_weak

MIN_SPLIT_PARTS = 40
"""Fewer parts keep one host busy for less time than a round trip to another host takes."""
MIN_SPLIT_HOSTS = 3
"""Two hosts would halve the time of a gather, but double the number of hosts whose failure affects
it."""


class ShardOwners:
    """Divides the shards among the active hosts whose processors are strong enough.

    Every host computes the same assignment from the same hosts and gathers, without a message. No
    host owns more than an equal share of a gather's shards, rounded up, because the slowest share
    determines when the answer is complete. Each upstream is one shard, identified by its name.

    Args:
        own_name: This host's name.
        split_parts: Gathers of this many parts and more are split among hosts; 0 for none.
    """

    def __init__(self, own_name: str, split_parts: int = MIN_SPLIT_PARTS) -> None:
        self._own_name = own_name
        self._split_parts = split_parts
        self._gathers: tuple[tuple[str, ...], ...] = ()
        self._owners: dict[str, str] = {}
        """The assignment so far, by shard."""
        self._owned_since: dict[str, Millis] = {}
        """Since when this host owns a shard, by shard; those of other hosts are missing."""
        self._assigned_at: Millis = 0.0
        """When the shards were last assigned."""
        self.split_since: Millis | None = None
        """Since when hosts split large gathers; None if they don't."""
        self.hosts: dict[str, HostRecord] = {}
        """The hosts that own shards, by name."""

    def set_hosts(self, hosts: Iterable[HostRecord], now: Millis) -> bool:
        """Set the active hosts; return whether owners may have changed."""
        hosts = list(hosts)
        best = max((host.processor for host in hosts), default=0.0)
        strong = {host.name: host for host in hosts if not is_weak(host.processor, best)}
        has_same_names = strong.keys() == self.hosts.keys()
        self.hosts = strong
        if has_same_names:
            return False
        self._assign_owners(now)
        return True

    def set_gathers(self, gathers: Iterable[tuple[str, ...]], now: Millis) -> bool:
        """Set the names of each gather's shards; return whether owners may have changed."""
        distinct = tuple(sorted(set(gathers)))
        if distinct == self._gathers:
            return False
        self._gathers = distinct
        self._assign_owners(now)
        return True

    def _assign_owners(self, now: Millis) -> None:
        owned_here = [shard for shard, owner in self._owners.items() if owner == self._own_name]
        self._owners = {}
        has_split_gather = any(self.should_split(len(shards)) for shards in self._gathers)
        if not has_split_gather:
            self.split_since = None
        elif self.split_since is None:
            self.split_since = now
        for shards in self._gathers if self.hosts else ():
            self._assign_gather(shards)
        self._owned_since = {
            shard: self._owned_since.get(shard, now)
            for shard in owned_here
            if self.owner(shard) == self._own_name
        }
        self._assigned_at = now

    def _assign_gather(self, shards: tuple[str, ...]) -> None:
        names = list(self.hosts)
        max_owned = -(-len(shards) // len(names))
        owned = Counter(self._owners[shard] for shard in shards if shard in self._owners)
        for shard in shards:
            if shard in self._owners:
                continue
            ranked = rendezvous(shard, names)
            owner = next((name for name in ranked if owned[name] < max_owned), ranked[0])
            self._owners[shard] = owner
            owned[owner] += 1

    def owner(self, shard: str) -> str | None:
        """Return the name of the host that owns a shard; None if no active host is known."""
        if not self.hosts:
            return None
        known = self._owners.get(shard)
        if known is None:
            known = rendezvous(shard, list(self.hosts))[0]
            self._owners[shard] = known
        return known

    def should_split(self, parts: int) -> bool:
        """Return whether a gather of so many parts is split among hosts."""
        return 0 < self._split_parts <= parts and len(self.hosts) >= MIN_SPLIT_HOSTS

    def is_split(self, shard: str) -> bool:
        """Return whether a shard belongs to a gather that is split among hosts."""
        return self.split_since is not None and shard in self._owners

    def owned_since(self, shard: str) -> Millis | None:
        """Return since when this host owns a shard; None if another host does."""
        if self.owner(shard) != self._own_name:
            return None
        return self._owned_since.setdefault(shard, self._assigned_at)
