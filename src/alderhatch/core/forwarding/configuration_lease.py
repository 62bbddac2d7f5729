"""How long a host may serve callers' keys by the configuration that it holds."""

from __future__ import annotations

from ...clock import Millis


class ConfigurationLease:
    """A host's lease on its configuration, extended by the leader's confirmations.

    Args:
        duration: How long a confirmation counts, from the time at which it was asked for; None if
            no lease is needed.
    """

    def __init__(self, duration: Millis | None = None) -> None:
        self.duration = duration

    def check(self, now: Millis) -> None:
        """Check that keys may be served by the configuration in use.

        Raises:
            AlderhatchError: With kind ``lease_expired`` if the lease has run out.
        """
