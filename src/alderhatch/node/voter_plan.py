"""Which change of the replicated log's members comes next, without an operator."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..clock import Millis
from ..control.member_steps import AddMember, PromoteMember, RemoveMember, ReplaceMember, Step
from ..core.raft.membership import MAX_VOTERS, Membership
from .tier_messages import DiskRecord, Place

LOST_SHARE = 0.4
"""The part of the time that a host has to catch up after which a silent voter is lost; the rest is
for an election, if the lost voter led, and for the steps that give its successor the vote."""


class DiskHost(NamedTuple):
    """A live host with a data folder."""

    place: Place
    disk: DiskRecord


def required_voters(tolerated: int) -> int:
    """Return how many voters survive the loss of so many hosts at once."""
    return min(MAX_VOTERS, max(3, 2 * tolerated + 1))


def voter_loss_timeout(catch_up: Millis) -> Millis:
    """Return how long a voter may be silent before a host that waits takes its vote.

    When a host has gone for good, its successor counts as able to replace it once it had its time
    to catch up, and from then on the next loss may come. A successor that still had no vote then
    would leave a log without a majority for ever: no change would be taken, and none that was
    acknowledged could be read. A vote that moves too early is no loss, as a host that is back
    receives the log again.

    Args:
        catch_up: How long a host that is new or back has to catch up.
    """
    return LOST_SHARE * catch_up


def next_step(
    membership: Membership,
    hosts: Mapping[str, DiskHost],
    caught_up: frozenset[str],
    unheard: Mapping[str, Millis],
    wanted: int,
    patience: Millis,
) -> Step | None:
    """Return the one thing to do next, or None if the members are as they should be.

    Hosts receive the log as learners as soon as they appear, so that a voter can be replaced at
    once. A host whose disk was lost comes back as another member under its old name; its old
    identity, which can never answer again, is removed with the promotion of the new one.

    A lost voter is removed before its successor has the vote. The other way round the successor may
    have gone as well, unnoticed yet: of four voters two are lost then, and nobody can lead again
    although two of the three before are well.

    Args:
        membership: The members.
        hosts: The live hosts with disks, by name.
        caught_up: The names of learners that have nearly all of the log.
        unheard: For how long the leader has not heard a voter, by name.
        wanted: How many voters there should be.
        patience: After how long a silence a member counts as lost.
    """
    for name in sorted(hosts):
        place, disk = hosts[name]
        if membership.find(disk.member_id) is None:
            return AddMember(name, place.address, place.port)
    voters = {member.name: member for member in membership.voters}
    lost = [name for name in voters if unheard.get(name, 0.0) >= patience]
    waiting = [one.name for one in membership.learners if one.name in caught_up]
    for name in sorted(waiting):
        if name not in hosts:
            continue
        if name in voters or len(voters) < wanted:
            return PromoteMember(name)
        if lost and len(voters) == wanted:
            return ReplaceMember(lost[0], name)
    if len(voters) > wanted and lost:
        return RemoveMember(lost[0])
    for member in membership.learners:
        if member.name not in hosts and unheard.get(member.name, 0.0) >= patience:
            return RemoveMember(member.name)
    return None
