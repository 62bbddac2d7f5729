"""Divides the shards of one gather among hosts."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from .caller_hosts import HostRecord
from .shard_owners import ShardOwners


class HostShare(NamedTuple):
    """The shards that another host queries."""

    host: HostRecord
    shards: tuple[str, ...]


class GatherPlan(NamedTuple):
    """The division of a gather among hosts."""

    own: tuple[str, ...]
    """The shards that the host which received the caller's request queries itself."""
    others: tuple[HostShare, ...]


def plan_gather(
    shards: Sequence[str], owners: ShardOwners, own_name: str, is_healthy: Callable[[str], bool]
) -> GatherPlan | None:
    """Return how a gather over many shards is divided among the hosts that own them.

    A single host processes a hundred parts one after the other, so the last one waits for all the
    others while most hosts are idle.

    Args:
        shards: All shards.
        owners: Which host owns which shard.
        own_name: The host that received the caller's request.
        is_healthy: Returns whether the host of a given name has served its shares lately.

    Returns:
        The division, or None if the host is better off querying all shards itself.
    """
    if not owners.should_split(len(shards)):
        return None
    own: list[str] = []
    others: dict[str, list[str]] = {}
    for shard in shards:
        owner = owners.owner(shard)
        if owner is None or owner == own_name or not is_healthy(owner):
            own.append(shard)
        else:
            others.setdefault(owner, []).append(shard)
    if not others:
        return None
    shares = tuple(HostShare(owners.hosts[name], tuple(owned)) for name, owned in others.items())
    return GatherPlan(tuple(own), shares)
