"""Evacuated availability zones: no request is sent to their servers."""

from __future__ import annotations

from typing import NamedTuple


class Evacuations(NamedTuple):
    """The evacuated availability zones at one index of the replicated log."""

    number: int = 0
    """Increases with each change; 0 before the first one."""
    zones: tuple[str, ...] = ()
    """The names in sorted order."""

    def with_zone(self, number: int, zone: str, evacuate: bool) -> Evacuations:
        """Return the evacuations after one directive; the same object if nothing changes.

        Args:
            number: The number of the result if anything changes.
            zone: The availability zone.
            evacuate: True to evacuate the zone, False to use it again.
        """
        if (zone in self.zones) == evacuate:
            return self
        left = set(self.zones) - {zone}
        return Evacuations(number, tuple(sorted(left | {zone} if evacuate else left)))


NO_EVACUATIONS = Evacuations()
