"""One member of the replicated log, as a state machine without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, assert_never

from ...clock import Millis
from ._election import Election
from ._leadership import Leadership
from ._log_follower import LogFollower
from ._member_state import MemberState
from ._snapshot_receiver import SnapshotReceiver
from .effects import Effect, MembershipChanged, Refusal, Refused, Role, RoleChanged
from .events import (
    ChangeMembership,
    Event,
    PeerConnected,
    Persisted,
    Propose,
    ReadBarrier,
    Received,
    SnapshotCorrupted,
    SnapshotInstalled,
    SnapshotSaved,
    StorageFailed,
    Tick,
    TransferLeadership,
)
from .log_entry import HardState
from .membership import Membership
from .messages import (
    Append,
    AppendReply,
    Heartbeat,
    HeartbeatReply,
    Message,
    PreVote,
    PreVoteReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    Vote,
    VoteReply,
    reply_to_stale_term,
)
from .raft_config import RaftConfig
from .raft_log import RaftLog

if TYPE_CHECKING:
    from random import Random

NEVER: Millis = float("inf")


class RaftNode:
    """A member of the log: takes events with their time and returns effects.

    Nothing is acknowledged before it is on disk: ``Persist`` effects request writes, and messages
    that depend on them are sent only after the ``Persisted`` event.
    """

    def __init__(
        self,
        member_id: str,
        cfg: RaftConfig,
        random: Random,
        hard_state: HardState,
        log: RaftLog,
        now: Millis,
        silent_since: Millis | None = None,
    ) -> None:
        """Start from the state on disk.

        Args:
            member_id: The ID of this member.
            cfg: Timeouts and limits.
            random: Randomizes election timeouts; a seed makes runs repeatable.
            hard_state: Term and vote from disk.
            log: Snapshot and entries from disk.
            now: The current time.
            silent_since: The time since which this member has certainly replied to no leader; None
                if unknown, which counts as ``now``.
        """
        self._state = MemberState(member_id, cfg, hard_state, log)
        self._cfg = cfg
        self._random = random
        self._leader: str | None = None
        self._leadership: Leadership | None = None
        self._election: Election | None = None
        self._receiver = SnapshotReceiver(self._state)
        self._log_follower = LogFollower(self._state)
        self._failure: str | None = None
        # A restarted member doesn't know when it last replied to a leader. If it voted at once, a
        # new leader could be elected while the lease of the old one is still valid.
        self._leader_contact_at = now if silent_since is None else min(silent_since, now)
        self._election_deadline = (
            now if self._is_only_voter else self._leader_contact_at + self._election_delay()
        )
        self._vote_write_number = 0
        self._vote_issued_at = now
        self._reported_role: tuple[Role, int, str | None] = (self.role, self.term, None)
        self._reported_membership = self.membership

    # Queries

    @property
    def member_id(self) -> str:
        """The ID of this member."""
        return self._state.member_id

    @property
    def role(self) -> Role:
        """The current role of this member."""
        if self._leadership is not None:
            return Role.LEADER
        if self._election is not None:
            return Role.CANDIDATE
        return Role.FOLLOWER if self._state.is_voter else Role.LEARNER

    @property
    def term(self) -> int:
        """The highest term that this member has seen."""
        return self._state.term

    @property
    def leader(self) -> str | None:
        """The member ID of the leader, if known."""
        return self._leader

    @property
    def log(self) -> RaftLog:
        """The entries in memory; callers must not change it."""
        return self._state.log

    @property
    def membership(self) -> Membership:
        """The latest membership in the log, committed or not."""
        return self._state.membership

    @property
    def commit_index(self) -> int:
        """The index of the last entry that is known to be committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """The index of the last entry passed on in an ``Apply`` effect."""
        return self._state.applied_index

    @property
    def failure(self) -> str | None:
        """The reason why this member stopped permanently, if its disk or a step has failed."""
        return self._failure

    def fail(self, reason: str) -> None:
        """Stop permanently, as the disk or a step has failed.

        Args:
            reason: Why, for operators.
        """
        self._failure = reason
        self._leadership = None
        self._election = None
        self._leader = None

    def lease_until(self, now: Millis) -> Millis:
        """Return the end of this member's leader lease; 0 if it is not the leader."""
        return self._leadership.lease_until(now) if self._leadership else 0.0

    def responsive_members(self, now: Millis) -> frozenset[str]:
        """Return the members that replied to this leader recently; empty if it is no leader."""
        return self._leadership.responsive_members(now) if self._leadership else frozenset()

    def match_index(self, peer: str) -> int:
        """Return the last index acknowledged by a peer; 0 if this member is not the leader."""
        return self._leadership.match_index(peer) if self._leadership else 0

    @property
    def next_tick_at(self) -> Millis:
        """When the next ``Tick`` is due."""
        if self._failure is not None:
            return NEVER
        if self._leadership is not None:
            return self._leadership.next_heartbeat
        return self._election_deadline if self._state.is_voter else NEVER

    @property
    def _is_only_voter(self) -> bool:
        return self._state.membership.voter_ids == (self._state.member_id,)

    # Events

    def step(self, event: Event, now: Millis) -> list[Effect]:
        """Handle one event.

        Args:
            event: The event.
            now: Its time on a monotonic clock.

        Returns:
            The effects to execute, in order.
        """
        if self._failure is None:
            self._handle(event, now)
        else:
            self._refuse(event)
        self._finish_step(now)
        return self._state.flush()

    def _handle(self, event: Event, now: Millis) -> None:
        match event:
            case Tick():
                self._on_tick(now)
            case Received(sender, message):
                self._on_message(sender, message, now)
            case Persisted(number):
                self._on_persisted(number, now)
            case PeerConnected(peer):
                if self._leadership is not None:
                    self._leadership.on_connected(peer, now)
            case SnapshotSaved(snapshot):
                self._state.on_snapshot_saved(snapshot)
            case SnapshotInstalled(snapshot):
                self._receiver.on_installed(snapshot)
            case SnapshotCorrupted(snapshot):
                self._receiver.on_corrupted(snapshot)
            case StorageFailed(reason):
                self._on_storage_failed(reason)
            case Propose() | ReadBarrier() | ChangeMembership() | TransferLeadership():
                self._on_request(event, now)
            case _:
                assert_never(event)

    def _on_request(
        self, event: Propose | ReadBarrier | ChangeMembership | TransferLeadership, now: Millis
    ) -> None:
        leadership = self._leadership
        if leadership is None:
            self._refuse(event)
            return
        match event:
            case Propose(proposals):
                leadership.propose(proposals, now)
            case ReadBarrier(tag):
                leadership.read(tag, now)
            case ChangeMembership(tag, change):
                leadership.change(tag, change, now)
            case TransferLeadership(tag, target):
                leadership.transfer(tag, target)

    def _refuse(self, event: Event) -> None:
        tags: tuple[int, ...] = ()
        match event:
            case Propose(proposals):
                tags = tuple(proposal.tag for proposal in proposals)
            case ReadBarrier(tag) | ChangeMembership(tag) | TransferLeadership(tag):
                tags = (tag,)
        for tag in tags:
            self._state.emit(Refused(tag, Refusal.NOT_LEADER, "this host is not the leader"))

    def _finish_step(self, now: Millis) -> None:
        if self._election is not None:
            if self._election.advance():
                self._on_vote_issued(now)
            if self._election.is_won:
                self._become_leader(now)
        self._state.maybe_take_snapshot()
        role = (self.role, self.term, self._leader)
        if role != self._reported_role:
            self._reported_role = role
            self._state.emit(RoleChanged(*role))
        if self.membership != self._reported_membership:
            self._reported_membership = self.membership
            self._state.emit(MembershipChanged(self.membership))

    def _on_tick(self, now: Millis) -> None:
        if self._leadership is not None:
            if self._leadership.has_lost_quorum(now) or self._leadership.has_transfer_failed(now):
                self._become_follower(self.term, None, now)
                return
            self._leadership.tick(now)
        elif self._is_vote_write_pending:
            self._election_deadline = max(self._election_deadline, now + self._cfg.heartbeat)
        elif self._state.is_voter and now >= self._election_deadline:
            self._start_election(now, transfer=False)

    @property
    def _is_vote_write_pending(self) -> bool:
        return self._state.persisted_write_number < self._vote_write_number

    def _on_vote_issued(self, now: Millis) -> None:
        self._vote_write_number = self._state.latest_write_number
        self._vote_issued_at = now

    def _on_vote_persisted(self, now: Millis) -> None:
        # The disks of the other voters may be as slow as this one. A member that started another
        # election before their votes can arrive would abort its own, and with slow disks everywhere
        # no leader would ever be elected.
        write_duration = now - self._vote_issued_at
        self._election_deadline = max(
            self._election_deadline, now + self._election_delay() + 2 * write_duration
        )

    def _on_persisted(self, number: int, now: Millis) -> None:
        was_vote_write_pending = self._is_vote_write_pending
        self._state.on_persisted(number)
        if was_vote_write_pending and not self._is_vote_write_pending:
            self._on_vote_persisted(now)
        if self._election is not None:
            self._election.on_persisted()
        if self._leadership is not None:
            self._leadership.on_persisted()

    def _on_storage_failed(self, reason: str) -> None:
        if self._leadership is not None:
            self._leadership.transfer_immediately()
            self._leadership.step_down()
        self.fail(reason)

    # Elections

    def _election_delay(self) -> Millis:
        timeout = self._cfg.election_timeout
        return timeout + self._random.random() * timeout

    def _start_election(self, now: Millis, transfer: bool) -> None:
        self._leader = None
        self._election_deadline = now + self._election_delay()
        self._election = Election(self._state, transfer)
        if transfer:
            self._on_vote_issued(now)

    def _become_leader(self, now: Millis) -> None:
        self._election = None
        self._leader = self._state.member_id
        self._leadership = Leadership(self._state, now)

    def _become_follower(self, term: int, leader: str | None, now: Millis) -> None:
        if self._leadership is not None:
            self._leadership.step_down()
            self._election_deadline = now + self._election_delay()
        self._leadership = None
        self._election = None
        self._leader = leader
        if term > self.term:
            self._state.set_hard_state(term, "")

    def _follow_leader(self, leader: str, now: Millis) -> None:
        if self._election is not None or self._leader != leader:
            self._become_follower(self.term, leader, now)
        self._leader_contact_at = now
        self._election_deadline = now + self._election_delay()

    def _has_active_leader(self, now: Millis) -> bool:
        if self._leadership is not None:
            return True
        return now < self._leader_contact_at + self._cfg.election_timeout

    # Messages

    def _on_message(self, sender: str, message: Message, now: Millis) -> None:
        match message:
            case PreVote():
                self._on_pre_vote(sender, message, now)
                return
            case PreVoteReply(term, granted) if granted:
                if self._election is not None:
                    self._election.on_pre_vote_granted(sender, term)
                return
            case Vote() if not message.transfer and self._has_active_leader(now):
                # A member that was partitioned, or doesn't know that it was removed, must not
                # depose a healthy leader. The leader lease relies on this rule.
                self._state.send(sender, VoteReply(self.term, False))
                return
        if message.term < self.term:
            reply = reply_to_stale_term(message, self.term)
            if reply is not None:
                self._state.send(sender, reply)
            return
        if message.term > self.term:
            self._become_follower(message.term, None, now)
        self._on_current_term(sender, message, now)

    def _on_current_term(self, sender: str, message: Message, now: Millis) -> None:
        match message:
            case Vote():
                self._on_vote(sender, message, now)
            case VoteReply(granted=granted):
                if granted and self._election is not None:
                    self._election.on_vote_granted(sender)
            case Append():
                self._follow_leader(sender, now)
                if not self._receiver.is_installing:
                    self._log_follower.on_append(sender, message)
            case Heartbeat():
                self._follow_leader(sender, now)
                self._state.commit_to(message.commit)
                self._state.send(sender, HeartbeatReply(self.term, message.round))
            case SnapshotChunk():
                self._follow_leader(sender, now)
                self._receiver.on_chunk(sender, message)
            case TimeoutNow():
                if self._state.is_voter and self._leadership is None:
                    self._start_election(now, transfer=True)
            case AppendReply() if self._leadership is not None:
                self._leadership.on_append_reply(sender, message, now)
            case HeartbeatReply() if self._leadership is not None:
                self._leadership.on_heartbeat_reply(sender, message, now)
            case SnapshotReply() if self._leadership is not None:
                self._leadership.on_snapshot_reply(sender, message, now)

    def _on_pre_vote(self, sender: str, message: PreVote, now: Millis) -> None:
        granted = (
            message.term > self.term
            and not self._has_active_leader(now)
            and self.log.is_up_to_date(message.last_index, message.last_term)
        )
        term = message.term if granted else self.term
        self._state.send(sender, PreVoteReply(term, granted))

    def _on_vote(self, sender: str, message: Vote, now: Millis) -> None:
        is_vote_available = self._state.hard_state.vote in ("", sender)
        granted = is_vote_available and self.log.is_up_to_date(
            message.last_index, message.last_term
        )
        if not granted:
            self._state.send(sender, VoteReply(self.term, False))
            return
        self._state.set_hard_state(self.term, sender)
        self._election_deadline = now + self._election_delay()
        self._on_vote_issued(now)
        self._state.send_persisted(sender, VoteReply(self.term, True))
