"""Who belongs to the replicated log, and in which part."""

from __future__ import annotations

from typing import NamedTuple

MAX_VOTERS = 7
"""The plan sets at most this many hosts aside for control."""

MAX_VOTERS_WHILE_REPLACING = MAX_VOTERS + 1
"""A replacement may have its vote already while the host that it replaces still has one."""


class Member(NamedTuple):
    """One control host under one identity.

    A host whose disk was replaced has forgotten its votes and its entries. If it came back under
    its old identity it could vote twice in one term, and a majority that it once belonged to
    would no longer hold what was committed. So the identity belongs to the data folder, and a new
    folder is a new member.
    """

    member_id: str
    """The identity of the data folder, unique for good."""
    name: str
    """The host's name from its settings."""
    address: str
    """The IP address where it accepts links."""
    port: int


class Membership(NamedTuple):
    """The members at one index of the log."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()
    """Members that receive the log but do not count towards any majority."""

    @property
    def voter_ids(self) -> tuple[str, ...]:
        """The identities of the voters."""
        return tuple(member.member_id for member in self.voters)

    @property
    def members(self) -> tuple[Member, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def majority(self) -> int:
        """How many voters make a quorum."""
        return len(self.voters) // 2 + 1

    def find(self, member_id: str) -> Member | None:
        """Return the member with this identity, if there is one."""
        return next((one for one in self.members if one.member_id == member_id), None)

    def is_voter(self, member_id: str) -> bool:
        """Return whether this identity counts towards majorities."""
        return any(one.member_id == member_id for one in self.voters)

    def with_learner(self, member: Member) -> Membership:
        """Return the membership with one learner more, in place of any older one of its name.

        A learner that loses its disk comes back as another member. Kept beside it, the identity
        that can never answer again would be taken for the host when the learner gets its vote.
        """
        others = (one for one in self.learners if one.name != member.name)
        return self._replace(learners=(*others, member))

    def with_promoted(self, member_id: str) -> Membership:
        """Return the membership with one learner turned into a voter.

        Raises:
            KeyError: If there is no such learner.
        """
        for member in self.learners:
            if member.member_id == member_id:
                return self.without(member_id)._replace(voters=(*self.voters, member))
        raise KeyError(member_id)

    def without(self, member_id: str) -> Membership:
        """Return the membership without this identity."""
        return Membership(
            tuple(one for one in self.voters if one.member_id != member_id),
            tuple(one for one in self.learners if one.member_id != member_id),
        )
