"""Decides which requests every host refuses, or runs on one server at a time."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ...clock import SECOND, Millis
from ..crash_detector import CRASH_LIMIT, MASS_LOSS_WINDOW_MS, MAX_FINGERPRINTS
from ..server_view import NEVER

QUARANTINE_DURATION: Millis = 600 * SECOND
"""How long such a request is refused everywhere; its caller may have stopped sending it by then."""
CRASH_RETENTION: Millis = 60 * SECOND
"""Crashes further apart than this are not attributed to the same request."""
DECISION_DELAY: Millis = 250.0
"""How long after the first report of a crash the reports of other hosts are awaited."""
LOST_TRIALS = 2
"""A request that was lost in so many trials, and answered in none since the first, crashes servers
even if others ended at the same moments: a zone takes a harmless request once, not each time that
it is tried. Otherwise several that crash servers hide each other, as their trials end together."""
MAX_LISTED = 256
"""Limit of the requests that hosts are sent of each kind; the newest are kept."""


class SuspectKey(NamedTuple):
    """What is suspected."""

    fingerprint: str
    upstream: str = ""
    """The only upstream whose servers were lost; empty if servers of several were."""


@dataclass(slots=True)
class _Report:
    """One server that a request was lost on."""

    at: Millis
    """When a host reported it last."""
    is_crash: bool = False
    """Whether a host holds the request to have crashed it; otherwise it is only suspected."""
    in_trial: bool = False
    """Whether the request ran there alone when the server ended."""
    in_shared_trial: bool = False
    """Whether it was tried there when the server ended, maybe for another request."""


def count_moments(times: Iterable[Millis]) -> int:
    """Return how many of some times are not of the same moment as an earlier one.

    Servers that one event has ended are lost within ``MASS_LOSS_WINDOW_MS`` of each other.
    """
    count = 0
    last = NEVER
    for at in sorted(times):
        if at - last >= MASS_LOSS_WINDOW_MS:
            count += 1
            last = at
    return count


class CrashCounter:
    """Combines at the leader what hosts report, since any host may receive a request.

    If hosts counted separately, each would let a request crash servers of its own; a tier of eleven
    hosts would lose eleven times as many.
    """

    def __init__(self) -> None:
        self._reports: OrderedDict[SuspectKey, dict[str, _Report]] = OrderedDict()
        """By server."""
        self._undecided: dict[str, Millis] = {}
        """When the first crash of each request was reported that is not yet decided on."""
        self._quarantined_until: OrderedDict[str, Millis] = OrderedDict()

    def report_loss(self, key: SuspectKey, server_id: str, now: Millis) -> None:
        """Record that a request was lost on a server, which it may have crashed."""
        self._report(key, server_id, now)

    def report_answer(self, key: SuspectKey) -> None:
        """Record that a server answered a suspect, which clears it."""
        servers = self._reports.get(key, {})
        if not any(report.is_crash for report in servers.values()):
            self._reports.pop(key, None)

    def report_crash(self, fingerprint: str, server_id: str, now: Millis) -> None:
        """Record that a request crashed a server."""
        self._report(SuspectKey(fingerprint), server_id, now).is_crash = True
        self._undecided.setdefault(fingerprint, now)

    def report_trial(self, key: SuspectKey, server_id: str, now: Millis) -> None:
        """Record that a request was lost in a trial, whether or not other servers ended, too."""
        self._report(key, server_id, now).in_trial = True
        if self._is_lost_in_trials(key.fingerprint):
            self._undecided.setdefault(key.fingerprint, now)

    def report_shared_trial(self, key: SuspectKey, server_id: str, now: Millis) -> None:
        """Record that a request was lost in a trial, beside others that were lost there, too.

        That proves nothing of it, nor of any other request that was lost on this server.
        """
        self._report(key, server_id, now).in_shared_trial = True

    def _report(self, key: SuspectKey, server_id: str, now: Millis) -> _Report:
        """Return the report about a server, as of now; it keeps what was reported before."""
        report = self._recent(key, now).setdefault(server_id, _Report(now))
        report.at = now
        return report

    def _recent(self, key: SuspectKey, now: Millis) -> dict[str, _Report]:
        servers = self._reports.pop(key, {})
        servers = {name: one for name, one in servers.items() if now - one.at < CRASH_RETENTION}
        self._reports[key] = servers
        if len(self._reports) > MAX_FINGERPRINTS:
            self._reports.popitem(last=False)
        return servers

    def decide(self, now: Millis) -> list[str]:
        """Quarantine the requests whose reports are complete; return those that were not yet."""
        due = [name for name, at in self._undecided.items() if now - at >= DECISION_DELAY]
        decided = [
            name
            for name in due
            if self._quarantined_until.get(name, 0.0) <= now and self._is_decisive(name)
        ]
        for fingerprint in due:
            del self._undecided[fingerprint]
        for fingerprint in decided:
            self._quarantined_until[fingerprint] = now + QUARANTINE_DURATION
        return decided

    @property
    def is_deciding(self) -> bool:
        """Whether reports of crashes are awaited or have to be decided on."""
        return bool(self._undecided)

    def _is_decisive(self, fingerprint: str) -> bool:
        """Return whether a request crashed servers that no other request is held to have crashed.

        A harmless request that ran at another host on the servers of one that crashes them was lost
        on each of them, too, but only there. Of its trials and its other losses only the trials
        count, if they are known: the others may each be the work of a request that nobody suspects
        yet. One trial counts only beside another server of its own, as the server of the trial may
        have ended by itself.
        """
        if self._is_lost_in_trials(fingerprint):
            return True
        blamed_on_others = self._blamed_on_others(fingerprint)
        reports = self._reports_of(fingerprint)
        lost = {server_id for server_id, _ in reports}
        crashed = {server_id for server_id, one in reports if one.is_crash}
        tried = {server_id for server_id, one in reports if one.in_trial}
        if len(lost) < CRASH_LIMIT or not crashed:
            return False
        if tried:
            own = lost - blamed_on_others
            return len(own) >= CRASH_LIMIT and not own.isdisjoint(tried)
        return not crashed <= blamed_on_others

    def _is_lost_in_trials(self, fingerprint: str) -> bool:
        """Return whether enough trials were lost on servers that ended for no other request."""
        lost = {name: one.at for name, one in self._reports_of(fingerprint) if one.in_trial}
        if len(lost) < LOST_TRIALS:
            return False
        blamed_on_others = self._blamed_on_others(fingerprint)
        times = [at for name, at in lost.items() if name not in blamed_on_others]
        return count_moments(times) >= LOST_TRIALS

    def _reports_of(self, fingerprint: str) -> list[tuple[str, _Report]]:
        """Return the reports of a request, with their servers."""
        return [
            named
            for key, servers in self._reports.items()
            if key.fingerprint == fingerprint
            for named in servers.items()
        ]

    def _blamed_on_others(self, fingerprint: str) -> set[str]:
        """Return the servers that another request is held to have crashed, or was tried on."""
        return {
            server_id
            for key, servers in self._reports.items()
            if key.fingerprint != fingerprint
            for server_id, report in servers.items()
            if report.is_crash or report.in_trial or report.in_shared_trial
        }

    def crashed_servers(self, fingerprint: str) -> list[str]:
        """Return the servers that a request is held to have crashed, or was tried on."""
        reports = self._reports_of(fingerprint)
        return [server_id for server_id, one in reports if one.is_crash or one.in_trial]

    def suspects(self, now: Millis) -> list[SuspectKey]:
        """Return the requests that run on one server at a time."""
        found = [
            key
            for key, servers in self._reports.items()
            if sum(now - one.at < CRASH_RETENTION for one in servers.values()) >= CRASH_LIMIT
            and self._quarantined_until.get(key.fingerprint, 0.0) <= now
        ]
        return sorted(found[-MAX_LISTED:])

    def refused(self, now: Millis) -> list[str]:
        """Return the fingerprints of the requests that are refused everywhere."""
        ended = [name for name, until in self._quarantined_until.items() if until <= now]
        for name in ended:
            del self._quarantined_until[name]
        return sorted(list(self._quarantined_until)[-MAX_LISTED:])
