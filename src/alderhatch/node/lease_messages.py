"""Messages by which a host gets its lease on the configuration from the leader.

They travel over the link on which a host follows the leader, and only if the configuration declares
organisations and a revocation bound is set.
"""

from __future__ import annotations

from typing import Any, NamedTuple

LEASING_ROLE = "control-leasing"
"""Role in which a host accepts links of hosts that look for the leader, if it answers asks while
it leads. Hosts of earlier builds accept them as ``control``, and close a link over which they
receive an ask."""


class LeaseAsk(NamedTuple):
    """A host's request to confirm that its configuration is the newest one."""

    number: int
    """Counts the asks of the host's process, from 1."""


class LeaseAnswer(NamedTuple):
    """The leader's answer to an ask, given only while it holds the lease of the replicated log."""

    number: int
    """The number of the ask."""
    version: int
    """The newest committed version of the configuration; 0 if there is none."""


LEASE_MESSAGE_TYPES: tuple[type[Any], ...] = (LeaseAsk, LeaseAnswer)
