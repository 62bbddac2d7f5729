"""Selects the control host that an entry tries next, from control's list and the settings."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..core.control.feed import ControlPlace
from ..settings.models import NamedEndpoint

MAX_LEARNED = 16
"""Control hosts accepted from control; more than twice the number that a tier may have. Further
ones are ignored."""


class ControlHostSelector:
    """Tries the control hosts in turn.

    The hosts that control has announced come first: the settings may name hosts that have been
    replaced, and each attempt at such a host takes time in which the lease may expire. If no
    announced host granted a lease, the hosts of the settings follow: the announced list can be
    outdated, and an entry that ignored its settings might never find a control host again.
    """

    def __init__(self, configured: Iterable[NamedEndpoint], first: int) -> None:
        """Start with the hosts of the settings.

        Args:
            configured: The addresses of the control hosts in the settings.
            first: The index of the host to try first, modulo the number of hosts.
        """
        self._configured = [ControlPlace(host.name, host.address, host.port) for host in configured]
        self._learned: list[ControlPlace] = []
        self._first = first
        self._round: list[ControlPlace] = []

    def set_learned(self, hosts: Sequence[ControlPlace]) -> None:
        """Set the control hosts that control has announced; an empty list is ignored."""
        learned = list(hosts[:MAX_LEARNED])
        if learned and learned != self._learned:
            self._learned = learned
            self._round.clear()

    def next_host(self) -> ControlPlace:
        """Return the host to try next."""
        if not self._round:
            self._round = self._new_round()
        return self._round.pop(0)

    def on_lease_granted(self, place: ControlPlace) -> None:
        """Record that a host granted a lease; the next round starts with the host after it."""
        current = self._current()
        if place in current:
            self._first = current.index(place) + 1
        self._round.clear()

    def _current(self) -> list[ControlPlace]:
        return self._learned or self._configured

    def _new_round(self) -> list[ControlPlace]:
        current = self._current()
        start = self._first % len(current)
        listed = {(host.address, host.port) for host in current}
        unlisted = [host for host in self._configured if (host.address, host.port) not in listed]
        return [*current[start:], *current[:start], *unlisted]
