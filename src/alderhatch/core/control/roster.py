"""The entries as they are shown to each other."""

from __future__ import annotations

from .feed import RosterEntry
from .host_table import HostTable


def roster_row(hosts: HostTable, name: str) -> RosterEntry:
    """Return how an entry that takes part is shown to the others."""
    record = hosts.entries[name]
    leaving = name in hosts.stopping
    return RosterEntry(record.name, record.zone, record.address, record.port, leaving)
