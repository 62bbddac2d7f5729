"""Messages between entries: requests to servers whose connections another entry owns."""

from __future__ import annotations

from typing import NamedTuple

from ..clock import Millis
from ..core.entry_events import AttemptFault

ENTRY_ROLE = "entry"


class ShardCall(NamedTuple):
    """A shard request that the owner sends to a server."""

    number: int
    """Identifies the call on this link; never reused on it."""
    server_id: str
    upstream: str
    shard: str
    version: int
    epoch: int
    time_left: Millis
    """The time until the answer is useless, less the round-trip time of the link."""
    shard_request_id: str
    request_id: str
    kind: str
    idempotent: bool
    body: int
    """The index of the query in ``OwnerCalls.bodies``."""


class Look(NamedTuple):
    """A read of a path of a server, such as its health."""

    number: int
    server_id: str
    path: str


class OwnerCalls(NamedTuple):
    """A batch of calls and cancellations from the requesting entry to an owner."""

    calls: list[ShardCall]
    bodies: list[bytes]
    """The queries as JSON; shard requests of one query share one body."""
    looks: list[Look]
    cancelled: list[int]
    """The numbers of calls whose answers are no longer awaited."""


class ServerReply(NamedTuple):
    """The response of a server to a call."""

    number: int
    status: int
    retry_after: bytes | None
    body: bytes


class Refusal(NamedTuple):
    """A call that ended without a response of the server."""

    number: int
    fault: AttemptFault
    """The fault as observed by the owner; after ``not_sent`` and ``shed`` the call did not run."""


class OwnerAnswers(NamedTuple):
    """A batch of answers from an owner to the requesting entry; an empty one is a keepalive."""

    replies: list[ServerReply]
    refusals: list[Refusal]


OWNER_MESSAGES = (OwnerCalls, OwnerAnswers)
"""The message types of this protocol, for the codec of the links."""

MAX_IN_FLIGHT = 4096
"""The maximum number of unanswered calls on one link; further calls are shed."""
MAX_BODY_BYTES = 2 * 1024 * 1024
"""The maximum size of a query or an answer on a link."""
BATCH_BYTES = 1024 * 1024
"""A batch with bodies of this size gets no further ones, which keeps messages well below the size
limit of links."""
KEEPALIVE_INTERVAL: Millis = 200.0
"""The interval of keepalives from an owner while it runs calls of the requesting entry."""
