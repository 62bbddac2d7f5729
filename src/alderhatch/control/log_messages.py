"""What control hosts say to each other over their links."""

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
    """Opens a link between control hosts, and is repeated to see whether the link still works."""

    member_id: str
    """The identity of the sender's data folder."""
    cluster_id: str
    """The cluster that the folder belongs to; empty if none yet."""


class PeerHelloReply(NamedTuple):
    """The answer to a ``PeerHello``."""

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
"""All types that a codec needs whose links may be those of control hosts."""
