"""A token bucket rate limiter."""

from __future__ import annotations

from ..clock import SECOND, Millis

ROUNDING_TOLERANCE = 1e-9
"""Refills of a token in several steps may add up to a little less than the token."""


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

    def balance(self, rate: float, burst: float, now: Millis) -> float:
        """Return the number of tokens after those of the time since the last call were added.

        Args:
            rate: Tokens per second.
            burst: The most tokens that can accumulate.
            now: The present time.

        Returns:
            The number of tokens; negative while more were debited than there were.
        """
        elapsed = max(0.0, now - self._updated_at)
        self._tokens = min(burst, self._tokens + elapsed * rate / SECOND)
        self._updated_at = now
        return self._tokens

    def take(self, rate: float, burst: float, now: Millis) -> Millis:
        """Take one token if there is one.

        Args:
            rate: Tokens per second.
            burst: The most tokens that can accumulate.
            now: The present time.

        Returns:
            0 if a token was taken, otherwise the time until one is available.
        """
        tokens = self.balance(rate, burst, now)
        if tokens < 1.0 - ROUNDING_TOLERANCE:
            return (1.0 - tokens) * SECOND / rate if rate > 0.0 else float("inf")
        self._tokens -= 1.0
        return 0.0

    def debit(self, tokens: float) -> None:
        """Take tokens whether they are there or not."""
        self._tokens -= tokens

    def credit(self, tokens: float) -> None:
        """Put tokens back; what exceeds the burst is lost at the next refill."""
        self._tokens += tokens
