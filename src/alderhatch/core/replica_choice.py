"""Which replica of a shard is asked."""

from __future__ import annotations

from collections.abc import Container, Sequence
from typing import TYPE_CHECKING

from ..clock import Millis
from .server_view import ServerView

if TYPE_CHECKING:
    from random import Random

NEAR = 0.02
"""Estimates that differ by less than this ratio are equal; chance decides between them."""


def choose_replica(
    replicas: Sequence[ServerView],
    excluded: Container[str],
    zone: str,
    zone_cost: Millis,
    now: Millis,
    rng: Random,
    alone: bool = False,
    near_enough: Millis = 0.0,
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
        near_enough: What a replica in another zone is held to take at least. A near one that is
            quicker than that is chosen however quick the far one is.

    Returns:
        The replica; doubtful ones only if there is no other; None if none can be asked now.
    """
    best: ServerView | None = None
    best_cost = 0.0
    best_doubtful = True
    for server in replicas:
        if server.in_flight >= server.cap or server.server_id in excluded or server.barred(now):
            continue
        if alone and server.suspects:
            continue
        doubtful = server.doubtful(now)
        if doubtful and not best_doubtful:
            continue
        cost = server.estimate(now)
        if server.zone != zone:
            cost = max(cost + zone_cost, near_enough)
        if best is not None and doubtful is best_doubtful:
            if -NEAR * cost <= cost - best_cost <= NEAR * cost:
                if rng.random() < 0.5:
                    continue
            elif cost > best_cost:
                continue
        best = server
        best_cost = cost
        best_doubtful = doubtful
    return best
