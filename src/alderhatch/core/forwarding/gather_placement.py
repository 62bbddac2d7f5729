"""Decides whether a gather runs at the host that received it or at a faster one."""

from __future__ import annotations

from collections.abc import Sequence

from .caller_hosts import HostRecord, is_weak
from .host_demand import MAX_PROCESSING_FRACTION, gather_cost
from .route import Route


def faster_hosts(
    route: Route, own_name: str, own_processor: float, active: Sequence[HostRecord]
) -> list[HostRecord]:
    """Return the hosts to which a host hands a gather over because it would answer too late itself.

    Callers choose a host before anybody knows which route they ask for. While slow hosts are
    active, they serve the routes that give them enough time, and leave the others to fast hosts.

    Args:
        route: The route of the request.
        own_name: The name of the host that received the request.
        own_processor: Its processor time, in seconds per second.
        active: The active hosts.

    Returns:
        Active hosts; empty if the host that received the request runs it.
    """
    is_active = any(host.name == own_name for host in active)
    # Other hosts have time for the requests of one that is not needed for the load.
    allowed_fraction = 1.0 if is_active else MAX_PROCESSING_FRACTION
    if gather_cost(route) <= allowed_fraction * route.target_latency * own_processor:
        return []
    return [host for host in active if is_weak(own_processor, host.processor)]
