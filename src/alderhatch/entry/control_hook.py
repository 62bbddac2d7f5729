"""The interfaces between an entry and its link to the control hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol, TypeAlias

import trio

from ..core.entry_events import ClaimRun, EntryEvent, RecordOutcome, ReportCrash
from ..core.shard_map import Server
from ..settings.models import EntrySettings
from .address_book import EntryAddress
from .owner_client import OwnerClient

ControlEffect: TypeAlias = ClaimRun | RecordOutcome | ReportCrash
"""Effects of the core that control executes."""


class EntryHooks(Protocol):
    """The part of an entry that its link to control uses."""

    cfg: EntrySettings
    port: int
    """The port for callers; it is open when the link starts."""
    link_port: int
    """The port for links from other entries; 0 if it accepts none."""
    owners: OwnerClient | None
    """Reaches servers through other entries; None if there are no links between entries."""

    def feed(self, event: EntryEvent) -> None:
        """Pass an event to the core."""

    def known_servers(self) -> Iterable[Server]:
        """Return the servers of all shard maps."""

    def within_shares(self) -> bool:
        """Return whether no server has more connections than the current share allows."""

    def set_roster(self, roster: Iterable[EntryAddress]) -> None:
        """Set the entries that may be advertised to callers."""

    def request_stop(self) -> None:
        """Request a planned stop."""


class ControlHook(Protocol):
    """The link to the control hosts as used by the entry."""

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Maintain the link until cancelled."""

    async def wait_share(self) -> None:
        """Wait for a valid lease with a share of the servers' connections."""

    def execute(self, effect: ControlEffect) -> None:
        """Start to execute an effect of the core, without blocking."""

    def on_servers_changed(self) -> None:
        """Handle a changed shard map, so that new servers get their shares."""

    async def leave(self) -> None:
        """Deregister at the end of a planned stop, when all connections are closed."""


ControlHookMaker: TypeAlias = Callable[[EntryHooks], ControlHook]
