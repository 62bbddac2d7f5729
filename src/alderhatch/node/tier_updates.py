"""What a leader has to tell its hosts, worked out and encoded once for all of them."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import Any, NamedTuple

from ..core.control.configuration_register import StoredConfiguration, TierDirectives
from ..core.control.evacuations import NO_EVACUATIONS, Evacuations
from ..core.forwarding.server_record import ServerRecord
from .tier_messages import (
    ConfigurationNews,
    EvacuationNews,
    QuarantineNews,
    ServerNews,
    Standing,
    TierView,
)


class ServerList(NamedTuple):
    """The list of servers as the leader last read it."""

    number: int
    """Goes up with each change."""
    records: dict[str, ServerRecord]
    """By server id; never changed in place."""


NO_LIST = ServerList(0, {})


class HostMode(Enum):
    """What a host is needed for."""

    UNDECIDED = auto()
    """It has just joined. Hosts join in any order, and who is needed shows when most are there."""
    AT_FIRST = auto()
    """It asks servers itself until that is decided, so that a small tier loses no time."""
    SERVES = auto()
    """It asks servers itself, for callers that are sent to it now or may be soon."""
    STANDS_BY = auto()


class SentState(NamedTuple):
    """What one host was told last."""

    version: int = 0
    """The number of its configuration."""
    servers: ServerList = NO_LIST
    view: TierView | None = None
    refused: tuple[str, ...] = ()
    """The requests that no host sends to any server."""
    stands_by: bool = False
    evacuations: Evacuations = NO_EVACUATIONS


class HostUpdates(NamedTuple):
    """What one host has to be told now."""

    messages: list[bytes]
    told: SentState
    """What it was told last, once they are sent."""
    has_configuration: bool
    """Whether a configuration is among them."""


class TierUpdates:
    """The newest of each kind, and its message for hosts that know an earlier one.

    Worked out for each host anew, a change among a thousand servers or hosts costs the leader's
    processor their number times that of the hosts; its own requests, and the log's heartbeats,
    wait behind that work.

    Args:
        encode: Returns the bytes of a message.
    """

    def __init__(self, encode: Callable[[tuple[Any, ...]], bytes]) -> None:
        self._encode = encode
        self._servers = NO_LIST
        self._view: TierView | None = None
        self._refused: tuple[str, ...] = ()
        self._configuration: tuple[int, bytes] = (0, b"")
        self._differences: dict[int, bytes] = {}
        """Messages that bring a host to the newest list, by the number of the list it has."""
        self._view_message = b""
        self._refused_message = b""
        self._standing_messages = {one: encode(Standing(one)) for one in (False, True)}

    def set_servers(self, records: dict[str, ServerRecord]) -> bool:
        """Take a newer list of servers; return whether anything changed."""
        if records == self._servers.records:
            return False
        self._servers = ServerList(self._servers.number + 1, records)
        self._differences = {}
        return True

    def set_view(self, view: TierView) -> bool:
        """Take who is there; return whether anything changed."""
        if view == self._view:
            return False
        self._view = view
        self._view_message = self._encode(view)
        return True

    def clear_view(self) -> None:
        """Tell nobody who is there until that is taken again."""
        self._view = None

    def set_quarantined(self, fingerprints: list[str]) -> bool:
        """Take which requests are refused everywhere; return whether anything changed."""
        refused = tuple(fingerprints)
        if refused == self._refused:
            return False
        self._refused = refused
        self._refused_message = self._encode(QuarantineNews(fingerprints))
        return True

    def updates_since(self, told: SentState, orders: TierDirectives, duty: HostMode) -> HostUpdates:
        """Return what a host has to be told.

        Args:
            told: What it was told last.
            orders: What operators have ordered.
            duty: What it is needed for.
        """
        stored, evacuations = orders
        messages: list[bytes] = []
        if evacuations != told.evacuations:
            # Before everything that lets a host serve: one that heard of it later would send
            # requests to an evacuated zone in between.
            messages.append(self._encode(EvacuationNews(evacuations)))
        has_configuration = stored.version > told.version
        if has_configuration:
            messages.append(self._configuration_message(stored))
        stands_by = duty is HostMode.STANDS_BY
        if stands_by != told.stands_by:
            messages.append(self._standing_messages[stands_by])
        servers = self._servers if duty in (HostMode.AT_FIRST, HostMode.SERVES) else NO_LIST
        if servers.number not in (told.servers.number, NO_LIST.number):
            messages.append(self._difference_from(told.servers))
        if self._view is not None and self._view is not told.view:
            messages.append(self._view_message)
        if self._refused != told.refused:
            messages.append(self._refused_message)
        version = max(stored.version, told.version)
        now = SentState(version, servers, self._view, self._refused, stands_by, evacuations)
        return HostUpdates(messages, now, has_configuration)

    def _configuration_message(self, stored: StoredConfiguration) -> bytes:
        version, message = self._configuration
        if version != stored.version:
            message = self._encode(ConfigurationNews(*stored))
            self._configuration = (stored.version, message)
        return message

    def _difference_from(self, old: ServerList) -> bytes:
        known = self._differences.get(old.number)
        if known is None:
            known = self._encode(_difference(old, self._servers))
            self._differences[old.number] = known
        return known


def _difference(old: ServerList, new: ServerList) -> ServerNews:
    before = old.records
    changed = [record for name, record in new.records.items() if before.get(name) != record]
    gone = [name for name in before if name not in new.records]
    return ServerNews(old.number == 0, changed, gone)
