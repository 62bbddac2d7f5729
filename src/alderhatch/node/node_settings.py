"""What a node has to be told at its start."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from ..clock import Millis
from ..core.forwarding.cold_start_limiter import ColdServerLimits
from ..core.forwarding.retry_budget import BudgetLimits
from ..core.policy import Policy
from .tier_messages import Place


class NodePorts(NamedTuple):
    """Where the node listens, on its own address."""

    callers: int
    addresses: int
    """Where callers ask which addresses to use."""
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
    """Hosts of the tier to begin with; they need not be members of the replicated log."""
    data_folder: Path | None
    """None on a host without a disk, which takes no part in the replicated log."""
    first_start: bool
    """Whether the whole tier starts for the first time."""
    tolerated_hosts: int
    """How many hosts with a disk may be lost at once."""
    catch_up: Millis
    """How long a host that is new or back has to catch up before another one may be lost."""
    budget: BudgetLimits
    stop_span: Millis
    """How long the node may take to stop."""
    secret: bytes
    zones: frozenset[str] = frozenset()
    """All availability zones of the tier."""
    cold: ColdServerLimits | None = None
    """What all hosts together may send to a server that is cold; None for no limit."""
    processor: float = 1.0
    """Seconds of processor time that this host gets in a second."""
    policy: Policy = Policy()
    process_started: Millis | None = None
    """When the process began, on the loop's clock; None if they can't be compared."""

    @property
    def place(self) -> Place:
        """Where other hosts of the tier reach this one."""
        return Place(self.name, self.address, self.ports.links)
