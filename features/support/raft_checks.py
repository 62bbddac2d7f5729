"""Safety invariants of the replicated log, checked on the members and disks of a test cluster.

A violated invariant seldom has a visible effect at once: that takes another crash or election at
the right time, which random schedules rarely contain. So each invariant is checked where it can be
violated, and not only by its consequences.
"""

from __future__ import annotations

from typing import Any

from alderhatch.core.raft.effects import Role
from alderhatch.core.raft.log_entry import EntryKind, LogEntry, SnapshotMeta
from alderhatch.core.raft.membership import Membership
from alderhatch.core.raft.messages import AppendReply, SnapshotReply, Vote, VoteReply

MAX_CHECKED_ENTRIES = 40
"""The number of last committed entries that are checked on the disks."""


class InvariantViolation(AssertionError):
    """An invariant of the replicated log was violated."""


class InvariantChecker:
    """Checks the hosts of a cluster, their disks and the committed entries."""

    def __init__(self, hosts: dict[str, Any], committed: dict[int, LogEntry]) -> None:
        self._hosts = hosts
        self._committed = committed
        self._votes: dict[tuple[str, int], str] = {}

    def on_send(self, sender: Any, to: str, message: Any, leaders: dict[int, str]) -> None:
        """Check that votes and acknowledgements are on the sender's disk when they are sent."""
        member_id, disk = sender.member.member_id, sender.disk
        match message:
            case VoteReply(term, True):
                self._check_vote(sender, to, term)
            case Vote(term):
                self._check_vote(sender, member_id, term)
            case AppendReply(term, True, _, index) if sender.node.term == term:
                # A reply of an older term was deferred until its write completed, and counts as
                # delayed in the network; the current log of the member says nothing about it.
                log = sender.node.log
                if disk.hard_state.term < term:
                    raise InvariantViolation(
                        f"{member_id} acknowledges in term {term}, which is not on its disk"
                    )
                if index and not is_on_disk(disk, index, log.term_at(index)):
                    raise InvariantViolation(
                        f"{member_id} acknowledges entry {index}, which is not on its disk"
                    )
                self._check_matches_leader(sender, to, term, index, leaders)
            case SnapshotReply(index=index, installed=True):
                if not is_on_disk(disk, index, sender.node.log.term_at(index)):
                    raise InvariantViolation(
                        f"{member_id} confirms a snapshot at {index}, which is not on its disk"
                    )

    def _check_vote(self, sender: Any, candidate: str, term: int) -> None:
        member_id = sender.member.member_id
        if tuple(sender.disk.hard_state) != (term, candidate):
            raise InvariantViolation(
                f"vote of {member_id} for {candidate} in term {term} is not on its disk"
            )
        if self._votes.setdefault((member_id, term), candidate) != candidate:
            raise InvariantViolation(f"{member_id} votes twice in term {term}")

    def _check_matches_leader(
        self, sender: Any, to: str, term: int, index: int, leaders: dict[int, str]
    ) -> None:
        leader = self._hosts[to].node
        if leaders.get(term) != to or leader is None or leader.term != term:
            return
        bases = (leader.log.base_index, sender.node.log.base_index)
        if leader.role is not Role.LEADER or index <= max(bases):
            return
        if leader.log.term_at(index) != sender.node.log.term_at(index):
            raise InvariantViolation(
                f"{sender.member.member_id} acknowledges an entry {index} unlike the leader's"
            )

    def on_commit(self, host: Any, entries: tuple[LogEntry, ...]) -> None:
        """Check that a leader commits an entry of its own term that is on a majority of disks."""
        node = host.node
        if node is None or node.role is not Role.LEADER or entries[-1].index not in self._committed:
            return
        last = entries[-1]
        if last.term != node.term:
            raise InvariantViolation(
                f"entry {last.index} of term {last.term} committed in term {node.term}"
            )
        if not self._is_on_majority(last, node.membership):
            raise InvariantViolation(
                f"entry {last.index} was committed without being on a majority of disks"
            )

    def on_install(self, host: Any, snapshot: SnapshotMeta) -> None:
        """Check that a snapshot does not replace a log that already has its last entry."""
        entry = host.disk.entries.get(snapshot.index)
        if entry is not None and entry.term == snapshot.term:
            raise InvariantViolation(
                f"{host.member.member_id} drops its log for a snapshot that its log covers"
            )

    def on_elected(self, host: Any, lease_holders: list[Any]) -> None:
        """Check that no leader is elected while a leader of an older term holds a lease.

        Delayed votes can still elect a leader of an older term, which can commit nothing.
        """
        for other in lease_holders:
            if other.node.term < host.node.term:
                names = f"{host.member.member_id} was elected while {other.member.member_id}"
                raise InvariantViolation(f"{names} holds a lease")

    def check_membership_changes(self) -> None:
        """Check that no leader has two uncommitted membership changes."""
        for host in self._hosts.values():
            node = host.node
            if node is None or node.role is not Role.LEADER:
                continue
            entries = node.log.entries_between(node.commit_index + 1, node.log.last_index)
            kinds = [pending.kind for pending in entries if pending.index not in self._committed]
            if kinds.count(EntryKind.MEMBERSHIP) > 1:
                raise InvariantViolation(
                    f"{host.member.member_id} has two uncommitted membership changes"
                )

    def check_disks(self) -> None:
        """Check that committed entries stay on a majority of disks, and persisted ones on disk."""
        for host in self._hosts.values():
            if host.node is not None and host.node.failure is None:
                index = host.node._state.persisted_index
                if not is_on_disk(host.disk, index, host.node.log.term_at(index)) and index:
                    raise InvariantViolation(
                        f"{host.member.member_id} counts missing entry {index} as persisted"
                    )
        indexes = sorted(self._committed)[-MAX_CHECKED_ENTRIES:]
        memberships = self._memberships()
        for index in indexes:
            entry = self._committed[index]
            if memberships and not any(
                self._is_on_majority(entry, option) for option in memberships
            ):
                raise InvariantViolation(
                    f"committed entry {index} is no longer on a majority of disks"
                )

    def _memberships(self) -> list[Membership]:
        """Return the latest committed membership and later ones that a leader may have used."""
        changes = [logged for _, logged in sorted(self._committed.items()) if logged.membership]
        newest = changes[-1].index if changes else 0
        for host in self._hosts.values():
            entries = host.disk.entries.values()
            changes += [logged for logged in entries if logged.membership and logged.index > newest]
        nodes = [host.node for host in self._hosts.values() if host.node is not None]
        found = [
            logged.membership for logged in changes if logged.membership and logged.index >= newest
        ]
        return found + [
            running_node.membership for running_node in nodes if running_node.role is Role.LEADER
        ]

    def _is_on_majority(self, entry: LogEntry, membership: Membership) -> bool:
        disks = [self._hosts[voter_id].disk for voter_id in membership.voter_ids]
        count = sum(is_on_disk(disk, entry.index, entry.term) for disk in disks)
        return count >= membership.majority


def is_on_disk(disk: Any, index: int, term: int | None) -> bool:
    """Return whether an entry, or a snapshot that covers it, is on disk."""
    if disk.snapshot is not None and disk.snapshot[0].index >= index:
        return True
    entry = disk.entries.get(index)
    return entry is not None and entry.term == term
