"""The replicated log with what the control process needs besides proposals and reads."""

from __future__ import annotations

from typing import Protocol

from ..link import Link
from .replicated_log import ReplicatedLog


class ControlLog(ReplicatedLog, Protocol):
    """A replicated log whose leader knows that it leads, and whose members can change."""

    def holds_lease(self) -> bool:
        """Return whether this host certainly is the only leader at this moment."""

    def responsive_members(self) -> frozenset[str]:
        """Return the members that this leader has heard from lately; empty if it is none."""

    def caught_up(self, name: str) -> bool:
        """Return whether this leader's member has nearly all of the log."""

    async def add_learner(self, name: str, address: str, port: int) -> None:
        """Let a new member receive the log without a vote.

        Raises:
            AlderhatchError: If this host does not lead or the change can't be made now.
        """

    async def promote(self, name: str, in_place_of: str = "") -> None:
        """Give a learner its vote; raises as ``add_learner``.

        Args:
            name: The learner.
            in_place_of: A voter that is lost, if the learner replaces one; it is removed first.
        """

    async def remove_member(self, name: str) -> None:
        """Take out a member; raises as ``add_learner``."""

    async def transfer_leadership(self) -> None:
        """Hand the leadership to the voter that is furthest; raises as ``add_learner``."""

    async def serve_peer(self, link: Link) -> None:
        """Exchange the log's messages with another member until the link closes."""
