"""Which availability zones operators have evacuated: nothing is sent to their servers."""

from __future__ import annotations

from typing import NamedTuple


class Evacuations(NamedTuple):
    """The evacuated availability zones, as the replicated log has them."""

    number: int = 0
    """Goes up with each change; 0 before the first one."""
    zones: tuple[str, ...] = ()
    """Sorted by name."""

    def with_zone(self, number: int, zone: str, evacuate: bool) -> Evacuations:
        """Return what is in force after an order; the same object if the order changes nothing.

        Args:
            number: What the order is numbered by if it changes anything.
            zone: The availability zone.
            evacuate: Whether it is to get nothing, or to be used again.
        """
        if (zone in self.zones) == evacuate:
            return self
        left = set(self.zones) - {zone}
        return Evacuations(number, tuple(sorted(left | {zone} if evacuate else left)))


NO_EVACUATIONS = Evacuations()
