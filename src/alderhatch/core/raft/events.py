"""Events that a member of the replicated log handles."""

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
    """A message from a peer arrived."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class PeerConnected:
    """A link to a peer was opened; messages in flight on an earlier link may be lost."""

    peer: str


@dataclass(frozen=True, slots=True)
class Proposal:
    """A command, with the tag that identifies it in ``Proposed`` and ``Refused``."""

    tag: int
    command: bytes


@dataclass(frozen=True, slots=True)
class Propose:
    """Requests that commands are appended to the log together."""

    proposals: tuple[Proposal, ...]


@dataclass(frozen=True, slots=True)
class ReadBarrier:
    """Requests an index at which a read is linearizable."""

    tag: int


@dataclass(frozen=True, slots=True)
class AddLearner:
    """A membership change that adds a learner."""

    member: Member


@dataclass(frozen=True, slots=True)
class Promote:
    """A membership change that makes a learner that has caught up a voter."""

    member_id: str


@dataclass(frozen=True, slots=True)
class Remove:
    """A membership change that removes a member."""

    member_id: str


Change: TypeAlias = AddLearner | Promote | Remove


@dataclass(frozen=True, slots=True)
class ChangeMembership:
    """Requests one membership change."""

    tag: int
    change: Change


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Asks the leader to transfer its leadership to a voter, by default the most advanced one."""

    tag: int
    target: str | None = None


@dataclass(frozen=True, slots=True)
class Persisted:
    """All ``Persist`` effects up to this number are on disk."""

    number: int


@dataclass(frozen=True, slots=True)
class SnapshotSaved:
    """The snapshot of a ``TakeSnapshot`` effect is on disk."""

    snapshot: SnapshotMeta


@dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """A received snapshot is complete and on disk, and the journal starts after it."""

    snapshot: SnapshotMeta


@dataclass(frozen=True, slots=True)
class SnapshotCorrupted:
    """A received snapshot did not match its checksum and was discarded."""

    snapshot: SnapshotMeta


@dataclass(frozen=True, slots=True)
class StorageFailed:
    """The disk is full or failed; from now on nothing may be acknowledged."""

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
