"""Priority classes of requests."""

from __future__ import annotations

from enum import StrEnum


class Priority(StrEnum):
    """Three priority classes, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"

    @property
    def rank(self) -> int:
        """The position of the class; 0 is the most urgent."""
        return _RANKS[self]


_RANKS = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.BATCH: 2}
