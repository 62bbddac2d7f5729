"""Merges the records of several shards."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nlargest

RECORD_BYTES = 16


def merge_top_k(parts: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of all parts, greatest first, compared byte by byte.

    Args:
        parts: The shards' answers: records of 16 bytes in any order. A shorter rest is ignored.
        count: How many records are wanted; equal records all count.
    """
    records = (
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(nlargest(count, records))
