"""How urgent a request is."""

from __future__ import annotations

from enum import StrEnum


class Priority(StrEnum):
    """Three classes, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"

    @property
    def rank(self) -> int:
        """0 for the most urgent class."""
        return _RANKS[self]


_RANKS = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.BATCH: 2}
