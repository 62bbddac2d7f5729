"""Assigns the entries that own the connections to each server."""

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
        key: The key to place.
        names: The candidates. Removing one moves only the keys for which it came first.

    Returns:
        The names in order of preference.
    """
    return sorted(
        names, key=lambda name: xxh3_64_intdigest(f"{key}\0{name}".encode()), reverse=True
    )


def owners_of(
    server_id: str, zone: str, entries: Sequence[EntryLocation], count: int | None = None
) -> tuple[str, ...]:
    """Return the entries that hold connections to a server.

    Args:
        server_id: The server.
        zone: Its availability zone; entries of this zone come first.
        entries: All serving entries.
        count: The number of owners; None makes every entry an owner.

    Returns:
        The owners' names in order of preference.
    """
    ordered = rendezvous(server_id, [entry.name for entry in entries if entry.zone == zone])
    if count is None or len(ordered) < count:
        ordered += rendezvous(server_id, [entry.name for entry in entries if entry.zone != zone])
    return tuple(ordered if count is None else ordered[:count])


class OwnerPlan:
    """The owners of every server, derived from a roster and a number of owners for each server.

    Args:
        entries: The entries that may own connections, in any order.
        count: The number of owners of a server, if there are as many entries.
    """

    def __init__(self, entries: Iterable[EntryLocation], count: int) -> None:
        self._entries = tuple(sorted(entries))
        self._count = count
        self._owners: dict[tuple[str, str, int], tuple[str, ...]] = {}
        text = "\0".join(f"{name}\0{zone}" for name, zone in self._entries)
        self.digest = xxh3_64_intdigest(f"{count}\0{text}".encode())
        """A hash of the entries and the number of owners, the same in every process."""

    def owners(self, server_id: str, zone: str, max_connections: int) -> tuple[str, ...]:
        """Return a server's owners in order of preference.

        Args:
            server_id: The server.
            zone: Its availability zone.
            max_connections: How many connections it accepts from all entries together. It bounds
                the number of owners, as each owner needs a connection.
        """
        count = min(self._count, max_connections)
        key = (server_id, zone, count)
        cached = self._owners.get(key)
        if cached is None:
            cached = owners_of(server_id, zone, self._entries, count)
            self._owners[key] = cached
        return cached
