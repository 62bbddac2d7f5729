"""A token budget that bounds extra work to a fraction of the regular work."""

from __future__ import annotations


class RatioBudget:
    """Tokens that are earned by regular work and spent by extra work.

    Args:
        ratio: Tokens earned per unit of regular work.
        burst: The most tokens that can accumulate.
        initial: The initial number of tokens.
    """

    __slots__ = ("burst", "ratio", "refused", "spent", "tokens")

    def __init__(self, ratio: float, burst: float, initial: float) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = initial
        self.spent = 0
        """Units of extra work allowed so far."""
        self.refused = 0
        """Units of extra work refused so far."""

    @property
    def level(self) -> float:
        """The fill level, between 0 and 1."""
        return self.tokens / self.burst

    def earn(self, units: int) -> None:
        """Add the tokens for units of regular work."""
        self.tokens = min(self.burst, self.tokens + units * self.ratio)

    def spend(self) -> bool:
        """Spend one token; return False if there is none."""
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True

    def refund(self) -> None:
        """Return a token that was spent but not used."""
        self.tokens = min(self.burst, self.tokens + 1.0)
        self.spent -= 1
