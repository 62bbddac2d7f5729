"""What an entry asks of its link to the control hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol, TypeAlias

import trio

from ..core.entry_events import ClaimRun, EntryEvent, RecordOutcome, ReportCrash
from .address_book import EntryAddress

ControlEffect: TypeAlias = ClaimRun | RecordOutcome | ReportCrash
"""What the core asks of control."""


class EntryHooks(Protocol):
    """What the link to control may do to its entry."""

    def feed(self, event: EntryEvent) -> None:
        """Tell the core what happened."""

    def set_roster(self, roster: Iterable[EntryAddress]) -> None:
        """Take the entries that callers may be told of."""

    def request_stop(self) -> None:
        """Begin a planned stop."""


class ControlHook(Protocol):
    """The link to the control hosts, as the entry sees it."""

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Keep the link until cancelled."""

    def carry_out(self, effect: ControlEffect) -> None:
        """Begin what the core asked for; it must not wait."""

    def leave(self) -> None:
        """Tell control that this entry is stopping, so that nobody is sent to it."""


ControlHookMaker: TypeAlias = Callable[[EntryHooks], ControlHook]
