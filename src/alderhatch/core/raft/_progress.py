"""What a leader knows of one peer's log, and how much it may send to it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from ...clock import Millis
from .log_entry import SnapshotMeta


class Mode(StrEnum):
    """How entries get to a peer."""

    PROBE = "probe"
    """The matching index is being looked for; one message at a time."""
    REPLICATE = "replicate"
    """Messages follow one another without waiting, up to a limit."""
    SNAPSHOT = "snapshot"
    """The peer is too far behind for the entries in memory."""


@dataclass(slots=True)
class SnapshotTransfer:
    """A snapshot on its way to a peer, one piece at a time."""

    snapshot: SnapshotMeta
    offset: int
    sent_at: Millis


@dataclass(slots=True)
class Progress:
    """One peer as its leader sees it."""

    next_index: int
    """The first entry that is to be sent next."""
    acked_at: Millis
    """When the newest heartbeat round that it answered was sent; counts for the lease."""
    match_index: int = 0
    """The last index that is known to be on its disk and the same as the leader's."""
    mode: Mode = Mode.PROBE
    acked_round: int = 0
    probe_until: Millis = 0.0
    """While probing, no other probe is sent before this time unless an answer comes."""
    inflight: deque[tuple[int, Millis]] = field(default_factory=deque)
    """The last index and the time of each append that is not answered yet."""
    transfer: SnapshotTransfer | None = None

    def become_probe(self) -> None:
        """Look for the matching index anew."""
        self.mode = Mode.PROBE
        self.next_index = self.match_index + 1
        self.probe_until = 0.0
        self.inflight.clear()
        self.transfer = None

    def on_match(self, index: int) -> bool:
        """Note an acknowledged index.

        Returns:
            Whether it is news.
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
        """Go back after the peer refused an append.

        Args:
            prev_index: The refused append's; an answer to an older append is no news.
            hint: From where the peer thinks that the logs may match.
        """
        if prev_index <= self.match_index or self.mode is Mode.SNAPSHOT:
            return
        if self.mode is Mode.PROBE and prev_index != self.next_index - 1:
            return
        self.become_probe()
        self.next_index = max(self.match_index + 1, min(prev_index, hint))

    def is_overdue(self, now: Millis, retry: Millis) -> bool:
        """Return whether an append or a piece of a snapshot seems to be lost."""
        if self.transfer is not None:
            return now - self.transfer.sent_at >= retry
        return bool(self.inflight) and now - self.inflight[0][1] >= retry
