"""The two example deployments, described for the stand-in upstreams."""

from __future__ import annotations

from typing import NamedTuple

from .standin_server import UpstreamShape


class Deployment(NamedTuple):
    """Zones, upstreams and kinds of request of one organisation."""

    name: str
    zones: tuple[str, ...]
    upstreams: tuple[UpstreamShape, ...]
    kinds: dict[str, str]
    """Kind of request that the demo sends to each upstream."""
    booked: str
    """Upstream that the demo sends bookings to."""


BRAZOS = Deployment(
    "Brazos Courier Robotics",
    ("austin-hall", "waco-hall", "temple-hall"),
    (
        UpstreamShape("navigator", 20, 2, 2, 30, 6.0),
        UpstreamShape("deskline", 30, 2, 2, 30, 6.0),
        UpstreamShape("kitchenpass", 1, 4, 3, 130, 1.0),
        UpstreamShape("linenlog", 1, 3, 3, 130, 1.0),
    ),
    {
        "navigator": "route",
        "deskline": "route",
        "kitchenpass": "order-status",
        "linenlog": "log-lookup",
    },
    "kitchenpass",
)

TRAFIKKFORBUND = Deployment(
    "Norsk Radioreklame Trafikkforbund",
    ("nydalen", "ulven", "skoyen", "grorud"),
    (
        UpstreamShape("clashwatch", 20, 2, 2, 30, 6.0),
        UpstreamShape("spotbook", 30, 2, 2, 30, 6.0),
        UpstreamShape("sendelogg", 1, 4, 4, 50, 1.0),
        UpstreamShape("rotasjon", 1, 4, 4, 50, 1.0),
    ),
    {
        "clashwatch": "conflict-check",
        "spotbook": "conflict-check",
        "sendelogg": "log-lookup",
        "rotasjon": "rotation",
    },
    "spotbook",
)
