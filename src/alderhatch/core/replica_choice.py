"""Which replica of a shard is asked."""

from __future__ import annotations

from collections.abc import Container, Sequence
from typing import TYPE_CHECKING

from ..clock import Millis
from .server_view import ServerView

if TYPE_CHECKING:
    from random import Random

TIE_TOLERANCE = 0.02
"""Estimates that differ by less than this ratio are equal; chance decides between them."""


def choose_replica(
    replicas: Sequence[ServerView],
    excluded: Container[str],
    zone: str,
    zone_cost: Millis,
    now: Millis,
    rng: Random,
    alone: bool = False,
    other_zone_floor: Millis = 0.0,
) -> ServerView | None:
    """Return the replica that is likely to answer first.

    Args:
        replicas: The servers that hold the shard.
        excluded: Ids of servers that are not to be asked.
        zone: The availability zone that is preferred.
        zone_cost: What any other zone is held to cost more, in milliseconds.
        now: The present time.
        rng: Decides between equals.
        alone: Whether servers that run a suspected body are left out.
        other_zone_floor: The lowest cost of a replica in another zone, in milliseconds. A replica
            in the preferred zone that is faster than this wins over any other zone.

    Returns:
        The replica; doubtful ones only if there is no other; None if none can be asked now.
    """
    best: ServerView | None = None
    best_cost = 0.0
    best_doubtful = True
    for server in replicas:
        if (
            server.in_flight >= server.cap
            or server.server_id in excluded
            or server.is_unavailable(now)
        ):
            continue
        if alone and server.suspect_attempts:
            continue
        is_last_resort = server.is_last_resort(now)
        if is_last_resort and not best_doubtful:
            continue
        cost = server.estimate(now)
        if server.zone != zone:
            cost = max(cost + zone_cost, other_zone_floor)
        if best is not None and is_last_resort is best_doubtful:
            if -TIE_TOLERANCE * cost <= cost - best_cost <= TIE_TOLERANCE * cost:
                if rng.random() < 0.5:
                    continue
            elif cost > best_cost:
                continue
        best = server
        best_cost = cost
        best_doubtful = is_last_resort
    return best
