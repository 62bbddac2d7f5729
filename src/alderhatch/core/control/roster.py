"""The entries and control hosts as entries are told of them, and the plan of owners."""

from __future__ import annotations

from collections.abc import Iterable

from ..owners import EntryLocation, OwnerAssignment
from .feed import ControlPlace, RosterEntry
from .host_table import HostTable


def roster_row(hosts: HostTable, name: str) -> RosterEntry:
    """Return how an entry that takes part is shown to the others."""
    record = hosts.entries[name]
    leaving = name in hosts.stopping
    return RosterEntry(
        record.name,
        record.zone,
        record.address,
        record.port,
        leaving,
        record.link_address,
        record.link_port,
    )


def owner_plan_of_roster(
    roster: Iterable[RosterEntry], owners_per_server: int
) -> OwnerAssignment | None:
    """Return the plan that holds for a roster.

    Args:
        roster: The entries that take part.
        owners_per_server: The tier's setting; 0 makes every entry an owner.

    Returns:
        The plan; None if every entry owns connections to every server. That is also so while no
        entry that stays takes links: nobody could reach a server through another one.
    """
    if not owners_per_server:
        return None
    places = [
        EntryLocation(row.name, row.zone) for row in roster if row.link_port and not row.leaving
    ]
    return OwnerAssignment(places, owners_per_server) if places else None


def owner_plan_of_hosts(hosts: HostTable, owners_per_server: int) -> OwnerAssignment | None:
    """Return the plan that holds for the entries that take part."""
    rows = (roster_row(hosts, name) for name in hosts.entries)
    return owner_plan_of_roster(rows, owners_per_server)


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
