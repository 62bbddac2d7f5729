"""Carries out what the state machine of the replicated log wants done."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TypeAlias, cast

import trio

from ..clock import SECOND, LoopClock
from ..core.raft.effects import (
    Apply,
    Effect,
    InstallSnapshot,
    MembershipChanged,
    Persist,
    Proposed,
    ReadReady,
    Refused,
    RestoreState,
    Role,
    RoleChanged,
    Send,
    SendChunk,
    StoreChunk,
    TakeSnapshot,
)
from ..core.raft.events import Event, PeerConnected, Received, StorageFailed, Tick
from ..core.raft.log_entry import EntryKind, HardState, LogEntry, SnapshotMeta
from ..core.raft.membership import Membership
from ..core.raft.messages import Message, SnapshotChunk
from ..core.raft.raft_log import RaftLog
from ..core.raft.raft_node import NEVER, RaftNode
from ..errors import ErrorKind
from ..log import log_event
from ..log_events import LogEvent
from ..storage.data_folder import DataFolder
from ._log_links import LogLinks, PeerAddress
from ._log_waiters import RefusedError, Waiters, failed
from ._log_writer import LogWriter, SaveState
from .log_node_config import LogNodeConfig
from .replicated_log import LogStatus, StateMachine, SyncFigures

RoleCallback: TypeAlias = Callable[[Role, int, str | None], None]
"""Takes the role, the term and the leader's host name."""


class LogDriver:
    """One ``RaftNode`` with the clock, the disk, the links and the state machine round it."""

    def __init__(
        self,
        name: str,
        storage: DataFolder,
        state_machine: StateMachine,
        cfg: LogNodeConfig,
        links: LogLinks,
        waiters: Waiters,
        random: Random,
        on_role: RoleCallback | None,
        silent_since: float | None = None,
    ) -> None:
        self._name = name
        self._storage = storage
        self._state_machine = state_machine
        self._cfg = cfg
        self._links = links
        self._waiters = waiters
        self._random = random
        self._on_role = on_role
        self._silent_since = silent_since
        self._clock = LoopClock()
        self._writer = LogWriter(storage, cfg.sync_in_thread, self.step)
        self._woken = trio.Event()
        self._sleeps_until = NEVER
        self.node = self._new_node(HardState(), RaftLog(None, ()), 0.0)
        """The state machine of the log."""

    def _new_node(self, hard_state: HardState, log: RaftLog, now: float) -> RaftNode:
        member_id = self._storage.member_id
        return RaftNode(
            member_id, self._cfg.raft, self._random, hard_state, log, now, self._silent_since
        )

    # Life

    def start(self) -> None:
        """Begin, or begin anew after the founding, with what is on disk.

        A folder that is in no cluster takes no part: what it holds, if anything, is a founding
        that was interrupted.
        """
        storage = self._storage
        if storage.truncated_bytes:
            log_event(LogEvent.LOG_TAIL_CUT, bytes=storage.truncated_bytes)
        hard_state, log = HardState(), RaftLog(None, ())
        if storage.cluster_id:
            hard_state, log = storage.hard_state, storage.log
        if log.snapshot is not None:
            self._restore(log.snapshot)
        self.node = self._new_node(hard_state, log, self._clock.now())
        self._know_members(self.node.membership)
        self._wake()

    async def run(self) -> None:
        """Keep time and write until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._writer.run)
            while True:
                await self._sleep()
                if self._clock.now() >= self.node.next_tick_at:
                    self.step(Tick())

    async def _sleep(self) -> None:
        self._woken = trio.Event()
        self._sleeps_until = self.node.next_tick_at
        span = max(self._sleeps_until - self._clock.now(), 0.0)
        with trio.move_on_after(span / SECOND):
            await self._woken.wait()

    def _wake(self) -> None:
        if self.node.next_tick_at < self._sleeps_until:
            self._woken.set()

    # Events

    def receive(self, sender: str, message: object) -> None:
        """Take a message from a member of this cluster."""
        self.step(Received(sender, cast(Message, message)))

    def connected(self, member_id: str) -> None:
        """Note that a link to a member is open."""
        self.step(PeerConnected(member_id))

    def join(self, cluster_id: str) -> bool:
        """Return whether this host is in that cluster; one that is in none joins it."""
        storage = self._storage
        if storage.cluster_id:
            return storage.cluster_id == cluster_id
        try:
            storage.join(cluster_id)
        except OSError as exc:
            self.step(StorageFailed(str(exc)))
            return False
        log_event(LogEvent.LOG_JOINED, cluster=cluster_id, member=storage.member_id)
        self._links.greet_all()
        return True

    def step(self, event: Event) -> None:
        """Take in an event and carry out what follows from it."""
        if isinstance(event, StorageFailed) and self.node.failure is None:
            log_event(LogEvent.LOG_STORAGE_FAILED, why=event.reason)
        for effect in self.node.step(event, self._clock.now()):
            self._carry_out(effect)
        if isinstance(event, StorageFailed):
            self._waiters.fail_all(ErrorKind.STORAGE_FAILED, event.reason)
        self._wake()

    # Effects

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send(to, message):
                self._links.send(to, message)
            case SendChunk():
                self._send_chunk(effect)
            case Persist() | StoreChunk() | InstallSnapshot():
                self._writer.add(effect)
            case TakeSnapshot():
                self._writer.add(SaveState(effect, self._state_machine.snapshot()))
            case Apply(entries):
                for entry in entries:
                    self._apply(entry)
            case RestoreState(snapshot):
                self._restore(snapshot)
            case Proposed(tag, index, term):
                self._waiters.place(tag, index, term)
            case Refused(tag, refusal, message):
                self._waiters.fail(tag, RefusedError(refusal, message))
            case ReadReady(tag, index):
                self._waiters.resolve(tag, index)
            case RoleChanged(role, term, leader):
                self._role_changed(role, term, leader)
            case MembershipChanged(membership):
                self._know_members(membership)

    def _send_chunk(self, effect: SendChunk) -> None:
        snapshot = effect.snapshot
        try:
            data = self._storage.read_chunk(snapshot, effect.offset, effect.length)
        except OSError as exc:
            self._writer.fail(exc)
            return
        if data is not None:
            chunk = SnapshotChunk(effect.term, snapshot, effect.offset, data)
            self._links.send(effect.to, chunk)

    def _apply(self, entry: LogEntry) -> None:
        result: object = None
        if entry.kind is EntryKind.COMMAND:
            result = self._state_machine.apply(entry.index, entry.command)
        self._waiters.applied(entry.index, entry.term, result)

    def _restore(self, snapshot: SnapshotMeta) -> None:
        state = self._storage.read_snapshot(snapshot)
        if state is None:
            raise RuntimeError(f"the snapshot at {snapshot.index} is not on disk")
        self._state_machine.restore(state)
        log_event(LogEvent.LOG_STATE_RESTORED, index=snapshot.index, bytes=snapshot.size)

    def _role_changed(self, role: Role, term: int, leader: str | None) -> None:
        if role is not Role.LEADER:
            self._waiters.lose_leadership()
        name = self._host_name(leader)
        log_event(LogEvent.LOG_ROLE_CHANGED, role=role, term=term, leader=name)
        if self._on_role is not None:
            self._on_role(role, term, name)

    def _know_members(self, membership: Membership) -> None:
        for member in membership.members:
            self._links.know(PeerAddress(member.name, member.address, member.port))

    def _host_name(self, member_id: str | None) -> str | None:
        if member_id is None:
            return None
        member = self.node.membership.find(member_id)
        return member.name if member else member_id.rpartition(".")[0]

    def check_usable(self) -> None:
        """Refuse a request if this host's disk failed.

        Raises:
            AlderhatchError: With kind ``storage_failed``.
        """
        if self.node.failure is not None:
            raise failed(ErrorKind.STORAGE_FAILED, self.node.failure)

    def sync_figures(self) -> SyncFigures:
        """Return how the journal was synced so far."""
        return self._writer.syncs

    def status(self) -> LogStatus:
        """Return what this host knows of the log now."""
        node = self.node
        snapshot = node.log.snapshot
        return LogStatus(
            host=self._name,
            role=node.role,
            term=node.term,
            leader=self._host_name(node.leader),
            last_index=node.log.last_index,
            commit_index=node.commit_index,
            applied_index=node.applied_index,
            snapshot_index=snapshot.index if snapshot else 0,
            voters=tuple(one.name for one in node.membership.voters),
            learners=tuple(one.name for one in node.membership.learners),
            storage_failure=node.failure,
        )
