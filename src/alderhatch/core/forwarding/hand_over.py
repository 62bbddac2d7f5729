"""Chooses the host that a request is handed over to, and handles its failures."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from ...clock import SECOND, Millis
from ...errors import ERROR_ANSWERS, AlderhatchError, ErrorKind, Failure, Resend
from .caller_hosts import HostRecord

MAX_HOSTS_TRIED = 3
"""How many hosts are tried with one request; each further one costs its caller time."""
AVOID_DURATION: Millis = 1 * SECOND
"""How long a host is avoided after it could not be reached or refused a request."""
AVOID_SILENT_DURATION: Millis = 300.0
"""How long a host is avoided after it did not respond in time: shorter, as it may only be busy, and
other hosts have to do its work meanwhile."""
RETRY_AFTER: Millis = 300.0
"""The retry delay that a caller is told when no active host can be reached."""


class HandOverTargets:
    """Chooses hosts to hand requests over to, and avoids those that failed a short time ago.

    Args:
        name: This host's name.
        zone: Its availability zone, whose hosts are preferred.
        rng: Spreads the requests over hosts that are equally near.
    """

    def __init__(self, name: str, zone: str, rng: Random) -> None:
        self._name = name
        self._zone = zone
        self._rng = rng
        self._avoided_until: dict[str, Millis] = {}

    def avoid(self, name: str, now: Millis, duration: Millis = AVOID_DURATION) -> None:
        """Avoid a host for a duration: it is chosen only if all others are avoided or tried."""
        unexpired = {
            host_name: until for host_name, until in self._avoided_until.items() if until > now
        }
        self._avoided_until = {**unexpired, name: now + duration}

    def is_avoided(self, name: str, now: Millis) -> bool:
        """Return whether a host is avoided at this moment."""
        return self._avoided_until.get(name, 0.0) > now

    def choose(
        self, hosts: Iterable[HostRecord], tried: Iterable[str], now: Millis
    ) -> HostRecord | None:
        """Return the host to try next, or None if there is none left.

        Args:
            hosts: The active hosts.
            tried: The names of those that did not answer this request.
            now: The time.
        """
        excluded = {self._name, *tried}
        untried = [host for host in hosts if host.name not in excluded]
        not_avoided = [host for host in untried if self._avoided_until.get(host.name, 0.0) <= now]
        near = [host for host in not_avoided if host.zone == self._zone]
        for candidates in (near, not_avoided, untried):
            if candidates:
                return self._rng.choice(candidates)
        return None


class HandOverRun:
    """One request that is handed over, until another host has answered or none can.

    A request that reached another host may have run there, so it goes to a further host only if the
    previous one reports that it did not run.

    Args:
        targets: Chooses the hosts.
        hosts: Returns the hosts that are active now.
        deadline: When the caller stops waiting.
    """

    def __init__(
        self, targets: HandOverTargets, hosts: Callable[[], list[HostRecord]], deadline: Millis
    ) -> None:
        self._targets = targets
        self._hosts = hosts
        self._deadline = deadline
        self._tried: list[str] = []
        self._last_error: AlderhatchError | None = None

    def next_host(self, now: Millis) -> HostRecord:
        """Return the host to try next.

        Raises:
            AlderhatchError: If there is none, or no time is left.
        """
        if now >= self._deadline:
            raise self._last_error or _failed(
                ErrorKind.DEADLINE_TOO_SHORT, "the deadline passed before a host answered"
            )
        host: HostRecord | None = None
        if len(self._tried) < MAX_HOSTS_TRIED:
            host = self._targets.choose(self._hosts(), self._tried, now)
        if host is None:
            message = "this host is on standby and reaches no active host"
            raise self._last_error or _failed(ErrorKind.NOT_SERVING, message, RETRY_AFTER)
        self._tried.append(host.name)
        return host

    def handle_refusal(self, host: HostRecord, failure: Failure, now: Millis) -> None:
        """Handle a host's refusal of the request.

        Raises:
            AlderhatchError: If the request should not be sent to another host.
        """
        if ERROR_ANSWERS[failure.kind].resend is not Resend.OTHER_ENTRY:
            raise AlderhatchError(failure)
        self._targets.avoid(host.name, now)
        self._last_error = AlderhatchError(failure)

    def handle_loss(self, host: HostRecord, was_sent: bool, now: Millis) -> None:
        """Handle the loss of the connection to a host.

        Raises:
            AlderhatchError: If the request was already sent and may have run.
        """
        self._targets.avoid(host.name, now)
        if was_sent:
            message = f"the connection to host {host.name} was lost after the request was sent"
            raise _failed(ErrorKind.OUTCOME_UNKNOWN, message)


def _failed(kind: ErrorKind, message: str, retry_after: Millis | None = None) -> AlderhatchError:
    return AlderhatchError(Failure(kind, message, None, retry_after))
