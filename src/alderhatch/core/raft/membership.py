"""The members of the replicated log, as voters and learners."""

from __future__ import annotations

from typing import NamedTuple

MAX_VOTERS = 7
"""The maximum number of hosts that the placement plan assigns to control."""

MAX_VOTERS_WHILE_REPLACING = MAX_VOTERS + 1
"""During a replacement, the new host and the host that it replaces may both be voters."""


class Member(NamedTuple):
    """One control host with one member ID.

    A host whose disk was replaced has lost its votes and its entries. Under its old ID it could
    vote twice in one term, and it would count towards majorities without holding the entries that
    they committed. So the ID belongs to the data folder, and a new folder is a new member.
    """

    member_id: str
    """The ID of the data folder, which is never reused."""
    name: str
    """The name of the host in its settings."""
    address: str
    """The IP address on which it accepts links."""
    port: int


class Membership(NamedTuple):
    """The members at one index of the log."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()
    """Members that receive the log but don't count towards majorities."""

    @property
    def voter_ids(self) -> tuple[str, ...]:
        """The member IDs of the voters."""
        return tuple(member.member_id for member in self.voters)

    @property
    def members(self) -> tuple[Member, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def majority(self) -> int:
        """The number of voters that make a quorum."""
        return len(self.voters) // 2 + 1

    def find(self, member_id: str) -> Member | None:
        """Return the member with this ID, or None."""
        return next((peer for peer in self.members if peer.member_id == member_id), None)

    def is_voter(self, member_id: str) -> bool:
        """Return whether the member with this ID is a voter."""
        return any(voter.member_id == member_id for voter in self.voters)

    def with_learner(self, member: Member) -> Membership:
        """Return the membership with an added learner, which replaces any learner of its name.

        A learner that loses its disk returns under a new member ID. If its old ID stayed a learner,
        that ID, which can never reply again, could be taken for the host at the promotion.
        """
        others = (learner for learner in self.learners if learner.name != member.name)
        return self._replace(learners=(*others, member))

    def with_promoted(self, member_id: str) -> Membership:
        """Return the membership with a learner promoted to voter.

        Raises:
            KeyError: If there is no such learner.
        """
        for member in self.learners:
            if member.member_id == member_id:
                return self.without(member_id)._replace(voters=(*self.voters, member))
        raise KeyError(member_id)

    def without(self, member_id: str) -> Membership:
        """Return the membership without the member with this ID."""
        return Membership(
            tuple(voter for voter in self.voters if voter.member_id != member_id),
            tuple(learner for learner in self.learners if learner.member_id != member_id),
        )
