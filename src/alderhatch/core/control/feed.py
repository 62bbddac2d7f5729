"""What entries are told of the state: whole, or as the changes since the version they have."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import Any, NamedTuple, TypeAlias

from ...codec import Codec
from ..rule_list import RuleList

MAX_UPDATES = 512
MAX_UPDATE_BYTES = 256 * 1024
"""More than this is sent as the whole state instead."""


class RosterEntry(NamedTuple):
    """An entry as the other entries and callers know it."""

    name: str
    zone: str
    address: str
    port: int
    leaving: bool
    """True once its stop is planned: callers are no longer sent to it."""
    link_address: str = ""
    link_port: int = 0
    """Where it takes links of other entries; 0 if it takes none."""


class LeavingServer(NamedTuple):
    """A server that gets no new work."""

    upstream: str
    server: str


class ControlPlace(NamedTuple):
    """Where a control host accepts links."""

    name: str
    address: str
    port: int


class RulesPatch(NamedTuple):
    """Takes rules out of the list at one place and puts others there."""

    start: int
    removed: int
    inserted: list[dict[str, Any]]


class SettingsPatch(NamedTuple):
    """The tier-wide settings, whole."""

    settings: dict[str, Any]


class RosterPatch(NamedTuple):
    """Entries that are new or changed, and names that are gone."""

    changed: list[RosterEntry]
    removed: list[str]


class QuarantinePatch(NamedTuple):
    """Fingerprints that are quarantined from now on, and those that no longer are."""

    added: list[str]
    lifted: list[str]


class LeavingPatch(NamedTuple):
    """Servers that get no new work from now on, and those that do again."""

    added: list[LeavingServer]
    returned: list[LeavingServer]


class ControlsPatch(NamedTuple):
    """The control hosts, whole."""

    controls: list[ControlPlace]


Patch: TypeAlias = (
    RulesPatch | SettingsPatch | RosterPatch | QuarantinePatch | LeavingPatch | ControlsPatch
)


class Update(NamedTuple):
    """The step from one version to the next."""

    base: int
    version: int
    revision: int
    patches: list[bytes]


class WholeView(NamedTuple):
    """Everything entries are told, at one version."""

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
"""Turns patches into bytes and back."""

UPDATES = Codec(Update, WholeView)
"""Turns updates and whole views into bytes and back."""


def rules_patch(before: RuleList, after: RuleList) -> RulesPatch:
    """Return the smallest replacement at one place that turns one list into another."""
    old, new = before.to_plain(), after.to_plain()
    limit = min(len(old), len(new))
    start = 0
    while start < limit and old[start] == new[start]:
        start += 1
    end = 0
    while end < limit - start and old[-1 - end] == new[-1 - end]:
        end += 1
    return RulesPatch(start, len(old) - start - end, new[start : len(new) - end])


class Feed:
    """The last updates, encoded once however many entries get them."""

    def __init__(self, version: int = 0) -> None:
        self.version = version
        """Counts what entries are told; it never goes down."""
        self._updates: deque[tuple[int, bytes]] = deque()
        self._bytes = 0

    def publish(self, revision: int, patches: Sequence[Patch]) -> None:
        """Move to the next version.

        Args:
            revision: The configuration's revision at that version.
            patches: What changed for entries; may be empty if only the revision did.
        """
        encoded = [PATCHES.encode(patch) for patch in patches]
        update = Update(self.version, self.version + 1, revision, encoded)
        data = UPDATES.encode(update)
        self._updates.append((self.version, data))
        self._bytes += len(data)
        self.version += 1
        while len(self._updates) > MAX_UPDATES or self._bytes > MAX_UPDATE_BYTES:
            self._bytes -= len(self._updates.popleft()[1])

    def since(self, version: int) -> list[bytes] | None:
        """Return the updates that lead from a version to the present one.

        Returns:
            The encoded updates in order; None if they are no longer kept, or the version is not
            one of this feed, so that the whole view has to be sent.
        """
        if version == self.version:
            return []
        if version > self.version or not self._updates or self._updates[0][0] > version:
            return None
        return [data for base, data in self._updates if base >= version]
