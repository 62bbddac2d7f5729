"""What a host with a disk keeps of its beliefs, to serve by them right after a restart."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import trio

from ..clock import SECOND, Millis
from ..codec import Codec
from ..core.control.configuration_register import StoredConfiguration
from ..core.control.evacuations import NO_EVACUATIONS, Evacuations
from ..errors import AlderhatchError
from ..log import log_event
from ..log_events import LogEvent
from ..storage.files import DiskFiles, write_atomically
from .node_state import NodeState
from .tier_messages import ConfigurationNews, TierView

KEPT_NAME = "beliefs"
WRITTEN_NAME = "beliefs.new"
KEEP_EVERY: Millis = 300.0
"""How soon a change is on the disk; of several that follow closely only the newest is written."""

RESTORE_TIMEOUT: Millis = 200.0
"""How long a start waits for the disk; a sound one answers within some milliseconds."""


class KeptState(NamedTuple):
    """The beliefs of a host that it can serve by without a leader."""

    configuration: ConfigurationNews
    """It was in force, so it is committed; the replicated log may have a newer one."""
    view: TierView
    """The other hosts: budgets and connections are divided by their number."""
    evacuations: Evacuations = NO_EVACUATIONS


CODEC = Codec(KeptState)


class BeliefKeeper:
    """Writes a node's beliefs beside its replicated log, and reads them after a start.

    After a restart of all hosts the log first has to elect a leader, and each host to find it.
    Until then nobody would know a configuration, and every request would be refused for half a
    second and more although all hosts and servers are there. What was in force before is good
    enough meanwhile: changes and reads of the configuration still wait for the leader.

    Args:
        folder: The host's data folder.
        state: The beliefs.
        read: Reads what is kept in a folder; None if there is nothing.
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
        self._kept: KeptState | None = None
        self._works = True

    async def restore(self) -> None:
        """Take the beliefs of the last run, if there are any."""
        kept: KeptState | None = None
        try:
            # A disk may hang for seconds. The host opens its ports without it rather than later.
            with trio.fail_after(RESTORE_TIMEOUT / SECOND):
                kept = await trio.to_thread.run_sync(
                    self._read, self._folder, abandon_on_cancel=True
                )
        except trio.TooSlowError:
            log_event(LogEvent.BELIEFS_NOT_KEPT, why="the disk did not answer in time")
        except (OSError, AlderhatchError) as exc:
            log_event(LogEvent.BELIEFS_NOT_KEPT, why=str(exc))
        if kept is None:
            return
        self._kept = kept
        self._state.take_evacuations(kept.evacuations)
        self._state.take_configuration(StoredConfiguration(*kept.configuration))
        # Some may not have served just when the view was kept, this one among them. Left out, they
        # would be named to no caller until there is a leader.
        hosts = [host._replace(serving=True) for host in kept.view.hosts]
        self._state.take_view(kept.view._replace(hosts=hosts))

    async def run(self) -> None:
        """Keep the beliefs as they change, until cancelled."""
        while True:
            await trio.sleep(KEEP_EVERY / SECOND)
            state = self._state
            if state.stored.version == 0 or state.view is None:
                continue
            now = KeptState(ConfigurationNews(*state.stored), state.view, state.evacuations)
            if now == self._kept:
                continue
            await self._keep(now)

    async def _keep(self, beliefs: KeptState) -> None:
        try:
            await trio.to_thread.run_sync(_write, self._folder, beliefs, abandon_on_cancel=True)
        except OSError as exc:
            # The log's own files tell of a disk that fails; one line here for each time it begins.
            if self._works:
                log_event(LogEvent.BELIEFS_NOT_KEPT, why=str(exc))
            self._works = False
            return
        self._works = True
        self._kept = beliefs


def _read(folder: Path) -> KeptState | None:
    files = DiskFiles(folder)
    if KEPT_NAME not in files.names():
        return None
    kept: KeptState = CODEC.decode(files.read(KEPT_NAME))
    return kept


def _write(folder: Path, beliefs: KeptState) -> None:
    write_atomically(DiskFiles(folder), KEPT_NAME, WRITTEN_NAME, CODEC.encode(beliefs))
