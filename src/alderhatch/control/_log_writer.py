"""The one task of a host that writes to its data folder."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias, TypeVar, assert_never

import trio

from ..clock import LoopClock
from ..core.raft.effects import InstallSnapshot, Persist, StoreChunk, TakeSnapshot
from ..core.raft.events import (
    Event,
    Persisted,
    SnapshotCorrupted,
    SnapshotInstalled,
    SnapshotSaved,
    StorageFailed,
)
from ..storage.data_folder import DataFolder, LogWrite
from .replicated_log import SyncStats

MAX_GROUP_BYTES = 4 * 1024 * 1024
"""Writes are put on disk together up to this size."""

_T = TypeVar("_T")


@dataclass(frozen=True, slots=True)
class SaveState:
    """A snapshot to write, with the state as it was at its index."""

    request: TakeSnapshot
    state: bytes


Write: TypeAlias = Persist | SaveState | StoreChunk | InstallSnapshot


class LogWriter:
    """Writes in the order asked for; all that waits goes to disk with one sync."""

    def __init__(
        self, folder: DataFolder, in_thread: bool, on_event: Callable[[Event], None]
    ) -> None:
        """Use a data folder.

        Args:
            folder: Where to write; nobody else writes there.
            in_thread: Whether a worker thread waits for the disk.
            on_event: Told what is on disk, or that the disk failed.
        """
        self._folder = folder
        self._in_thread = in_thread
        self._on_event = on_event
        self._queue: deque[Write] = deque()
        self._wanted = trio.Event()
        self._read_error: OSError | None = None
        self._clock = LoopClock()
        self.syncs = SyncStats(0, 0.0)

    def add(self, write: Write) -> None:
        """Ask for a write."""
        self._queue.append(write)
        self._wanted.set()

    def fail(self, error: OSError) -> None:
        """Write nothing more, because the disk failed in reading."""
        self._read_error = error
        self._wanted.set()

    async def run(self) -> None:
        """Write until cancelled, or until the disk fails."""
        while True:
            await self._wanted.wait()
            # Whoever is ready to run may add to the group that shares the next sync.
            await trio.lowlevel.checkpoint()
            try:
                while self._queue:
                    await self._write_next()
                if self._read_error is not None:
                    raise self._read_error
            except OSError as exc:
                self._queue.clear()
                self._on_event(StorageFailed(str(exc)))
                return
            self._wanted = trio.Event()

    async def _write_next(self) -> None:
        match self._queue[0]:
            case Persist():
                await self._write_group()
            case SaveState(request, state):
                self._queue.popleft()
                folder = self._folder
                index, term, members = request.index, request.term, request.membership
                meta = await self._call(lambda: folder.save_snapshot(index, term, members, state))
                self._on_event(SnapshotSaved(meta))
            case StoreChunk(_, offset, data):
                self._queue.popleft()
                self._folder.store_chunk(offset, data)
            case InstallSnapshot(snapshot):
                self._queue.popleft()
                whole = await self._call(lambda: self._folder.install_snapshot(snapshot))
                event = SnapshotInstalled(snapshot) if whole else SnapshotCorrupted(snapshot)
                self._on_event(event)
            case other:
                assert_never(other)

    async def _write_group(self) -> None:
        group: list[Persist] = []
        size = 0
        while self._queue and size < MAX_GROUP_BYTES:
            first = self._queue[0]
            if not isinstance(first, Persist):
                break
            self._queue.popleft()
            group.append(first)
            size += sum(entry.size for entry in first.entries)
        writes = [LogWrite(one.hard_state, one.entries) for one in group]
        began = self._clock.now()
        await self._call(lambda: self._folder.write(*writes))
        self.syncs = SyncStats(self.syncs.number + 1, self.syncs.spent + self._clock.now() - began)
        self._on_event(Persisted(group[-1].number))

    async def _call(self, write: Callable[[], _T]) -> _T:
        if self._in_thread:
            return await trio.to_thread.run_sync(write)
        await trio.lowlevel.checkpoint()
        return write()
