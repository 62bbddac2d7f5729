"""What can happen to a member of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from .log_entry import SnapshotMeta
from .membership import Member
from .messages import Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Received:
    """A message came in."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class PeerConnected:
    """A link to a peer was opened; whatever was on its way over an older one may be lost."""

    peer: str


@dataclass(frozen=True, slots=True)
class Proposal:
    """A command with the tag under which its fate is told."""

    tag: int
    command: bytes


@dataclass(frozen=True, slots=True)
class Propose:
    """Commands to put on the log together."""

    proposals: tuple[Proposal, ...]


@dataclass(frozen=True, slots=True)
class ReadBarrier:
    """Asks for an index at which a read is linearizable."""

    tag: int


@dataclass(frozen=True, slots=True)
class AddLearner:
    """A membership change: one learner more."""

    member: Member


@dataclass(frozen=True, slots=True)
class Promote:
    """A membership change: a learner that has caught up becomes a voter."""

    member_id: str


@dataclass(frozen=True, slots=True)
class Remove:
    """A membership change: a member goes."""

    member_id: str


Change: TypeAlias = AddLearner | Promote | Remove


@dataclass(frozen=True, slots=True)
class ChangeMembership:
    """Asks for one membership change."""

    tag: int
    change: Change


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Asks the leader to hand over to the peer that is furthest on, or to the one named."""

    tag: int
    target: str | None = None


@dataclass(frozen=True, slots=True)
class Persisted:
    """All ``Persist`` effects up to this number are on disk."""

    number: int


@dataclass(frozen=True, slots=True)
class SnapshotSaved:
    """The state taken for a ``TakeSnapshot`` effect is on disk."""

    snapshot: SnapshotMeta


@dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """A received snapshot is whole, on disk, and the journal starts behind it."""

    snapshot: SnapshotMeta


@dataclass(frozen=True, slots=True)
class SnapshotCorrupted:
    """A received snapshot did not have its checksum and was thrown away."""

    snapshot: SnapshotMeta


@dataclass(frozen=True, slots=True)
class StorageFailed:
    """The disk is full or failed; nothing may be acknowledged from now on."""

    reason: str


Event: TypeAlias = (
    Tick
    | Received
    | PeerConnected
    | Propose
    | ReadBarrier
    | ChangeMembership
    | TransferLeadership
    | Persisted
    | SnapshotSaved
    | SnapshotInstalled
    | SnapshotCorrupted
    | StorageFailed
)
