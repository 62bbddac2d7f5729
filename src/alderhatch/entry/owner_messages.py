"""What entries say to each other: shard requests for servers whose connections another one owns."""

from __future__ import annotations

from typing import NamedTuple

from ..clock import Millis
from ..core.entry_events import AttemptFault

ENTRY_ROLE = "entry"


class ShardCall(NamedTuple):
    """One shard request that an owner is to send to a server."""

    number: int
    """Names it on this link; never used again there."""
    server_id: str
    upstream: str
    shard: str
    version: int
    epoch: int
    time_left: Millis
    """Until the answer is of no use, less what the way takes."""
    shard_request_id: str
    request_id: str
    kind: str
    idempotent: bool
    body: int
    """Which of the bodies that come along is the query."""


class Look(NamedTuple):
    """One path of a server that is to be read, such as its health."""

    number: int
    server_id: str
    path: str


class OwnerCalls(NamedTuple):
    """All that leaves a front for one owner in the same moment."""

    calls: list[ShardCall]
    bodies: list[bytes]
    """The queries as JSON; shard requests of one query share theirs."""
    looks: list[Look]
    cancelled: list[int]
    """Numbers whose answers nobody waits for any more."""


class ServerReply(NamedTuple):
    """A server's whole response, as it came."""

    number: int
    status: int
    retry_after: bytes | None
    body: bytes


class Refusal(NamedTuple):
    """Why there is no response of the server."""

    number: int
    fault: AttemptFault
    """As the owner saw it on its connection; ``not_sent`` and ``shed`` are truly not run."""


class OwnerAnswers(NamedTuple):
    """All that leaves an owner for one front in the same moment; empty ones show that it lives."""

    replies: list[ServerReply]
    refusals: list[Refusal]


OWNER_MESSAGES = (OwnerCalls, OwnerAnswers)
"""The messages of this protocol, for the codec of the links."""

MAX_IN_FLIGHT = 4096
"""Calls on one link that are not answered; one more is shed."""
MAX_BODY_BYTES = 2 * 1024 * 1024
"""The largest query or answer that goes over a link."""
BATCH_BYTES = 1024 * 1024
"""A message is sent once it holds this much, so that none nears the limit of the links."""
ALIVE_EVERY: Millis = 200.0
"""How often an owner says something while it has work of a front."""
