"""Message types for the tests of message checks."""

from __future__ import annotations

from typing import NamedTuple


class Inner(NamedTuple):
    x: int
    y: float


class Record(NamedTuple):
    name: str
    count: int  # type: ignore[assignment]
    inner: Inner | None = None
    numbers: tuple[int, ...] = ()
