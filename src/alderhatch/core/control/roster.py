"""The entries as they are shown to each other, and the control hosts as entries are told."""

from __future__ import annotations

from .feed import ControlPlace, RosterEntry
from .host_table import HostTable


def roster_row(hosts: HostTable, name: str) -> RosterEntry:
    """Return how an entry that takes part is shown to the others."""
    record = hosts.entries[name]
    leaving = name in hosts.stopping
    return RosterEntry(record.name, record.zone, record.address, record.port, leaving)


def control_places(hosts: HostTable) -> list[ControlPlace]:
    """Return where entries reach control, by name.

    A replacement is told of once it has announced itself: before that it has no way to a leader,
    and an entry that went to it would lose time of its lease.
    """
    return [
        ControlPlace(record.name, record.address, record.port)
        for _, record in sorted(hosts.controls.items())
        if record.operator_port and record.mark not in ("departing", "replaced")
    ]
