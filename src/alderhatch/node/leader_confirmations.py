"""When the leader last confirmed that this host belongs to the tier."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ..clock import SECOND, Millis
from ..core.forwarding.configuration_lease import ConfigurationLease
from ..core.forwarding.pause_watch import PauseWatch

STEP_DOWN_TIME: Millis = 1 * SECOND
"""How long a leader that has lost its quorum may go on sending messages."""
PAUSE_RECOVERY: Millis = 2 * SECOND
"""How long after a pause the leader's messages may still be old ones that waited to be read."""


class LeaderConfirmations:
    """Tells the latest time at which the leader certainly counted this host as present.

    With a lease on the configuration, this is when the host asked for the last confirmation.
    Without one, the leader's messages are used: their age is unknown, so each counts as sent
    ``STEP_DOWN_TIME`` before it arrived.

    Args:
        lease: The lease on the configuration.
        last_heard_at: Returns when the leader's last message arrived; 0 if none has.
    """

    def __init__(self, lease: ConfigurationLease, last_heard_at: Callable[[], Millis]) -> None:
        self._lease = lease
        self._last_heard_at = last_heard_at
        self._pauses = PauseWatch()
        self._confirmed_at = -inf

    def confirmed_at(self, now: Millis) -> Millis:
        """Return the latest time at which this host was certainly in touch; -inf if never."""
        if self._lease.duration is not None:
            return self._lease.confirmed_at
        trusted_at = self._pauses.resumed_at(now) + PAUSE_RECOVERY
        heard_at = self._last_heard_at()
        if heard_at > 0.0 and now >= trusted_at:
            self._confirmed_at = max(self._confirmed_at, heard_at - STEP_DOWN_TIME)
        return self._confirmed_at
