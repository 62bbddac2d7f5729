"""How long a host may serve callers' keys by the configuration that it holds.

A host that is partitioned, suspended or behind does not learn that a key was revoked. So it serves
keys only while the leader has confirmed recently enough that its configuration is the newest one.
"""

from __future__ import annotations

from typing import NamedTuple

from ...clock import Millis
from ...errors import AlderhatchError, ErrorKind, Failure

LEASE_FRACTION = 0.8
"""Fraction of the revocation bound for which a confirmation counts. A host's clock may be slow by a
tenth, as the replicated log allows too, so this is at most 0.89 of the bound in real time. The rest
is for the way of a request from the last check at its host to a server."""
ASKS_PER_LEASE = 8
"""Confirmations that are asked for within one lease, so that it outlasts a change of leader."""
MAX_ASK_INTERVAL: Millis = 500.0
"""With a long lease, a host still notices within seconds that it is cut off."""
RETRY_AFTER: Millis = 300.0
"""How long a caller should wait before it retries; short, as most other hosts have a lease."""


def lease_duration(revocation_bound: Millis | None) -> Millis | None:
    """Return how long a confirmation counts; None if no lease is needed.

    Args:
        revocation_bound: How long after the acknowledgement of a configuration a request may still
            be sent to a server, and run, with a key that it revoked; None for no bound.
    """
    return None if revocation_bound is None else LEASE_FRACTION * revocation_bound


class _Confirmation(NamedTuple):
    """A confirmation of a version that was not in use when it arrived."""

    asked_at: Millis
    version: int


class ConfigurationLease:
    """A host's lease on its configuration, extended by the leader's confirmations.

    Points in time are those of one monotonic clock of this host, which must also advance while the
    host is suspended.

    Args:
        duration: How long a confirmation counts, from the time at which it was asked for; None if
            no lease is needed.
    """

    def __init__(self, duration: Millis | None = None) -> None:
        self.duration = duration
        self.confirmed_at: Millis = float("-inf")
        """When the last confirmation that counts was asked for; never if no lease is needed."""
        self._version = 0
        self._seen_version = 0
        self._last_number = 0
        self._asked_at: dict[int, Millis] = {}
        """When each ask that is not yet answered was made, by its number."""
        self._early_confirmations: list[_Confirmation] = []
        """Confirmations of versions that are not in use yet."""

    @property
    def ask_interval(self) -> Millis:
        """How often to ask for a confirmation."""
        assert self.duration is not None
        return min(MAX_ASK_INTERVAL, self.duration / ASKS_PER_LEASE)

    @property
    def ends_at(self) -> Millis:
        """When the lease runs out."""
        assert self.duration is not None
        return self.confirmed_at + self.duration

    def holds(self, now: Millis) -> bool:
        """Return whether keys may be served by the configuration in use."""
        if self.duration is None:
            return True
        return now < self.ends_at and self._version >= self._seen_version

    def check(self, now: Millis) -> None:
        """Check that keys may be served by the configuration in use.

        Raises:
            AlderhatchError: With kind ``lease_expired`` if the lease has run out.
        """
        if not self.holds(now):
            message = "the leader has not confirmed this host's configuration recently"
            raise AlderhatchError(Failure(ErrorKind.LEASE_EXPIRED, message, None, RETRY_AFTER))

    def use_version(self, version: int) -> None:
        """Record that a newer configuration is in use."""
        self._version = version
        for confirmation in self._early_confirmations:
            self._extend(confirmation)
        self._early_confirmations = [
            one for one in self._early_confirmations if one.version > version
        ]

    def record_seen(self, version: int) -> None:
        """Record a version that another host used, and that is newer than the one in use here."""
        self._seen_version = max(self._seen_version, version)

    # Asks and their answers

    def ask(self, now: Millis) -> int:
        """Return the number of the ask that is made now."""
        assert self.duration is not None
        oldest = now - self.duration
        self._asked_at = {number: at for number, at in self._asked_at.items() if at > oldest}
        self._early_confirmations = [
            one for one in self._early_confirmations if one.asked_at > oldest
        ]
        self._last_number += 1
        self._asked_at[self._last_number] = now
        return self._last_number

    def confirm(self, number: int, version: int) -> None:
        """Apply the leader's answer to an ask.

        The lease runs from the time of the ask: a change may have been acknowledged at any time
        after that, as the answer may have been on its way for long. An answer that comes twice, or
        too late to count, has no effect.

        Args:
            number: The number of the ask.
            version: The newest version that was committed when the leader answered.

        Raises:
            AlderhatchError: With kind ``bad_request`` and the field, if no such ask was made.
        """
        if not 0 < number <= self._last_number:
            raise _bad_request("number", f"expected an ask up to {self._last_number}, got {number}")
        if version < 0:
            raise _bad_request("version", f"expected a version of 0 or more, got {version}")
        asked_at = self._asked_at.pop(number, None)
        if asked_at is None:
            return
        confirmation = _Confirmation(asked_at, version)
        if version > self._version:
            # The configuration in use still contains the keys that this version revokes.
            self._early_confirmations.append(confirmation)
            return
        self._extend(confirmation)

    def _extend(self, confirmation: _Confirmation) -> None:
        if confirmation.version <= self._version:
            self.confirmed_at = max(self.confirmed_at, confirmation.asked_at)


def _bad_request(field: str, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.BAD_REQUEST, f"{field}: {message}", field))
