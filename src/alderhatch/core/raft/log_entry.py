"""Entries, hard state and snapshot metadata of the replicated log."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from .membership import Membership

ENTRY_OVERHEAD_BYTES = 64
"""Upper estimate of the bytes that an entry adds to its command, on the wire and on disk."""


class EntryKind(IntEnum):
    """The kind of an entry. The values are stored on disk and never change."""

    NOOP = 0
    """The first entry of a new leader; committing it commits all entries before it."""
    COMMAND = 1
    MEMBERSHIP = 2


class LogEntry(NamedTuple):
    """One entry of the log."""

    index: int  # type: ignore[assignment]
    """The position in the log, from 1 without gaps."""
    term: int
    """The term of the leader that appended it."""
    kind: EntryKind
    command: bytes = b""
    membership: Membership | None = None

    @property
    def size(self) -> int:
        """The entry's size in bytes, as an estimate for flow control."""
        return len(self.command) + ENTRY_OVERHEAD_BYTES


class HardState(NamedTuple):
    """The state that a member must keep on disk besides its entries."""

    term: int = 0
    vote: str = ""
    """The ID of the member that it voted for in that term; empty if none."""


class SnapshotMeta(NamedTuple):
    """The description of a snapshot, without its data."""

    index: int  # type: ignore[assignment]
    """The index of the last entry that the snapshot includes."""
    term: int
    """The term of that entry."""
    membership: Membership
    size: int
    """The size of the data in bytes."""
    checksum: str
    """The xxh3-128 hash of the data, in hexadecimal."""
