"""Entries and control hosts as published to entries, and the owner plan."""

from __future__ import annotations

from collections.abc import Iterable

from ..owners import EntryLocation, OwnerPlan
from .feed import ControlPlace, RosterEntry
from .host_table import HostTable


def roster_row(hosts: HostTable, name: str) -> RosterEntry:
    """Return a registered entry as published to the others."""
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


def owner_plan_of_roster(roster: Iterable[RosterEntry], owners_per_server: int) -> OwnerPlan | None:
    """Return the owner plan for a roster.

    Args:
        roster: The registered entries.
        owners_per_server: The tier-wide setting; 0 makes every entry an owner.

    Returns:
        The plan; None if every entry may hold connections to every server. This is also the case
        while no entry accepts links, except leaving ones, because no server could be reached
        through another entry.
    """
    if not owners_per_server:
        return None
    places = [
        EntryLocation(row.name, row.zone) for row in roster if row.link_port and not row.leaving
    ]
    return OwnerPlan(places, owners_per_server) if places else None


def owner_plan_of_hosts(hosts: HostTable, owners_per_server: int) -> OwnerPlan | None:
    """Return the owner plan for the registered entries."""
    rows = (roster_row(hosts, name) for name in hosts.entries)
    return owner_plan_of_roster(rows, owners_per_server)


def control_places(hosts: HostTable) -> list[ControlPlace]:
    """Return the addresses of the control hosts that entries may connect to, sorted by name.

    A replacement is included once it has announced itself. Before that it cannot reach a leader,
    and an entry connected to it would lose part of its lease.
    """
    return [
        ControlPlace(record.name, record.address, record.port)
        for _, record in sorted(hosts.controls.items())
        if record.operator_port and record.mark not in ("departing", "replaced")
    ]
