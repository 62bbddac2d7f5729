"""Reception of a snapshot from the leader, chunk by chunk."""

from __future__ import annotations

from ._member_state import MemberState
from .effects import InstallSnapshot, RestoreState, StoreChunk
from .log_entry import SnapshotMeta
from .messages import SnapshotChunk, SnapshotReply


class SnapshotReceiver:
    """Tracks the snapshot that is being received; there is at most one."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._snapshot: SnapshotMeta | None = None
        self._offset = 0
        self._installing = False
        self._sender = ""

    @property
    def is_installing(self) -> bool:
        """Whether a complete snapshot is being installed; until then appends are ignored."""
        return self._installing

    def on_chunk(self, sender: str, chunk: SnapshotChunk) -> None:
        """Store a chunk and reply with the offset of the next one.

        After a broken link or a change of leader, the transfer of the same snapshot resumes at the
        offset reached.
        """
        self._sender = sender
        if self._installing:
            return
        if self._is_already_covered(chunk.snapshot):
            self._state.commit_to(chunk.snapshot.index)
            self._reply(chunk.snapshot, installed=True)
            return
        if chunk.snapshot != self._snapshot:
            self._snapshot = chunk.snapshot
            self._offset = 0
        if chunk.offset == self._offset:
            self._state.emit(StoreChunk(chunk.snapshot, chunk.offset, chunk.data))
            self._offset += len(chunk.data)
        if self._offset >= chunk.snapshot.size:
            self._installing = True
            self._state.emit(InstallSnapshot(chunk.snapshot))
            return
        self._reply(chunk.snapshot, installed=False)

    def _is_already_covered(self, snapshot: SnapshotMeta) -> bool:
        # After a restart the commit index starts low. Compared with it alone, the snapshot would be
        # installed and would drop later entries that this member has acknowledged. A leader
        # without them could then be elected, and accepted changes would be lost.
        state = self._state
        if snapshot.index <= state.commit_index:
            return True
        return state.log.term_at(snapshot.index) == snapshot.term

    def on_installed(self, snapshot: SnapshotMeta) -> None:
        """Switch to the snapshot that is now on disk."""
        self._reset()
        self._state.on_snapshot_installed(snapshot)
        self._state.emit(RestoreState(snapshot))
        self._reply(snapshot, installed=True)

    def on_corrupted(self, snapshot: SnapshotMeta) -> None:
        """Request the snapshot again from its start."""
        self._reset()
        self._reply(snapshot, installed=False)

    def _reset(self) -> None:
        self._snapshot = None
        self._offset = 0
        self._installing = False

    def _reply(self, snapshot: SnapshotMeta, installed: bool) -> None:
        reply = SnapshotReply(self._state.term, snapshot.index, self._offset, installed)
        self._state.send_persisted(self._sender, reply)
