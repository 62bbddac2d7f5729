"""How a member takes a snapshot from its leader, piece by piece."""

from __future__ import annotations

from ._member_state import MemberState
from .effects import InstallSnapshot, RestoreState, StoreChunk
from .log_entry import SnapshotMeta
from .messages import SnapshotChunk, SnapshotReply


class SnapshotReceiver:
    """Keeps track of the one snapshot that is being received."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._snapshot: SnapshotMeta | None = None
        self._offset = 0
        self._installing = False
        self._sender = ""

    @property
    def is_installing(self) -> bool:
        """Whether a whole snapshot is on its way to the disk; the log stands still until then."""
        return self._installing

    def on_chunk(self, sender: str, chunk: SnapshotChunk) -> None:
        """Take a piece, and tell the sender which one comes next.

        The pieces of a snapshot that is known already are not asked for again after a broken link
        or a new leader: the answer says where to go on.
        """
        self._sender = sender
        if self._installing:
            return
        if self._has_all_of(chunk.snapshot):
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

    def _has_all_of(self, snapshot: SnapshotMeta) -> bool:
        # A member that restarts doesn't know yet what is committed. If it went by its commit index
        # alone, it would begin anew behind the snapshot and drop entries that it has acknowledged:
        # a leader without them could be elected, and accepted changes would be gone.
        state = self._state
        if snapshot.index <= state.commit_index:
            return True
        return state.log.term_at(snapshot.index) == snapshot.term

    def on_installed(self, snapshot: SnapshotMeta) -> None:
        """Use the snapshot that is on disk now."""
        self._forget()
        self._state.on_snapshot_installed(snapshot)
        self._state.emit(RestoreState(snapshot))
        self._reply(snapshot, installed=True)

    def on_spoilt(self, snapshot: SnapshotMeta) -> None:
        """Ask for the snapshot from its beginning."""
        self._forget()
        self._reply(snapshot, installed=False)

    def _forget(self) -> None:
        self._snapshot = None
        self._offset = 0
        self._installing = False

    def _reply(self, snapshot: SnapshotMeta, installed: bool) -> None:
        reply = SnapshotReply(self._state.term, snapshot.index, self._offset, installed)
        self._state.send_persisted(self._sender, reply)
