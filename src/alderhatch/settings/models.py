"""The settings of each program, with the units and ranges of every field."""

from __future__ import annotations

from ipaddress import ip_address
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, WithJsonSchema

from ..clock import Millis


def _check_ip(value: str) -> str:
    ip_address(value)
    return value


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[
    str, AfterValidator(_check_ip), WithJsonSchema({"type": "string", "format": "ip"})
]
Port = Annotated[int, Field(ge=0, le=65535)]
"""A TCP port; 0 lets the kernel choose, which only tests and the demo use."""
Span = Annotated[Millis, Field(gt=0, le=86_400_000)]


class Closed(BaseModel):
    """Settings that take no unknown keys and never change after the start."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Endpoint(Closed):
    """An IP address with a port."""

    address: Address
    """Names are not looked up, so that a start does not depend on a name server."""
    port: Port
    """A TCP port; 0 lets the kernel choose, which only tests and the demo use."""


class NamedEndpoint(Endpoint):
    """A process of ours and where its links are accepted."""

    name: Name
    """The process's name, as its own settings say it."""


class UpstreamSettings(Closed):
    """One upstream: where its shard map is fetched, and how often."""

    name: Name
    """The name by which callers and rules know it."""
    seeds: Annotated[tuple[Endpoint, ...], Field(min_length=1)]
    """Servers that are asked for the shard map, in this order."""
    map_poll_ms: Span = 1000.0
    """How often the shard map is fetched."""
    health_poll_ms: Span = 1000.0
    """How often each server's health and load are asked for."""


class CallerLimits(Closed):
    """What an entry takes from its callers at most."""

    connections: Annotated[int, Field(ge=1, le=100_000)] = 1000
    """Open connections of all callers together; one more is closed at once."""
    head_bytes: Annotated[int, Field(ge=1024, le=1_048_576)] = 16_384
    """The largest head of a request; a larger one is refused."""
    body_bytes: Annotated[int, Field(ge=1024, le=67_108_864)] = 1_048_576
    """The largest body of a request; a larger one is refused."""
    request_timeout_ms: Span = 5000.0
    """From the first byte of a request to its last; a slower sender is refused."""
    idle_timeout_ms: Span = 60_000.0
    """How long a connection without a request stays open."""
    queue: Annotated[int, Field(ge=0, le=100_000)] = 256
    """Requests that wait for admission; one more is refused as not run."""


class EntrySettings(Closed):
    """The settings of ``alderhatch-entry``."""

    name: Name
    """This entry's name, which no other process of the tier has."""
    zone: Name
    """The availability zone that it is in."""
    callers: Endpoint
    """Where callers connect; also the address that they are told."""
    operators: Endpoint
    """Where metrics, readiness and the state dump are served."""
    links: Endpoint | None = None
    """Where other entries reach the servers whose connections this one owns; needs ``controls``."""
    controls: tuple[NamedEndpoint, ...] = ()
    """The control hosts' link addresses; without any, the entry runs alone on ``rules_file``."""
    rules_file: Path | None = None
    """Rules for an entry without control hosts."""
    secret_file: Path | None = None
    """Holds the secret shared by our own processes."""
    upstreams: Annotated[tuple[UpstreamSettings, ...], Field(min_length=1)]
    """The upstreams that this entry serves."""
    platform: Endpoint | None = None
    """Where the platform's list of hosts is fetched."""
    address_ttl_ms: Span = 5000.0
    """How long callers keep an answer about addresses."""
    drain_ms: Span = 30_000.0
    """How long a planned stop waits for requests that run; more than ``address_ttl_ms``."""
    connections_per_server: Annotated[int, Field(ge=1, le=1000)] = 2
    """Connections to each upstream server, as long as no lease of control gives shares."""
    progress_timeout_ms: Span = 1000.0
    """How long an exchange with an upstream may stand still until its connection is dropped."""
    platform_poll_ms: Span = 1000.0
    """How often the platform's list of hosts is fetched."""
    limits: CallerLimits = CallerLimits()
    """What is taken from callers at most."""


class ControlSettings(Closed):
    """The settings of ``alderhatch-control``."""

    name: Name
    """This host's name; a host with a new disk gets a new one."""
    zone: Name
    """The availability zone that it is in."""
    data_folder: Path
    """The one folder that holds all that must survive."""
    links: Endpoint
    """Where entries and other control hosts connect."""
    operators: Endpoint
    """Where the operator API, metrics, readiness and the state dump are served."""
    peers: Annotated[tuple[NamedEndpoint, ...], Field(min_length=1, max_length=7)]
    """All control hosts that the cluster is founded with, this one included."""
    secret_file: Path
    """Holds the secret shared by our own processes."""
    keys_file: Path
    """Operators' keys with their roles."""
    lease_ms: Annotated[Millis, Field(ge=500, le=60_000)] = 3000.0
    """How long an entry may serve after its last renewal was sent."""
    heartbeat_ms: Annotated[Millis, Field(ge=10, le=5000)] = 100.0
    """How often the leader sends each follower a sign of life."""
    election_timeout_ms: Annotated[Millis, Field(ge=50, le=30_000)] = 700.0
    """How long a follower waits for one before it stands for election."""
