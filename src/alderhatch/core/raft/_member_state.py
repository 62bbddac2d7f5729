"""The state that all roles of a member share, and the effects of the current step."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from .effects import Apply, Effect, Persist, Send, TakeSnapshot
from .log_entry import EntryKind, HardState, LogEntry, SnapshotMeta
from .membership import Membership
from .messages import Message
from .raft_config import RaftConfig
from .raft_log import RaftLog


class _Write(NamedTuple):
    """A ``Persist`` effect that is not known to be on disk yet."""

    number: int
    last_index: int


class MemberState:
    """Term, vote and log, and how much is on disk, committed and applied."""

    def __init__(
        self, member_id: str, cfg: RaftConfig, hard_state: HardState, log: RaftLog
    ) -> None:
        self.member_id = member_id
        self.cfg = cfg
        self.hard_state = hard_state
        self.log = log
        self.commit_index = log.base_index
        self.applied_index = log.base_index
        self.persisted_index = log.last_index
        """The last index of this log that is on the disk of this host."""
        self.persisted_write_number = 0
        """The number of the last ``Persist`` effect that has completed."""
        self.snapshot_in_transfer = False
        """Whether a snapshot is being sent; a newer one would restart the transfer."""
        self._write_number = 0
        self._writes: deque[_Write] = deque()
        self._deferred_sends: deque[tuple[int, Send]] = deque()
        self._new_deferred_sends: list[Send] = []
        self._dirty_from: int | None = None
        self._hard_state_dirty = False
        self._outbox: list[Effect] = []
        self._snapshot_pending = False
        self._applied_bytes = 0

    @property
    def term(self) -> int:
        """The highest term that this member has seen."""
        return self.hard_state.term

    @property
    def membership(self) -> Membership:
        """The latest membership in the log, committed or not."""
        return self.log.membership

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter, so that it may start elections."""
        return self.membership.is_voter(self.member_id)

    @property
    def latest_write_number(self) -> int:
        """The number of the ``Persist`` effect that includes all changes so far."""
        return self._write_number + (1 if self._is_dirty else 0)

    @property
    def _is_dirty(self) -> bool:
        return self._hard_state_dirty or self._dirty_from is not None

    def emit(self, effect: Effect) -> None:
        """Add an effect to the current step."""
        self._outbox.append(effect)

    def send(self, to: str, message: Message) -> None:
        """Send a message that does not depend on pending writes."""
        self._outbox.append(Send(to, message))

    def send_persisted(self, to: str, message: Message) -> None:
        """Send a message once all changes so far are on disk.

        If a vote or an acknowledgement were sent earlier, a crash could undo what it confirms: the
        member could vote twice in a term, or a leader could count a copy that no longer exists, and
        an accepted change would be lost.
        """
        self._new_deferred_sends.append(Send(to, message))

    def set_hard_state(self, term: int, vote: str) -> None:
        """Set the term and the vote."""
        new_state = HardState(term, vote)
        if new_state == self.hard_state:
            return
        self.hard_state = new_state
        self._hard_state_dirty = True

    def append(
        self, kind: EntryKind, command: bytes = b"", membership: Membership | None = None
    ) -> LogEntry:
        """Append a new entry with the current term of this leader."""
        entry = LogEntry(self.log.last_index + 1, self.term, kind, command, membership)
        self.append_entry(entry)
        return entry

    def append_entry(self, entry: LogEntry) -> None:
        """Append an entry, which must have the next index."""
        self.log.append(entry)
        if self._dirty_from is None:
            self._dirty_from = entry.index

    def truncate_from(self, index: int) -> None:
        """Drop the entries from an index on, which a newer leader replaces.

        Raises:
            RuntimeError: If the entry is committed; a correct leader never replaces it.
        """
        if index <= self.commit_index:
            raise RuntimeError(f"can't truncate the log from committed entry {index}")
        self.log.truncate_from(index)
        self._cap_persisted(index - 1)
        if self._dirty_from is not None:
            self._dirty_from = min(self._dirty_from, index)

    def _cap_persisted(self, last_index: int) -> None:
        self.persisted_index = min(self.persisted_index, last_index)
        self._writes = deque(
            _Write(write.number, min(write.last_index, last_index)) for write in self._writes
        )

    def on_persisted(self, number: int) -> None:
        """Record that writes are on disk, and send the messages deferred until then."""
        self.persisted_write_number = max(self.persisted_write_number, number)
        while self._writes and self._writes[0].number <= number:
            self.persisted_index = max(self.persisted_index, self._writes.popleft().last_index)
        while self._deferred_sends and self._deferred_sends[0][0] <= number:
            self._outbox.append(self._deferred_sends.popleft()[1])

    def commit_to(self, index: int) -> None:
        """Raise the commit index and apply the newly committed entries."""
        index = min(index, self.log.last_index)
        if index <= self.commit_index:
            return
        self.commit_index = index
        entries = self.log.entries_between(self.applied_index + 1, index)
        self.applied_index = index
        self._applied_bytes += sum(entry.size for entry in entries)
        self.emit(Apply(entries))

    def maybe_take_snapshot(self) -> None:
        """Request a snapshot if enough entries were applied since the last one."""
        snapshot = self.log.snapshot
        snapshot_index = snapshot.index if snapshot else 0
        entries = self.applied_index - snapshot_index
        cfg = self.cfg
        threshold_factor = 4 if self.snapshot_in_transfer else 1
        is_due = entries >= cfg.compact_entries * threshold_factor
        is_due = is_due or self._applied_bytes >= cfg.compact_bytes * threshold_factor
        if not is_due or self._snapshot_pending or entries == 0:
            return
        index = self.applied_index
        term = self.log.term_at(index)
        if term is None:
            return
        self._snapshot_pending = True
        self._applied_bytes = 0
        self.emit(TakeSnapshot(index, term, self.log.membership_at(index)))

    def on_snapshot_saved(self, snapshot: SnapshotMeta) -> None:
        """Compact the log up to a new snapshot of this host."""
        self._snapshot_pending = False
        newest = self.log.snapshot
        if newest is not None and newest.index >= snapshot.index:
            return
        self.log.compact(snapshot, self.cfg.keep_entries)

    def on_snapshot_installed(self, snapshot: SnapshotMeta) -> None:
        """Restart the log after a snapshot received from the leader."""
        self.log.reset(snapshot)
        self._cap_persisted(snapshot.index)
        self.persisted_index = snapshot.index
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self._applied_bytes = 0
        self._snapshot_pending = False

    def flush(self) -> list[Effect]:
        """Return the effects of this step, with all pending writes in one ``Persist`` effect."""
        if self._is_dirty:
            self._write_number += 1
            first = self._dirty_from
            entries = () if first is None else self.log.entries_between(first, self.log.last_index)
            hard_state = self.hard_state if self._hard_state_dirty else None
            self.emit(Persist(self._write_number, hard_state, entries))
            self._writes.append(_Write(self._write_number, self.log.last_index))
            self._dirty_from = None
            self._hard_state_dirty = False
        for deferred in self._new_deferred_sends:
            if self._write_number <= self.persisted_write_number:
                self.emit(deferred)
            else:
                self._deferred_sends.append((self._write_number, deferred))
        self._new_deferred_sends.clear()
        effects = self._outbox
        self._outbox = []
        return effects
