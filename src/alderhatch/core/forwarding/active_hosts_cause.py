"""Why the set of active hosts changed."""

from __future__ import annotations

from enum import StrEnum


class ActiveHostsCause(StrEnum):
    """What a host learned last when its set of active hosts changed."""

    LEADER = "leader"
    """The leader's view, or its load, names other hosts."""
    CONFIGURATION = "configuration"
    """The configuration has other gathers or other limits of connections."""
    PROBES = "probes"
    """The leader is silent, and this host's probes reached other hosts than before."""
