"""Organisations, whose keys identify callers, and the lookup of a key's organisation."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class Organisation(NamedTuple):
    """One organisation as the operator declares it."""

    name: str
    keys: tuple[str, ...]
    """The keys of its callers; no other organisation has the same key."""
    rank: int | None = None
    """The priority of its requests, which goes before that of the route; 0 is the most urgent.
    None if the route's priority applies."""
    rate: float = 0.0
    """The quota over all hosts together, in requests per second; 0 means no limit."""
    burst: float = 0.0
    """How many requests beyond the rate may run at once after a pause."""

    @property
    def is_limited(self) -> bool:
        """Whether the organisation has a quota."""
        return self.rate > 0.0


class OrganisationTable:
    """Finds organisations by key and by name.

    Args:
        organisations: The organisations; no two of them have the same name or share a key.
    """

    def __init__(self, organisations: Iterable[Organisation]) -> None:
        self._by_name = {organisation.name: organisation for organisation in organisations}
        self._by_key = {key: one for one in self._by_name.values() for key in one.keys}

    def __len__(self) -> int:
        """Return the number of organisations."""
        return len(self._by_name)

    def with_key(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key, or None."""
        return self._by_key.get(key)

    def named(self, name: str) -> Organisation | None:
        """Return the organisation with a name, or None."""
        return self._by_name.get(name)
