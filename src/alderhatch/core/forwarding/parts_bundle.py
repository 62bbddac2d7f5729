"""Parts of a gather that are already merged."""

from __future__ import annotations

from typing import NamedTuple


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
