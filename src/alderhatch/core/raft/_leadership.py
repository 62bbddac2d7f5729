"""The leader role of a member."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ...clock import Millis
from ._member_state import MemberState
from ._progress import Mode, Progress
from ._replicator import Replicator
from .effects import Proposed, ReadReady, Refusal, Refused
from .events import AddLearner, Change, Promote, Proposal, Remove
from .log_entry import EntryKind
from .membership import MAX_VOTERS_WHILE_REPLACING, Membership
from .messages import AppendReply, Heartbeat, HeartbeatReply, SnapshotReply, TimeoutNow

_MAX_RECENT_ROUNDS = 256


@dataclass(slots=True)
class _PendingRead:
    tag: int
    index: int
    round: int
    """The heartbeat round that a majority must confirm."""


@dataclass(slots=True)
class _Transfer:
    target: str
    until: Millis
    sent: bool = False


class Leadership:
    """State and actions of a leader, from its election until it steps down."""

    def __init__(self, state: MemberState, now: Millis) -> None:
        self._state = state
        self._replicator = Replicator(state)
        self._progress = self._replicator.progress
        self._heartbeat_round = 0
        self._recent_rounds: deque[tuple[int, Millis]] = deque(maxlen=_MAX_RECENT_ROUNDS)
        self._reads: list[_PendingRead] = []
        self._transfer: _Transfer | None = None
        self._lease_relinquished = False
        self._removed_until: dict[str, Millis] = {}
        """Removed members, and the time until which they still receive the log."""
        self._sync_progress(now)
        self._noop_index = state.append(EntryKind.NOOP).index
        self.next_heartbeat = now
        """When the next round of heartbeats is due."""
        self._start_heartbeat_round(now)
        self._replicator.replicate_all(now)

    # Queries

    @property
    def has_committed_in_term(self) -> bool:
        """Whether an entry of this term is committed, so that the commit index is up to date."""
        return self._state.commit_index >= self._noop_index

    def lease_until(self, now: Millis) -> Millis:
        """Return the end of the leader lease, during which no other member can be elected.

        Returns:
            A point in time; the lease is valid only if this is later than ``now``.
        """
        if self._lease_relinquished or not self.has_committed_in_term:
            return 0.0
        return self._quorum_acked_at(now) + self._state.cfg.lease_duration

    def responsive_members(self, now: Millis) -> frozenset[str]:
        """Return the members, this one included, that replied within an election timeout.

        A member that has not replied to this leader yet is excluded. Otherwise, early in a term, a
        host whose loss caused the election would count as running, and the stop of another host
        could be allowed although it breaks the quorum.
        """
        limit = now - self._state.cfg.election_timeout
        responsive = {
            peer_id
            for peer_id, progress in self._progress.items()
            if progress.acked_round and progress.acked_at > limit
        }
        return frozenset(responsive | {self._state.member_id})

    def match_index(self, peer: str) -> int:
        """Return the last index that is known to be on the disk of a peer."""
        progress = self._progress.get(peer)
        return progress.match_index if progress else 0

    def has_lost_quorum(self, now: Millis) -> bool:
        """Return whether no majority has replied for an election timeout.

        A partitioned leader that did not step down would accept requests and never complete them.
        Once it has stepped down, callers are refused at once.
        """
        return self._quorum_acked_at(now) + self._state.cfg.election_timeout <= now

    def has_transfer_failed(self, now: Millis) -> bool:
        """Return whether ``TimeoutNow`` was sent and the transfer has timed out.

        A delayed ``TimeoutNow`` may still get the target elected, even while the others hear from
        this leader. So the lease stays relinquished for the rest of the term, and the leader steps
        down.
        """
        transfer = self._transfer
        return transfer is not None and transfer.sent and now >= transfer.until

    def _quorum_acked_at(self, now: Millis) -> Millis:
        times = [self._acked_at(voter_id, now) for voter_id in self._state.membership.voter_ids]
        times.sort(reverse=True)
        return times[self._state.membership.majority - 1]

    def _acked_at(self, voter: str, now: Millis) -> Millis:
        return now if voter == self._state.member_id else self._progress[voter].acked_at

    # Timers

    def tick(self, now: Millis) -> None:
        """Send heartbeats, retries and pending entries if a heartbeat is due."""
        if now < self.next_heartbeat:
            return
        for removed in [peer_id for peer_id, until in self._removed_until.items() if now >= until]:
            del self._removed_until[removed]
            del self._progress[removed]
        self._start_heartbeat_round(now)
        self._replicator.retry_overdue(now)
        self._replicator.replicate_all(now)
        transfer = self._transfer
        if transfer is not None and not transfer.sent and now >= transfer.until:
            self._transfer = None

    def _start_heartbeat_round(self, now: Millis) -> None:
        self._heartbeat_round += 1
        self._recent_rounds.append((self._heartbeat_round, now))
        self.next_heartbeat = now + self._state.cfg.heartbeat
        for peer in self._progress:
            self._send_heartbeat(peer)

    def _send_heartbeat(self, peer: str) -> None:
        commit = min(self._state.commit_index, self._progress[peer].match_index)
        self._state.send(peer, Heartbeat(self._state.term, self._heartbeat_round, commit))

    # Replies from peers

    def on_heartbeat_reply(self, sender: str, reply: HeartbeatReply, now: Millis) -> None:
        """Record that a peer has confirmed a heartbeat round."""
        progress = self._progress.get(sender)
        if progress is None or reply.round <= progress.acked_round:
            return
        sent_at = next(
            (at for number, at in reversed(self._recent_rounds) if number == reply.round), None
        )
        if sent_at is None:
            return
        progress.acked_round = reply.round
        progress.acked_at = max(progress.acked_at, sent_at)
        self._complete_reads()

    def on_append_reply(self, sender: str, reply: AppendReply, now: Millis) -> None:
        """Record the matching index of a peer, or go back to find it."""
        progress = self._progress.get(sender)
        if progress is None or (reply.success and reply.index > self._state.log.last_index):
            return
        if reply.success:
            if progress.mode is Mode.SNAPSHOT:
                return
            if progress.on_match(reply.index):
                self._advance_commit()
        else:
            progress.on_mismatch(reply.prev_index, reply.index)
        self._replicator.replicate(sender, now)
        self._continue_transfer()

    def on_snapshot_reply(self, sender: str, reply: SnapshotReply, now: Millis) -> None:
        """Continue with a snapshot, or with the entries after it."""
        if sender not in self._progress:
            return
        self._replicator.on_snapshot_reply(sender, reply, now)
        self._advance_commit()

    def on_connected(self, peer: str, now: Millis) -> None:
        """Resend what an earlier link may have lost."""
        progress = self._progress.get(peer)
        if progress is None:
            return
        if progress.transfer is None:
            progress.become_probe()
        else:
            progress.transfer.sent_at = now - self._state.cfg.retry
            self._replicator.retry_overdue(now)
        self._send_heartbeat(peer)
        self._replicator.replicate(peer, now)

    def on_persisted(self) -> None:
        """Count the copy of the log on this host's disk."""
        self._advance_commit()

    def _advance_commit(self) -> None:
        state = self._state
        voters = state.membership.voter_ids
        matches = sorted(
            state.persisted_index if voter_id == state.member_id else self.match_index(voter_id)
            for voter_id in voters
        )
        index = matches[len(voters) - state.membership.majority]
        # An entry of an older term may be on a majority of disks and still be replaced by another
        # leader. Only committing an entry of this term commits everything before it.
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_to(index)
            self._complete_reads()

    # Requests

    def propose(self, proposals: tuple[Proposal, ...], now: Millis) -> None:
        """Append commands to the log and replicate them."""
        if self._transfer is not None:
            for proposal in proposals:
                self._refuse(
                    proposal.tag, Refusal.NOT_LEADER, "a leadership transfer is in progress"
                )
            return
        for proposal in proposals:
            entry = self._state.append(EntryKind.COMMAND, proposal.command)
            self._state.emit(Proposed(proposal.tag, entry.index, entry.term))
        self._replicator.replicate_all(now)

    def read(self, tag: int, now: Millis) -> None:
        """Determine the index at which a read is linearizable.

        A leader that was replaced without noticing would serve stale state. While the lease is
        valid no other leader can exist; otherwise a majority must confirm a heartbeat round first.
        """
        index = max(self._state.commit_index, self._noop_index)
        if now < self.lease_until(now):
            self._state.emit(ReadReady(tag, index))
            return
        self._start_heartbeat_round(now)
        self._reads.append(_PendingRead(tag, index, self._heartbeat_round))
        self._complete_reads()

    def _complete_reads(self) -> None:
        if not self._reads or not self.has_committed_in_term:
            return
        rounds = [
            (
                self._heartbeat_round
                if voter_id == self._state.member_id
                else self._progress[voter_id].acked_round
            )
            for voter_id in self._state.membership.voter_ids
        ]
        rounds.sort(reverse=True)
        confirmed = rounds[self._state.membership.majority - 1]
        for read in self._reads:
            if read.round <= confirmed:
                self._state.emit(ReadReady(read.tag, read.index))
        self._reads = [read for read in self._reads if read.round > confirmed]

    def transfer(self, tag: int, target: str | None) -> None:
        """Start a leadership transfer to a peer."""
        target = target or self._most_advanced_voter()
        membership = self._state.membership
        if target is None or target not in self._progress or not membership.is_voter(target):
            self._refuse(tag, Refusal.INVALID, "the transfer target is not another voter")
            return
        if self._transfer is None:
            now = self._recent_rounds[-1][1]
            self._transfer = _Transfer(target, now + self._state.cfg.election_timeout)
        self._continue_transfer()

    def _most_advanced_voter(self) -> str | None:
        voters = [
            voter_id for voter_id in self._state.membership.voter_ids if voter_id in self._progress
        ]
        progress_by_peer = self._progress
        return max(
            voters,
            key=lambda voter_id: (
                progress_by_peer[voter_id].match_index,
                progress_by_peer[voter_id].acked_at,
            ),
            default=None,
        )

    def _continue_transfer(self) -> None:
        transfer = self._transfer
        if transfer is None or transfer.sent:
            return
        if self.match_index(transfer.target) < self._state.log.last_index:
            return
        transfer.sent = True
        # Members vote for the target even if they have just heard from this leader, so the lease
        # is no longer safe.
        self._lease_relinquished = True
        self._state.send(transfer.target, TimeoutNow(self._state.term))

    def transfer_immediately(self) -> None:
        """Ask the most advanced voter to start an election, without waiting for it to catch up.

        Used when the disk of this host has failed.
        """
        target = self._most_advanced_voter()
        if target is not None:
            self._state.send(target, TimeoutNow(self._state.term))

    def step_down(self) -> None:
        """Refuse the reads that are still pending."""
        for read in self._reads:
            self._refuse(read.tag, Refusal.NOT_LEADER, "this host is no longer the leader")
        self._reads.clear()
        self._state.snapshot_in_transfer = False

    # Membership

    def change(self, tag: int, change: Change, now: Millis) -> None:
        """Append one membership change to the log.

        With two uncommitted changes, two majorities might have no member in common, and two leaders
        could commit different entries. So a change is refused until the previous one is committed,
        and until an entry of this leader's term is committed.
        """
        state = self._state
        if not self.has_committed_in_term or state.log.membership_index > state.commit_index:
            self._refuse(
                tag,
                Refusal.NOT_READY,
                "the first entry of this term or another change is not committed yet",
            )
            return
        new_membership = self._changed_membership(tag, change)
        if new_membership is None:
            return
        entry = state.append(EntryKind.MEMBERSHIP, membership=new_membership)
        state.emit(Proposed(tag, entry.index, entry.term))
        self._sync_progress(now)
        self._replicator.replicate_all(now)

    def _changed_membership(self, tag: int, change: Change) -> Membership | None:
        membership = self._state.membership
        match change:
            case AddLearner(member) if membership.find(member.member_id) is None:
                return membership.with_learner(member)
            case Promote(member_id):
                return self._promoted_membership(tag, member_id)
            case Remove(member_id) if member_id == self._state.member_id:
                self._refuse(
                    tag, Refusal.INVALID, "the leader must transfer leadership before its removal"
                )
                return None
            case Remove(member_id) if membership.find(member_id) is not None:
                new_membership = membership.without(member_id)
                if len(new_membership.voters) >= 2 or not membership.is_voter(member_id):
                    return new_membership
        self._refuse(tag, Refusal.INVALID, f"the current membership does not allow {change}")
        return None

    def _promoted_membership(self, tag: int, member_id: str) -> Membership | None:
        membership = self._state.membership
        if membership.find(member_id) is None or membership.is_voter(member_id):
            self._refuse(tag, Refusal.INVALID, f"{member_id} is not a learner")
            return None
        if len(membership.voters) >= MAX_VOTERS_WHILE_REPLACING:
            self._refuse(
                tag, Refusal.INVALID, "the membership already has the maximum number of voters"
            )
            return None
        # A voter that lacks most of the log raises the quorum without being able to acknowledge
        # entries: if another host is lost, nothing can be committed until it has caught up.
        lag = self._state.commit_index - self.match_index(member_id)
        if lag > self._state.cfg.max_lag_to_promote:
            self._refuse(tag, Refusal.NOT_CAUGHT_UP, f"{member_id} is {lag} entries behind")
            return None
        return membership.with_promoted(member_id)

    def _sync_progress(self, now: Millis) -> None:
        current_peers = {current.member_id for current in self._state.membership.members}
        current_peers.discard(self._state.member_id)
        # A member that never learns of its removal would request votes for as long as it runs, and
        # report that it has no leader. So it receives the log for a little longer.
        for removed in set(self._progress) - current_peers - set(self._removed_until):
            self._removed_until[removed] = now + 2 * self._state.cfg.election_timeout
        for readded in current_peers & set(self._removed_until):
            del self._removed_until[readded]
        for added in sorted(current_peers - set(self._progress)):
            self._progress[added] = Progress(self._state.log.last_index + 1, now)

    def _refuse(self, tag: int, refusal: Refusal, message: str) -> None:
        self._state.emit(Refused(tag, refusal, message))
