"""What the entry's core is told and what it asks for in return."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

from ..clock import Millis
from ..errors import Failure
from .request import Request
from .rule_list import RuleList
from .shard_map import ShardMap, Snapshot


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
    VERSION_GONE = "version_gone"
    """The server no longer holds the pinned snapshot; it did not run."""
    REFUSED = "refused"
    """The server answered that the request itself is at fault."""
    FAILED = "failed"
    """The server ran it and answered that it failed."""
    LOST = "lost"
    """The connection broke after a byte was sent."""
    SILENT = "silent"
    """Nothing came for longer than the progress timeout."""
    GARBAGE = "garbage"
    """What came was no answer of the protocol."""
    WRONG_ANSWER = "wrong_answer"
    """An answer to another request, of another shard or of another snapshot."""


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


@dataclass(frozen=True, slots=True)
class ShardAnswered:
    """An attempt's answer arrived."""

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


EntryEvent: TypeAlias = (
    QueryArrived
    | CallerGone
    | ShardAnswered
    | AttemptFailed
    | ShardMapFetched
    | RulesChanged
    | Woke
)


# Effects


@dataclass(frozen=True, slots=True)
class SendShard:
    """Send a shard request to a server."""

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


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close an attempt's exchange; whatever still comes of it is dropped."""

    attempt: int


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Send ``Woke`` at this point in time; a later ``WakeAt`` replaces it."""

    at: Millis


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


EntryEffect: TypeAlias = SendShard | CancelAttempt | WakeAt | Finish
