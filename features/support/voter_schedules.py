"""Schedules of host losses, simulated against the membership plan of the log."""

from __future__ import annotations

from itertools import product
from typing import NamedTuple

from alderhatch.clock import SECOND
from alderhatch.control.member_steps import AddMember, PromoteMember, RemoveMember, ReplaceMember
from alderhatch.core.raft.membership import Member, Membership
from alderhatch.node.tier_messages import DiskRecord, Place
from alderhatch.node.voter_plan import DiskHost, next_step, required_voters

TICK_MS = 100.0
ELECTION_MS = 900.0
"""From the loss of a leader until the next one is elected."""
JOIN_MS = 1000.0
"""From a host's start until its link to the leader is open."""
WIPE_DOWNTIME_MS = 1000.0
"""How long a host is down that loses its disk."""
PAUSE_MS = 3000.0
SESSION_TIMEOUT_MS = 1600.0
"""How long the leader still counts a lost host as live."""
RESPONSE_TIMEOUT_MS = 500.0
"""How long the leader still counts a lost member of the log as responsive."""
MIN_WAIT_MS = 100.0
"""Least time between the end of one loss and the next loss."""
SETTLE_TIME_MS = 8 * SECOND
"""Simulated time after the last loss."""
LOSS_KINDS = ("gone", "wiped", "paused")


class Loss(NamedTuple):
    """The loss of one host."""

    kind: str
    host: int
    """Index of the host: first the initial hosts, then their successors."""
    wait: float
    """Time from the moment at which the previous loss no longer counts."""


class _Host:
    def __init__(self, name, number, started):
        self.name = name
        self.member_id = f"{name}-{number}"
        self.started = started
        self.down_until = None
        """When the host starts again; None while it runs."""
        self.last_live_at = None
        """When the host last ran."""
        self.caught_up_at = None


class VoterSimulation:
    """Simulates losses and the membership of the log.

    Args:
        tolerated: How many hosts may be lost at once.
        loss_timeout: How long a voter has to be silent to count as lost.
        catch_up: How long a new or returning host still counts as lost.
        copy_time: How long a new member takes to copy the log.
    """

    def __init__(self, tolerated, loss_timeout, catch_up, copy_time):
        self.required = required_voters(tolerated)
        self.loss_timeout = loss_timeout
        self.catch_up = catch_up
        self.copy_time = copy_time
        self.now = 0.0
        self.hosts = [_Host(f"h{number}", 0, -60_000.0) for number in range(self.required)]
        for host in self.hosts:
            host.caught_up_at = -50_000.0
        self.membership = Membership(tuple(self._member(host) for host in self.hosts))
        self.leader = self.hosts[0]
        self.electing_until = None
        self.last_heard_at = {}
        self.lost_member_ids = set()
        """Member IDs that never answer again."""

    def _member(self, host):
        return Member(host.member_id, host.name, "10.0.0.1", 7380)

    # Losses

    def lose(self, loss):
        """Lose a host; return when the loss no longer counts, or None if no such host runs."""
        if loss.host >= len(self.hosts):
            return None
        host = self.hosts[loss.host]
        if host.down_until is not None:
            return None
        match loss.kind:
            case "gone":
                self.lost_member_ids.add(host.member_id)
                host.down_until = float("inf")
                self.hosts.append(_Host(f"h{len(self.hosts)}", 0, self.now))
                return self.now + self.catch_up
            case "wiped":
                self.lost_member_ids.add(host.member_id)
                host.down_until = self.now + WIPE_DOWNTIME_MS
                host.member_id = f"{host.name}-{self.now}"
                host.last_live_at = None
                host.caught_up_at = None
                host.started = host.down_until
                return host.down_until + self.catch_up
            case "paused":
                host.down_until = self.now + PAUSE_MS
                return host.down_until + self.catch_up
        raise ValueError(loss.kind)

    # Time

    def run_until(self, end):
        """Advance the time; return whether a majority of voters remained able to answer."""
        while self.now < end:
            if not self.can_recover():
                return False
            self._tick()
            self.now += TICK_MS
        return self.can_recover()

    def can_recover(self):
        """Return whether the voters that can ever answer again are a majority."""
        voters = self.membership.voter_ids
        return (
            sum(1 for one in voters if one not in self.lost_member_ids) >= self.membership.majority
        )

    def _tick(self):
        for host in self.hosts:
            if host.down_until is not None and self.now >= host.down_until:
                host.down_until = None
            if host.down_until is None:
                host.last_live_at = self.now
        self._run_election()
        if self.leader is None or not self._has_live_majority(self.membership):
            return
        self._update_responses()
        self._apply_next_step()

    def _run_election(self):
        is_leader_live = self.leader is not None and self.leader.down_until is None
        if is_leader_live and self.membership.is_voter(self.leader.member_id):
            return
        if self.electing_until is None:
            self.leader = None
            self.electing_until = self.now + ELECTION_MS
            return
        if self.now < self.electing_until or not self._has_live_majority(self.membership):
            return
        self.electing_until = None
        self.last_heard_at = {}
        voters = self.membership.voter_ids
        self.leader = next(
            host
            for host in self.hosts
            if host.down_until is None and host.member_id in voters and host.caught_up_at
        )

    def _live_member_ids(self):
        return {host.member_id for host in self.hosts if host.down_until is None}

    def _has_live_majority(self, membership):
        responsive_ids = self._live_member_ids()
        return (
            sum(1 for one in membership.voter_ids if one in responsive_ids) >= membership.majority
        )

    def _counts_as_live(self, host, timeout):
        """Return whether the leader counts a host as live, even if it was lost just now."""
        return host.last_live_at is not None and self.now - host.last_live_at < timeout

    def _update_responses(self):
        responsive_ids = {
            one.member_id for one in self.hosts if self._counts_as_live(one, RESPONSE_TIMEOUT_MS)
        }
        for member in self.membership.members:
            if member.member_id in responsive_ids or member.name not in self.last_heard_at:
                self.last_heard_at[member.name] = self.now
        for host in self.hosts:
            is_member = self.membership.find(host.member_id) is not None
            if is_member and host.caught_up_at is None and host.down_until is None:
                host.caught_up_at = self.now + self.copy_time

    def _apply_next_step(self):
        live_hosts = [
            host
            for host in self.hosts
            if self._counts_as_live(host, SESSION_TIMEOUT_MS) and self.now >= host.started + JOIN_MS
        ]
        disk_hosts = {
            host.name: DiskHost(
                Place(host.name, "10.0.0.1", 7380), DiskRecord(host.member_id, "cluster")
            )
            for host in live_hosts
        }
        caught_up = frozenset(
            host.name
            for host in live_hosts
            if host.caught_up_at is not None and self.now >= host.caught_up_at
        )
        silence_times = {name: self.now - at for name, at in self.last_heard_at.items()}
        step = next_step(
            self.membership, disk_hosts, caught_up, silence_times, self.required, self.loss_timeout
        )
        # A membership change is in force once it is in the leader's log, before a majority has it.
        self.membership = self._membership_after(step) or self.membership

    def _membership_after(self, step, membership=None):
        membership = membership or self.membership
        by_name = {host.name: host for host in self.hosts}
        match step:
            case AddMember(name):
                return membership.with_learner(self._member(by_name[name]))
            case PromoteMember(name):
                for old in membership.voters:
                    if old.name == name:
                        membership = membership.without(old.member_id)
                return membership.with_promoted(by_name[name].member_id)
            case ReplaceMember(lost, successor):
                return self._membership_after(
                    PromoteMember(successor), self._membership_after(RemoveMember(lost))
                )
            case RemoveMember(name):
                gone = next(one for one in membership.members if one.name == name)
                return membership.without(gone.member_id)
        return None


def schedules(tolerated, losses):
    """Return all schedules of so many losses, each with its kind, host and wait."""
    hosts = range(2 * tolerated + 1 + losses - 1)
    waits = (MIN_WAIT_MS, 700.0)
    single_losses = [Loss(*one) for one in product(LOSS_KINDS, hosts, waits)]
    return product(single_losses, repeat=losses)


def successor_schedules(tolerated):
    """Return the schedules with one loss more than tolerated that lose the successor last."""
    successor = 2 * tolerated + 1
    return [
        loss_sequence
        for loss_sequence in schedules(tolerated, tolerated + 1)
        if loss_sequence[0].kind == "gone"
        and loss_sequence[0].wait == MIN_WAIT_MS
        and loss_sequence[-1].host == successor
    ]


def keeps_majority(loss_sequence, tolerated, loss_timeout, catch_up, copy_time):
    """Run a schedule; return whether a leader could be elected at all times.

    At most the tolerated number of hosts counts as lost at any moment.
    """
    simulation = VoterSimulation(tolerated, loss_timeout, catch_up, copy_time)
    lost_until_times = []
    for loss in loss_sequence:
        next_loss_at = (
            sorted(lost_until_times)[-tolerated] if len(lost_until_times) >= tolerated else 0.0
        )
        if not simulation.run_until(max(simulation.now, next_loss_at) + loss.wait):
            return False
        lost_until = simulation.lose(loss)
        if lost_until is not None:
            lost_until_times.append(lost_until)
    return simulation.run_until(simulation.now + SETTLE_TIME_MS)
