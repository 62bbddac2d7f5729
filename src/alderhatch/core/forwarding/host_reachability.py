"""Decides which hosts callers may be sent to while there is no leader."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .caller_hosts import HostRecord


class HostReachability:
    """What a host without a leader finds out about the other hosts by itself.

    Only the leader hears from every host. Without one, the last host list would stay in use
    indefinitely, and callers would be sent to hosts that are long gone: each new connection there
    costs them a second.
    """

    def __init__(self) -> None:
        self._unreachable: frozenset[str] = frozenset()
        self._reaches_any = False

    @property
    def unreachable(self) -> frozenset[str]:
        """The names of hosts that the latest probe did not reach."""
        return self._unreachable

    def record_probes(self, reached: Mapping[str, bool]) -> None:
        """Record for each probed host, by name, whether it was reached."""
        found = {name for name, is_reached in reached.items() if is_reached}
        self._unreachable = (self._unreachable | reached.keys()) - found
        self._reaches_any = bool(found)

    def reachable(self, hosts: Iterable[HostRecord]) -> list[HostRecord]:
        """Return the hosts that are not known to be unreachable."""
        return [host for host in hosts if host.name not in self._unreachable]

    def eligible(self, hosts: Iterable[HostRecord]) -> list[HostRecord]:
        """Return the hosts that callers may be sent to.

        A host that reaches no other can't tell whether it is partitioned itself; callers that reach
        it may well reach the others, so it keeps advertising them.
        """
        return self.reachable(hosts) if self._reaches_any else list(hosts)
