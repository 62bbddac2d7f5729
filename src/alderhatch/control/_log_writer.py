"""The task that does all writes to a host's data folder."""

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
"""Size up to which waiting writes share one sync."""

_T = TypeVar("_T")


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """A request to save a snapshot, with the state at the snapshot's index."""

    request: TakeSnapshot
    state: bytes


Write: TypeAlias = Persist | SaveSnapshot | StoreChunk | InstallSnapshot


class LogWriter:
    """Writes to disk in the order of the requests; waiting journal writes share one sync."""

    def __init__(
        self, folder: DataFolder, in_thread: bool, on_event: Callable[[Event], None]
    ) -> None:
        """Create a writer for a data folder.

        Args:
            folder: The data folder; nothing else may write to it.
            in_thread: Whether to wait for the disk in a worker thread.
            on_event: Called when a write is on disk or the disk has failed.
        """
        self._folder = folder
        self._in_thread = in_thread
        self._on_event = on_event
        self._queue: deque[Write] = deque()
        self._work_available = trio.Event()
        self._read_error: OSError | None = None
        self._clock = LoopClock()
        self.stats = SyncStats(0, 0.0)

    def add(self, write: Write) -> None:
        """Queue a write."""
        self._queue.append(write)
        self._work_available.set()

    def fail(self, error: OSError) -> None:
        """Stop writing, because a read from the disk has failed."""
        self._read_error = error
        self._work_available.set()

    async def run(self) -> None:
        """Write until cancelled or until the disk fails."""
        while True:
            await self._work_available.wait()
            # Let other runnable tasks add writes that share the next sync.
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
            self._work_available = trio.Event()

    async def _write_next(self) -> None:
        match self._queue[0]:
            case Persist():
                await self._write_group()
            case SaveSnapshot(request, state):
                self._queue.popleft()
                folder = self._folder
                index, term, members = request.index, request.term, request.membership
                meta = await self._run_write(
                    lambda: folder.save_snapshot(index, term, members, state)
                )
                self._on_event(SnapshotSaved(meta))
            case StoreChunk(_, offset, data):
                self._queue.popleft()
                self._folder.store_chunk(offset, data)
            case InstallSnapshot(snapshot):
                self._queue.popleft()
                is_intact = await self._run_write(lambda: self._folder.install_snapshot(snapshot))
                event = SnapshotInstalled(snapshot) if is_intact else SnapshotCorrupted(snapshot)
                self._on_event(event)
            case unknown_write:
                assert_never(unknown_write)

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
        writes = [LogWrite(persist.hard_state, persist.entries) for persist in group]
        started = self._clock.now()
        await self._run_write(lambda: self._folder.write(*writes))
        self.stats = SyncStats(
            self.stats.number + 1, self.stats.spent + self._clock.now() - started
        )
        self._on_event(Persisted(group[-1].number))

    async def _run_write(self, write: Callable[[], _T]) -> _T:
        if self._in_thread:
            return await trio.to_thread.run_sync(write)
        await trio.lowlevel.checkpoint()
        return write()
