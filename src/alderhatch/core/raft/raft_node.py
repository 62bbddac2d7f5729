"""One member of the replicated log, as a state machine without input or output."""

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
    answer_to_stale,
)
from .raft_config import RaftConfig
from .raft_log import RaftLog

if TYPE_CHECKING:
    from random import Random

NEVER: Millis = float("inf")


class RaftNode:
    """A member: events go in with the time, effects come out.

    Nothing is acknowledged before it is on disk: ``Persist`` effects ask for writes, and what
    depends on them is sent only after the ``Persisted`` event.
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
        """Go on from what is on disk.

        Args:
            member_id: This member's identity.
            cfg: Times and sizes.
            random: Spreads the election timeouts; with one seed each run is the same.
            hard_state: Term and vote from the disk.
            log: Snapshot and entries from the disk.
            now: The time.
            silent_since: Since when this member has certainly answered no leader; the same as now
                if nothing is known.
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
        # A member that restarts has forgotten whom it has just heard from. If it voted at once,
        # a new leader could be elected while the old one's lease still holds.
        self._heard_at = now if silent_since is None else min(silent_since, now)
        self._deadline = now if self._is_alone else self._heard_at + self._election_delay()
        self._vote_number = 0
        self._vote_asked_at = now
        self._told_role: tuple[Role, int, str | None] = (self.role, self.term, None)
        self._told_membership = self.membership

    # What holds now

    @property
    def member_id(self) -> str:
        """This member's identity."""
        return self._state.member_id

    @property
    def role(self) -> Role:
        """The part that this member plays."""
        if self._leadership is not None:
            return Role.LEADER
        if self._election is not None:
            return Role.CANDIDATE
        return Role.FOLLOWER if self._state.is_voter else Role.LEARNER

    @property
    def term(self) -> int:
        """The newest term that this member has seen."""
        return self._state.term

    @property
    def leader(self) -> str | None:
        """The leader's identity, if known."""
        return self._leader

    @property
    def log(self) -> RaftLog:
        """The entries in memory; not to be changed."""
        return self._state.log

    @property
    def membership(self) -> Membership:
        """The newest membership in the log."""
        return self._state.membership

    @property
    def commit_index(self) -> int:
        """The last entry that is known to be committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """The last entry that was given out to be applied."""
        return self._state.applied_index

    @property
    def failure(self) -> str | None:
        """Why this member stopped for good, if its disk failed."""
        return self._failure

    def lease_until(self, now: Millis) -> Millis:
        """Return until when this member is certainly the only leader; 0 if it is none."""
        return self._leadership.lease_until(now) if self._leadership else 0.0

    def responsive_members(self, now: Millis) -> frozenset[str]:
        """Return the members that this leader has heard from lately; empty if it is none."""
        return self._leadership.responsive_members(now) if self._leadership else frozenset()

    def match_index(self, peer: str) -> int:
        """Return the last index that a peer has acknowledged to this leader; 0 if it is none."""
        return self._leadership.match_index(peer) if self._leadership else 0

    @property
    def next_tick_at(self) -> Millis:
        """When the next ``Tick`` is due."""
        if self._failure is not None:
            return NEVER
        if self._leadership is not None:
            return self._leadership.next_heartbeat
        return self._deadline if self._state.is_voter else NEVER

    @property
    def _is_alone(self) -> bool:
        return self._state.membership.voter_ids == (self._state.member_id,)

    # Events

    def step(self, event: Event, now: Millis) -> list[Effect]:
        """Take in one event.

        Args:
            event: What happened.
            now: When, on a clock that never goes back.

        Returns:
            What is to be done, in this order.
        """
        if self._failure is None:
            self._handle(event, now)
        else:
            self._refuse(event)
        self._settle(now)
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
                self._receiver.on_spoilt(snapshot)
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
                tags = tuple(one.tag for one in proposals)
            case ReadBarrier(tag) | ChangeMembership(tag) | TransferLeadership(tag):
                tags = (tag,)
        for tag in tags:
            self._state.emit(Refused(tag, Refusal.NOT_LEADER, "this host is not the leader"))

    def _settle(self, now: Millis) -> None:
        if self._election is not None:
            if self._election.advance():
                self._on_vote_issued(now)
            if self._election.is_won:
                self._become_leader(now)
        self._state.maybe_take_snapshot()
        role = (self.role, self.term, self._leader)
        if role != self._told_role:
            self._told_role = role
            self._state.emit(RoleChanged(*role))
        if self.membership != self._told_membership:
            self._told_membership = self.membership
            self._state.emit(MembershipChanged(self.membership))

    def _on_tick(self, now: Millis) -> None:
        if self._leadership is not None:
            if self._leadership.has_lost_quorum(now) or self._leadership.must_step_down(now):
                self._become_follower(self.term, None, now)
                return
            self._leadership.tick(now)
        elif self._is_writing_vote:
            self._deadline = max(self._deadline, now + self._cfg.heartbeat)
        elif self._state.is_voter and now >= self._deadline:
            self._stand(now, transfer=False)

    @property
    def _is_writing_vote(self) -> bool:
        return self._state.persisted_number < self._vote_number

    def _on_vote_issued(self, now: Millis) -> None:
        self._vote_number = self._state.issued_number
        self._vote_asked_at = now

    def _on_vote_written(self, now: Millis) -> None:
        # The others' disks may be as slow as this one. A member that stood again before their
        # votes can be there would end its own election, and with slow disks all round nobody
        # would ever lead.
        span = now - self._vote_asked_at
        self._deadline = max(self._deadline, now + self._election_delay() + 2 * span)

    def _on_persisted(self, number: int, now: Millis) -> None:
        was_writing_vote = self._is_writing_vote
        self._state.on_persisted(number)
        if was_writing_vote and not self._is_writing_vote:
            self._on_vote_written(now)
        if self._election is not None:
            self._election.on_persisted()
        if self._leadership is not None:
            self._leadership.on_persisted()

    def _on_storage_failed(self, reason: str) -> None:
        if self._leadership is not None:
            self._leadership.abdicate()
            self._leadership.step_down()
        self._failure = reason
        self._leadership = None
        self._election = None
        self._leader = None

    # Elections

    def _election_delay(self) -> Millis:
        timeout = self._cfg.election_timeout
        return timeout + self._random.random() * timeout

    def _stand(self, now: Millis, transfer: bool) -> None:
        self._leader = None
        self._deadline = now + self._election_delay()
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
            self._deadline = now + self._election_delay()
        self._leadership = None
        self._election = None
        self._leader = leader
        if term > self.term:
            self._state.set_hard_state(term, "")

    def _follow(self, leader: str, now: Millis) -> None:
        if self._election is not None or self._leader != leader:
            self._become_follower(self.term, leader, now)
        self._heard_at = now
        self._deadline = now + self._election_delay()

    def _hears_leader(self, now: Millis) -> bool:
        if self._leadership is not None:
            return True
        return now < self._heard_at + self._cfg.election_timeout

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
            case Vote() if not message.transfer and self._hears_leader(now):
                # A member that was cut off, or was removed and doesn't know it, must not depose a
                # leader that the others hear from; and the leader's lease counts on it.
                self._state.send(sender, VoteReply(self.term, False))
                return
        if message.term < self.term:
            answer = answer_to_stale(message, self.term)
            if answer is not None:
                self._state.send(sender, answer)
            return
        if message.term > self.term:
            self._become_follower(message.term, None, now)
        self._on_current(sender, message, now)

    def _on_current(self, sender: str, message: Message, now: Millis) -> None:
        match message:
            case Vote():
                self._on_vote(sender, message, now)
            case VoteReply(granted=granted):
                if granted and self._election is not None:
                    self._election.on_vote_granted(sender)
            case Append():
                self._follow(sender, now)
                if not self._receiver.is_installing:
                    self._log_follower.on_append(sender, message)
            case Heartbeat():
                self._follow(sender, now)
                self._state.commit_to(message.commit)
                self._state.send(sender, HeartbeatReply(self.term, message.round))
            case SnapshotChunk():
                self._follow(sender, now)
                self._receiver.on_chunk(sender, message)
            case TimeoutNow():
                if self._state.is_voter and self._leadership is None:
                    self._stand(now, transfer=True)
            case AppendReply() if self._leadership is not None:
                self._leadership.on_append_reply(sender, message, now)
            case HeartbeatReply() if self._leadership is not None:
                self._leadership.on_heartbeat_reply(sender, message, now)
            case SnapshotReply() if self._leadership is not None:
                self._leadership.on_snapshot_reply(sender, message, now)

    def _on_pre_vote(self, sender: str, message: PreVote, now: Millis) -> None:
        granted = (
            message.term > self.term
            and not self._hears_leader(now)
            and self.log.is_up_to_date(message.last_index, message.last_term)
        )
        term = message.term if granted else self.term
        self._state.send(sender, PreVoteReply(term, granted))

    def _on_vote(self, sender: str, message: Vote, now: Millis) -> None:
        is_free = self._state.hard_state.vote in ("", sender)
        granted = is_free and self.log.is_up_to_date(message.last_index, message.last_term)
        if not granted:
            self._state.send(sender, VoteReply(self.term, False))
            return
        self._state.set_hard_state(self.term, sender)
        self._deadline = now + self._election_delay()
        self._on_vote_issued(now)
        self._state.send_persisted(sender, VoteReply(self.term, True))
