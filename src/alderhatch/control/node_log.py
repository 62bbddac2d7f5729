"""The replicated log as the rest of the control process uses it, over a ``LogNode``."""

from __future__ import annotations

from ..clock import LoopClock
from ..link import Link
from .log_node import LogNode
from .replicated_log import LogStatus


class NodeLog:
    """Gives a ``LogNode`` the shape of ``ControlLog``."""

    def __init__(self, node: LogNode) -> None:
        self._node = node
        self._clock = LoopClock()

    async def propose(self, command: bytes) -> object:
        """See ``LogNode.propose``."""
        return await self._node.propose(command)

    async def read_barrier(self) -> int:
        """See ``LogNode.read_barrier``."""
        return await self._node.read_barrier()

    def status(self) -> LogStatus:
        """See ``LogNode.status``."""
        return self._node.status()

    def holds_lease(self) -> bool:
        """Return whether this host certainly is the only leader at this moment."""
        now = self._clock.now()
        return self._node.is_leader and now < self._node.leader_lease_until(now)

    def heard_from(self) -> frozenset[str]:
        """Return the hosts that this leader has heard from lately."""
        return self._node.heard_hosts()

    def caught_up(self, name: str) -> bool:
        """Return true: ``LogNode.promote`` itself waits until a learner has caught up."""
        return True

    async def add_learner(self, name: str, address: str, port: int) -> None:
        """See ``LogNode.add_learner``."""
        await self._node.add_learner(name, address, port)

    async def promote(self, name: str) -> None:
        """See ``LogNode.promote``."""
        await self._node.promote(name)

    async def remove_member(self, name: str) -> None:
        """See ``LogNode.remove``."""
        await self._node.remove(name)

    async def transfer_leadership(self) -> None:
        """See ``LogNode.transfer_leadership``."""
        await self._node.transfer_leadership()

    async def serve_peer(self, link: Link) -> None:
        """See ``LogNode.serve_peer``."""
        await self._node.serve_peer(link)
