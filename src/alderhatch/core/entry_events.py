"""What the entry's core is told and what it asks for in return."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple, TypeAlias

from ..clock import Millis
from ..errors import Failure, Ran
from .shard_map import ShardMap, Snapshot

if TYPE_CHECKING:
    from .request import Request
    from .rule_list import RuleList


class LoadReport(NamedTuple):
    """What a server says of its own load; it can lag or mislead."""

    in_flight: int
    """Shard requests it runs."""
    queued: int
    """Shard requests that wait there."""


class AttemptFault(StrEnum):
    """How a shard request sent to one server came to nothing."""

    NOT_SENT = "not_sent"
    """No byte of it left this host; it certainly did not run."""
    SHED = "shed"
    """The server refused it and says that it did not run."""
    DRAINING = "draining"
    """The server is leaving and refused it; it did not run."""
    MOVED = "moved"
    """Another server has taken the address and refused it; it did not run."""
    VERSION_GONE = "version_gone"
    """The server no longer holds the pinned snapshot; it did not run."""
    REFUSED = "refused"
    """The server answered that the request itself is at fault."""
    FAILED = "failed"
    """The server ran it and answered that it failed."""
    LOST = "lost"
    """The connection broke after a byte was sent."""
    OWNER_LOST = "owner_lost"
    """The entry that carried it to the server was lost; the server need not be at fault."""
    SILENT = "silent"
    """Nothing came for longer than the progress timeout."""
    GARBAGE = "garbage"
    """What came was no answer of the protocol."""
    WRONG_ANSWER = "wrong_answer"
    """An answer to another request, of another shard or of another snapshot."""


NOT_RUN_FAULTS = frozenset(
    (
        AttemptFault.NOT_SENT,
        AttemptFault.SHED,
        AttemptFault.DRAINING,
        AttemptFault.MOVED,
        AttemptFault.VERSION_GONE,
    )
)
"""Faults after which it is certain that the attempt did not run."""


class ShardAnswer(NamedTuple):
    """A server's answer to one shard request, checked for its form."""

    request_id: str
    """The echo of the shard request's id."""
    shard: str
    snapshot: Snapshot
    """What the server says it read."""
    rows: list[Any]
    """The rows found, in the shard's order."""
    load: LoadReport | None


# Events


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A caller's request has been read whole."""

    query: int
    """A number that no other request at this entry ever has."""
    request: Request


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection before it had its answer."""

    query: int


@dataclass(slots=True)
class ShardAnswered:
    """An attempt's answer arrived; not frozen for the same reason as ``SendShard``."""

    attempt: int
    answer: ShardAnswer


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt came to nothing."""

    attempt: int
    fault: AttemptFault
    retry_after_ms: Millis | None = None
    """When the server wants to be asked again, if it said so."""


@dataclass(frozen=True, slots=True)
class ShardMapFetched:
    """An upstream's shard map was fetched."""

    shard_map: ShardMap


@dataclass(frozen=True, slots=True)
class RulesChanged:
    """A newer list of rules is in force."""

    revision: int
    rules: RuleList


@dataclass(frozen=True, slots=True)
class Woke:
    """The time of the last ``WakeAt`` has come."""


class ServerState(StrEnum):
    """What a server's health endpoint says; a hint that can lag or mislead."""

    READY = "ready"
    STARTING = "starting"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    """The health endpoint gave no valid answer."""


@dataclass(frozen=True, slots=True)
class HealthReported:
    """A server's health endpoint was read."""

    server_id: str
    state: ServerState
    load: LoadReport | None
    boot_id: str | None
    """Changes with each start of the server; None if it does not say."""
    asked_at: Millis | None = None
    """When the endpoint was asked; None if that is not known. An answer can be older than what was
    seen since."""


@dataclass(frozen=True, slots=True)
class ServersLeaving:
    """Which servers some source says are leaving; each source's word replaces its earlier one."""

    source: str
    """``platform`` or ``control``."""
    server_ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """The entry's lease was renewed."""

    serve_until: Millis
    """The point in time after which no new request is taken, unless it is renewed before."""
    shares: Mapping[str, int]
    """How many connections this entry may hold to each server, by server id."""
    quarantined: frozenset[str]
    """Fingerprints of requests that no upstream may be sent."""
    connections: Mapping[str, int] | None = None
    """How many connections this entry itself may hold, where that differs: a server that others
    own is reached through them, and ``shares`` says how many requests may be out there."""


@dataclass(frozen=True, slots=True)
class BudgetsChanged:
    """The budgets that hold for the whole tier are others."""

    hedge: float
    """The most hedges that any rule may send, as a fraction of its shard requests."""
    retry: float
    """Retries of each upstream, as a fraction of its shard requests."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The entry takes no new request from now on; what runs goes on to its end."""


class Claim(StrEnum):
    """What the run ledger answered to a claim."""

    GRANTED = "granted"
    """The claim is on a majority of disks; the request may be sent, once."""
    DONE = "done"
    """It ran before; the stored outcome comes along."""
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ID_REUSED = "id_reused"
    """The id was used before with another body."""
    ID_TOO_OLD = "id_too_old"
    UNAVAILABLE = "unavailable"
    """No majority answered in time; the claim may be recorded, but nothing was sent."""


@dataclass(frozen=True, slots=True)
class ClaimDecided:
    """The run ledger answered a ``ClaimRun``."""

    query: int
    claim: Claim
    stored: bytes | None = None
    """The stored outcome's bytes, as ``RecordOutcome`` gave them, for ``done``."""


EntryEvent: TypeAlias = (
    QueryArrived
    | CallerGone
    | ShardAnswered
    | AttemptFailed
    | ShardMapFetched
    | RulesChanged
    | HealthReported
    | ServersLeaving
    | LeaseChanged
    | BudgetsChanged
    | StopRequested
    | ClaimDecided
    | Woke
)


# Effects


@dataclass(slots=True)
class SendShard:
    """Send a shard request to a server.

    It is not frozen because one is made for each shard request, and a frozen one takes about 2 µs
    longer to make. Nothing changes it.
    """

    attempt: int
    """A number that no other attempt of this entry has."""
    request_id: str
    """The id that the answer must echo."""
    upstream: str
    server_id: str
    shard: str
    snapshot: Snapshot
    deadline: Millis
    """The point in time after which the answer is of no use."""
    request: Request


@dataclass(slots=True)
class CancelAttempt:
    """Close an attempt's exchange; whatever still comes of it is dropped."""

    attempt: int


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Send ``Woke`` at this point in time; a later ``WakeAt`` replaces it."""

    at: Millis


@dataclass(frozen=True, slots=True)
class ClaimRun:
    """Claim a request that may not be repeated in the run ledger; ``ClaimDecided`` follows."""

    query: int
    caller: str
    request_id: str
    fingerprint: str
    """A hash of the body; the same id with another one is refused."""


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Store the outcome of a claimed request in the run ledger, for resends."""

    query: int
    caller: str
    request_id: str
    ran: Ran
    """``not_run`` releases the claim, so that a resend may run."""
    outcome: bytes
    """The outcome in the core's own encoding; empty unless it ran."""


@dataclass(frozen=True, slots=True)
class ReportCrash:
    """Tell control that a request was running on a server which then crashed."""

    fingerprint: str
    server_id: str
    upstream: str = ""


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Read a server's health endpoint now, without waiting for the next poll.

    A connection to it was lost while a request ran. Whether the server crashed shows in its health
    report: another boot id, or ``unreachable`` if it takes no connection.
    """

    server_id: str


@dataclass(frozen=True, slots=True)
class FetchShardMap:
    """Fetch an upstream's shard map now: a server no longer has the snapshot that is known."""

    upstream: str


class MissingShard(NamedTuple):
    """A shard that an answer does not cover, with the reason."""

    shard: str
    reason: str


@dataclass(frozen=True, slots=True)
class Answered:
    """A request's answer, with what it truly covers."""

    snapshot: Snapshot
    coverage: float
    """The fraction of the snapshot's documents that the answer reflects."""
    missing: tuple[MissingShard, ...]
    rows: list[Any]
    """The rows of all shards in the map's order of shards."""
    rule: str
    revision: int


@dataclass(frozen=True, slots=True)
class Refused:
    """A request's refusal or failure."""

    failure: Failure
    rule: str = ""
    revision: int = 0


Outcome: TypeAlias = Answered | Refused


@dataclass(frozen=True, slots=True)
class Finish:
    """Give a caller its answer. It comes exactly once for each query, unless its caller left."""

    query: int
    outcome: Outcome


EntryEffect: TypeAlias = (
    SendShard
    | CancelAttempt
    | WakeAt
    | ClaimRun
    | RecordOutcome
    | ReportCrash
    | ProbeServer
    | FetchShardMap
    | Finish
)
