"""Parts of a gather that were merged already."""

from __future__ import annotations

from typing import NamedTuple


class PartsBundle(NamedTuple):
    """The answers of some shards as one."""

    shards: tuple[str, ...]
    signatures: tuple[bytes, ...]
    """Each server's signature of its answer, in the order of the shards."""
    records: bytes
    """The greatest records of these answers, greatest first, as many as the route wants."""
    spent: tuple[str, ...] = ()
    """Shards that no other host may ask for any more."""
