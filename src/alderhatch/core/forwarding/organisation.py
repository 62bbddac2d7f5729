"""Organisations, whose keys identify callers, and the lookup of a key's organisation."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import sha256
from typing import NamedTuple

KEY_DIGEST_BYTES = sha256().digest_size


class Organisation(NamedTuple):
    """One organisation as the operator declares it."""

    name: str
    keys: tuple[str, ...]
    """The keys of its callers; no other organisation has the same key."""
    rank: int | None = None
    """The priority of its requests, which goes before that of the route; 0 is the most urgent.
    None if the route's priority applies."""
    rate: float = 0.0
    """The quota over all hosts together, in requests per second; 0 means no limit."""
    burst: float = 0.0
    """How many requests beyond the rate may run at once after a pause."""

    @property
    def is_limited(self) -> bool:
        """Whether the organisation has a quota."""
        return self.rate > 0.0


class OrganisationTable:
    """Finds organisations by key and by name.

    Args:
        organisations: The organisations; no two of them have the same name or share a key.
    """

    def __init__(self, organisations: Iterable[Organisation]) -> None:
        self._by_name = {organisation.name: organisation for organisation in organisations}
        self._by_key = {key: one for one in self._by_name.values() for key in one.keys}
        self._digests = {key: key_digest(key) for key in self._by_key}
        self._by_digest = {self._digests[key]: one for key, one in self._by_key.items()}

    def __len__(self) -> int:
        """Return the number of organisations."""
        return len(self._by_name)

    def with_key(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key, or None."""
        return self._by_key.get(key)

    def digest(self, key: str) -> bytes | None:
        """Return the digest of a key that an organisation holds, or None."""
        return self._digests.get(key)

    def with_digest(self, digest: bytes) -> Organisation | None:
        """Return the organisation that holds the key with a digest, or None."""
        return self._by_digest.get(digest)

    def named(self, name: str) -> Organisation | None:
        """Return the organisation with a name, or None."""
        return self._by_name.get(name)


def key_digest(key: str) -> bytes:
    """Return the digest that stands for a key wherever the key itself must not be."""
    return sha256(key.encode("utf-8")).digest()
