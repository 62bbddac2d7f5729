"""Small schedules of losses, played against the plan for the log's members."""

from __future__ import annotations

from itertools import product
from typing import NamedTuple

from alderhatch.clock import SECOND
from alderhatch.control.member_steps import AddMember, PromoteMember, RemoveMember, ReplaceMember
from alderhatch.core.raft.membership import Member, Membership
from alderhatch.node.tier_messages import DiskRecord, Place
from alderhatch.node.voter_plan import DiskHost, next_step, required_voters

TICK = 100.0
ELECTION = 900.0
"""From the loss of a leader to the next one."""
JOIN = 1000.0
"""From a host's start to its link to the leader."""
DOWN = 1000.0
"""How long a host whose disk is lost is down."""
PAUSED = 3000.0
LINK_SILENT = 1600.0
"""How long the leader goes on counting a host as live that has gone."""
HEARD_WITHIN = 500.0
"""How long it goes on counting a member of the log as heard."""
SHORT = 100.0
"""How long after the last loss counted the next one may come at the earliest."""
CALM = 8 * SECOND
"""What follows the last loss."""
KINDS = ("gone", "wiped", "paused")


class Loss(NamedTuple):
    """One host is lost in one way."""

    kind: str
    host: int
    """Counted among the hosts as they were founded, and then their successors."""
    wait: float
    """From the moment at which the last loss counts no longer."""


class _Host:
    def __init__(self, name, number, started):
        self.name = name
        self.member_id = f"{name}-{number}"
        self.started = started
        self.down_until = None
        """None while it runs."""
        self.seen_at = None
        """When it last ran."""
        self.caught_up_at = None


class VoterSchedule:
    """Plays losses and keeps what the members of the log are.

    Args:
        tolerated: How many hosts may be lost at once.
        patience: After how long a silence a voter counts as lost.
        catch_up: How long a host that is new or back still counts as lost.
        copying: How long a new member needs for the log.
    """

    def __init__(self, tolerated, patience, catch_up, copying):
        self.wanted = required_voters(tolerated)
        self.patience = patience
        self.catch_up = catch_up
        self.copying = copying
        self.now = 0.0
        self.hosts = [_Host(f"h{number}", 0, -60_000.0) for number in range(self.wanted)]
        for host in self.hosts:
            host.caught_up_at = -50_000.0
        self.membership = Membership(tuple(self._member(host) for host in self.hosts))
        self.leader = self.hosts[0]
        self.electing_until = None
        self.heard_at = {}
        self.dead = set()
        """Identities that never answer again."""

    def _member(self, host):
        return Member(host.member_id, host.name, "10.0.0.1", 7380)

    # Losses

    def lose(self, loss):
        """Lose a host; return when it counts as lost no longer, None if there is no such host."""
        if loss.host >= len(self.hosts):
            return None
        host = self.hosts[loss.host]
        if host.down_until is not None:
            return None
        match loss.kind:
            case "gone":
                self.dead.add(host.member_id)
                host.down_until = float("inf")
                self.hosts.append(_Host(f"h{len(self.hosts)}", 0, self.now))
                return self.now + self.catch_up
            case "wiped":
                self.dead.add(host.member_id)
                host.down_until = self.now + DOWN
                host.member_id = f"{host.name}-{self.now}"
                host.seen_at = None
                host.caught_up_at = None
                host.started = host.down_until
                return host.down_until + self.catch_up
            case "paused":
                host.down_until = self.now + PAUSED
                return host.down_until + self.catch_up
        raise ValueError(loss.kind)

    # Time

    def run_until(self, end):
        """Let time pass; return whether a majority of the voters can still answer all the while."""
        while self.now < end:
            if not self.can_recover():
                return False
            self._tick()
            self.now += TICK
        return self.can_recover()

    def can_recover(self):
        """Whether the voters that will ever answer again are a majority."""
        voters = self.membership.voter_ids
        return sum(1 for one in voters if one not in self.dead) >= self.membership.majority

    def _tick(self):
        for host in self.hosts:
            if host.down_until is not None and self.now >= host.down_until:
                host.down_until = None
            if host.down_until is None:
                host.seen_at = self.now
        self._elect()
        if self.leader is None or not self._has_majority(self.membership):
            return
        self._listen()
        self._take_step()

    def _elect(self):
        leads = self.leader is not None and self.leader.down_until is None
        if leads and self.membership.is_voter(self.leader.member_id):
            return
        if self.electing_until is None:
            self.leader = None
            self.electing_until = self.now + ELECTION
            return
        if self.now < self.electing_until or not self._has_majority(self.membership):
            return
        self.electing_until = None
        self.heard_at = {}
        voters = self.membership.voter_ids
        self.leader = next(
            host
            for host in self.hosts
            if host.down_until is None and host.member_id in voters and host.caught_up_at
        )

    def _answering(self):
        return {host.member_id for host in self.hosts if host.down_until is None}

    def _has_majority(self, membership):
        answering = self._answering()
        return sum(1 for one in membership.voter_ids if one in answering) >= membership.majority

    def _seems_up(self, host, silence):
        """Whether the leader takes a host for running that may have gone a moment ago."""
        return host.seen_at is not None and self.now - host.seen_at < silence

    def _listen(self):
        answering = {one.member_id for one in self.hosts if self._seems_up(one, HEARD_WITHIN)}
        for member in self.membership.members:
            if member.member_id in answering or member.name not in self.heard_at:
                self.heard_at[member.name] = self.now
        for host in self.hosts:
            is_member = self.membership.find(host.member_id) is not None
            if is_member and host.caught_up_at is None and host.down_until is None:
                host.caught_up_at = self.now + self.copying

    def _take_step(self):
        up = [
            host
            for host in self.hosts
            if self._seems_up(host, LINK_SILENT) and self.now >= host.started + JOIN
        ]
        disks = {
            host.name: DiskHost(
                Place(host.name, "10.0.0.1", 7380), DiskRecord(host.member_id, "cluster")
            )
            for host in up
        }
        caught_up = frozenset(
            host.name
            for host in up
            if host.caught_up_at is not None and self.now >= host.caught_up_at
        )
        unheard = {name: self.now - at for name, at in self.heard_at.items()}
        step = next_step(self.membership, disks, caught_up, unheard, self.wanted, self.patience)
        # A change of the members is in force once it is in the log, before a majority has it.
        self.membership = self._after(step) or self.membership

    def _after(self, step, membership=None):
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
                return self._after(PromoteMember(successor), self._after(RemoveMember(lost)))
            case RemoveMember(name):
                gone = next(one for one in membership.members if one.name == name)
                return membership.without(gone.member_id)
        return None


def schedules(tolerated, losses):
    """Return all series of so many losses: who, how, and how long after the last one counted."""
    hosts = range(2 * tolerated + 1 + losses - 1)
    waits = (SHORT, 700.0)
    single = [Loss(*one) for one in product(KINDS, hosts, waits)]
    return product(single, repeat=losses)


def successor_schedules(tolerated):
    """Return the series of one loss more than tolerated that end with the first one's successor."""
    successor = 2 * tolerated + 1
    return [
        series
        for series in schedules(tolerated, tolerated + 1)
        if series[0].kind == "gone" and series[0].wait == SHORT and series[-1].host == successor
    ]


def plays_well(series, tolerated, patience, catch_up, copying):
    """Play a series; return whether the log could always elect a leader again.

    No more than the tolerated number of hosts counts as lost at any moment.
    """
    schedule = VoterSchedule(tolerated, patience, catch_up, copying)
    counts_until = []
    for loss in series:
        free_at = sorted(counts_until)[-tolerated] if len(counts_until) >= tolerated else 0.0
        if not schedule.run_until(max(schedule.now, free_at) + loss.wait):
            return False
        lost_until = schedule.lose(loss)
        if lost_until is not None:
            counts_until.append(lost_until)
    return schedule.run_until(schedule.now + CALM)
