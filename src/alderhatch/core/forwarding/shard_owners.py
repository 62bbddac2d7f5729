"""Which host asks the servers of a shard, where one host is to do it for all."""

from __future__ import annotations

from collections.abc import Iterable

from ...clock import Millis
from ..owners import rendezvous
from .caller_hosts import STRONG_SHARE, HostRecord


class ShardOwners:
    """Divides the shards among the strong hosts that callers are sent to.

    Every host works out the same from the same hosts, without a message. A host that comes or goes
    moves only its own shards.

    Args:
        me: This host's name.
    """

    def __init__(self, me: str) -> None:
        self._me = me
        self._owners: dict[str, str] = {}
        """Worked out so far, by shard."""
        self._owned_from: dict[str, Millis] = {}
        self._taken_at: Millis = 0.0
        self.hosts: dict[str, HostRecord] = {}
        """The hosts that own shards, by name."""

    def take_hosts(self, hosts: Iterable[HostRecord], now: Millis) -> bool:
        """Take the hosts that callers are sent to; return whether owners may have changed."""
        hosts = list(hosts)
        best = max((host.processor for host in hosts), default=0.0)
        strong = {host.name: host for host in hosts if host.processor >= STRONG_SHARE * best}
        is_same = strong.keys() == self.hosts.keys()
        self.hosts = strong
        if is_same:
            return False
        mine = [shard for shard, owner in self._owners.items() if owner == self._me]
        self._owners = {}
        self._owned_from = {
            shard: self._owned_from.get(shard, now)
            for shard in mine
            if self.owner(shard) == self._me
        }
        self._taken_at = now
        return True

    def owner(self, shard: str) -> str | None:
        """Return the name of the host that owns a shard; None if there is no host."""
        if not self.hosts:
            return None
        known = self._owners.get(shard)
        if known is None:
            known = rendezvous(shard, list(self.hosts))[0]
            self._owners[shard] = known
        return known

    def owned_from(self, shard: str) -> Millis | None:
        """Return since when this host owns a shard; None if another one does."""
        if self.owner(shard) != self._me:
            return None
        return self._owned_from.setdefault(shard, self._taken_at)
