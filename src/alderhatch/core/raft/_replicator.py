"""Log replication to peers: appends with flow control, or a snapshot in chunks."""

from __future__ import annotations

from ...clock import Millis
from ._member_state import MemberState
from ._progress import Mode, Progress, SnapshotTransfer
from .effects import SendChunk
from .messages import Append, SnapshotReply


class Replicator:
    """Sends each peer the entries or the snapshot that it lacks, within flow control."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self.progress: dict[str, Progress] = {}
        """The progress of each peer, by member ID."""

    def replicate_all(self, now: Millis) -> None:
        """Send each peer what it lacks, as far as flow control allows."""
        for peer in self.progress:
            self.replicate(peer, now)

    def replicate(self, peer: str, now: Millis) -> None:
        """Send one peer what it lacks, as far as flow control allows.

        During a snapshot transfer nothing is sent here: each chunk follows the reply to the last.
        """
        progress = self.progress[peer]
        match progress.mode:
            case Mode.PROBE:
                self._probe(peer, progress, now)
            case Mode.REPLICATE:
                self._send_pipelined(peer, progress, now)
            case Mode.SNAPSHOT:
                return

    def _probe(self, peer: str, progress: Progress, now: Millis) -> None:
        if now < progress.probe_until:
            return
        if self._needs_snapshot(progress):
            self._begin_snapshot(peer, progress, now)
            return
        progress.probe_until = now + self._state.cfg.retry
        self._send_append(peer, progress.next_index)

    def _send_pipelined(self, peer: str, progress: Progress, now: Millis) -> None:
        cfg = self._state.cfg
        last = self._state.log.last_index
        while progress.next_index <= last and len(progress.inflight) < cfg.max_inflight:
            if self._needs_snapshot(progress):
                self._begin_snapshot(peer, progress, now)
                return
            last_sent = self._send_append(peer, progress.next_index)
            progress.inflight.append((last_sent, now))
            progress.next_index = last_sent + 1

    def _needs_snapshot(self, progress: Progress) -> bool:
        return progress.next_index <= self._state.log.base_index

    def _send_append(self, peer: str, first: int) -> int:
        """Send a batch of entries that begins at an index; return the index of the last one."""
        log = self._state.log
        entries = log.batch(first, self._state.cfg.max_append_bytes)
        prev_term = log.term_at(first - 1)
        if prev_term is None:
            raise RuntimeError(f"entry {first - 1} is not in memory")
        state = self._state
        state.send(peer, Append(state.term, first - 1, prev_term, entries, state.commit_index))
        return first - 1 + len(entries)

    def retry_overdue(self, now: Millis) -> None:
        """Resend what was not acknowledged in time; record whether any peer receives a snapshot."""
        in_transfer = False
        for peer, progress in self.progress.items():
            if progress.is_overdue(now, self._state.cfg.retry):
                self._retry(peer, progress, now)
            in_transfer = in_transfer or self._is_receiving_snapshot(progress, now)
        self._state.snapshot_in_transfer = in_transfer

    def _is_receiving_snapshot(self, progress: Progress, now: Millis) -> bool:
        oldest_ack = now - 2 * self._state.cfg.election_timeout
        return progress.transfer is not None and progress.acked_at > oldest_ack

    def _retry(self, peer: str, progress: Progress, now: Millis) -> None:
        if progress.transfer is None:
            progress.become_probe()
        elif progress.transfer.snapshot != self._state.log.snapshot:
            self._begin_snapshot(peer, progress, now)
        else:
            self._send_chunk(peer, progress.transfer, now)

    def _begin_snapshot(self, peer: str, progress: Progress, now: Millis) -> None:
        snapshot = self._state.log.snapshot
        if snapshot is None:
            raise RuntimeError("the log lacks entries but has no snapshot")
        progress.mode = Mode.SNAPSHOT
        progress.inflight.clear()
        progress.transfer = SnapshotTransfer(snapshot, 0, now)
        self._state.snapshot_in_transfer = True
        self._send_chunk(peer, progress.transfer, now)

    def _send_chunk(self, peer: str, transfer: SnapshotTransfer, now: Millis) -> None:
        transfer.sent_at = now
        length = min(self._state.cfg.chunk_bytes, transfer.snapshot.size - transfer.offset)
        self._state.emit(
            SendChunk(peer, self._state.term, transfer.snapshot, transfer.offset, length)
        )

    def on_snapshot_reply(self, peer: str, reply: SnapshotReply, now: Millis) -> None:
        """Send the next chunk, or resume appends once the snapshot is installed."""
        progress = self.progress[peer]
        transfer = progress.transfer
        if transfer is None or reply.index != transfer.snapshot.index:
            return
        if reply.installed:
            progress.match_index = max(progress.match_index, reply.index)
            progress.become_probe()
            self.replicate(peer, now)
            return
        if transfer.snapshot != self._state.log.snapshot:
            self._begin_snapshot(peer, progress, now)
            return
        # A delayed reply to an earlier chunk must not move the transfer back: each such reply would
        # trigger another chunk, and the duplicates would multiply.
        if reply.next_offset == transfer.offset:
            return
        if reply.next_offset >= transfer.snapshot.size and transfer.snapshot.size > 0:
            return
        transfer.offset = reply.next_offset
        self._send_chunk(peer, transfer, now)
