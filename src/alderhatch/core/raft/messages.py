"""The messages between the members of the replicated log.

Every message carries its sender's term. The two ends of a link know each other's identity and
cluster, so the messages don't repeat them.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from .log_entry import LogEntry, SnapshotMeta


class PreVote(NamedTuple):
    """Asks whether an election would be won, without raising anybody's term."""

    term: int
    """The term that the election would have."""
    last_index: int
    last_term: int


class PreVoteReply(NamedTuple):
    """The answer to a ``PreVote``."""

    term: int
    """The asked term if granted, else the replier's own."""
    granted: bool


class Vote(NamedTuple):
    """Asks for a vote."""

    term: int
    last_index: int
    last_term: int
    transfer: bool
    """The leader itself asked for this election, so hearing from it is no reason to refuse."""


class VoteReply(NamedTuple):
    """The answer to a ``Vote``; a granted one is sent once the vote is on disk."""

    term: int
    granted: bool


class Append(NamedTuple):
    """Entries that follow on the one at ``prev_index``."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int


class AppendReply(NamedTuple):
    """The answer to an ``Append``; a success is sent once the entries are on disk."""

    term: int
    success: bool
    prev_index: int
    """That of the append which is answered."""
    index: int  # type: ignore[assignment]
    """On success the last matching index, else from where the leader should try next."""


class Heartbeat(NamedTuple):
    """Proves that the leader is alive; it does not wait for any disk."""

    term: int
    round: int
    """Counts up within the leader's term."""
    commit: int
    """The commit index, at most the peer's own matching index."""


class HeartbeatReply(NamedTuple):
    """The answer to a ``Heartbeat``: a promise not to elect another for a while."""

    term: int
    round: int


class SnapshotChunk(NamedTuple):
    """One piece of a snapshot."""

    term: int
    snapshot: SnapshotMeta
    offset: int
    data: bytes


class SnapshotReply(NamedTuple):
    """How far the receiver has got with a snapshot."""

    term: int
    index: int  # type: ignore[assignment]
    """The snapshot's index."""
    next_offset: int
    """Where the next piece has to start."""
    installed: bool
    """The snapshot is on disk, whole, and in use."""


class TimeoutNow(NamedTuple):
    """The leader asks the receiver to stand for election at once."""

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
"""The messages that go back over the link on which the question came."""


def answer_to_stale(message: Message, term: int) -> Message | None:
    """Return the answer to a message of an older term, which tells its sender the newer one.

    Args:
        message: The message.
        term: The receiver's term.

    Returns:
        The answer; None if the message is an answer itself, or wants none.
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
