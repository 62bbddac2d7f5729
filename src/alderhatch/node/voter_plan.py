"""Decides the next membership change of the replicated log without an operator."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..clock import Millis
from ..control.member_steps import (
    AddMember,
    MembershipStep,
    PromoteMember,
    RemoveMember,
    ReplaceMember,
)
from ..core.raft.membership import MAX_VOTERS, Membership
from .tier_messages import DiskRecord, Place

LOSS_TIMEOUT_FRACTION = 0.4
"""The fraction of the catch-up time after which a silent voter counts as lost. The rest is left for
an election, if the lost voter led, and for the steps that give its successor the vote."""


class DiskHost(NamedTuple):
    """A live host with a data folder."""

    place: Place
    disk: DiskRecord


def required_voters(tolerated: int) -> int:
    """Return how many voters are required to tolerate the loss of so many hosts at once."""
    return min(MAX_VOTERS, max(3, 2 * tolerated + 1))


def voter_loss_timeout(catch_up: Millis) -> Millis:
    """Return how long a voter may be silent before a spare host replaces it.

    After a host is lost permanently, its successor has the catch-up time to replace it. From then
    on the next host may be lost. If the successor still had no vote at that point, the log would
    lose its majority permanently: no change could be accepted, and acknowledged changes could not
    be read.
    Replacing a voter too early does no harm, as a returning host receives the log again.

    Args:
        catch_up: How long a new or returning host has to catch up.
    """
    return LOSS_TIMEOUT_FRACTION * catch_up


def next_step(
    membership: Membership,
    hosts: Mapping[str, DiskHost],
    caught_up: frozenset[str],
    silence: Mapping[str, Millis],
    required: int,
    loss_timeout: Millis,
) -> MembershipStep | None:
    """Return the next membership change, or None if none is needed.

    Hosts become learners as soon as they appear, so that a voter can be replaced at once. A host
    whose disk was lost returns as a new member under its old name. Its old member ID, which can
    never answer again, is removed when the new member is promoted.

    A lost voter is removed before its successor gets the vote. In the other order the successor may
    also be lost without the leader noticing yet. Two of four voters would then be lost, and no
    leader could be elected, although two of the original three voters still run.

    Args:
        membership: The members.
        hosts: The live hosts with disks, by name.
        caught_up: The names of learners that have nearly all of the log.
        silence: How long ago the leader last heard from each member, by name.
        required: The required number of voters.
        loss_timeout: How long a member has to be silent to count as lost.
    """
    for name in sorted(hosts):
        place, disk = hosts[name]
        if membership.find(disk.member_id) is None:
            return AddMember(name, place.address, place.port)
    voters = {member.name: member for member in membership.voters}
    lost = [name for name in voters if silence.get(name, 0.0) >= loss_timeout]
    ready_learners = [learner.name for learner in membership.learners if learner.name in caught_up]
    for name in sorted(ready_learners):
        if name not in hosts:
            continue
        if name in voters or len(voters) < required:
            return PromoteMember(name)
        if lost and len(voters) == required:
            return ReplaceMember(lost[0], name)
    if len(voters) > required and lost:
        return RemoveMember(lost[0])
    for member in membership.learners:
        if member.name not in hosts and silence.get(member.name, 0.0) >= loss_timeout:
            return RemoveMember(member.name)
    return None
