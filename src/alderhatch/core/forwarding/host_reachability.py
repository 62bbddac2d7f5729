"""Which hosts callers may be sent to while no leader tells who is gone."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .caller_hosts import HostRecord


class HostReachability:
    """What a host that follows no leader finds out about the others by itself.

    Only the leader hears from every host. Without one the last word of who is there would stay in
    use without end, and callers would be sent to hosts that are long gone: each new connection
    there costs them a second.
    """

    def __init__(self) -> None:
        self._unreachable: frozenset[str] = frozenset()
        self._reaches_any = False

    @property
    def unreachable(self) -> frozenset[str]:
        """The names of hosts that were tried last and not reached."""
        return self._unreachable

    def record_probes(self, reached: Mapping[str, bool]) -> None:
        """Take which of the hosts that were tried were reached, by name."""
        found = {name for name, is_reached in reached.items() if is_reached}
        self._unreachable = (self._unreachable | reached.keys()) - found
        self._reaches_any = bool(found)

    def reachable(self, hosts: Iterable[HostRecord]) -> list[HostRecord]:
        """Return the hosts that are not known to be out of reach."""
        return [host for host in hosts if host.name not in self._unreachable]

    def eligible(self, hosts: Iterable[HostRecord]) -> list[HostRecord]:
        """Return the hosts that callers may be sent to.

        A host that reaches nobody can't tell whether it is cut off itself; callers who reach it may
        well reach the others, so it goes on naming them.
        """
        return self.reachable(hosts) if self._reaches_any else list(hosts)
