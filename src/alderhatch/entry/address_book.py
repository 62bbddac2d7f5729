"""The entry addresses that are advertised to callers."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from ..clock import Millis

OWN_ZONE_WEIGHT = 100
OTHER_ZONE_WEIGHT = 10


class EntryAddress(NamedTuple):
    """The address of one entry for callers."""

    address: str
    """An IP address."""
    port: int
    zone: str
    leaving: bool = False
    """Whether control reports that the entry is stopping."""


class WeightedAddress(NamedTuple):
    """An address in an answer, with its weight."""

    address: str
    port: int
    zone: str
    weight: int
    """The share of the caller's requests, relative to the weights of the other addresses."""


class AddressBook:
    """Selects the entry addresses for a caller.

    Args:
        ttl: How long callers may cache an answer, in milliseconds.
    """

    def __init__(self, ttl: Millis) -> None:
        self.ttl = ttl
        self.roster: tuple[EntryAddress, ...] = ()
        """All entries that control knows; only this entry if it runs without control."""
        self.platform_leaving: Collection[tuple[str, int]] = ()
        """Addresses and ports that the platform reports as leaving."""
        self._excluded: set[tuple[str, int]] = set()

    def exclude(self, address: str, port: int) -> None:
        """Exclude an entry from all further answers."""
        self._excluded.add((address, port))

    def addresses_for(self, zone: str) -> list[WeightedAddress]:
        """Return the addresses for a caller, those in its own zone first.

        Args:
            zone: The caller's availability zone; empty if unknown.
        """
        excluded = self._excluded.union(self.platform_leaving)
        remaining = [
            entry
            for entry in self.roster
            if not entry.leaving and (entry.address, entry.port) not in excluded
        ]
        # With an empty answer a caller could not reach any entry. If all entries are leaving, they
        # are advertised nevertheless: they still report reliably that a request did not run.
        candidates = remaining or list(self.roster)
        ordered = sorted(
            candidates, key=lambda entry: (entry.zone != zone, entry.address, entry.port)
        )
        return [self._weighted(entry, zone, ordered) for entry in ordered]

    def _weighted(
        self, entry: EntryAddress, zone: str, listed: list[EntryAddress]
    ) -> WeightedAddress:
        zone_has_entry = any(other.zone == zone for other in listed)
        preferred = entry.zone == zone or not zone_has_entry
        weight = OWN_ZONE_WEIGHT if preferred else OTHER_ZONE_WEIGHT
        return WeightedAddress(entry.address, entry.port, entry.zone, weight)
