"""The operator's settings for forwarded requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from ...clock import Millis
from .organisation import Organisation


@dataclass(frozen=True, slots=True)
class OneUpstream:
    """Every request goes to one server of this upstream."""

    upstream: str


class WeightedUpstream(NamedTuple):
    """One upstream of a traffic split."""

    upstream: str
    weight: float
    """Its share of the requests, relative to the other weights; not negative."""


@dataclass(frozen=True, slots=True)
class SplitUpstreams:
    """Each request goes to one server of one of these upstreams."""

    parts: tuple[WeightedUpstream, ...]


@dataclass(frozen=True, slots=True)
class AllShards:
    """Every request goes to one server of each of these upstreams, whose answers are merged."""

    shards: tuple[str, ...]
    top_k: int
    """How many of the greatest records the answer has."""
    min_coverage: float
    """The minimum fraction of the shards, between 0 and 1, with which an answer is a success."""


Destination: TypeAlias = OneUpstream | SplitUpstreams | AllShards


class Route(NamedTuple):
    """One entry of the ordered list: which requests it matches and how to treat them."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    idempotent: bool
    """Whether a request may run more than once."""
    destination: Destination
    max_servers: int
    """On how many servers (of each shard) one request may run."""
    timeout: Millis
    """The longest time that a caller is kept waiting."""
    target_latency: Millis
    """The time, from the caller's first attempt, within which an answer has its full value."""
    rank: int
    """The priority; 0 is the most urgent."""
    public: bool = False
    """Whether callers need no key, where the configuration declares organisations."""

    @property
    def upstreams(self) -> tuple[str, ...]:
        """The names of all upstreams that a request of this route may go to."""
        match self.destination:
            case OneUpstream(upstream):
                return (upstream,)
            case SplitUpstreams(parts):
                return tuple(part.upstream for part in parts)
            case AllShards(shards):
                return shards


class UpstreamSettings(NamedTuple):
    """The operator's settings for one upstream."""

    name: str
    max_connections: int
    """How many connections each of its servers accepts from all hosts together."""
    cold_span: Millis = 0.0
    """How long its servers are cold after a start."""
    cold_rate: float | None = None
    """How many requests per second a cold server can handle; None if there is no limit."""


class CallerLimits(NamedTuple):
    """Limits on the size and the duration of a caller's request."""

    head_bytes: int = 16_384
    body_bytes: int = 262_144
    head_timeout: Millis = 5000.0
    idle_timeout: Millis = 60_000.0


class TierConfiguration(NamedTuple):
    """Everything that one version of the configuration declares."""

    version: int
    routes: tuple[Route, ...]
    upstreams: tuple[UpstreamSettings, ...]
    limits: CallerLimits
    organisations: tuple[Organisation, ...] | None = None
    """The organisations; None if the configuration declares none, so that callers need no key."""
