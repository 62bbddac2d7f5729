"""What the replicated log consists of."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from .membership import Membership

ENTRY_OVERHEAD_BYTES = 64
"""What an entry costs besides its command, on the wire and on disk, as an upper estimate."""


class EntryKind(IntEnum):
    """What an entry stands for. The numbers are on disk and never change."""

    NOOP = 0
    """A new leader's first entry; when it commits, everything before it has committed."""
    COMMAND = 1
    MEMBERSHIP = 2


class LogEntry(NamedTuple):
    """One place of the log."""

    index: int  # type: ignore[assignment]
    """The place, from 1 without gaps."""
    term: int
    """The term of the leader that put it there."""
    kind: EntryKind
    command: bytes = b""
    membership: Membership | None = None

    @property
    def size(self) -> int:
        """The entry's size in bytes, as an estimate for flow control."""
        return len(self.command) + ENTRY_OVERHEAD_BYTES


class HardState(NamedTuple):
    """What a member must never forget, besides its entries."""

    term: int = 0
    vote: str = ""
    """Whom it voted for in that term; empty for nobody."""


class SnapshotMeta(NamedTuple):
    """What is known of a snapshot without its bytes."""

    index: int  # type: ignore[assignment]
    """The last entry that the snapshot includes."""
    term: int
    """That entry's term."""
    membership: Membership
    size: int
    """How many bytes the state has."""
    checksum: str
    """The xxh3-128 of the bytes, in hexadecimal."""
