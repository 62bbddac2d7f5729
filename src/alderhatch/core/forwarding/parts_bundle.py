"""Parts of a gather that are already merged."""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_SIGNATURE_BYTES = 256
"""Longer ones would let a few servers fill the head of a merged answer."""
SIGNATURE = re.compile(rb"[!-+\--~]+")
"""Visible ASCII without the comma, which separates signatures in a merged answer."""


def is_signature(value: bytes) -> bool:
    """Return whether a value can stand in the list of signatures of a merged answer."""
    return len(value) <= MAX_SIGNATURE_BYTES and SIGNATURE.fullmatch(value) is not None


class PartsBundle(NamedTuple):
    """The merged answers of some shards."""

    shards: tuple[str, ...]
    signatures: tuple[bytes, ...]
    """Each server's signature of its answer, in the order of the shards."""
    records: bytes
    """The greatest records of these answers, greatest first, limited to the number that the route
    wants."""
    spent: tuple[str, ...] = ()
    """Shards that no other host may query any more."""
