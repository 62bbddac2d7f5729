"""Persistent state of a control host: identity, journal and snapshots."""

from __future__ import annotations

import os
from typing import NamedTuple

from ..core.raft.log_entry import HardState, LogEntry, SnapshotMeta
from ..core.raft.membership import Membership
from ..core.raft.raft_log import RaftLog
from ._frame import encode_frame, read_frame
from ._records import FORMAT, Identity, LogReset, Record, decode_head, encode_head
from .data_folder_error import DataFolderError
from .files import LOCK_NAME, Files, write_atomically
from .journal import PREFIX as JOURNAL_PREFIX
from .journal import Journal
from .snapshot_files import PREFIX as SNAPSHOT_PREFIX
from .snapshot_files import SnapshotFiles

IDENTITY_NAME = "identity"
_TEMPORARY_IDENTITY_NAME = "identity.tmp"


class LogWrite(NamedTuple):
    """Hard state and entries that are written to the journal together."""

    hard_state: HardState | None
    entries: tuple[LogEntry, ...]


class DataFolder:
    """Identity, journal and snapshots of one host. A write error is permanent.

    After a failed write or sync the content of the disk is unknown: the kernel may have dropped
    the bytes and still report success for the next sync. Nothing more is written until the process
    has restarted and read what is on disk.
    """

    def __init__(self, files: Files, name: str) -> None:
        """Open the folder; an empty folder gets a new identity.

        Args:
            files: Files of the folder.
            name: The host's name from its settings.

        Raises:
            DataFolderError: If the folder is in use, damaged, of another host or of another format.
            OSError: If the folder can't be read or written.
        """
        self._files = files
        self._failure: OSError | None = None
        if not files.lock():
            raise DataFolderError(LOCK_NAME, 0, "another process uses the folder")
        try:
            self._open(name)
        except BaseException:
            files.unlock()
            raise

    def _open(self, name: str) -> None:
        self.identity = self._load_identity(name)
        self._snapshots = SnapshotFiles(self._files, self.identity.cluster_id)
        self._journal = Journal(self._files, self.identity.member_id)
        snapshot = self._snapshots.newest
        if self._journal.is_empty:
            if snapshot is not None or self.identity.cluster_id:
                raise DataFolderError(f"{JOURNAL_PREFIX}*", 0, "the journal is missing")
            self._journal.start(HardState())
        entries = self._journal.entries_after(snapshot)
        if entries is None:
            self._reset_journal(snapshot)
        self.hard_state = self._journal.hard_state
        """Term and vote that were read from disk."""
        self.log = RaftLog(snapshot, entries or ())
        """Snapshot and entries that were read from disk."""
        self.truncated_bytes = self._journal.truncated_bytes
        """Bytes of an incomplete write that were truncated."""
        self._journal.entries.clear()

    # Identity

    @property
    def member_id(self) -> str:
        """Member ID of the folder; a new folder is a new member."""
        return self.identity.member_id

    @property
    def cluster_id(self) -> str:
        """Cluster that the folder belongs to; empty if none yet."""
        return self.identity.cluster_id

    def _load_identity(self, name: str) -> Identity:
        names = self._files.names()
        if IDENTITY_NAME not in names:
            for other in names:
                if other.startswith((JOURNAL_PREFIX, SNAPSHOT_PREFIX)):
                    raise DataFolderError(other, 0, "the folder has no identity file")
            identity = Identity(FORMAT, name, f"{name}.{os.urandom(6).hex()}", "")
            self._save_identity(identity)
            return identity
        frame = read_frame(self._files.read(IDENTITY_NAME), 0, 0)
        if frame is None:
            raise DataFolderError(IDENTITY_NAME, 0, "the file is damaged")
        try:
            found: Identity = decode_head(frame.payload, Identity)
        except ValueError as exc:
            raise DataFolderError(IDENTITY_NAME, 0, str(exc)) from exc
        if found.name != name:
            reason = f"the folder belongs to host {found.name}, the settings name {name}"
            raise DataFolderError(IDENTITY_NAME, 0, reason)
        return found

    def _save_identity(self, identity: Identity) -> None:
        data = encode_frame(encode_head(identity), 0, 0)
        write_atomically(self._files, IDENTITY_NAME, _TEMPORARY_IDENTITY_NAME, data)

    def join(self, cluster_id: str) -> None:
        """Join a cluster with an empty log.

        Raises:
            ValueError: If the folder belongs to another cluster.
            OSError: If the disk is full or failed.
        """
        self._reset_log(cluster_id, [])

    def bootstrap(self, cluster_id: str, hard_state: HardState, entry: LogEntry) -> None:
        """Create a new cluster whose log starts with one entry.

        Raises:
            ValueError: If the folder belongs to another cluster.
            OSError: If the disk is full or failed.
        """
        self._reset_log(cluster_id, [hard_state, entry])
        self.hard_state = hard_state
        self.log = RaftLog(None, (entry,))

    def _reset_log(self, cluster_id: str, records: list[Record]) -> None:
        if self.cluster_id not in ("", cluster_id):
            raise ValueError(f"the folder belongs to cluster {self.cluster_id}")
        self._check_usable()
        identity = self.identity._replace(cluster_id=cluster_id)
        try:
            # The log is written before the identity: a host that knows its cluster but not the
            # members could never continue. If a bootstrap is interrupted in between, its entry is
            # left in the journal and must be ignored.
            self._journal.add(LogReset(0, 0), *records)
            self._journal.sync()
            self._save_identity(identity)
        except OSError as exc:
            self._failure = exc
            raise
        self.identity = identity
        self._snapshots.cluster_id = cluster_id
        self.log = RaftLog(None, ())

    # Writing

    def write(self, *writes: LogWrite) -> None:
        """Write terms, votes and entries to disk as one frame.

        Raises:
            OSError: If the disk is full or failed, now or before.
        """
        self._check_usable()
        for hard_state, entries in writes:
            if hard_state is not None:
                self._journal.add(hard_state)
            self._journal.add(*entries)
        try:
            self._journal.sync()
        except OSError as exc:
            self._failure = exc
            raise

    def save_snapshot(
        self, index: int, term: int, membership: Membership, state: bytes
    ) -> SnapshotMeta:
        """Save a snapshot of this host's state and remove the journal before it.

        Raises:
            OSError: If the disk is full or failed, now or before.
        """
        self._check_usable()
        newest = self._snapshots.newest
        if newest is not None and newest.index >= index:
            return newest
        try:
            meta = self._snapshots.save(index, term, membership, state)
            self._journal.remove_segments_before(index)
        except OSError as exc:
            self._failure = exc
            raise
        return meta

    def store_chunk(self, offset: int, data: bytes) -> None:
        """Store a chunk of a snapshot that is being received; offset 0 starts over.

        Raises:
            OSError: If the disk is full or failed, now or before.
        """
        self._check_usable()
        try:
            self._snapshots.append_incoming(offset, data)
        except OSError as exc:
            self._failure = exc
            raise

    def install_snapshot(self, meta: SnapshotMeta) -> bool:
        """Replace this host's state by a received snapshot and discard all entries.

        Returns:
            Whether size and checksum of the snapshot matched; if not, nothing has changed.

        Raises:
            OSError: If the disk is full or failed, now or before.
        """
        self._check_usable()
        try:
            if not self._snapshots.install(meta):
                return False
            self._reset_journal(meta)
        except OSError as exc:
            self._failure = exc
            raise
        return True

    def _reset_journal(self, snapshot: SnapshotMeta | None) -> None:
        if snapshot is None:
            return
        self._journal.add(LogReset(snapshot.index, snapshot.term))
        self._journal.sync()
        self._journal.remove_segments_before(snapshot.index)

    def _check_usable(self) -> None:
        if self._failure is not None:
            raise self._failure

    # Reading

    def read_snapshot(self, meta: SnapshotMeta) -> bytes | None:
        """Return the state of a snapshot; None if it is not the newest one."""
        return self._snapshots.read(meta)

    def read_chunk(self, meta: SnapshotMeta, offset: int, length: int) -> bytes | None:
        """Return a chunk of a snapshot; None if it is not the newest one."""
        return self._snapshots.read_range(meta, offset, length)

    def close(self) -> None:
        """Close the files and release the lock."""
        self._journal.close()
        self._files.unlock()
