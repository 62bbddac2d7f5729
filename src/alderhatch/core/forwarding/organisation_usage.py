"""Counts the requests of organisations, in detail for those that send the most."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from heapq import nlargest

from ...clock import SECOND, Millis

MAX_DETAILED = 20
"""How many organisations are counted by name; metrics get this many label values."""
HALF_LIFE: Millis = 600 * SECOND
"""The time after which a request counts half when the largest organisations are chosen, so that one
whose callers send more than usual is among them within minutes."""


class OrganisationUsage:
    """Outcomes of requests by organisation; those of small organisations are counted together.

    With thousands of organisations, counts of each would fill the metrics page of every host. The
    total over all organisations never falls, whichever of them are counted by name.
    """

    def __init__(self) -> None:
        self._outcomes: dict[str, Counter[str]] = {}
        """The outcomes of the organisations that are counted by name."""
        self._others: Counter[str] = Counter()
        self._recent: dict[str, float] = {}
        """The requests of each organisation, of which older ones count less."""
        self._chosen_at: Millis | None = None

    def count(self, organisation: str, outcome: str) -> None:
        """Count a request that has ended.

        Args:
            organisation: The name of the organisation.
            outcome: How it ended: the result, or the reason of a refusal or failure.
        """
        self._recent[organisation] = self._recent.get(organisation, 0.0) + 1.0
        if organisation not in self._outcomes and len(self._outcomes) < MAX_DETAILED:
            self._outcomes[organisation] = Counter()
        self._outcomes.get(organisation, self._others)[outcome] += 1

    def choose_largest(self, now: Millis) -> None:
        """Choose again which organisations are counted by name."""
        elapsed = 0.0 if self._chosen_at is None else now - self._chosen_at
        self._chosen_at = now
        remaining = 0.5 ** (elapsed / HALF_LIFE)
        # Organisations without a request for hours are forgotten, also those that were removed.
        decayed = {name: count * remaining for name, count in self._recent.items()}
        self._recent = {name: count for name, count in decayed.items() if count >= 0.01}
        largest = set(nlargest(MAX_DETAILED, self._recent, key=self._recent.__getitem__))
        for name in self._outcomes.keys() - largest:
            if len(self._outcomes.keys() | largest) > MAX_DETAILED:
                self._others.update(self._outcomes.pop(name))
        for name in largest:
            self._outcomes.setdefault(name, Counter())

    @property
    def by_name(self) -> Mapping[str, Mapping[str, int]]:
        """The numbers of requests by outcome, of the organisations that are counted by name."""
        return self._outcomes

    @property
    def others(self) -> Mapping[str, int]:
        """The numbers of requests of all other organisations together, by outcome."""
        return self._others
