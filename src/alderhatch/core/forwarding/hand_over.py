"""To which host a host that stands by hands a request, and what a failure of the way means."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from ...clock import SECOND, Millis
from ...errors import ANSWERS, AlderhatchError, ErrorKind, Failure, Resend
from .caller_hosts import HostRecord

MAX_HOSTS_TRIED = 3
"""How many hosts are tried with one request; each further one costs its caller time."""
AVOID_DURATION: Millis = 1 * SECOND
"""How long a host is passed over that could not be reached or turned a request away."""
AVOID_SILENT_DURATION: Millis = 300.0
"""The same for one that said nothing in time, which may only be busy: its work falls to others."""
RETRY_AFTER: Millis = 300.0


class HandOverTargets:
    """Remembers which hosts took requests and which did not.

    Args:
        name: This host's name.
        zone: Its availability zone, whose hosts go first.
        rng: Spreads the requests over hosts that are equally near.
    """

    def __init__(self, name: str, zone: str, rng: Random) -> None:
        self._name = name
        self._zone = zone
        self._rng = rng
        self._avoided_until: dict[str, Millis] = {}

    def avoid(self, name: str, now: Millis, span: Millis = AVOID_DURATION) -> None:
        """Pass a host over for a while."""
        known = {one: until for one, until in self._avoided_until.items() if until > now}
        self._avoided_until = {**known, name: now + span}

    def is_avoided(self, name: str, now: Millis) -> bool:
        """Return whether a host is passed over just now."""
        return self._avoided_until.get(name, 0.0) > now

    def choose(
        self, hosts: Iterable[HostRecord], tried: Iterable[str], now: Millis
    ) -> HostRecord | None:
        """Return the host that is asked next, or None if there is none left.

        Args:
            hosts: Those that callers are sent to.
            tried: The names of those that did not answer this request.
            now: The time.
        """
        passed_over = {self._name, *tried}
        left = [host for host in hosts if host.name not in passed_over]
        sound = [host for host in left if self._avoided_until.get(host.name, 0.0) <= now]
        near = [host for host in sound if host.zone == self._zone]
        for among in (near, sound, left):
            if among:
                return self._rng.choice(among)
        return None


class HandOverRun:
    """One request that is handed over, until another host has answered or nobody can.

    What reached another host may have run there, so it goes to a further one only if the first one
    says that it did not.

    Args:
        targets: Which hosts took requests lately.
        hosts: Returns those that callers are sent to now.
        deadline: When the caller leaves.
    """

    def __init__(
        self, targets: HandOverTargets, hosts: Callable[[], list[HostRecord]], deadline: Millis
    ) -> None:
        self._targets = targets
        self._hosts = hosts
        self._deadline = deadline
        self._tried: list[str] = []
        self._last: AlderhatchError | None = None

    def next_host(self, now: Millis) -> HostRecord:
        """Return the host that is to be asked.

        Raises:
            AlderhatchError: If there is none, or no time is left.
        """
        if now >= self._deadline:
            raise self._last or _failed(ErrorKind.DEADLINE_TOO_SHORT, "no time is left")
        host: HostRecord | None = None
        if len(self._tried) < MAX_HOSTS_TRIED:
            host = self._targets.choose(self._hosts(), self._tried, now)
        if host is None:
            message = "this host stands by and reaches none that serves"
            raise self._last or _failed(ErrorKind.NOT_SERVING, message, RETRY_AFTER)
        self._tried.append(host.name)
        return host

    def refused(self, host: HostRecord, failure: Failure, now: Millis) -> None:
        """Take a host's word that it did not answer.

        Raises:
            AlderhatchError: If no other host would do better.
        """
        if ANSWERS[failure.kind].resend is not Resend.OTHER_ENTRY:
            raise AlderhatchError(failure)
        self._targets.avoid(host.name, now)
        self._last = AlderhatchError(failure)

    def lost(self, host: HostRecord, was_sent: bool, now: Millis) -> None:
        """Take note that the way to a host is gone.

        Raises:
            AlderhatchError: If the request was on its way and may have run.
        """
        self._targets.avoid(host.name, now)
        if was_sent:
            message = f"the way to {host.name}, which had the request, was lost"
            raise _failed(ErrorKind.OUTCOME_UNKNOWN, message)


def _failed(kind: ErrorKind, message: str, retry_after: Millis | None = None) -> AlderhatchError:
    return AlderhatchError(Failure(kind, message, None, retry_after))
