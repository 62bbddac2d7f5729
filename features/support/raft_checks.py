"""What must hold of the replicated log at each moment, seen from outside with all disks in view.

A broken rule seldom does harm at once: it takes one more crash, or one more election, that a random
schedule rarely has just then. So the rules are checked where they are broken, and not only by what
comes of it.
"""

from __future__ import annotations

from typing import Any

from alderhatch.core.raft.effects import Role
from alderhatch.core.raft.log_entry import EntryKind, LogEntry, SnapshotMeta
from alderhatch.core.raft.membership import Membership
from alderhatch.core.raft.messages import AppendReply, SnapshotReply, Vote, VoteReply

LOOKED_BACK = 40
"""How many of the last committed entries are looked for on the disks."""


class Violation(AssertionError):
    """A promise of the replicated log was broken."""


class Checks:
    """Knows every host of a cluster, its disk, and what was committed."""

    def __init__(self, hosts: dict[str, Any], committed: dict[int, LogEntry]) -> None:
        self._hosts = hosts
        self._committed = committed
        self._votes: dict[tuple[str, int], str] = {}

    def on_send(self, sender: Any, to: str, message: Any, leaders: dict[int, str]) -> None:
        """What a member says of its disk is true when it says it."""
        member_id, disk = sender.member.member_id, sender.disk
        match message:
            case VoteReply(term, True):
                self._check_vote(sender, to, term)
            case Vote(term):
                self._check_vote(sender, member_id, term)
            case AppendReply(term, True, _, index) if sender.node.term == term:
                # One that waited for the disk while a newer leader came is as if it were late on
                # its way; what the member has now is no measure for it.
                log = sender.node.log
                if disk.hard_state.term < term:
                    raise Violation(f"{member_id} acknowledges in term {term}, not on its disk")
                if index and not on_disk(disk, index, log.term_at(index)):
                    raise Violation(f"{member_id} acknowledges {index}, not on its disk")
                self._check_same(sender, to, term, index, leaders)
            case SnapshotReply(index=index, installed=True):
                if not on_disk(disk, index, sender.node.log.term_at(index)):
                    raise Violation(f"{member_id} has no snapshot at {index} on its disk")

    def _check_vote(self, sender: Any, candidate: str, term: int) -> None:
        member_id = sender.member.member_id
        if tuple(sender.disk.hard_state) != (term, candidate):
            raise Violation(f"{member_id}'s vote for {candidate} in {term} is not on its disk")
        if self._votes.setdefault((member_id, term), candidate) != candidate:
            raise Violation(f"{member_id} votes twice in term {term}")

    def _check_same(
        self, sender: Any, to: str, term: int, index: int, leaders: dict[int, str]
    ) -> None:
        leader = self._hosts[to].node
        if leaders.get(term) != to or leader is None or leader.term != term:
            return
        bases = (leader.log.base_index, sender.node.log.base_index)
        if leader.role is not Role.LEADER or index <= max(bases):
            return
        if leader.log.term_at(index) != sender.node.log.term_at(index):
            raise Violation(f"{sender.member.member_id} acknowledges another entry {index}")

    def on_commit(self, host: Any, entries: tuple[LogEntry, ...]) -> None:
        """A leader commits an entry of its own term that a majority has on disk."""
        node = host.node
        if node is None or node.role is not Role.LEADER or entries[-1].index not in self._committed:
            return
        last = entries[-1]
        if last.term != node.term:
            raise Violation(f"entry {last.index} of term {last.term} committed in {node.term}")
        if not self._is_on_majority(last, node.membership):
            raise Violation(f"entry {last.index} is committed without a majority of disks")

    def on_install(self, host: Any, snapshot: SnapshotMeta) -> None:
        """A snapshot never takes the place of a log that has all of it and more."""
        entry = host.disk.entries.get(snapshot.index)
        if entry is not None and entry.term == snapshot.term:
            raise Violation(f"{host.member.member_id} drops its log for a snapshot that it has")

    def on_elected(self, host: Any, holders: list[Any]) -> None:
        """Nobody is elected in a newer term while another member's lease holds.

        Late votes can still elect somebody in an older term, who can commit nothing any more.
        """
        for other in holders:
            if other.node.term < host.node.term:
                names = f"{host.member.member_id} elected, {other.member.member_id}"
                raise Violation(f"{names} holds a lease")

    def check_members(self) -> None:
        """No leader has two changes of membership under way."""
        for host in self._hosts.values():
            node = host.node
            if node is None or node.role is not Role.LEADER:
                continue
            entries = node.log.entries_between(node.commit_index + 1, node.log.last_index)
            kinds = [one.kind for one in entries if one.index not in self._committed]
            if kinds.count(EntryKind.MEMBERSHIP) > 1:
                raise Violation(f"{host.member.member_id} has two membership changes under way")

    def check_disks(self) -> None:
        """What is committed stays on a majority of disks, and what is held to be synced is."""
        for host in self._hosts.values():
            if host.node is not None and host.node.failure is None:
                index = host.node._state.persisted_index
                if not on_disk(host.disk, index, host.node.log.term_at(index)) and index:
                    raise Violation(f"{host.member.member_id} takes {index} for synced")
        indexes = sorted(self._committed)[-LOOKED_BACK:]
        members = self._memberships()
        for index in indexes:
            entry = self._committed[index]
            if members and not any(self._is_on_majority(entry, one) for one in members):
                raise Violation(f"the committed entry {index} is on no majority of disks any more")

    def _memberships(self) -> list[Membership]:
        """The newest committed membership, and newer ones by which a leader may have counted."""
        changes = [one for _, one in sorted(self._committed.items()) if one.membership]
        newest = changes[-1].index if changes else 0
        for host in self._hosts.values():
            entries = host.disk.entries.values()
            changes += [one for one in entries if one.membership and one.index > newest]
        nodes = [host.node for host in self._hosts.values() if host.node is not None]
        found = [one.membership for one in changes if one.membership and one.index >= newest]
        return found + [one.membership for one in nodes if one.role is Role.LEADER]

    def _is_on_majority(self, entry: LogEntry, membership: Membership) -> bool:
        disks = [self._hosts[one].disk for one in membership.voter_ids]
        count = sum(on_disk(disk, entry.index, entry.term) for disk in disks)
        return count >= membership.majority


def on_disk(disk: Any, index: int, term: int | None) -> bool:
    """Whether an entry, or a snapshot that covers it, is synced."""
    if disk.snapshot is not None and disk.snapshot[0].index >= index:
        return True
    entry = disk.entries.get(index)
    return entry is not None and entry.term == term
