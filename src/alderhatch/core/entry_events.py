"""Events that the entry's core processes and effects that it requests."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple, TypeAlias

from ..clock import Millis
from ..errors import Failure, RunStatus
from .shard_map import ShardMap, Snapshot

if TYPE_CHECKING:
    from .request import Request
    from .rule_list import RuleList


class LoadReport(NamedTuple):
    """The load that a server reports of itself; it can be outdated or wrong."""

    in_flight: int
    """Shard requests that the server is running."""
    queued: int
    """Shard requests queued at the server."""


class AttemptFault(StrEnum):
    """How a shard request sent to one server failed."""

    NOT_SENT = "not_sent"
    """No byte of it was sent; it certainly did not run."""
    SHED = "shed"
    """The server refused it because of load and reports that it did not run."""
    DRAINING = "draining"
    """The server is shutting down and refused it; it did not run."""
    MOVED = "moved"
    """The address now belongs to another server, which refused it; it did not run."""
    VERSION_GONE = "version_gone"
    """The server no longer holds the pinned snapshot; it did not run."""
    REFUSED = "refused"
    """The server rejected the request as invalid."""
    FAILED = "failed"
    """The server ran it and reported a failure."""
    LOST = "lost"
    """The connection broke after at least one byte was sent."""
    OWNER_LOST = "owner_lost"
    """The entry that relayed it to the server was lost; the server may be healthy."""
    SILENT = "silent"
    """No data arrived for longer than the progress timeout."""
    GARBAGE = "garbage"
    """The answer violated the protocol."""
    WRONG_ANSWER = "wrong_answer"
    """The answer was for another request, shard or snapshot."""


NOT_RUN_FAULTS = frozenset(
    (
        AttemptFault.NOT_SENT,
        AttemptFault.SHED,
        AttemptFault.DRAINING,
        AttemptFault.MOVED,
        AttemptFault.VERSION_GONE,
    )
)
"""Faults that guarantee that the attempt did not run."""


class ShardAnswer(NamedTuple):
    """A server's well-formed answer to a shard request."""

    request_id: str
    """The shard request's ID as echoed by the server."""
    shard: str
    snapshot: Snapshot
    """The snapshot that the server reports to have read."""
    rows: list[Any]
    """The rows found, in the shard's order."""
    load: LoadReport | None


# Events


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A caller's request has been received completely."""

    query: int
    """The request's number, unique at this entry for good."""
    request: Request


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection before it received an answer."""

    query: int


@dataclass(slots=True)
class ShardAnswered:
    """An attempt's answer arrived. Not frozen, for the same reason as ``SendShard``."""

    attempt: int
    answer: ShardAnswer


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt failed."""

    attempt: int
    fault: AttemptFault
    retry_after_ms: Millis | None = None
    """The server's retry-after time, if it sent one."""


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
    """The time of the last ``WakeAt`` has been reached."""


class ServerState(StrEnum):
    """The state reported by a server's health endpoint; it can be outdated or wrong."""

    READY = "ready"
    STARTING = "starting"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    """The health endpoint gave no valid answer."""


@dataclass(frozen=True, slots=True)
class HealthReported:
    """A server's health endpoint was probed."""

    server_id: str
    state: ServerState
    load: LoadReport | None
    boot_id: str | None
    """Changes with each start of the server; None if not reported."""
    asked_at: Millis | None = None
    """When the probe was sent; None if unknown. The answer can be older than what has been observed
    since."""


@dataclass(frozen=True, slots=True)
class ServersLeaving:
    """The servers that a source reports as leaving; replaces that source's earlier report."""

    source: str
    """``platform`` or ``control``."""
    server_ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """The entry's lease was renewed."""

    serve_until: Millis
    """The time after which no new request is accepted unless the lease is renewed."""
    shares: Mapping[str, int]
    """The number of connections that this entry may hold to each server, by server ID."""
    quarantined: frozenset[str]
    """Fingerprints of requests that must not be sent to any upstream."""
    connections: Mapping[str, int] | None = None
    """The number of connections that this entry itself may hold, where it differs from ``shares``:
    a server owned by other entries is reached through them, and ``shares`` then bounds the requests
    in flight."""


@dataclass(frozen=True, slots=True)
class BudgetsChanged:
    """The tier-wide budgets have changed."""

    hedge: float
    """The maximum of hedges for any rule, as a fraction of its shard requests."""
    retry: float
    """The retry budget of each upstream, as a fraction of its shard requests."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The entry accepts no new requests from now on; running requests are completed."""


@dataclass(frozen=True, slots=True)
class StopExpired:
    """The time for completing requests at a stop is over; all that remain are answered now."""


class Claim(StrEnum):
    """The run ledger's answer to a claim."""

    GRANTED = "granted"
    """The claim is stored on a majority of disks; the request may be sent once."""
    DONE = "done"
    """The request has already run; its stored outcome is included."""
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ID_REUSED = "id_reused"
    """The ID was already used with another body."""
    ID_TOO_OLD = "id_too_old"
    UNAVAILABLE = "unavailable"
    """No majority answered in time; the claim may be recorded, but nothing was sent."""


@dataclass(frozen=True, slots=True)
class ClaimDecided:
    """The run ledger answered a ``ClaimRun``."""

    query: int
    claim: Claim
    stored: bytes | None = None
    """For ``done``, the stored outcome as encoded in ``RecordOutcome``."""


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
    | StopExpired
    | ClaimDecided
    | Woke
)


# Effects


@dataclass(slots=True)
class SendShard:
    """Send a shard request to a server.

    Not frozen, because an instance is created for each shard request and creating a frozen one
    takes about 2 µs longer. It must not be modified.
    """

    attempt: int
    """The attempt's number, unique at this entry."""
    request_id: str
    """The ID that the answer must echo."""
    upstream: str
    server_id: str
    shard: str
    snapshot: Snapshot
    deadline: Millis
    """The time after which the answer is useless."""
    request: Request


@dataclass(slots=True)
class CancelAttempt:
    """Abort an attempt; an answer that still arrives is discarded."""

    attempt: int


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Send ``Woke`` at this time; replaces any earlier ``WakeAt``."""

    at: Millis


@dataclass(frozen=True, slots=True)
class ClaimRun:
    """Claim a non-idempotent request in the run ledger; ``ClaimDecided`` follows."""

    query: int
    caller: str
    request_id: str
    fingerprint: str
    """A hash of the body; reuse of the ID with another body is refused."""


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Store the outcome of a claimed request in the run ledger, for resends."""

    query: int
    caller: str
    request_id: str
    ran: RunStatus
    """``not_run`` releases the claim, so that a resend may run."""
    outcome: bytes
    """The outcome as encoded by the core; empty unless the request ran."""


@dataclass(frozen=True, slots=True)
class ReportCrash:
    """Report to control that a request was running on a server when it crashed."""

    fingerprint: str
    server_id: str
    upstream: str = ""


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Probe a server's health endpoint now, without waiting for the next poll.

    A connection to it was lost while a request ran. The health report shows whether the server
    crashed: its boot ID has changed, or it is ``unreachable`` because it refuses connections.
    """

    server_id: str


@dataclass(frozen=True, slots=True)
class FetchShardMap:
    """Fetch an upstream's shard map now, because a server no longer has the known snapshot."""

    upstream: str


class MissingShard(NamedTuple):
    """A shard that an answer does not cover, and why."""

    shard: str
    reason: str


@dataclass(frozen=True, slots=True)
class Answered:
    """A request's answer with its actual coverage."""

    snapshot: Snapshot
    coverage: float
    """The fraction of the snapshot's documents that the answer covers."""
    missing: tuple[MissingShard, ...]
    rows: list[Any]
    """The rows of all shards, in the order of shards in the map."""
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
    """Return the outcome to the caller; exactly once per query, unless the caller disconnected."""

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
