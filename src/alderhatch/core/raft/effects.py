"""What a member of the replicated log wants done. Effects are carried out in their order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from .log_entry import HardState, LogEntry, SnapshotMeta
from .membership import Membership
from .messages import Message


class Role(StrEnum):
    """The part that a member plays now."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    LEARNER = "learner"


class Refusal(StrEnum):
    """Why something asked of a member was not even begun."""

    NOT_LEADER = "not_leader"
    NOT_READY = "not_ready"
    """The leader has not committed anything in its term yet, or another change is under way."""
    NOT_CAUGHT_UP = "not_caught_up"
    INVALID = "invalid"
    """The change makes no sense with the present membership."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer; it may get lost."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class SendChunk:
    """Send a piece of this host's snapshot as a ``SnapshotChunk``."""

    to: str
    term: int
    snapshot: SnapshotMeta
    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class Persist:
    """Put this on disk, then tell ``Persisted``.

    An entry replaces whatever is on disk at its index and behind it.
    """

    number: int
    """Counts up; several may be put on disk together."""
    hard_state: HardState | None
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries to the state machine, in order."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Take the state as it is now, put it on disk, then tell ``SnapshotSaved``."""

    index: int
    term: int
    membership: Membership


@dataclass(frozen=True, slots=True)
class StoreChunk:
    """Keep a piece of a snapshot that is being received."""

    snapshot: SnapshotMeta
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Put the received snapshot on disk, then tell ``SnapshotInstalled`` or ``SnapshotCorrupted``.

    The journal forgets all its entries, and goes on behind the snapshot.
    """

    snapshot: SnapshotMeta


@dataclass(frozen=True, slots=True)
class RestoreState:
    """Replace the state machine's state by that of the snapshot on disk."""

    snapshot: SnapshotMeta


@dataclass(frozen=True, slots=True)
class Proposed:
    """A proposal or a membership change has a place in the log, but is not committed yet."""

    tag: int
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Refused:
    """What was asked has certainly not happened."""

    tag: int
    refusal: Refusal
    message: str


@dataclass(frozen=True, slots=True)
class ReadReady:
    """A read is linearizable once this index is applied."""

    tag: int
    index: int


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """The role, the term or the known leader changed."""

    role: Role
    term: int
    leader: str | None


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """The membership changed; it may be taken back while it is not committed."""

    membership: Membership


Effect: TypeAlias = (
    Send
    | SendChunk
    | Persist
    | Apply
    | TakeSnapshot
    | StoreChunk
    | InstallSnapshot
    | RestoreState
    | Proposed
    | Refused
    | ReadReady
    | RoleChanged
    | MembershipChanged
)
