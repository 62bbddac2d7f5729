"""Leaves out what can't be used of the copies of outside data that hosts pass on and keep.

A host of an earlier build may send, or have written to its disk, entries that this build wouldn't
have read. Each of them is left out by itself; the others hold.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

from ..core.forwarding.caller_hosts import is_usable_host
from ..core.forwarding.server_record import ServerRecord, is_usable
from ..log import log_event
from ..log_events import LogEvent
from .tier_messages import TierView

T = TypeVar("T")

MAX_QUOTED = 200
"""Characters of an unusable entry that a log line or an error repeats."""


def quoted(entry: object) -> str:
    """Return the beginning of an unusable entry as a log line or an error repeats it."""
    return ascii(entry)[:MAX_QUOTED]


def usable_servers(records: Iterable[ServerRecord], source: str) -> list[ServerRecord]:
    """Return the servers that a request can be sent to.

    Args:
        records: A copy of server list entries.
        source: Where the copy comes from, for the log.
    """
    return _usable(records, is_usable, "servers", source)


def usable_view(view: TierView, source: str) -> TierView:
    """Return a view without the hosts that can't be connected to.

    Args:
        view: A copy of a leader's view.
        source: Where the copy comes from, for the log.
    """
    return view._replace(hosts=_usable(view.hosts, is_usable_host, "hosts", source))


def _usable(items: Iterable[T], check: Callable[[T], bool], what: str, source: str) -> list[T]:
    items = list(items)
    unusable = [one for one in items if not check(one)]
    if not unusable:
        return items
    log_event(
        LogEvent.COPY_REFUSED,
        source=source,
        what=what,
        count=len(unusable),
        first=quoted(unusable[0]),
    )
    return [one for one in items if check(one)]
