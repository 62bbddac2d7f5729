"""The interface of the replicated log for the control process: leases and membership."""

from __future__ import annotations

from typing import Protocol

from ..link import Link
from .replicated_log import ReplicatedLog


class ControlLog(ReplicatedLog, Protocol):
    """A replicated log with leader leases and membership changes."""

    def holds_lease(self) -> bool:
        """Return whether this host holds the leader lease, so that no other host can be leader."""

    def responsive_members(self) -> frozenset[str]:
        """Return the members that replied to this leader lately; empty if it is not the leader."""

    def caught_up(self, name: str) -> bool:
        """Return whether a member responds and has nearly all of the log; False on a follower."""

    async def add_learner(self, name: str, address: str, port: int) -> None:
        """Add a member that receives the log but has no vote.

        Raises:
            AlderhatchError: If this host is not the leader or the change can't be made now.
        """

    async def promote(self, name: str, in_place_of: str = "") -> None:
        """Make a learner a voter; raises as ``add_learner``.

        Args:
            name: The learner.
            in_place_of: The lost voter that the learner replaces, if any; it is removed first.
        """

    async def remove_member(self, name: str) -> None:
        """Remove a member; raises as ``add_learner``."""

    async def transfer_leadership(self) -> None:
        """Transfer leadership to the most up-to-date voter; raises as ``add_learner``."""

    async def serve_peer(self, link: Link) -> None:
        """Serve a link that another control host has opened, until it closes."""
