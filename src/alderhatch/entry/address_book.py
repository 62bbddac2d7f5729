"""Which addresses callers are told to use."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from ..clock import Millis

OWN_ZONE_WEIGHT = 100
OTHER_ZONE_WEIGHT = 10


class EntryAddress(NamedTuple):
    """One entry as callers reach it."""

    address: str
    """An IP address."""
    port: int
    zone: str
    leaving: bool = False
    """Whether control knows that it is stopping."""


class WeightedAddress(NamedTuple):
    """One line of an answer about addresses."""

    address: str
    port: int
    zone: str
    weight: int
    """How much of the caller's work should go there, compared with the other lines."""


class AddressBook:
    """Answers which of the addresses to use, and for how long.

    Args:
        ttl: How long callers keep an answer, in milliseconds.
    """

    def __init__(self, ttl: Millis) -> None:
        self.ttl = ttl
        self.roster: tuple[EntryAddress, ...] = ()
        """Every entry that control knows of; this one alone where there is no control."""
        self.platform_leaving: Collection[tuple[str, int]] = ()
        """Addresses with ports that the platform says are leaving."""
        self._left: set[tuple[str, int]] = set()

    def leave(self, address: str, port: int) -> None:
        """Name an entry in no answer from now on."""
        self._left.add((address, port))

    def answer(self, zone: str) -> list[WeightedAddress]:
        """Return the addresses for a caller, its own zone's first.

        Args:
            zone: The caller's availability zone; empty if it did not say.
        """
        gone = self._left.union(self.platform_leaving)
        staying = [
            item
            for item in self.roster
            if not item.leaving and (item.address, item.port) not in gone
        ]
        # A caller whose answer were empty could not ask anybody any more, so the last ones are
        # named even though they leave: they still say truly that nothing ran.
        chosen = staying or list(self.roster)
        ordered = sorted(chosen, key=lambda item: (item.zone != zone, item.address, item.port))
        return [self._weighted(item, zone, ordered) for item in ordered]

    def _weighted(
        self, item: EntryAddress, zone: str, all_of: list[EntryAddress]
    ) -> WeightedAddress:
        own_zone_known = any(other.zone == zone for other in all_of)
        near = item.zone == zone or not own_zone_known
        weight = OWN_ZONE_WEIGHT if near else OTHER_ZONE_WEIGHT
        return WeightedAddress(item.address, item.port, item.zone, weight)
