"""Settings of the programs, with the unit and the range of each field."""

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
"""A TCP port; 0 lets the kernel choose one, for tests and the demo only."""
DurationMs = Annotated[Millis, Field(gt=0, le=86_400_000)]


class StrictModel(BaseModel):
    """Immutable settings that reject unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Endpoint(StrictModel):
    """An IP address and a port."""

    address: Address
    """An IP address. Host names are not accepted, so that a start does not depend on DNS."""
    port: Port
    """A TCP port; 0 lets the kernel choose one, for tests and the demo only."""


class NamedEndpoint(Endpoint):
    """A process of the tier and the address where it accepts links."""

    name: Name
    """The name of the process, as in its own settings."""


class UpstreamSettings(StrictModel):
    """One upstream: where its shard map is fetched, and the poll intervals."""

    name: Name
    """The name used by callers and rules."""
    seeds: Annotated[tuple[Endpoint, ...], Field(min_length=1)]
    """Servers from which the shard map is fetched, tried in this order."""
    map_poll_ms: DurationMs = 1000.0
    """Interval between fetches of the shard map."""
    health_poll_ms: DurationMs = 1000.0
    """Interval between polls of each server's health and load."""


class CallerLimits(StrictModel):
    """Limits on what an entry accepts from callers."""

    connections: Annotated[int, Field(ge=1, le=100_000)] = 1000
    """Maximum open connections of all callers; further ones are closed at once."""
    head_bytes: Annotated[int, Field(ge=1024, le=1_048_576)] = 16_384
    """Maximum size of a request's head; a larger one is refused."""
    body_bytes: Annotated[int, Field(ge=1024, le=67_108_864)] = 1_048_576
    """Maximum size of a request's body; a larger one is refused."""
    request_timeout_ms: DurationMs = 5000.0
    """Maximum time from the first byte of a request to its last; a slower one is refused."""
    idle_timeout_ms: DurationMs = 60_000.0
    """How long an idle connection stays open."""
    queue: Annotated[int, Field(ge=0, le=100_000)] = 256
    """Maximum requests that wait for admission; further ones are refused as not run."""


class EntrySettings(StrictModel):
    """The settings of ``alderhatch-entry``."""

    name: Name
    """The name of this entry, unique in the tier."""
    zone: Name
    """The availability zone of this entry."""
    callers: Endpoint
    """Where callers connect; also the address that is advertised to them."""
    operators: Endpoint
    """Where metrics, readiness and the state dump are served."""
    links: Endpoint | None = None
    """Where other entries reach servers through this entry's connections; needs ``controls``."""
    controls: tuple[NamedEndpoint, ...] = ()
    """Link addresses of the control hosts; if empty, the entry runs alone with ``rules_file``."""
    rules_file: Path | None = None
    """Rules for an entry without control hosts."""
    secret_file: Path | None = None
    """File with the secret shared by all processes of the tier."""
    upstreams: Annotated[tuple[UpstreamSettings, ...], Field(min_length=1)]
    """The upstreams that this entry serves."""
    platform: Endpoint | None = None
    """Where the platform's host list is fetched."""
    address_ttl_ms: DurationMs = 5000.0
    """How long callers may cache the advertised addresses."""
    drain_ms: DurationMs = 30_000.0
    """How long a planned stop waits for running requests; more than ``address_ttl_ms``."""
    connections_per_server: Annotated[int, Field(ge=1, le=1000)] = 2
    """Connections to each upstream server while no lease from control sets the entry's share."""
    progress_timeout_ms: DurationMs = 1000.0
    """How long an exchange with a server may make no progress before its connection is closed."""
    platform_poll_ms: DurationMs = 1000.0
    """Interval between fetches of the platform's host list."""
    limits: CallerLimits = CallerLimits()
    """Limits on what is accepted from callers."""


class ControlSettings(StrictModel):
    """The settings of ``alderhatch-control``."""

    name: Name
    """The name of this host; a host with a new disk needs a new name."""
    zone: Name
    """The availability zone of this host."""
    data_folder: Path
    """The folder of all persistent data."""
    links: Endpoint
    """Where entries and other control hosts connect."""
    operators: Endpoint
    """Where the operator API, metrics, readiness and the state dump are served."""
    peers: Annotated[tuple[NamedEndpoint, ...], Field(min_length=1, max_length=7)]
    """All control hosts that bootstrap the cluster, including this one."""
    secret_file: Path
    """File with the secret shared by all processes of the tier."""
    keys_file: Path
    """File with the operators' keys and roles."""
    lease_ms: Annotated[Millis, Field(ge=500, le=60_000)] = 3000.0
    """How long an entry may serve after sending its last renewal."""
    heartbeat_ms: Annotated[Millis, Field(ge=10, le=5000)] = 100.0
    """Interval between the leader's heartbeats to each follower."""
    election_timeout_ms: Annotated[Millis, Field(ge=50, le=30_000)] = 700.0
    """How long a follower waits for a heartbeat before it starts an election."""
