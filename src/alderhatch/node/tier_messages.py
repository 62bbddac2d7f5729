"""Messages between the hosts of a tier, apart from those of the replicated log."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import Any, NamedTuple

from ..core.control.evacuations import NO_EVACUATIONS, Evacuations
from ..core.forwarding.caller_hosts import MIN_ADVERTISED_HOSTS, HostRecord
from ..core.forwarding.crash_counter import SuspectKey
from ..core.forwarding.server_record import ServerRecord


class Place(NamedTuple):
    """Where a host accepts links."""

    name: str
    address: str
    """An IP address."""
    port: int


class DiskRecord(NamedTuple):
    """The data folder of a host that has one."""

    member_id: str
    """The member ID of the folder; a new one after the disk was lost."""
    cluster_id: str
    """The cluster that the folder belongs to; empty if none yet."""


class Join(NamedTuple):
    """A host's first message to the host that it believes to lead."""

    place: Place
    zone: str
    caller_address: str
    """Address and port that callers connect to."""
    processor: float
    """Processor time available to the host, in seconds per second."""
    disk: DiskRecord | None
    started: bool
    """Whether the host knows a configuration and the servers."""


class Introduction(NamedTuple):
    """The leader's announcement to a host that does not follow it yet."""

    leader: Place


UPSTREAM_SEPARATOR = "@"
"""Separates the fingerprint of a suspect from the only upstream whose servers were lost."""


class RequestMark(StrEnum):
    """What a message says about a request, as a prefix of its fingerprint.

    A host of an earlier build takes a marked fingerprint for that of another request, which nobody
    sends.
    """

    CRASHING = ""
    """It crashes servers."""
    SUSPECT = "suspect:"
    """It may crash servers."""
    TRIAL = "trial:"
    """It was lost in a trial."""
    SHARED_TRIAL = "shared:"
    """It was lost in a trial in which its server may have ended for another request."""
    ANSWERED = "answered:"
    """It was a suspect, and a server has answered it."""

    def of(self, key: SuspectKey) -> str:
        """Return a fingerprint with this mark."""
        parts = [part for part in key if part]
        return self + UPSTREAM_SEPARATOR.join(parts)


class MarkedRequest(NamedTuple):
    """A request in a message, with what the message says about it."""

    mark: RequestMark
    key: SuspectKey


def read_mark(marked: str) -> MarkedRequest:
    """Return the request that a marked fingerprint in a message stands for."""
    for mark in RequestMark:
        if mark is RequestMark.CRASHING:
            continue
        if marked.startswith(mark):
            fingerprint, _, upstream = marked.removeprefix(mark).partition(UPSTREAM_SEPARATOR)
            return MarkedRequest(mark, SuspectKey(fingerprint, upstream))
    return MarkedRequest(RequestMark.CRASHING, SuspectKey(marked))


def keys_marked(mark: RequestMark, marked: Iterable[str]) -> list[SuspectKey]:
    """Return the requests in a message that have a mark."""
    read = (read_mark(one) for one in marked)
    return [key for found, key in read if found is mark]


class CrashReport(NamedTuple):
    """A request that was running on a server when the server was lost."""

    fingerprint: str
    """With a ``RequestMark``."""
    server_id: str
    """The server; for an answered request, that which answered."""


class QuarantineNews(NamedTuple):
    """The requests that are quarantined now, and the suspects."""

    fingerprints: list[str]
    """With a ``RequestMark`` each."""


class Report(NamedTuple):
    """A host's periodic report to the leader."""

    serving: bool
    """Whether callers may be sent to the host."""
    configuration: int
    """The version of the configuration that the host uses."""
    disk: DiskRecord | None
    crashes: list[CrashReport]
    """Crashes seen since the last report."""
    sends: int
    """Requests sent to servers since the last report."""
    wants_servers: bool = False
    """Whether the host needs the server list, as it found no host to hand requests over to."""


class Redirect(NamedTuple):
    """The answer of a host that does not lead."""

    leader: Place | None
    """The leader, if one is known."""
    others: list[Place]
    """Members of the replicated log, any of which may know the leader."""


class TierView(NamedTuple):
    """The hosts of the tier, as the leader sees them."""

    hosts: list[HostRecord]
    """The active hosts and a reserve, including hosts that don't serve yet."""
    controls: list[Place]
    """The members of the replicated log."""
    processor_needed: float
    """Processor time that the active hosts should have together, in seconds per second."""
    alive: int = 0
    """The number of live hosts, rounded up; never less than the number of ``hosts``."""

    @property
    def has_standby_hosts(self) -> bool:
        """Whether there are hosts that query no servers."""
        return self.alive > max(MIN_ADVERTISED_HOSTS, len(self.hosts))

    def lists(self, name: str) -> bool:
        """Return whether a host is in the view."""
        return any(host.name == name for host in self.hosts)

    def is_active_host(self, name: str) -> bool:
        """Return whether a host queries servers: it is in the view, or the tier is small."""
        return not self.has_standby_hosts or self.lists(name)


class ConfigurationNews(NamedTuple):
    """A configuration that is in force."""

    version: int
    packed: bytes
    """The operator's document, compressed."""


class EvacuationNews(NamedTuple):
    """The availability zones whose servers get no requests."""

    evacuations: Evacuations


class KeptVerdicts(NamedTuple):
    """The quarantined requests and the suspects that the sender knows.

    Sent before ``KeptNews`` if there are any: the receiver would otherwise run such a request on a
    server of every shard. A host of an earlier build closes the link, and starts with a leader.
    """

    fingerprints: list[str]
    """With a ``RequestMark`` each."""


class KeptNews(NamedTuple):
    """State to serve from without a leader, sent to a host that has not started yet."""

    configuration: ConfigurationNews
    """A configuration that was in force; there may be a newer one."""
    view: TierView
    servers: list[ServerRecord]
    """The server list if the sender's is fresh, else empty."""
    evacuations: Evacuations = NO_EVACUATIONS


class ServerNews(NamedTuple):
    """What changed in the server list since the last such message over this link."""

    complete: bool
    """Whether this is the complete list, as in the first such message."""
    changed: list[ServerRecord]
    """Servers that are new or different."""
    gone: list[str]
    """The IDs of servers that are no longer listed."""


class Standing(NamedTuple):
    """Whether a host is active or standby, as decided by the leader."""

    stands_by: bool
    """Whether the host hands requests over and needs no server list."""


class Pulse(NamedTuple):
    """Keep-alive of the leader; says whether its server list is fresh."""

    list_is_fresh: bool


class FoundingBid(NamedTuple):
    """A host's offer to bootstrap the replicated log."""

    place: Place
    cluster_id: str


class FoundingVerdict(NamedTuple):
    """The host that bootstraps the replicated log; None if the log exists already."""

    founder: Place | None


TIER_MESSAGE_TYPES: tuple[type[Any], ...] = (
    Join,
    Introduction,
    Report,
    QuarantineNews,
    Redirect,
    TierView,
    ConfigurationNews,
    EvacuationNews,
    KeptVerdicts,
    KeptNews,
    ServerNews,
    Standing,
    Pulse,
    FoundingBid,
    FoundingVerdict,
)
