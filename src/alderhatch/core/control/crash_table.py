"""Tier-wide counts of server crashes by request body, and the resulting quarantines."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, NamedTuple

from ...clock import SECOND, Millis
from .operations import ReportCrash
from .tier_settings import TierSettings

MAX_SUSPECTS = 2000
MAX_QUARANTINES = 1000
SAME_CRASH_WINDOW_MS: Millis = 2 * SECOND
"""Reports about one server within this time count as one crash seen by several entries."""


class Crash(NamedTuple):
    """A crash of a server."""

    at: Millis
    server: str


class Quarantine(NamedTuple):
    """A request body that no entry sends until the quarantine ends."""

    fingerprint: str
    since: Millis
    until: Millis
    servers: tuple[str, ...]
    """The IDs of the servers that crashed on the body."""


class CrashTable:
    """Counts crashes by fingerprint and quarantines fingerprints. Bounded."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, tuple[Crash, ...]] = OrderedDict()
        self._quarantines: OrderedDict[str, Quarantine] = OrderedDict()

    @property
    def quarantines(self) -> tuple[Quarantine, ...]:
        """The active quarantines, oldest first."""
        return tuple(self._quarantines.values())

    @property
    def suspects(self) -> dict[str, tuple[Crash, ...]]:
        """The crashes of fingerprints that are not quarantined."""
        return dict(self._crashes)

    def report(self, report: ReportCrash, now: Millis, settings: TierSettings) -> bool:
        """Count a crash; return whether it puts the fingerprint under quarantine."""
        if report.fingerprint in self._quarantines:
            return False
        crash = Crash(now, report.server)
        crashes = self._crashes.pop(report.fingerprint, ())
        crashes = tuple(c for c in crashes if c.at + settings.crash_window_ms > now)
        if not any(_is_same_crash(c, crash) for c in crashes):
            crashes = (*crashes, crash)
        if len(crashes) < settings.crash_limit:
            self._crashes[report.fingerprint] = crashes
            while len(self._crashes) > MAX_SUSPECTS:
                self._crashes.popitem(last=False)
            return False
        servers = tuple(c.server for c in crashes)
        until = now + settings.quarantine_ms
        self._quarantines[report.fingerprint] = Quarantine(report.fingerprint, now, until, servers)
        return True

    def lift(self, fingerprint: str) -> bool:
        """End a quarantine; return whether there was one."""
        return self._quarantines.pop(fingerprint, None) is not None

    def expire(self, now: Millis) -> list[str]:
        """End quarantines that have expired or exceed the bound; return their fingerprints."""
        ended = [q.fingerprint for q in self._quarantines.values() if q.until <= now]
        excess = len(self._quarantines) - len(ended) - MAX_QUARANTINES
        if excess > 0:
            held = [name for name in self._quarantines if name not in ended]
            ended += held[:excess]
        for fingerprint in ended:
            del self._quarantines[fingerprint]
        return ended

    @property
    def next_end(self) -> Millis | None:
        """When the next quarantine ends; None if there is none."""
        return min((q.until for q in self._quarantines.values()), default=None)

    def to_plain(self) -> dict[str, Any]:
        """Return the state as plain maps and lists."""
        crashes = [[key, [list(c) for c in kept]] for key, kept in self._crashes.items()]
        quarantines = [[*q[:3], list(q.servers)] for q in self._quarantines.values()]
        return {"crashes": crashes, "quarantines": quarantines}

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> CrashTable:
        """Return the state from the result of ``to_plain``."""
        table = cls()
        for key, kept in plain["crashes"]:
            table._crashes[key] = tuple(Crash(*c) for c in kept)
        for fingerprint, since, until, servers in plain["quarantines"]:
            quarantine = Quarantine(fingerprint, since, until, tuple(servers))
            table._quarantines[fingerprint] = quarantine
        return table


def _is_same_crash(one: Crash, other: Crash) -> bool:
    return one.server == other.server and abs(one.at - other.at) < SAME_CRASH_WINDOW_MS
