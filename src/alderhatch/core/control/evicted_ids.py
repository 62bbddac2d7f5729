"""Digests of request IDs whose records were dropped, to tell old IDs from new ones."""

from __future__ import annotations

import hashlib
import struct
from array import array
from bisect import bisect_left
from collections import deque
from typing import Any, NamedTuple

from ...clock import DAY, HOUR, Millis

RETENTION_MS: Millis = DAY
"""Minimum time for which a digest is kept."""
MAX_DIGESTS = 500_000
"""A digest in a sealed bucket takes 8 bytes."""
BUCKET_SPAN_MS: Millis = HOUR
DIGEST_BYTES = 8


def id_digest(caller: str, request_id: str) -> int:
    """Return a 64-bit digest of a caller's request ID."""
    text = f"{len(caller)}:{caller}{request_id}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest(), "little")


class _Sealed(NamedTuple):
    """A closed bucket, to which no digests are added."""

    until: Millis
    digests: array[int]
    """In ascending order."""


class EvictedIds:
    """Digests in buckets of one hour; a bucket is dropped as a whole when it expires.

    Sealed buckets are sorted arrays, which need 8 bytes for a digest instead of about 70 in a set.
    All digests are part of every snapshot.
    """

    def __init__(self) -> None:
        self._sealed: deque[_Sealed] = deque()
        self._open: set[int] = set()
        self._open_until: Millis = 0.0
        self._sealed_count = 0

    def __len__(self) -> int:
        return self._sealed_count + len(self._open)

    def __contains__(self, digest: int) -> bool:
        if digest in self._open:
            return True
        return any(_contains(bucket.digests, digest) for bucket in self._sealed)

    @property
    def is_full(self) -> bool:
        """Whether another digest would only fit if one were dropped too early."""
        return len(self) >= MAX_DIGESTS

    def add(self, digest: int, now: Millis) -> None:
        """Keep a digest for at least ``RETENTION_MS`` from now."""
        if self._open and now >= self._open_until:
            self._seal()
        if not self._open:
            self._open_until = now + BUCKET_SPAN_MS
        self._open.add(digest)

    def expire(self, now: Millis) -> None:
        """Drop the expired buckets."""
        if self._open and now >= self._open_until:
            self._seal()
        while self._sealed and self._sealed[0].until <= now:
            self._sealed_count -= len(self._sealed.popleft().digests)

    def to_plain(self) -> dict[str, Any]:
        """Return the state as plain maps, lists and bytes."""
        sealed = [[bucket.until, _pack(bucket.digests)] for bucket in self._sealed]
        opened = _pack(array("Q", sorted(self._open)))
        return {"sealed": sealed, "open": opened, "open_until": self._open_until}

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> EvictedIds:
        """Return the state from the result of ``to_plain``."""
        ids = cls()
        for until, packed in plain["sealed"]:
            ids._sealed.append(_Sealed(until, _unpack(packed)))
        ids._sealed_count = sum(len(bucket.digests) for bucket in ids._sealed)
        ids._open = set(_unpack(plain["open"]))
        ids._open_until = plain["open_until"]
        return ids

    def _seal(self) -> None:
        digests = array("Q", sorted(self._open))
        self._sealed.append(_Sealed(self._open_until + RETENTION_MS, digests))
        self._sealed_count += len(digests)
        self._open = set()


def _contains(digests: array[int], digest: int) -> bool:
    index = bisect_left(digests, digest)
    return index < len(digests) and digests[index] == digest


def _pack(digests: array[int]) -> bytes:
    return struct.pack(f"<{len(digests)}Q", *digests)


def _unpack(packed: bytes) -> array[int]:
    return array("Q", struct.unpack(f"<{len(packed) // DIGEST_BYTES}Q", packed))
