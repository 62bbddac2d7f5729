"""Updates from the leader to its hosts, computed and encoded once for all hosts."""

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
    """The server list as the leader last read it."""

    number: int
    """Increases with each change."""
    records: dict[str, ServerRecord]
    """By server ID; never changed in place."""


NO_SERVER_LIST = ServerList(0, {})
"""Stands for no list: the leader has read none yet, or a host is sent none."""


class HostMode(Enum):
    """Whether a host queries servers itself or is a standby host."""

    UNDECIDED = auto()
    """The host has just joined. Which hosts are needed is known only once most have joined."""
    AT_FIRST = auto()
    """The host has just joined too, but queries servers itself until then, so that a small tier
    starts at once."""
    SERVES = auto()
    """It queries servers itself, as callers are sent to it now or may be soon."""
    STANDS_BY = auto()
    """It is a standby host: it queries no servers and is sent no server list."""


class SentState(NamedTuple):
    """What one host was sent last."""

    version: int = 0
    """The version of the configuration."""
    servers: ServerList = NO_SERVER_LIST
    view: TierView | None = None
    refused: tuple[str, ...] | None = None
    """The fingerprints of the quarantined requests; None before the first message about them, which
    is sent even if there are none."""
    stands_by: bool = False
    evacuations: Evacuations = NO_EVACUATIONS


class HostUpdates(NamedTuple):
    """The messages that bring one host up to date."""

    messages: list[bytes]
    told: SentState
    """The host's ``SentState`` once these messages are sent."""
    has_configuration: bool
    """Whether the messages include a configuration."""


class TierUpdates:
    """Holds the newest state of each kind, and the encoded messages that update hosts to it.

    If each host's messages were computed separately, the processor time of a change would grow with
    the number of hosts times the number of servers. With a thousand servers or hosts, this would
    delay the leader's own requests and the heartbeats of the log.

    Args:
        encode: Returns the bytes of a message.
    """

    def __init__(self, encode: Callable[[tuple[Any, ...]], bytes]) -> None:
        self._encode = encode
        self._servers = NO_SERVER_LIST
        self._view: TierView | None = None
        self._quarantined: tuple[str, ...] = ()
        self._configuration: tuple[int, bytes] = (0, b"")
        """The version and the message of the configuration that was encoded last."""
        self._server_messages: dict[int, bytes] = {}
        """Messages that update a host to the newest list, by the number of the list it has."""
        self._view_message = b""
        self._quarantine_message = encode(QuarantineNews([]))
        self._standing_messages = {one: encode(Standing(one)) for one in (False, True)}
        """Message that makes a host active (False) or a standby host (True)."""

    def set_servers(self, records: dict[str, ServerRecord]) -> bool:
        """Set the newest server list; return whether it changed."""
        if records == self._servers.records:
            return False
        self._servers = ServerList(self._servers.number + 1, records)
        self._server_messages = {}
        return True

    def set_view(self, view: TierView) -> bool:
        """Set the newest ``TierView``; return whether it changed."""
        if view == self._view:
            return False
        self._view = view
        self._view_message = self._encode(view)
        return True

    def clear_view(self) -> None:
        """Send hosts no ``TierView`` until one is set again."""
        self._view = None

    def set_quarantined(self, fingerprints: list[str]) -> bool:
        """Set the fingerprints of the quarantined requests; return whether they changed."""
        refused = tuple(fingerprints)
        if refused == self._quarantined:
            return False
        self._quarantined = refused
        self._quarantine_message = self._encode(QuarantineNews(fingerprints))
        return True

    def updates_since(
        self, sent: SentState, directives: TierDirectives, mode: HostMode
    ) -> HostUpdates:
        """Return the messages that bring a host up to date.

        Args:
            sent: What the host was sent last.
            directives: The configuration and the evacuations that are in force.
            mode: The mode of the host.
        """
        stored, evacuations = directives
        messages: list[bytes] = []
        if self._quarantined != sent.refused:
            # Sent before everything that lets a host serve, as the evacuations are: a host that has
            # just started would run a quarantined request on a server of every shard.
            messages.append(self._quarantine_message)
        if evacuations != sent.evacuations:
            # Sent before everything that lets a host serve. A host that received it later would
            # send requests to an evacuated zone in between.
            messages.append(self._encode(EvacuationNews(evacuations)))
        has_configuration = stored.version > sent.version
        if has_configuration:
            messages.append(self._configuration_message(stored))
        stands_by = mode is HostMode.STANDS_BY
        if stands_by != sent.stands_by:
            messages.append(self._standing_messages[stands_by])
        servers = self._servers if mode in (HostMode.AT_FIRST, HostMode.SERVES) else NO_SERVER_LIST
        if servers.number not in (sent.servers.number, NO_SERVER_LIST.number):
            messages.append(self._server_changes_message(sent.servers))
        if self._view is not None and self._view is not sent.view:
            messages.append(self._view_message)
        version = max(stored.version, sent.version)
        new_state = SentState(
            version, servers, self._view, self._quarantined, stands_by, evacuations
        )
        return HostUpdates(messages, new_state, has_configuration)

    def _configuration_message(self, stored: StoredConfiguration) -> bytes:
        version, message = self._configuration
        if version != stored.version:
            message = self._encode(ConfigurationNews(*stored))
            self._configuration = (stored.version, message)
        return message

    def _server_changes_message(self, old: ServerList) -> bytes:
        cached = self._server_messages.get(old.number)
        if cached is None:
            cached = self._encode(_server_changes(old, self._servers))
            self._server_messages[old.number] = cached
        return cached


def _server_changes(old: ServerList, new: ServerList) -> ServerNews:
    before = old.records
    changed = [record for name, record in new.records.items() if before.get(name) != record]
    gone = [name for name in before if name not in new.records]
    return ServerNews(old.number == 0, changed, gone)
