"""Snapshot files, replaced atomically: written to a temporary file, synced, then renamed."""

from __future__ import annotations

from xxhash import xxh3_128_hexdigest

from ..core.raft.log_entry import SnapshotMeta
from ..core.raft.membership import Membership
from ._frame import encode_frame, read_frame
from ._records import FORMAT, SnapshotHead, decode_head, encode_head
from .data_folder_error import DataFolderError
from .files import AppendFile, Files

PREFIX = "snapshot-"
WRITING_NAME = "writing.tmp"
INCOMING_NAME = "incoming.tmp"
TEMPORARY_NAMES = (WRITING_NAME, INCOMING_NAME)


def snapshot_name(index: int, term: int) -> str:
    """Return the file name of a snapshot."""
    return f"{PREFIX}{index:016d}-{term:010d}"


class SnapshotFiles:
    """The newest snapshot of a data folder, and a snapshot that is being received."""

    def __init__(self, files: Files, cluster_id: str) -> None:
        """Load and check the newest snapshot.

        Raises:
            DataFolderError: If it is damaged, of another cluster or of another format.
        """
        self._files = files
        self.cluster_id = cluster_id
        self.newest: SnapshotMeta | None = None
        """Metadata of the newest snapshot; None if there is none."""
        self._data_offset = 0
        self._incoming: AppendFile | None = None
        self._incoming_size = 0
        for name in TEMPORARY_NAMES:
            if name in files.names():
                files.remove(name)
        names = self._names()
        if names:
            self._load(names[-1])

    def _names(self) -> list[str]:
        return [name for name in self._files.names() if name.startswith(PREFIX)]

    def _load(self, name: str) -> None:
        data = self._files.read(name)
        frame = read_frame(data, 0, 0)
        if frame is None:
            raise DataFolderError(name, 0, "the snapshot header is damaged")
        try:
            head: SnapshotHead = decode_head(frame.payload, SnapshotHead)
        except ValueError as exc:
            raise DataFolderError(name, 0, str(exc)) from exc
        if head.cluster_id != self.cluster_id:
            reason = f"the snapshot belongs to cluster {head.cluster_id}, not {self.cluster_id}"
            raise DataFolderError(name, 0, reason)
        state = data[frame.end :]
        if len(state) != head.size or xxh3_128_hexdigest(state) != head.checksum:
            raise DataFolderError(
                name, frame.end, "size or checksum of the state does not match the header"
            )
        if name != snapshot_name(head.index, head.term):
            raise DataFolderError(
                name, 0, "the file name does not match index and term in the header"
            )
        self.newest = SnapshotMeta(head.index, head.term, head.membership, head.size, head.checksum)
        self._data_offset = frame.end

    def save(self, index: int, term: int, membership: Membership, state: bytes) -> SnapshotMeta:
        """Write a snapshot of this host's state.

        Raises:
            OSError: If the disk is full or failed.
        """
        meta = SnapshotMeta(index, term, membership, len(state), xxh3_128_hexdigest(state))
        self._publish(meta, state)
        return meta

    def _publish(self, meta: SnapshotMeta, state: bytes) -> None:
        head = SnapshotHead(FORMAT, self.cluster_id, *meta)
        frame = encode_frame(encode_head(head), 0, 0)
        file = self._files.create(WRITING_NAME)
        try:
            file.write(frame)
            file.write(state)
            file.sync()
        finally:
            file.close()
        # The file is synced before it is renamed. Otherwise a crash could keep the new name but not
        # the bytes: the host would restart with an empty snapshot after the entries before it had
        # been removed.
        self._files.rename(WRITING_NAME, snapshot_name(meta.index, meta.term))
        self._files.sync_folder()
        self.newest = meta
        self._data_offset = len(frame)
        for name in self._names():
            if name != snapshot_name(meta.index, meta.term):
                self._files.remove(name)

    def read(self, meta: SnapshotMeta) -> bytes | None:
        """Return the state of a snapshot; None if it is not the newest one."""
        return self.read_range(meta, 0, meta.size)

    def read_range(self, meta: SnapshotMeta, offset: int, length: int) -> bytes | None:
        """Return a range of a snapshot's state; None if it is not the newest one."""
        if meta != self.newest:
            return None
        name = snapshot_name(meta.index, meta.term)
        try:
            return self._files.read_range(name, self._data_offset + offset, length)
        except FileNotFoundError:
            # A worker thread has replaced it by a newer one in the meantime.
            return None

    # Receiving

    def append_incoming(self, offset: int, data: bytes) -> None:
        """Append a chunk to the snapshot that is being received; offset 0 starts over.

        Raises:
            OSError: If the disk is full or failed.
        """
        if offset == 0:
            self._close_incoming()
            self._incoming = self._files.create(INCOMING_NAME)
            self._incoming_size = 0
        if self._incoming is None or offset != self._incoming_size:
            return
        self._incoming.write(data)
        self._incoming_size += len(data)

    def install(self, meta: SnapshotMeta) -> bool:
        """Replace the newest snapshot by the received one.

        Returns:
            Whether its size and checksum matched; if not, it is discarded.

        Raises:
            OSError: If the disk is full or failed.
        """
        self._close_incoming()
        state = self._files.read(INCOMING_NAME)
        self._files.remove(INCOMING_NAME)
        if len(state) != meta.size or xxh3_128_hexdigest(state) != meta.checksum:
            return False
        self._publish(meta, state)
        return True

    def _close_incoming(self) -> None:
        if self._incoming is not None:
            self._incoming.close()
            self._incoming = None
