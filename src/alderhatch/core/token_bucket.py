"""A bound on how often something may happen."""

from __future__ import annotations

from ..clock import SECOND, Millis


class TokenBucket:
    """Tokens that come in at a rate, are saved up to a burst, and are taken one by one.

    Args:
        burst: The tokens at the start.
        now: The present time.
    """

    __slots__ = ("_at", "_tokens")

    def __init__(self, burst: float, now: Millis) -> None:
        self._tokens = burst
        self._at = now

    def take(self, rate: float, burst: float, now: Millis) -> Millis:
        """Take one token if there is one.

        Args:
            rate: Tokens a second.
            burst: The most tokens that can be saved up.
            now: The present time.

        Returns:
            0 if one was taken, otherwise how long until there will be one.
        """
        self._tokens = min(burst, self._tokens + (now - self._at) * rate / SECOND)
        self._at = now
        if self._tokens < 1.0:
            return (1.0 - self._tokens) * SECOND / rate
        self._tokens -= 1.0
        return 0.0
