"""The messages between the members of the replicated log.

Every message carries the term of its sender. Both ends of a link know the member ID and the cluster
of the other, so messages don't repeat them.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from .log_entry import LogEntry, SnapshotMeta


class PreVote(NamedTuple):
    """Asks whether the receiver would grant a vote, without raising any term."""

    term: int
    """The term that the candidate would use in the election."""
    last_index: int
    last_term: int


class PreVoteReply(NamedTuple):
    """The reply to a ``PreVote``."""

    term: int
    """The requested term if granted, else the term of the sender."""
    granted: bool


class Vote(NamedTuple):
    """Requests a vote."""

    term: int
    last_index: int
    last_term: int
    transfer: bool
    """The leader requested this election, so recent contact with it is no reason to refuse."""


class VoteReply(NamedTuple):
    """The reply to a ``Vote``; a grant is sent only once the vote is on disk."""

    term: int
    granted: bool


class Append(NamedTuple):
    """The entries that follow the entry at ``prev_index``."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int


class AppendReply(NamedTuple):
    """The reply to an ``Append``; success is sent only once the entries are on disk."""

    term: int
    success: bool
    prev_index: int
    """The ``prev_index`` of the append."""
    index: int  # type: ignore[assignment]
    """On success the last matching index, else the next index that the leader should try."""


class Heartbeat(NamedTuple):
    """Shows that the leader is alive; it is sent without waiting for disk writes."""

    term: int
    round: int
    """The number of the heartbeat round, increasing within a term."""
    commit: int
    """The commit index, limited to the matching index of the receiver."""


class HeartbeatReply(NamedTuple):
    """The reply to a ``Heartbeat``: the sender elects no other leader for an election timeout."""

    term: int
    round: int


class SnapshotChunk(NamedTuple):
    """Part of a snapshot."""

    term: int
    snapshot: SnapshotMeta
    offset: int
    data: bytes


class SnapshotReply(NamedTuple):
    """The progress of a receiver with a snapshot."""

    term: int
    index: int  # type: ignore[assignment]
    """The index of the snapshot."""
    next_offset: int
    """The offset at which the next chunk must start."""
    installed: bool
    """Whether the complete snapshot is on disk and in use."""


class TimeoutNow(NamedTuple):
    """The leader asks the receiver to start an election at once."""

    term: int


Message: TypeAlias = (
    PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | Append
    | AppendReply
    | Heartbeat
    | HeartbeatReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
)

REPLY_TYPES = (PreVoteReply, VoteReply, AppendReply, HeartbeatReply, SnapshotReply)
"""The messages that are sent back over the link on which the request arrived."""


def reply_to_stale_term(message: Message, term: int) -> Message | None:
    """Return the reply to a message of an older term, which tells its sender the newer term.

    Args:
        message: The message.
        term: The term of the receiver.

    Returns:
        The reply; None if the message is a reply itself or needs none.
    """
    match message:
        case Append():
            return AppendReply(term, False, message.prev_index, 0)
        case Heartbeat():
            return HeartbeatReply(term, message.round)
        case Vote():
            return VoteReply(term, False)
        case SnapshotChunk():
            return SnapshotReply(term, message.snapshot.index, 0, False)
    return None
