"""Which entries own the connections to a server."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from xxhash import xxh3_64_intdigest


class EntryLocation(NamedTuple):
    """An entry and its availability zone."""

    name: str
    zone: str


def rendezvous(key: str, names: Sequence[str]) -> list[str]:
    """Order names for a key by rendezvous hashing.

    Args:
        key: What is to be placed.
        names: The candidates; taking one out moves only the keys that it had.

    Returns:
        The names, the first choice first.
    """
    return sorted(
        names, key=lambda name: xxh3_64_intdigest(f"{key}\0{name}".encode()), reverse=True
    )


def owners_of(
    server_id: str, zone: str, entries: Sequence[EntryLocation], wanted: int | None = None
) -> tuple[str, ...]:
    """Return the entries that hold connections to a server.

    Args:
        server_id: The server.
        zone: Its availability zone; entries of this zone come first.
        entries: All entries that serve.
        wanted: How many owners there are to be; None, today's choice, makes every entry one.

    Returns:
        The owners' names, the first choice first.
    """
    ordered = rendezvous(server_id, [entry.name for entry in entries if entry.zone == zone])
    if wanted is None or len(ordered) < wanted:
        ordered += rendezvous(server_id, [entry.name for entry in entries if entry.zone != zone])
    return tuple(ordered if wanted is None else ordered[:wanted])


class OwnerAssignment:
    """The owners of every server, as they follow from one roster and one number of owners.

    Args:
        entries: The entries that may own connections; the order is of no account.
        wanted: How many owners a server has, if there are as many entries.
    """

    def __init__(self, entries: Iterable[EntryLocation], wanted: int) -> None:
        self._entries = tuple(sorted(entries))
        self._wanted = wanted
        self._owners: dict[tuple[str, str, int], tuple[str, ...]] = {}
        text = "\0".join(f"{name}\0{zone}" for name, zone in self._entries)
        self.digest = xxh3_64_intdigest(f"{wanted}\0{text}".encode())
        """The same for the same entries and number, in every process."""

    def owners(self, server_id: str, zone: str, max_connections: int) -> tuple[str, ...]:
        """Return a server's owners, the first choice first.

        Args:
            server_id: The server.
            zone: Its availability zone.
            max_connections: What it accepts from all entries together; there are no more owners
                than that, as each needs one.
        """
        wanted = min(self._wanted, max_connections)
        key = (server_id, zone, wanted)
        known = self._owners.get(key)
        if known is None:
            known = owners_of(server_id, zone, self._entries, wanted)
            self._owners[key] = known
        return known
