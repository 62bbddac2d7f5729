"""What stands in the replicated log: batches of operations, and the answer to each operation."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypeAlias

from ...clock import Millis
from ...codec import Codec


class Batch(NamedTuple):
    """One command of the log: operations that were waiting at the same time."""

    at: Millis
    """The proposer's time in milliseconds since 1970; the state never lets it go back."""
    operations: list[bytes]


class Change(NamedTuple):
    """An operator's change."""

    change_id: str
    expected_revision: int
    who: str
    voters: list[str]
    """The voting control hosts as the leader knew them when it proposed the change."""
    down: list[str]
    """The control hosts that the leader did not hear from then."""
    action: bytes
    """An action, encoded by ``ACTIONS``."""


class RegisterEntry(NamedTuple):
    """A process of an entry starts to take part; it gets no lease before this is committed."""

    name: str
    incarnation: str
    """New for each start of the process."""
    zone: str
    address: str
    port: int
    link_address: str = ""
    link_port: int = 0
    """Where it takes links of other entries; 0 if it takes none."""


class EntryKey(NamedTuple):
    """One process of an entry."""

    name: str
    incarnation: str


class RemoveEntries(NamedTuple):
    """Entries whose leases have run out, or which have stopped."""

    entries: list[EntryKey]


class Claim(NamedTuple):
    """An entry asks to run a request that may run at most once."""

    caller: str
    request_id: str
    fingerprint: str
    """Of the request's body; another body under the same id is refused."""
    entry: str
    incarnation: str
    token: str
    """Names this sending; the same claim with the same token gets the same answer."""


class RecordOutcome(NamedTuple):
    """The holder of a claim stores the answer that resends are to get."""

    caller: str
    request_id: str
    token: str
    outcome: bytes


class ReleaseClaim(NamedTuple):
    """The holder of a claim says that no byte of the request was sent."""

    caller: str
    request_id: str
    token: str


class ReportCrash(NamedTuple):
    """An entry saw a server crash while it ran a body with this fingerprint."""

    fingerprint: str
    server: str
    """The server's id."""
    entry: str


class AnnounceControl(NamedTuple):
    """A control host says where it is reached."""

    name: str
    zone: str
    address: str
    port: int
    operator_address: str
    operator_port: int


class KeepHouse(NamedTuple):
    """Lets time pass, so that quarantines end when nothing else is proposed."""


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
    """One accepted change: who, when, what."""

    revision: int
    at: Millis
    who: str
    change_id: str
    action: str
    target: str
    summary: str


class FaultItem(NamedTuple):
    """One mistake in a change's list of rules."""

    position: int
    rule: str
    field: str
    message: str


class ChangeAccepted(NamedTuple):
    """The answer to a change that was taken."""

    change_id: str
    revision: int
    version: int
    """The feed's version at which every entry has to be for the change to be in force."""
    at: Millis
    changed: bool
    repeated: bool = False


class ChangeRefused(NamedTuple):
    """The answer to a change that was not taken; nothing of it is applied."""

    kind: str
    """One of ``ErrorKind``."""
    message: str
    field: str | None
    current_revision: int
    faults: list[FaultItem]
    won: list[HistoryItem]
    """What was accepted since the expected revision, newest first."""
    repeated: bool = False


class ClaimStatus(StrEnum):
    """What becomes of a claim."""

    GRANTED = "granted"
    """The holder of the token, and no one else, may run the request."""
    STORED = "stored"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    REUSED = "reused"
    TOO_OLD = "too_old"
    NOT_REGISTERED = "not_registered"
    """The entry's process is not one that holds a lease; certainly not granted."""
    FULL = "full"
    """The ledger can't remember one more; certainly not granted."""
    WITHDRAWN = "withdrawn"
    """The claim with this token was released before."""


class ClaimAnswer(NamedTuple):
    """The answer to a claim."""

    status: ClaimStatus
    outcome: bytes | None = None
    """The stored answer, for ``stored``."""


class Noted(NamedTuple):
    """The answer to all other operations."""

    applied: bool
    """False if the operation did not fit the state any more; it changed nothing then."""
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
"""Turns single operations into bytes and back."""

BATCHES = Codec(Batch)
"""Turns the commands of the log into bytes and back."""

ANSWERS_CODEC = Codec(ChangeAccepted, ChangeRefused, ClaimAnswer, Noted)
"""Turns answers into bytes and back."""
