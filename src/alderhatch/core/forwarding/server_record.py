"""One entry of the server list."""

from __future__ import annotations

from typing import NamedTuple

from ...clock import Millis


class ServerRecord(NamedTuple):
    """One running server of an upstream."""

    server_id: str
    """Identifies this start of the server; a later start at the same address has a different ID."""
    upstream: str
    address: str
    """An IP address."""
    port: int
    zone: str
    slots: int
    """How many requests it runs concurrently."""
    draining: bool
    """Whether it is about to leave and takes no new work."""
    warm_up: Millis = 0.0
    """How much longer it is slow after its start."""
