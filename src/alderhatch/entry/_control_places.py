"""Which control host an entry goes to next: one that it was told of, or one of its settings."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..core.control.feed import ControlPlace
from ..settings.models import NamedEndpoint

MAX_LEARNED = 16
"""More than twice the control hosts that a tier may have; what is over it is not remembered."""


class ControlPlaces:
    """Goes round the control hosts.

    Those that control told of come first, because the settings may name hosts that were replaced
    long ago, and each try of one that is gone costs time which the lease does not have. When none
    of them gave a lease, those of the settings have their turn: what was told can be out of date,
    and forgetting the settings over it could leave an entry without any host for good.
    """

    def __init__(self, configured: Iterable[NamedEndpoint], first: int) -> None:
        """Prepare with the hosts of the settings.

        Args:
            configured: Where control hosts accept links, as the settings say.
            first: At which of them to begin, counted round.
        """
        self._configured = [ControlPlace(one.name, one.address, one.port) for one in configured]
        self._learned: list[ControlPlace] = []
        self._first = first
        self._round: list[ControlPlace] = []

    def learn(self, told: Sequence[ControlPlace]) -> None:
        """Take in the control hosts that control told of; an empty list changes nothing."""
        learned = list(told[:MAX_LEARNED])
        if learned and learned != self._learned:
            self._learned = learned
            self._round.clear()

    def next(self) -> ControlPlace:
        """Return the host to try now."""
        if not self._round:
            self._round = self._new_round()
        return self._round.pop(0)

    def gave_lease(self, place: ControlPlace) -> None:
        """Note that a host gave a lease; the next round begins with the one after it."""
        present = self._present()
        if place in present:
            self._first = present.index(place) + 1
        self._round.clear()

    def _present(self) -> list[ControlPlace]:
        return self._learned or self._configured

    def _new_round(self) -> list[ControlPlace]:
        present = self._present()
        start = self._first % len(present)
        known = {(one.address, one.port) for one in present}
        others = [one for one in self._configured if (one.address, one.port) not in known]
        return [*present[start:], *present[:start], *others]
