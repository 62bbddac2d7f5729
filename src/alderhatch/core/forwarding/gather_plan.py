"""Which host asks for which shards of one gather."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from .caller_hosts import HostRecord
from .shard_owners import ShardOwners


class HostShare(NamedTuple):
    """The shards that another host asks for."""

    host: HostRecord
    shards: tuple[str, ...]


class GatherPlan(NamedTuple):
    """How a gather is divided."""

    own: tuple[str, ...]
    """The shards that the host of the caller asks for itself."""
    others: tuple[HostShare, ...]


def plan_gather(
    shards: Sequence[str], owners: ShardOwners, me: str, is_sound: Callable[[str], bool]
) -> GatherPlan | None:
    """Return how a gather over many shards is divided among the hosts that own them.

    One host works through a hundred parts one after the other, and the last one waits for all the
    others while most hosts have nothing to do.

    Args:
        shards: All shards.
        owners: Which host owns which shard.
        me: The host that has the caller's request.
        is_sound: Returns whether a host, by its name, took its share lately.

    Returns:
        The division, or None if the host does better alone.
    """
    if not owners.splits(len(shards)):
        return None
    own: list[str] = []
    others: dict[str, list[str]] = {}
    for shard in shards:
        owner = owners.owner(shard)
        if owner is None or owner == me or not is_sound(owner):
            own.append(shard)
        else:
            others.setdefault(owner, []).append(shard)
    if not others:
        return None
    shares = tuple(HostShare(owners.hosts[name], tuple(them)) for name, them in others.items())
    return GatherPlan(tuple(own), shares)
