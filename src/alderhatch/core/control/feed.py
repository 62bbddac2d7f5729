"""The control state as published to entries: the whole view, or updates since their version."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import Any, NamedTuple, TypeAlias

from ...codec import Codec
from ..rule_list import RuleList

MAX_UPDATES = 512
MAX_UPDATE_BYTES = 256 * 1024
"""Limits on the updates that are kept. Older ones are dropped; entries that lack them get the whole
view."""


class RosterEntry(NamedTuple):
    """An entry as published to other entries and callers."""

    name: str
    zone: str
    address: str
    port: int
    leaving: bool
    """True once its stop is planned: callers are no longer directed to it."""
    link_address: str = ""
    """The address for links from other entries."""
    link_port: int = 0
    """The port for links from other entries; 0 if it accepts none."""


class LeavingServer(NamedTuple):
    """A server that gets no new requests; ``server`` is its ID."""

    upstream: str
    server: str


class ControlPlace(NamedTuple):
    """The address at which a control host accepts links."""

    name: str
    address: str
    port: int


class RulesPatch(NamedTuple):
    """Replaces a range of the rule list."""

    start: int
    """The index of the first replaced rule."""
    removed: int
    """The number of replaced rules."""
    inserted: list[dict[str, Any]]
    """The rules that take their place."""


class SettingsPatch(NamedTuple):
    """Replaces the tier-wide settings."""

    settings: dict[str, Any]


class RosterPatch(NamedTuple):
    """New or changed entries, and the names of removed ones."""

    changed: list[RosterEntry]
    removed: list[str]


class QuarantinePatch(NamedTuple):
    """Fingerprints whose quarantine starts or ends."""

    added: list[str]
    lifted: list[str]


class LeavingPatch(NamedTuple):
    """Servers that get no new requests from now on, and those that get them again."""

    added: list[LeavingServer]
    returned: list[LeavingServer]


class ControlsPatch(NamedTuple):
    """Replaces the list of control hosts."""

    controls: list[ControlPlace]


Patch: TypeAlias = (
    RulesPatch | SettingsPatch | RosterPatch | QuarantinePatch | LeavingPatch | ControlsPatch
)


class Update(NamedTuple):
    """The patches from one version to the next."""

    base: int
    """The version to which the patches apply."""
    version: int
    """The version that they lead to."""
    revision: int
    """The configuration's revision at that version."""
    patches: list[bytes]
    """Each encoded by ``PATCHES``."""


class WholeView(NamedTuple):
    """The complete published state at one version."""

    version: int
    revision: int
    rules: list[dict[str, Any]]
    settings: dict[str, Any]
    roster: list[RosterEntry]
    quarantines: list[str]
    leaving: list[LeavingServer]
    controls: list[ControlPlace]


PATCHES = Codec(
    RulesPatch, SettingsPatch, RosterPatch, QuarantinePatch, LeavingPatch, ControlsPatch
)
"""Encodes and decodes patches."""

UPDATES = Codec(Update, WholeView)
"""Encodes and decodes updates and whole views."""


def rules_patch(before: RuleList, after: RuleList) -> RulesPatch:
    """Return the smallest replacement of a single range that turns one list into another."""
    old, new = before.to_plain(), after.to_plain()
    max_common = min(len(old), len(new))
    start = 0
    while start < max_common and old[start] == new[start]:
        start += 1
    kept_at_end = 0
    while kept_at_end < max_common - start and old[-1 - kept_at_end] == new[-1 - kept_at_end]:
        kept_at_end += 1
    return RulesPatch(start, len(old) - start - kept_at_end, new[start : len(new) - kept_at_end])


class Feed:
    """The latest updates, each encoded once for all entries."""

    def __init__(self, version: int = 0) -> None:
        self.version = version
        """The number of published updates; never decreases."""
        self._updates: deque[tuple[int, bytes]] = deque()
        """The base version and the encoded bytes of each update that is kept."""
        self._byte_count = 0

    def publish(self, revision: int, patches: Sequence[Patch]) -> None:
        """Publish the next version.

        Args:
            revision: The configuration's revision at that version.
            patches: The changes; empty if only the revision changes.
        """
        encoded = [PATCHES.encode(patch) for patch in patches]
        update = Update(self.version, self.version + 1, revision, encoded)
        data = UPDATES.encode(update)
        self._updates.append((self.version, data))
        self._byte_count += len(data)
        self.version += 1
        while len(self._updates) > MAX_UPDATES or self._byte_count > MAX_UPDATE_BYTES:
            self._byte_count -= len(self._updates.popleft()[1])

    def since(self, version: int) -> list[bytes] | None:
        """Return the updates that lead from a version to the current one.

        Returns:
            The encoded updates in order; None if the whole view has to be sent because they are no
            longer kept or the version is not one of this feed.
        """
        if version == self.version:
            return []
        if version > self.version or not self._updates or self._updates[0][0] > version:
            return None
        return [data for base, data in self._updates if base >= version]
