"""A budget that bounds extra work as a fraction of the regular work."""

from __future__ import annotations


class RatioBudget:
    """Tokens that regular work brings in and extra work takes out.

    Args:
        ratio: Tokens for each unit of regular work.
        burst: The most tokens that can be saved up.
        start: Tokens at the start.
    """

    __slots__ = ("burst", "ratio", "refused", "spent", "tokens")

    def __init__(self, ratio: float, burst: float, start: float) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = start
        self.spent = 0
        """Extra work let through so far."""
        self.refused = 0
        """Extra work refused so far."""

    @property
    def level(self) -> float:
        """How full the budget is, between 0 and 1."""
        return self.tokens / self.burst

    def earn(self, units: int) -> None:
        """Count regular work."""
        self.tokens = min(self.burst, self.tokens + units * self.ratio)

    def spend(self) -> bool:
        """Take one token; return False if there is none."""
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True

    def give_back(self) -> None:
        """Put back a token that was taken but not used."""
        self.tokens = min(self.burst, self.tokens + 1.0)
        self.spent -= 1
