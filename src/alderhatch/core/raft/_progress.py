"""Replication progress of one peer, as its leader tracks it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from ...clock import Millis
from .log_entry import SnapshotMeta


class Mode(StrEnum):
    """How the leader replicates to a peer."""

    PROBE = "probe"
    """The leader searches for the matching index, with one append in flight."""
    REPLICATE = "replicate"
    """Appends are pipelined, up to a maximum number in flight."""
    SNAPSHOT = "snapshot"
    """The peer needs entries that are no longer in memory, and receives a snapshot."""


@dataclass(slots=True)
class SnapshotTransfer:
    """A snapshot that is sent to a peer, one chunk at a time."""

    snapshot: SnapshotMeta
    offset: int
    sent_at: Millis


@dataclass(slots=True)
class Progress:
    """Replication state of one peer."""

    next_index: int
    """The index of the next entry to send."""
    acked_at: Millis
    """When the latest heartbeat round confirmed by the peer was sent; extends the leader lease."""
    match_index: int = 0
    """The last index up to which the peer's log on disk is known to match the leader's."""
    mode: Mode = Mode.PROBE
    acked_round: int = 0
    probe_until: Millis = 0.0
    """While probing, the time before which no other probe is sent unless a reply arrives."""
    inflight: deque[tuple[int, Millis]] = field(default_factory=deque)
    """The last index and the send time of each unacknowledged append."""
    transfer: SnapshotTransfer | None = None

    def become_probe(self) -> None:
        """Restart the search for the matching index."""
        self.mode = Mode.PROBE
        self.next_index = self.match_index + 1
        self.probe_until = 0.0
        self.inflight.clear()
        self.transfer = None

    def on_match(self, index: int) -> bool:
        """Record an acknowledged index.

        Returns:
            Whether it raises the matching index.
        """
        while self.inflight and self.inflight[0][0] <= index:
            self.inflight.popleft()
        if self.mode is Mode.PROBE:
            self.mode = Mode.REPLICATE
            self.probe_until = 0.0
            self.inflight.clear()
            self.next_index = max(index, self.match_index) + 1
        self.next_index = max(self.next_index, index + 1)
        if index <= self.match_index:
            return False
        self.match_index = index
        return True

    def on_mismatch(self, prev_index: int, hint: int) -> None:
        """Move the next index back after the peer rejected an append.

        Args:
            prev_index: The index before the first entry of the rejected append; replies to
                outdated appends are ignored.
            hint: The next index that the peer suggests.
        """
        if prev_index <= self.match_index or self.mode is Mode.SNAPSHOT:
            return
        if self.mode is Mode.PROBE and prev_index != self.next_index - 1:
            return
        self.become_probe()
        self.next_index = max(self.match_index + 1, min(prev_index, hint))

    def is_overdue(self, now: Millis, retry: Millis) -> bool:
        """Return whether an append or a snapshot chunk has not been acknowledged in time."""
        if self.transfer is not None:
            return now - self.transfer.sent_at >= retry
        return bool(self.inflight) and now - self.inflight[0][1] >= retry
