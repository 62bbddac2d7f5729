"""Which entries own the connections to a server."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from xxhash import xxh3_64_intdigest


class EntryPlace(NamedTuple):
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
    server_id: str, zone: str, entries: Sequence[EntryPlace], wanted: int | None = None
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
    near = rendezvous(server_id, [entry.name for entry in entries if entry.zone == zone])
    far = rendezvous(server_id, [entry.name for entry in entries if entry.zone != zone])
    ordered = near + far
    return tuple(ordered if wanted is None else ordered[:wanted])
