"""Chooses the replica that a shard request is sent to."""

from __future__ import annotations

from collections.abc import Container, Sequence
from typing import TYPE_CHECKING

from ..clock import Millis
from .server_view import ServerView

if TYPE_CHECKING:
    from random import Random

TIE_TOLERANCE = 0.02
"""Costs that differ by no more than this fraction are ties, broken at random."""


def choose_replica(
    replicas: Sequence[ServerView],
    excluded: Container[str],
    zone: str,
    zone_cost: Millis,
    now: Millis,
    rng: Random,
    avoid_suspects: bool = False,
    other_zone_floor: Millis = 0.0,
) -> ServerView | None:
    """Return the replica with the lowest expected latency.

    Args:
        replicas: The servers that hold the shard.
        excluded: IDs of servers to skip.
        zone: The preferred availability zone.
        zone_cost: The extra cost of any other zone, in milliseconds.
        now: The present time.
        rng: Breaks ties.
        avoid_suspects: Whether to skip servers with a crash suspect in flight.
        other_zone_floor: The lowest cost of a replica in another zone, in milliseconds. A replica
            in the preferred zone that is faster than this wins over any other zone.

    Returns:
        The replica, or None if none may be used now. A server of last resort is returned only if
        there is no other.
    """
    best: ServerView | None = None
    best_cost = 0.0
    best_is_last_resort = True
    for server in replicas:
        if (
            server.in_flight >= server.cap
            or server.server_id in excluded
            or server.is_unavailable(now)
        ):
            continue
        if avoid_suspects and server.suspect_attempts:
            continue
        is_last_resort = server.is_last_resort(now)
        if is_last_resort and not best_is_last_resort:
            continue
        cost = server.estimate(now)
        if server.zone != zone:
            cost = max(cost + zone_cost, other_zone_floor)
        if best is not None and is_last_resort is best_is_last_resort:
            if -TIE_TOLERANCE * cost <= cost - best_cost <= TIE_TOLERANCE * cost:
                if rng.random() < 0.5:
                    continue
            elif cost > best_cost:
                continue
        best = server
        best_cost = cost
        best_is_last_resort = is_last_resort
    return best
