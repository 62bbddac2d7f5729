"""A token bucket rate limiter."""

from __future__ import annotations

from ..clock import SECOND, Millis


class TokenBucket:
    """Tokens that accumulate at a rate up to a burst and are taken one at a time.

    Args:
        burst: The initial number of tokens.
        now: The present time.
    """

    __slots__ = ("_tokens", "_updated_at")

    def __init__(self, burst: float, now: Millis) -> None:
        self._tokens = burst
        self._updated_at = now

    def take(self, rate: float, burst: float, now: Millis) -> Millis:
        """Take one token if there is one.

        Args:
            rate: Tokens per second.
            burst: The most tokens that can accumulate.
            now: The present time.

        Returns:
            0 if a token was taken, otherwise the time until one is available.
        """
        self._tokens = min(burst, self._tokens + (now - self._updated_at) * rate / SECOND)
        self._updated_at = now
        if self._tokens < 1.0:
            return (1.0 - self._tokens) * SECOND / rate
        self._tokens -= 1.0
        return 0.0
