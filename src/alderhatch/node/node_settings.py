"""The settings that a node is started with."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from ..clock import Millis
from ..core.forwarding.cold_start_limiter import ColdServerLimits
from ..core.forwarding.retry_budget import BudgetLimits
from ..core.policy import Policy
from .tier_messages import Place


class NodePorts(NamedTuple):
    """The ports that the node listens on, at its own address."""

    callers: int
    addresses: int
    """Where callers look up the addresses to use."""
    readiness: int
    operators: int
    links: int
    """Where other hosts of the tier connect."""
    metrics: int


class NodeSettings(NamedTuple):
    """The settings of one node."""

    name: str
    address: str
    """This host's IP address."""
    zone: str
    ports: NodePorts
    seeds: tuple[Place, ...]
    """Hosts that are contacted first; they need not be members of the replicated log."""
    data_folder: Path | None
    """None on a host without a disk, which is no member of the replicated log."""
    first_start: bool
    """Whether the whole tier starts for the first time."""
    tolerated_hosts: int
    """How many hosts with a disk may be lost at once."""
    catch_up: Millis
    """How long a new or returning host has to catch up before another one may be lost."""
    budget: BudgetLimits
    stop_span: Millis
    """Time limit for the node to stop."""
    secret: bytes
    zones: frozenset[str] = frozenset()
    """All availability zones of the tier."""
    cold: ColdServerLimits | None = None
    """Limit of what all hosts together may send to a cold server; None for no limit."""
    processor: float = 1.0
    """Processor time available to this host, in seconds per second."""
    policy: Policy = Policy()
    revocation_bound: Millis | None = None
    """How long after the acknowledgement of a configuration a request may still be sent with a key
    that it took away, and run at a host that is out of touch; None for no bound."""
    process_started: Millis | None = None
    """When the process started, on the loop's clock; None if that is unknown."""

    @property
    def place(self) -> Place:
        """The address that other hosts of the tier use for this one."""
        return Place(self.name, self.address, self.ports.links)
