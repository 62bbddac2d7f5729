"""The messages between control hosts."""

from __future__ import annotations

from typing import Any, NamedTuple

from ..core.raft.messages import (
    Append,
    AppendReply,
    Heartbeat,
    HeartbeatReply,
    PreVote,
    PreVoteReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    Vote,
    VoteReply,
)


class PeerHello(NamedTuple):
    """The first message on a link between control hosts; repeated as a probe of the link."""

    member_id: str
    """The ID of the sender's data folder."""
    cluster_id: str
    """The cluster that the data folder belongs to; empty if none."""


class PeerHelloReply(NamedTuple):
    """The reply to a ``PeerHello``, with the IDs of the replying host."""

    member_id: str
    cluster_id: str


RAFT_MESSAGE_TYPES: tuple[type[Any], ...] = (
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    Heartbeat,
    HeartbeatReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
)

PEER_MESSAGE_TYPES: tuple[type[Any], ...] = (PeerHello, PeerHelloReply, *RAFT_MESSAGE_TYPES)
"""All message types that a codec for links between control hosts needs."""
