"""What a member does while it leads."""

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

_ROUNDS_REMEMBERED = 256


@dataclass(slots=True)
class _PendingRead:
    tag: int
    index: int
    round: int
    """The heartbeat round that a majority has to confirm."""


@dataclass(slots=True)
class _Transfer:
    target: str
    until: Millis
    sent: bool = False


class Leadership:
    """The leader's part of a member, from its election until it steps down."""

    def __init__(self, state: MemberState, now: Millis) -> None:
        self._state = state
        self._replicator = Replicator(state)
        self._progress = self._replicator.progress
        self._round = 0
        self._rounds: deque[tuple[int, Millis]] = deque(maxlen=_ROUNDS_REMEMBERED)
        self._reads: list[_PendingRead] = []
        self._transfer: _Transfer | None = None
        self._lease_given_up = False
        self._leaving: dict[str, Millis] = {}
        """Members that were removed, and until when they are still sent the log."""
        self._sync_members(now)
        self._first_index = state.append(EntryKind.NOOP).index
        self.next_heartbeat = now
        """When the next round of heartbeats is due."""
        self._beat(now)
        self._replicator.replicate_all(now)

    # What holds now

    @property
    def is_ready(self) -> bool:
        """Whether an entry of this term is committed, so that the commit index is the true one."""
        return self._state.commit_index >= self._first_index

    def lease_until(self, now: Millis) -> Millis:
        """Return until when no other member can have been elected.

        Returns:
            A point in time; the lease does not hold if it is not after ``now``.
        """
        if self._lease_given_up or not self.is_ready:
            return 0.0
        return self._quorum_time(now) + self._state.cfg.lease

    def responsive_members(self, now: Millis) -> frozenset[str]:
        """Return the members, this one included, that answered within an election timeout.

        One that has not answered this leader yet is not among them. Counted as well for the first
        moments of a term, the host whose loss brought the election about would still pass for
        running, and the stop of one more, which takes the quorum, would be let through.
        """
        limit = now - self._state.cfg.election_timeout
        heard = {
            one
            for one, progress in self._progress.items()
            if progress.acked_round and progress.acked_at > limit
        }
        return frozenset(heard | {self._state.member_id})

    def match_index(self, peer: str) -> int:
        """Return the last index that is known to be on a peer's disk."""
        progress = self._progress.get(peer)
        return progress.match_index if progress else 0

    def has_lost_quorum(self, now: Millis) -> bool:
        """Return whether no majority has answered for an election timeout.

        A leader that is cut off would otherwise go on for as long as the partition lasts, refuse
        nobody, and acknowledge nothing. It steps down, so that callers are told at once.
        """
        return self._quorum_time(now) + self._state.cfg.election_timeout <= now

    def must_step_down(self, now: Millis) -> bool:
        """Return whether a hand-over was sent but nobody took over.

        The target may still be elected by a delayed message, whatever the others have heard from
        this leader. Its lease is given up for the rest of the term, so it leaves the term too.
        """
        transfer = self._transfer
        return transfer is not None and transfer.sent and now >= transfer.until

    def _quorum_time(self, now: Millis) -> Millis:
        times = [self._acked_at(one, now) for one in self._state.membership.voter_ids]
        times.sort(reverse=True)
        return times[self._state.membership.majority - 1]

    def _acked_at(self, voter: str, now: Millis) -> Millis:
        return now if voter == self._state.member_id else self._progress[voter].acked_at

    # Time

    def tick(self, now: Millis) -> None:
        """Send what is due."""
        if now < self.next_heartbeat:
            return
        for gone in [one for one, until in self._leaving.items() if now >= until]:
            del self._leaving[gone]
            del self._progress[gone]
        self._beat(now)
        self._replicator.retry_overdue(now)
        self._replicator.replicate_all(now)
        transfer = self._transfer
        if transfer is not None and not transfer.sent and now >= transfer.until:
            self._transfer = None

    def _beat(self, now: Millis) -> None:
        self._round += 1
        self._rounds.append((self._round, now))
        self.next_heartbeat = now + self._state.cfg.heartbeat
        for peer in self._progress:
            self._send_heartbeat(peer)

    def _send_heartbeat(self, peer: str) -> None:
        commit = min(self._state.commit_index, self._progress[peer].match_index)
        self._state.send(peer, Heartbeat(self._state.term, self._round, commit))

    # Answers from peers

    def on_heartbeat_reply(self, sender: str, reply: HeartbeatReply, now: Millis) -> None:
        """Count a confirmed round."""
        progress = self._progress.get(sender)
        if progress is None or reply.round <= progress.acked_round:
            return
        sent_at = next((at for number, at in reversed(self._rounds) if number == reply.round), None)
        if sent_at is None:
            return
        progress.acked_round = reply.round
        progress.acked_at = max(progress.acked_at, sent_at)
        self._answer_reads()

    def on_append_reply(self, sender: str, reply: AppendReply, now: Millis) -> None:
        """Count a copy, or go back to where the logs match."""
        progress = self._progress.get(sender)
        if progress is None:
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
        """Go on with a snapshot, or with the entries behind it."""
        if sender not in self._progress:
            return
        self._replicator.on_snapshot_reply(sender, reply, now)
        self._advance_commit()

    def on_connected(self, peer: str, now: Millis) -> None:
        """Send anew what an older link may have lost."""
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
        """Count this host's own copy."""
        self._advance_commit()

    def _advance_commit(self) -> None:
        state = self._state
        voters = state.membership.voter_ids
        matches = sorted(
            state.persisted_index if one == state.member_id else self.match_index(one)
            for one in voters
        )
        index = matches[len(voters) - state.membership.majority]
        # An entry of an older term may be on a majority and still be replaced by another leader;
        # only an entry of this term makes everything before it final.
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_to(index)
            self._answer_reads()

    # What is asked of the leader

    def propose(self, proposals: tuple[Proposal, ...], now: Millis) -> None:
        """Put commands on the log and send them."""
        if self._transfer is not None:
            for one in proposals:
                self._refuse(one.tag, Refusal.NOT_LEADER, "the leadership is being handed over")
            return
        for one in proposals:
            entry = self._state.append(EntryKind.COMMAND, one.command)
            self._state.emit(Proposed(one.tag, entry.index, entry.term))
        self._replicator.replicate_all(now)

    def read(self, tag: int, now: Millis) -> None:
        """Find an index at which a read is linearizable.

        A leader that was replaced without noticing would answer from an old state. While the
        lease holds nobody can have replaced it; otherwise a majority is asked first.
        """
        index = max(self._state.commit_index, self._first_index)
        if now < self.lease_until(now):
            self._state.emit(ReadReady(tag, index))
            return
        self._beat(now)
        self._reads.append(_PendingRead(tag, index, self._round))
        self._answer_reads()

    def _answer_reads(self) -> None:
        if not self._reads or not self.is_ready:
            return
        rounds = [
            self._round if one == self._state.member_id else self._progress[one].acked_round
            for one in self._state.membership.voter_ids
        ]
        rounds.sort(reverse=True)
        confirmed = rounds[self._state.membership.majority - 1]
        for read in self._reads:
            if read.round <= confirmed:
                self._state.emit(ReadReady(read.tag, read.index))
        self._reads = [read for read in self._reads if read.round > confirmed]

    def transfer(self, tag: int, target: str | None) -> None:
        """Begin to hand over to a peer."""
        target = target or self._best_target()
        membership = self._state.membership
        if target is None or target not in self._progress or not membership.is_voter(target):
            self._refuse(tag, Refusal.INVALID, "there is no such other voter")
            return
        if self._transfer is None:
            now = self._rounds[-1][1]
            self._transfer = _Transfer(target, now + self._state.cfg.election_timeout)
        self._continue_transfer()

    def _best_target(self) -> str | None:
        voters = [one for one in self._state.membership.voter_ids if one in self._progress]
        key = self._progress
        return max(voters, key=lambda one: (key[one].match_index, key[one].acked_at), default=None)

    def _continue_transfer(self) -> None:
        transfer = self._transfer
        if transfer is None or transfer.sent:
            return
        if self.match_index(transfer.target) < self._state.log.last_index:
            return
        transfer.sent = True
        # The target's election is granted even by those that have just heard from this leader, so
        # from here on the lease proves nothing.
        self._lease_given_up = True
        self._state.send(transfer.target, TimeoutNow(self._state.term))

    def abdicate(self) -> None:
        """Hand over at once because this host's disk has failed."""
        target = self._best_target()
        if target is not None:
            self._state.send(target, TimeoutNow(self._state.term))

    def step_down(self) -> None:
        """Refuse what was asked of the leader and is not answered."""
        for read in self._reads:
            self._refuse(read.tag, Refusal.NOT_LEADER, "the leadership ended")
        self._reads.clear()
        self._state.keep_snapshot = False

    # Membership

    def change(self, tag: int, change: Change, now: Millis) -> None:
        """Put one membership change on the log.

        With two changes on their way at once, two majorities might have no member in common, and
        two leaders could commit different entries. So the next one waits for the commit of the
        last, and the first for an entry of this leader's term.
        """
        state = self._state
        if not self.is_ready or state.log.membership_index > state.commit_index:
            self._refuse(tag, Refusal.NOT_READY, "another change is not committed yet")
            return
        wanted = self._changed(tag, change)
        if wanted is None:
            return
        entry = state.append(EntryKind.MEMBERSHIP, membership=wanted)
        state.emit(Proposed(tag, entry.index, entry.term))
        self._sync_members(now)
        self._replicator.replicate_all(now)

    def _changed(self, tag: int, change: Change) -> Membership | None:
        membership = self._state.membership
        match change:
            case AddLearner(member) if membership.find(member.member_id) is None:
                return membership.with_learner(member)
            case Promote(member_id):
                return self._promoted(tag, member_id)
            case Remove(member_id) if member_id == self._state.member_id:
                self._refuse(tag, Refusal.INVALID, "a leader hands over before it is removed")
                return None
            case Remove(member_id) if membership.find(member_id) is not None:
                wanted = membership.without(member_id)
                if len(wanted.voters) >= 2 or not membership.is_voter(member_id):
                    return wanted
        self._refuse(tag, Refusal.INVALID, f"the membership does not allow {change}")
        return None

    def _promoted(self, tag: int, member_id: str) -> Membership | None:
        membership = self._state.membership
        if membership.find(member_id) is None or membership.is_voter(member_id):
            self._refuse(tag, Refusal.INVALID, f"{member_id} is no learner")
            return None
        if len(membership.voters) >= MAX_VOTERS_WHILE_REPLACING:
            self._refuse(tag, Refusal.INVALID, "there are as many voters as may be")
            return None
        # A voter that still lacks most of the log makes the majority larger without helping it:
        # if another host were lost now, nothing could be committed until it has caught up.
        lag = self._state.commit_index - self.match_index(member_id)
        if lag > self._state.cfg.max_lag_to_promote:
            self._refuse(tag, Refusal.NOT_CAUGHT_UP, f"{member_id} is {lag} entries behind")
            return None
        return membership.with_promoted(member_id)

    def _sync_members(self, now: Millis) -> None:
        wanted = {one.member_id for one in self._state.membership.members}
        wanted.discard(self._state.member_id)
        # A removed member that never hears of it would ask for votes for as long as it runs, and
        # its operator would see a host without a leader. So it is sent the log a little longer.
        for gone in set(self._progress) - wanted - set(self._leaving):
            self._leaving[gone] = now + 2 * self._state.cfg.election_timeout
        for back in wanted & set(self._leaving):
            del self._leaving[back]
        for new in sorted(wanted - set(self._progress)):
            self._progress[new] = Progress(self._state.log.last_index + 1, now)

    def _refuse(self, tag: int, refusal: Refusal, message: str) -> None:
        self._state.emit(Refused(tag, refusal, message))
