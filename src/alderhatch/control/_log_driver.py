"""Drives a ``RaftNode``: feeds it events and carries out the effects that it returns."""

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
from ..task_faults import TaskKind, record_task_fault
from ._log_links import LogLinks, PeerAddress
from ._log_writer import LogWriter, SaveSnapshot
from ._pending_requests import PendingRequests, RefusedError, request_error
from .log_node_config import LogNodeConfig
from .replicated_log import LogStatus, StateMachine, SyncStats

RoleCallback: TypeAlias = Callable[[Role, int, str | None], None]
"""Called with the role, the term and the leader's host name."""


class LogDriver:
    """Connects one ``RaftNode`` to the clock, the disk, the links and the state machine."""

    def __init__(
        self,
        name: str,
        storage: DataFolder,
        state_machine: StateMachine,
        cfg: LogNodeConfig,
        links: LogLinks,
        pending_requests: PendingRequests,
        random: Random,
        on_role: RoleCallback | None,
        silent_since: float | None = None,
    ) -> None:
        self._name = name
        self._storage = storage
        self._state_machine = state_machine
        self._cfg = cfg
        self._links = links
        self._pending = pending_requests
        self._random = random
        self._on_role = on_role
        self._silent_since = silent_since
        self._clock = LoopClock()
        self._writer = LogWriter(storage, cfg.sync_in_thread, self.step)
        self._wake_event = trio.Event()
        self._wake_time = NEVER
        self._has_failed_step = False
        """Whether a step has failed, so that no further one may be taken."""
        self.node = self._new_node(HardState(), RaftLog(None, ()), 0.0)
        """The Raft algorithm, without input and output."""

    def _new_node(self, hard_state: HardState, log: RaftLog, now: float) -> RaftNode:
        member_id = self._storage.member_id
        return RaftNode(
            member_id, self._cfg.raft, self._random, hard_state, log, now, self._silent_since
        )

    # Life cycle

    def start(self) -> None:
        """Start from the data on disk; called again after the log has been bootstrapped.

        Data in a folder without a cluster ID is ignored: it comes from an interrupted bootstrap.
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
        self._add_peers(self.node.membership)
        self._wake()

    async def run(self) -> None:
        """Write to disk and send a ``Tick`` whenever one is due, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._writer.run)
            while True:
                await self._sleep()
                if self._clock.now() >= self.node.next_tick_at:
                    self.step(Tick())

    async def _sleep(self) -> None:
        self._wake_event = trio.Event()
        self._wake_time = self.node.next_tick_at
        delay = max(self._wake_time - self._clock.now(), 0.0)
        with trio.move_on_after(delay / SECOND):
            await self._wake_event.wait()

    def _wake(self) -> None:
        if self.node.next_tick_at < self._wake_time:
            self._wake_event.set()

    # Events

    def receive(self, sender: str, message: object) -> None:
        """Process a message from a member of this cluster."""
        self.step(Received(sender, cast(Message, message)))

    def on_connected(self, member_id: str) -> None:
        """Report to the Raft node that a link to a member is open."""
        self.step(PeerConnected(member_id))

    def join(self, cluster_id: str) -> bool:
        """Return whether this host belongs to the cluster; a host without a cluster joins it."""
        storage = self._storage
        if storage.cluster_id:
            return storage.cluster_id == cluster_id
        try:
            storage.join(cluster_id)
        except OSError as exc:
            self.step(StorageFailed(str(exc)))
            return False
        log_event(LogEvent.LOG_JOINED, cluster=cluster_id, member=storage.member_id)
        self._links.send_hellos()
        return True

    def step(self, event: Event) -> None:
        """Process an event and carry out the resulting effects, unless a step has failed before."""
        if self._has_failed_step:
            return
        if isinstance(event, StorageFailed) and self.node.failure is None:
            log_event(LogEvent.LOG_STORAGE_FAILED, why=event.reason)
        try:
            for effect in self.node.step(event, self._clock.now()):
                self._execute(effect)
        except Exception as exc:
            self._on_step_failed(exc)
        if isinstance(event, StorageFailed):
            self._pending.fail_all(ErrorKind.STORAGE_FAILED, event.reason)
        self._wake()

    def _on_step_failed(self, exc: Exception) -> None:
        """Stop this member, as its state may be half changed; what is on its disk is whole.

        If it went on, it might vote or acknowledge by a state that no member can have.
        """
        record_task_fault(TaskKind.LOG_STEP, exc)
        reason = f"a step of the log failed: {exc!r}"
        self._has_failed_step = True
        self.node.fail(reason)
        self._pending.fail_all(ErrorKind.CHANGE_UNKNOWN, reason)

    # Effects

    def _execute(self, effect: Effect) -> None:
        match effect:
            case Send(to, message):
                self._links.send(to, message)
            case SendChunk():
                self._send_chunk(effect)
            case Persist() | StoreChunk() | InstallSnapshot():
                self._writer.add(effect)
            case TakeSnapshot():
                self._writer.add(SaveSnapshot(effect, self._state_machine.snapshot()))
            case Apply(entries):
                for entry in entries:
                    self._apply(entry)
            case RestoreState(snapshot):
                self._restore(snapshot)
            case Proposed(tag, index, term):
                self._pending.record_entry(tag, index, term)
            case Refused(tag, refusal, message):
                self._pending.fail(tag, RefusedError(refusal, message))
            case ReadReady(tag, index):
                self._pending.resolve(tag, index)
            case RoleChanged(role, term, leader):
                self._on_role_changed(role, term, leader)
            case MembershipChanged(membership):
                self._add_peers(membership)

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
        self._pending.on_applied(entry.index, entry.term, result)

    def _restore(self, snapshot: SnapshotMeta) -> None:
        state = self._storage.read_snapshot(snapshot)
        if state is None:
            raise RuntimeError(f"no snapshot with last index {snapshot.index} on disk")
        self._state_machine.restore(state)
        log_event(LogEvent.LOG_STATE_RESTORED, index=snapshot.index, bytes=snapshot.size)

    def _on_role_changed(self, role: Role, term: int, leader: str | None) -> None:
        if role is not Role.LEADER:
            self._pending.on_leadership_lost()
        name = self._host_name(leader)
        log_event(LogEvent.LOG_ROLE_CHANGED, role=role, term=term, leader=name)
        if self._on_role is not None:
            self._on_role(role, term, name)

    def _add_peers(self, membership: Membership) -> None:
        for member in membership.members:
            self._links.add_peer(PeerAddress(member.name, member.address, member.port))

    def _host_name(self, member_id: str | None) -> str | None:
        if member_id is None:
            return None
        member = self.node.membership.find(member_id)
        return member.name if member else member_id.rpartition(".")[0]

    def check_usable(self) -> None:
        """Raise an error if this member has stopped.

        Raises:
            AlderhatchError: ``storage_failed`` if its disk or a step has failed.
        """
        if self.node.failure is not None:
            raise request_error(ErrorKind.STORAGE_FAILED, self.node.failure)

    def sync_stats(self) -> SyncStats:
        """Return how many times the journal was synced, and the total time that took."""
        return self._writer.stats

    def status(self) -> LogStatus:
        """Return the state of the log as this host currently sees it."""
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
            voters=tuple(voter.name for voter in node.membership.voters),
            learners=tuple(learner.name for learner in node.membership.learners),
            storage_failure=node.failure,
        )
