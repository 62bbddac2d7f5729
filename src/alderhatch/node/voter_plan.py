"""Which change of the replicated log's members comes next, without an operator."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..clock import SECOND, Millis
from ..control.member_steps import AddMember, PromoteMember, RemoveMember, Step
from ..core.raft.membership import MAX_VOTERS, Membership
from .tier_messages import DiskRecord, Place

LOST_AFTER: Millis = 8 * SECOND
"""A voter that the leader has not heard for so long may be replaced by a host that waits.

Twice the time that a host has to catch up after its return, so that an ordinary restart or a short
cut moves no votes."""


class DiskHost(NamedTuple):
    """A live host with a data folder."""

    place: Place
    disk: DiskRecord


def wanted_voters(tolerated: int) -> int:
    """Return how many voters survive the loss of so many hosts at once."""
    return min(MAX_VOTERS, max(3, 2 * tolerated + 1))


def next_step(
    membership: Membership,
    hosts: Mapping[str, DiskHost],
    caught_up: frozenset[str],
    unheard: Mapping[str, Millis],
    wanted: int,
) -> Step | None:
    """Return the one thing to do next, or None if the members are as they should be.

    Hosts receive the log as learners as soon as they appear, so that a voter can be replaced at
    once. A host whose disk was lost comes back as another member under its old name; its old
    identity, which can never answer again, is removed with the promotion of the new one.

    Args:
        membership: The members.
        hosts: The live hosts with disks, by name.
        caught_up: The names of learners that have nearly all of the log.
        unheard: For how long the leader has not heard a voter, by name.
        wanted: How many voters there should be.
    """
    for name in sorted(hosts):
        place, disk = hosts[name]
        if membership.find(disk.member_id) is None:
            return AddMember(name, place.address, place.port)
    voters = {member.name: member for member in membership.voters}
    lost = [name for name in voters if unheard.get(name, 0.0) >= LOST_AFTER]
    waiting = [one.name for one in membership.learners if one.name in caught_up]
    for name in sorted(waiting):
        if name not in hosts:
            continue
        if name in voters or len(voters) < wanted or (lost and len(voters) <= wanted):
            return PromoteMember(name)
    if len(voters) > wanted and lost:
        return RemoveMember(lost[0])
    for member in membership.learners:
        if member.name not in hosts and unheard.get(member.name, 0.0) >= LOST_AFTER:
            return RemoveMember(member.name)
    return None
