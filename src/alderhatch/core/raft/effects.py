"""Effects that a member of the replicated log requests, to be executed in order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from .log_entry import HardState, LogEntry, SnapshotMeta
from .membership import Membership
from .messages import Message


class Role(StrEnum):
    """The current role of a member."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    LEARNER = "learner"


class Refusal(StrEnum):
    """Why a member refused a request without starting it."""

    NOT_LEADER = "not_leader"
    NOT_READY = "not_ready"
    """The leader has committed no entry of its term yet, or another change is uncommitted."""
    NOT_CAUGHT_UP = "not_caught_up"
    INVALID = "invalid"
    """The request is not possible with the current membership."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer, without guaranteed delivery."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class SendChunk:
    """Send part of the snapshot on this host as a ``SnapshotChunk``."""

    to: str
    term: int
    snapshot: SnapshotMeta
    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class Persist:
    """Write this to disk, then report ``Persisted``.

    An entry replaces all entries on disk from its index on.
    """

    number: int
    """Increases with each effect; several effects may be written to disk together."""
    hard_state: HardState | None
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries to the state machine, in order."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Write a snapshot of the current state to disk, then report ``SnapshotSaved``."""

    index: int
    term: int
    membership: Membership


@dataclass(frozen=True, slots=True)
class StoreChunk:
    """Store part of a snapshot that is being received."""

    snapshot: SnapshotMeta
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Write the received snapshot to disk and report the result.

    The result is ``SnapshotInstalled`` or ``SnapshotCorrupted``. The journal drops all its entries
    and continues after the snapshot.
    """

    snapshot: SnapshotMeta


@dataclass(frozen=True, slots=True)
class RestoreState:
    """Replace the state of the state machine by the snapshot on disk."""

    snapshot: SnapshotMeta


@dataclass(frozen=True, slots=True)
class Proposed:
    """A proposal or membership change was appended to the log, but is not committed yet."""

    tag: int
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Refused:
    """A request was refused and has had no effect."""

    tag: int
    refusal: Refusal
    message: str


@dataclass(frozen=True, slots=True)
class ReadReady:
    """A read is linearizable once the entry at this index is applied."""

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
    """The membership changed; the change can be rolled back until it is committed."""

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
