"""The commands of the replicated log: batches of operations, and the answers to them."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypeAlias

from ...clock import Millis
from ...codec import Codec


class Batch(NamedTuple):
    """One command of the log with all operations that were pending at the same time."""

    at: Millis
    """The proposer's time in milliseconds since 1970; ignored if before the state's time."""
    operations: list[bytes]


class Change(NamedTuple):
    """A change requested by an operator."""

    change_id: str
    expected_revision: int
    who: str
    voters: list[str]
    """The voting control hosts when the leader proposed the change."""
    down: list[str]
    """The control hosts that the leader could not reach at that time."""
    action: bytes
    """An action, encoded by ``ACTIONS``."""


class RegisterEntry(NamedTuple):
    """Registers an entry process; it gets no lease before this is committed."""

    name: str
    incarnation: str
    """Unique for each start of the process."""
    zone: str
    address: str
    port: int
    link_address: str = ""
    link_port: int = 0
    """The port for links from other entries; 0 if it accepts none."""


class EntryKey(NamedTuple):
    """Identifies an entry process."""

    name: str
    incarnation: str


class RemoveEntries(NamedTuple):
    """Removes entries whose leases have expired or that have stopped."""

    entries: list[EntryKey]


class Claim(NamedTuple):
    """An entry requests permission to run a non-idempotent request."""

    caller: str
    request_id: str
    fingerprint: str
    """The fingerprint of the request body; another body with the same ID is refused."""
    entry: str
    incarnation: str
    token: str
    """Identifies this attempt; a repeated claim with the same token gets the same answer."""


class RecordOutcome(NamedTuple):
    """The holder of a claim stores the answer for resends."""

    caller: str
    request_id: str
    token: str
    outcome: bytes


class ReleaseClaim(NamedTuple):
    """The holder of a claim reports that no byte of the request was sent."""

    caller: str
    request_id: str
    token: str


class ReportCrash(NamedTuple):
    """An entry reports that a server crashed while it ran a body with this fingerprint."""

    fingerprint: str
    server: str
    """The server's ID."""
    entry: str


class AnnounceControl(NamedTuple):
    """A control host announces its addresses."""

    name: str
    zone: str
    address: str
    port: int
    operator_address: str
    operator_port: int


class KeepHouse(NamedTuple):
    """Advances the time, so that quarantines end when nothing else is proposed."""


Operation: TypeAlias = (
    Change
    | RegisterEntry
    | RemoveEntries
    | Claim
    | RecordOutcome
    | ReleaseClaim
    | ReportCrash
    | AnnounceControl
    | KeepHouse
)


class HistoryItem(NamedTuple):
    """One accepted change in the history."""

    revision: int
    at: Millis
    who: str
    change_id: str
    action: str
    target: str
    summary: str


class FaultItem(NamedTuple):
    """One fault in a change's rules."""

    position: int
    rule: str
    field: str
    message: str


class ChangeAccepted(NamedTuple):
    """The answer to an accepted change."""

    change_id: str
    revision: int
    version: int
    """The feed version that every entry has to reach for the change to be in force."""
    at: Millis
    changed: bool
    repeated: bool = False


class ChangeRefused(NamedTuple):
    """The answer to a refused change, of which nothing is applied."""

    kind: str
    """One of ``ErrorKind``."""
    message: str
    field: str | None
    current_revision: int
    faults: list[FaultItem]
    won: list[HistoryItem]
    """The changes accepted since the expected revision, newest first."""
    repeated: bool = False


class ClaimStatus(StrEnum):
    """The decision on a claim."""

    GRANTED = "granted"
    """Only the holder of the token may run the request."""
    STORED = "stored"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    REUSED = "reused"
    TOO_OLD = "too_old"
    NOT_REGISTERED = "not_registered"
    """The entry process is not registered; the claim is certainly not granted."""
    FULL = "full"
    """The ledger has no room; the claim is certainly not granted."""
    WITHDRAWN = "withdrawn"
    """The token was released or refused before."""


class ClaimAnswer(NamedTuple):
    """The answer to a claim."""

    status: ClaimStatus
    outcome: bytes | None = None
    """The stored answer if the status is ``stored``."""


class Noted(NamedTuple):
    """The answer to all other operations."""

    applied: bool
    """False if the operation was no longer valid for the state and changed nothing."""
    message: str = ""


Answer: TypeAlias = ChangeAccepted | ChangeRefused | ClaimAnswer | Noted

OPERATIONS = Codec(
    Change,
    RegisterEntry,
    RemoveEntries,
    Claim,
    RecordOutcome,
    ReleaseClaim,
    ReportCrash,
    AnnounceControl,
    KeepHouse,
)
"""Encodes and decodes single operations."""

BATCHES = Codec(Batch)
"""Encodes and decodes the commands of the log."""

ANSWERS_CODEC = Codec(ChangeAccepted, ChangeRefused, ClaimAnswer, Noted)
"""Encodes and decodes answers."""
