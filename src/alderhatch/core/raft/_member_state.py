"""The state that every role of a member shares, and the outbox of its effects."""

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
    """A ``Persist`` effect that is on its way to the disk."""

    number: int
    last_index: int


class MemberState:
    """Term, vote and log, what of them is on disk, and what is committed and applied."""

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
        """The last index of this log that is on this host's disk."""
        self.persisted_number = 0
        """The number of the last ``Persist`` effect that is done."""
        self.keep_snapshot = False
        """A snapshot is being sent; a newer one would make the transfer start anew."""
        self._number = 0
        self._writes: deque[_Write] = deque()
        self._held: deque[tuple[int, Send]] = deque()
        self._new_held: list[Send] = []
        self._dirty_from: int | None = None
        self._hard_state_dirty = False
        self._outbox: list[Effect] = []
        self._snapshot_pending = False
        self._applied_bytes = 0

    @property
    def term(self) -> int:
        """The newest term that this member has seen."""
        return self.hard_state.term

    @property
    def membership(self) -> Membership:
        """The newest membership in the log."""
        return self.log.membership

    @property
    def is_voter(self) -> bool:
        """Whether this member may stand for election."""
        return self.membership.is_voter(self.member_id)

    @property
    def issued_number(self) -> int:
        """The number that the next or newest ``Persist`` effect with all changes so far has."""
        return self._number + (1 if self._is_dirty else 0)

    @property
    def _is_dirty(self) -> bool:
        return self._hard_state_dirty or self._dirty_from is not None

    def emit(self, effect: Effect) -> None:
        """Want something done."""
        self._outbox.append(effect)

    def send(self, to: str, message: Message) -> None:
        """Send a message that promises nothing about this host's disk."""
        self._outbox.append(Send(to, message))

    def send_persisted(self, to: str, message: Message) -> None:
        """Send a message once all that was changed so far is on disk.

        A vote or an acknowledgement that left before would be forgotten by a crash: the member
        could vote twice in a term, or a leader count a copy that is gone. An accepted change would
        be lost.
        """
        self._new_held.append(Send(to, message))

    def set_hard_state(self, term: int, vote: str) -> None:
        """Change the term and the vote."""
        wanted = HardState(term, vote)
        if wanted == self.hard_state:
            return
        self.hard_state = wanted
        self._hard_state_dirty = True

    def append(
        self, kind: EntryKind, command: bytes = b"", membership: Membership | None = None
    ) -> LogEntry:
        """Put a new entry of this leader's term on the log."""
        entry = LogEntry(self.log.last_index + 1, self.term, kind, command, membership)
        self.append_entry(entry)
        return entry

    def append_entry(self, entry: LogEntry) -> None:
        """Put the next entry on the log."""
        self.log.append(entry)
        if self._dirty_from is None:
            self._dirty_from = entry.index

    def truncate_from(self, index: int) -> None:
        """Drop entries that a newer leader replaces.

        Raises:
            RuntimeError: If a committed entry would go, which no correct leader asks for.
        """
        if index <= self.commit_index:
            raise RuntimeError(f"entry {index} is committed and can't be replaced")
        self.log.truncate_from(index)
        self._cap_persisted(index - 1)
        if self._dirty_from is not None:
            self._dirty_from = min(self._dirty_from, index)

    def _cap_persisted(self, last_index: int) -> None:
        self.persisted_index = min(self.persisted_index, last_index)
        self._writes = deque(
            _Write(one.number, min(one.last_index, last_index)) for one in self._writes
        )

    def on_persisted(self, number: int) -> None:
        """Note that writes are on disk and release what waited for them."""
        self.persisted_number = max(self.persisted_number, number)
        while self._writes and self._writes[0].number <= number:
            self.persisted_index = max(self.persisted_index, self._writes.popleft().last_index)
        while self._held and self._held[0][0] <= number:
            self._outbox.append(self._held.popleft()[1])

    def commit_to(self, index: int) -> None:
        """Raise the commit index and apply what is newly committed."""
        index = min(index, self.log.last_index)
        if index <= self.commit_index:
            return
        self.commit_index = index
        entries = self.log.entries_between(self.applied_index + 1, index)
        self.applied_index = index
        self._applied_bytes += sum(entry.size for entry in entries)
        self.emit(Apply(entries))

    def maybe_take_snapshot(self) -> None:
        """Ask for a snapshot when enough was applied since the last one."""
        snapshot = self.log.snapshot
        covered = snapshot.index if snapshot else 0
        entries = self.applied_index - covered
        cfg = self.cfg
        patience = 4 if self.keep_snapshot else 1
        due = entries >= cfg.compact_entries * patience
        due = due or self._applied_bytes >= cfg.compact_bytes * patience
        if not due or self._snapshot_pending or entries == 0:
            return
        index = self.applied_index
        term = self.log.term_at(index)
        if term is None:
            return
        self._snapshot_pending = True
        self._applied_bytes = 0
        self.emit(TakeSnapshot(index, term, self.log.membership_at(index)))

    def on_snapshot_saved(self, snapshot: SnapshotMeta) -> None:
        """Drop the entries that a new snapshot of this host covers."""
        self._snapshot_pending = False
        newest = self.log.snapshot
        if newest is not None and newest.index >= snapshot.index:
            return
        self.log.compact(snapshot, self.cfg.keep_entries)

    def on_snapshot_installed(self, snapshot: SnapshotMeta) -> None:
        """Go on behind a snapshot that came from a leader."""
        self.log.reset(snapshot)
        self._cap_persisted(snapshot.index)
        self.persisted_index = snapshot.index
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self._applied_bytes = 0
        self._snapshot_pending = False

    def flush(self) -> list[Effect]:
        """Return the effects of one step, with everything that must reach the disk in one write."""
        if self._is_dirty:
            self._number += 1
            first = self._dirty_from
            entries = () if first is None else self.log.entries_between(first, self.log.last_index)
            hard_state = self.hard_state if self._hard_state_dirty else None
            self.emit(Persist(self._number, hard_state, entries))
            self._writes.append(_Write(self._number, self.log.last_index))
            self._dirty_from = None
            self._hard_state_dirty = False
        for held in self._new_held:
            if self._number <= self.persisted_number:
                self.emit(held)
            else:
                self._held.append((self._number, held))
        self._new_held.clear()
        effects = self._outbox
        self._outbox = []
        return effects
