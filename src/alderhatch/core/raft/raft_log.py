"""The entries that a member has in memory."""

from __future__ import annotations

from .log_entry import LogEntry, SnapshotMeta
from .membership import Membership


class RaftLog:
    """Entries without gaps behind a base that a snapshot covers."""

    def __init__(self, snapshot: SnapshotMeta | None, entries: tuple[LogEntry, ...]) -> None:
        self.snapshot = snapshot
        """The newest snapshot that is on disk."""
        self.base_index = snapshot.index if snapshot else 0
        """The index before the first entry in memory."""
        self.base_term = snapshot.term if snapshot else 0
        self._entries = list(entries)
        self._memberships: list[tuple[int, Membership]] = [
            (self.base_index, snapshot.membership if snapshot else Membership())
        ]
        for entry in entries:
            self._note_membership(entry)

    @property
    def last_index(self) -> int:
        """The index of the last entry, or that of the base."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or that of the base."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> Membership:
        """The newest membership; it counts from when it is in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """The index of the newest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> Membership:
        """Return the membership that was the newest at an index."""
        return next(one for at, one in reversed(self._memberships) if at <= index)

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, or None if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entries_between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = first - self.base_index - 1
        return tuple(self._entries[max(start, 0) : max(last - self.base_index, 0)])

    def batch(self, first: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first`` on, at least one if there is one, up to a size."""
        start = first - self.base_index - 1
        size = 0
        end = start
        while end < len(self._entries):
            size += self._entries[end].size
            if size > max_bytes and end > start:
                break
            end += 1
        return tuple(self._entries[start:end])

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Return whether a log that ends so holds everything this one may have committed."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def append(self, entry: LogEntry) -> None:
        """Add the next entry.

        Raises:
            ValueError: If it is not the next one.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow on {self.last_index}")
        self._entries.append(entry)
        self._note_membership(entry)

    def truncate_from(self, index: int) -> None:
        """Drop the entry at an index and all behind it."""
        del self._entries[index - self.base_index - 1 :]
        while self._memberships[-1][0] >= index and len(self._memberships) > 1:
            self._memberships.pop()

    def compact(self, snapshot: SnapshotMeta, keep_entries: int) -> None:
        """Adopt this host's newer snapshot and drop what nobody needs any more.

        Args:
            snapshot: A snapshot of applied entries.
            keep_entries: How many entries before it stay in memory.
        """
        self.snapshot = snapshot
        base = snapshot.index - keep_entries
        if base <= self.base_index:
            return
        membership = self.membership_at(base)
        term = self.term_at(base)
        if term is None:
            raise ValueError(f"a snapshot at {snapshot.index} is beyond the log")
        del self._entries[: base - self.base_index]
        newer = [one for one in self._memberships if one[0] > base]
        self._memberships = [(base, membership), *newer]
        self.base_index = base
        self.base_term = term

    def reset(self, snapshot: SnapshotMeta) -> None:
        """Start anew behind a snapshot that came from a leader."""
        self.__init__(snapshot, ())  # type: ignore[misc]

    def _note_membership(self, entry: LogEntry) -> None:
        if entry.membership is not None:
            self._memberships.append((entry.index, entry.membership))
