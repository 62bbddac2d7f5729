"""What the hosts of one tier say to each other beside the replicated log's messages."""

from __future__ import annotations

from typing import Any, NamedTuple

from ..core.control.evacuations import NO_EVACUATIONS, Evacuations
from ..core.forwarding.caller_hosts import MIN_ADVERTISED_HOSTS, HostRecord
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
    """The identity of the folder; another one after its disk was lost."""
    cluster_id: str
    """The cluster that it belongs to; empty if none yet."""


class Join(NamedTuple):
    """A host's first message to whom it takes for the leader."""

    place: Place
    zone: str
    caller_address: str
    """Address and port that callers connect to."""
    processor: float
    """Seconds of processor time that it gets in a second."""
    disk: DiskRecord | None
    started: bool
    """Whether it knows a configuration and the servers."""


class Introduction(NamedTuple):
    """The leader's word to a host that does not follow it yet."""

    leader: Place


class CrashReport(NamedTuple):
    """A request that was running on a server when that crashed."""

    fingerprint: str
    server_id: str


class QuarantineNews(NamedTuple):
    """All requests that no host sends to any server for now."""

    fingerprints: list[str]


class Report(NamedTuple):
    """What a host says of itself, again and again."""

    serving: bool
    """Whether callers may be sent to it."""
    configuration: int
    """The number of the configuration that it serves by."""
    disk: DiskRecord | None
    crashes: list[CrashReport]
    """Crashes seen since the last report."""
    sends: int
    """Requests sent to servers since the last report."""
    wants_servers: bool = False
    """Whether it needs the list of servers, as it found no host to hand requests over to."""


class Redirect(NamedTuple):
    """The answer of a host that does not lead."""

    leader: Place | None
    """The leader, if one is known."""
    others: list[Place]
    """Hosts of the replicated log, any of which may know more."""


class TierView(NamedTuple):
    """Who is there."""

    hosts: list[HostRecord]
    """Those that callers are sent to, and the next ones, also those that don't serve yet."""
    controls: list[Place]
    """The hosts of the replicated log."""
    processor_needed: float
    """How much processor time the hosts that get requests should have together, in seconds a
    second."""
    alive: int = 0
    """How many hosts are there in all, rounded up; never fewer than are named."""

    def is_active_host(self, name: str) -> bool:
        """Return whether a host is one of those that ask servers: it is named, or all are."""
        is_small = self.alive <= max(MIN_ADVERTISED_HOSTS, len(self.hosts))
        return is_small or any(host.name == name for host in self.hosts)


class ConfigurationNews(NamedTuple):
    """A configuration that is in force."""

    version: int
    packed: bytes
    """The operator's document, compressed."""


class EvacuationNews(NamedTuple):
    """The availability zones whose servers get nothing."""

    evacuations: Evacuations


class KeptNews(NamedTuple):
    """What a host without a leader serves by, for one that knows nothing yet."""

    configuration: ConfigurationNews
    """It was in force; there may be a newer one."""
    view: TierView
    servers: list[ServerRecord]
    """The list as it read it a moment ago; empty if it did not."""
    evacuations: Evacuations = NO_EVACUATIONS


class ServerNews(NamedTuple):
    """What changed in the list of servers since the last such message over this link."""

    complete: bool
    """Whether this is the whole list, as it is in the first such message."""
    changed: list[ServerRecord]
    """Servers that are new or different."""
    gone: list[str]
    """The ids of servers that are listed no more."""


class Standing(NamedTuple):
    """What the leader wants of a host."""

    stands_by: bool
    """Whether it hands requests over and needs no list of servers."""


class Pulse(NamedTuple):
    """The leader is alive and its list of servers is fresh enough."""

    list_is_fresh: bool


class FoundingBid(NamedTuple):
    """A host with an empty disk is ready for the founding of the replicated log."""

    place: Place
    cluster_id: str


class FoundingVerdict(NamedTuple):
    """Which host founds it; none if it exists already."""

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
    KeptNews,
    ServerNews,
    Standing,
    Pulse,
    FoundingBid,
    FoundingVerdict,
)
