"""Checkpoints of a node's state, from which a host serves right after a restart."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import trio

from ..clock import SECOND, Millis, WallClock
from ..codec import Codec
from ..core.control.configuration_register import StoredConfiguration
from ..core.control.evacuations import NO_EVACUATIONS, Evacuations
from ..core.forwarding.crash_counter import SuspectKey
from ..errors import AlderhatchError
from ..log import log_event
from ..log_events import LogEvent
from ..signal import Signal
from ..storage.files import DiskFiles, write_atomically
from ..task_faults import TaskKind, record_task_fault
from .node_state import NodeState
from .start_timeline import StartStep
from .tier_messages import ConfigurationNews, TierView
from .usable_copies import usable_view

CHECKPOINT_NAME = "beliefs"
TEMPORARY_NAME = "beliefs.new"
CHECKPOINT_INTERVAL: Millis = 300.0
"""How often the state is checked for changes; of several changes only the newest is written."""

RESTORE_TIMEOUT: Millis = 200.0
"""How long a start waits for the disk; a healthy disk answers within a few milliseconds."""


class KeptQuarantine(NamedTuple):
    """A request that is refused because it crashes servers."""

    fingerprint: str
    ends_at: float
    """In milliseconds since 1970 UTC; the loop's clock starts anew with the process."""


class KeptState(NamedTuple):
    """The state that a host needs to serve requests without a leader."""

    configuration: ConfigurationNews
    """A committed configuration that was in force; the replicated log may have a newer one."""
    view: TierView
    """The other hosts; budgets and connections are divided by their number."""
    evacuations: Evacuations = NO_EVACUATIONS
    quarantines: tuple[KeptQuarantine, ...] = ()
    """If they were lost with the power, such a request would take a server of every shard again."""
    suspects: tuple[SuspectKey, ...] = ()
    """Likewise. They come with no time; each counts anew after a restart."""


CODEC = Codec(KeptState)


class CheckpointStore:
    """Writes a node's state to its data folder, and restores it after a start.

    After a restart of all hosts the log has to elect a leader, and each host has to find it.
    Without a checkpoint no host would know a configuration until then, and every request would be
    refused for half a second or more although all hosts and servers are up. The configuration that
    was in force before is good enough in the meantime; changes and reads of the configuration still
    wait for the leader.

    Args:
        folder: The host's data folder.
        state: The node's state.
        read: Reads the checkpoint in a folder; returns None if there is none.
    """

    def __init__(
        self,
        folder: Path,
        state: NodeState,
        read: Callable[[Path], KeptState | None] | None = None,
    ) -> None:
        self._folder = folder
        self._state = state
        self._read = read or _read
        self._wall_clock = WallClock()
        self._checkpoint: KeptState | None = None
        self._is_writable = True
        self._is_urgent = False
        self._due = Signal()
        self._is_restored = trio.Event()

    def save_soon(self) -> None:
        """Write the next checkpoint without waiting for ``CHECKPOINT_INTERVAL``."""
        self._is_urgent = True
        self._due.notify()

    async def restore(self) -> None:
        """Apply the checkpoint of the last run, if there is one, however late the disk answers."""
        try:
            checkpoint = await self._read_last()
            if checkpoint is not None:
                self._checkpoint = checkpoint
                self._apply(checkpoint)
        except Exception as exc:
            # It would end the process at each start. Without a checkpoint the host waits for the
            # leader instead.
            record_task_fault(TaskKind.CHECKPOINT, exc)
        finally:
            self._is_restored.set()

    async def wait_restored(self) -> None:
        """Wait until the checkpoint has been applied, but not for a disk that hangs.

        A host that waited would not open its ports. It goes on without the checkpoint, and applies
        it when it comes: while the log has no majority there is nothing else to serve by.
        """
        with trio.move_on_after(RESTORE_TIMEOUT / SECOND) as waiting:
            await self._is_restored.wait()
        if waiting.cancelled_caught:
            log_event(LogEvent.BELIEFS_NOT_KEPT, why="the disk did not answer in time")

    async def _read_last(self) -> KeptState | None:
        try:
            return await trio.to_thread.run_sync(self._read, self._folder, abandon_on_cancel=True)
        except (OSError, AlderhatchError) as exc:
            log_event(LogEvent.BELIEFS_NOT_KEPT, why=str(exc))
            return None

    def _apply(self, checkpoint: KeptState) -> None:
        now = self._wall_clock.now()
        self._state.crash_guard.restore_quarantines(
            {one.fingerprint: one.ends_at - now for one in checkpoint.quarantines}
        )
        self._state.crash_guard.restore_suspects(checkpoint.suspects)
        self._state.apply_evacuations(checkpoint.evacuations)
        self._state.apply_configuration(StoredConfiguration(*checkpoint.configuration))
        if self._state.stored.version > 0:
            self._state.record_step(StartStep.CHECKPOINT)
        if self._state.view is not None:
            # The disk was so late that a leader's view is there, which is newer.
            return
        # Some hosts, among them this one, may not have been serving when the checkpoint was
        # written. If they stayed excluded, they would not be advertised to callers until there is a
        # leader.
        view = usable_view(checkpoint.view, CHECKPOINT_NAME)
        hosts = [host._replace(serving=True) for host in view.hosts]
        self._state.apply_view(view._replace(hosts=hosts))

    async def run(self) -> None:
        """Write a checkpoint whenever the state has changed, until cancelled."""
        # Written earlier, it would replace quarantines that have not been read yet.
        await self._is_restored.wait()
        while True:
            if not self._is_urgent:
                await self._due.wait_for(CHECKPOINT_INTERVAL)
            self._is_urgent = False
            state = self._state
            if state.stored.version == 0 or state.view is None:
                continue
            current = KeptState(
                ConfigurationNews(*state.stored),
                state.view,
                state.evacuations,
                self._current_quarantines(),
                tuple(state.crash_guard.suspects()),
            )
            if current == self._checkpoint:
                continue
            await self._save(current)

    def _current_quarantines(self) -> tuple[KeptQuarantine, ...]:
        now = self._wall_clock.now()
        written = self._checkpoint.quarantines if self._checkpoint is not None else ()
        known = {one.fingerprint: one for one in written}
        return tuple(
            known.get(fingerprint) or KeptQuarantine(fingerprint, now + left)
            for fingerprint, left in self._state.crash_guard.quarantines().items()
        )

    async def _save(self, new_state: KeptState) -> None:
        try:
            await trio.to_thread.run_sync(_write, self._folder, new_state, abandon_on_cancel=True)
        except (OSError, AlderhatchError) as exc:
            # The replicated log reports disk failures too, so only the first of a series is logged.
            if self._is_writable:
                log_event(LogEvent.BELIEFS_NOT_KEPT, why=str(exc))
            self._is_writable = False
            return
        self._is_writable = True
        self._checkpoint = new_state


def _read(folder: Path) -> KeptState | None:
    files = DiskFiles(folder)
    if CHECKPOINT_NAME not in files.names():
        return None
    checkpoint: KeptState = CODEC.decode(files.read(CHECKPOINT_NAME))
    return checkpoint


def _write(folder: Path, new_state: KeptState) -> None:
    write_atomically(DiskFiles(folder), CHECKPOINT_NAME, TEMPORARY_NAME, CODEC.encode(new_state))
