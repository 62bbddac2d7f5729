"""What an entry and its link to the control hosts ask of each other."""

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
"""What the core asks of control."""


class EntryHooks(Protocol):
    """What the link to control may see of its entry and do to it."""

    cfg: EntrySettings
    port: int
    """The port that callers connect to; it listens by the time the link runs."""
    link_port: int
    """The port for links of other entries; 0 if it takes none."""
    owners: OwnerClient | None
    """Reaches servers through other entries."""

    def feed(self, event: EntryEvent) -> None:
        """Tell the core what happened."""

    def known_servers(self) -> Iterable[Server]:
        """Return the servers of all shard maps."""

    def within_shares(self) -> bool:
        """Return whether no server may count more connections than the present share."""

    def set_roster(self, roster: Iterable[EntryAddress]) -> None:
        """Take the entries that callers may be told of."""

    def request_stop(self) -> None:
        """Begin a planned stop."""


class ControlHook(Protocol):
    """The link to the control hosts, as the entry sees it."""

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Keep the link until cancelled."""

    async def wait_share(self) -> None:
        """Wait until there is a live lease with a share of the servers' connections."""

    def carry_out(self, effect: ControlEffect) -> None:
        """Begin what the core asked for; it must not wait."""

    def servers_changed(self) -> None:
        """Take note that a shard map has changed, so that new servers get their shares."""

    async def leave(self) -> None:
        """Say goodbye at the end of a planned stop, when no connection is open any more."""


ControlHookMaker: TypeAlias = Callable[[EntryHooks], ControlHook]
