"""When-then rules: what a request has to be, and how it is then treated."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, TypeAlias

from pydantic import BeforeValidator, ConfigDict, Field, Strict

from ..clock import Millis
from .priority import Priority
from .request import Request

MAX_DEADLINE_MS: Millis = 600_000.0


def _one_or_many(value: object) -> object:
    return (value,) if isinstance(value, str) else value


Words: TypeAlias = Annotated[tuple[str, ...], BeforeValidator(_one_or_many)]
"""One word or a list of words, of which any may match; empty matches everything."""

Priorities: TypeAlias = Annotated[tuple[Priority, ...], BeforeValidator(_one_or_many)]

_CLOSED = ConfigDict(extra="forbid")


class ZonePreference(StrEnum):
    """Which replicas come first for a rule."""

    OWN_ZONE = "own_zone"
    """Replicas in the entry's availability zone, unless another is clearly faster."""
    ANY_ZONE = "any_zone"


@dataclass(frozen=True, slots=True)
class HeaderMatch:
    """A condition on one header field: exactly one of ``equals`` and ``prefix`` is given."""

    __pydantic_config__ = _CLOSED

    name: str
    equals: str | None = None
    prefix: str | None = None

    def fits(self, request: Request) -> bool:
        """Return whether the request has such a header field."""
        value = request.headers.get(self.name.lower())
        if value is None:
            return False
        if self.equals is not None:
            return value == self.equals
        return self.prefix is not None and value.startswith(self.prefix)


@dataclass(frozen=True, slots=True)
class When:
    """The conditions of a rule; all that are given have to hold."""

    __pydantic_config__ = _CLOSED

    kind: Words = ()
    """Kinds of request, in the callers' own words."""
    upstream: Words = ()
    """Names of upstreams."""
    caller: Words = ()
    """Names of callers."""
    zone: Words = ()
    """Availability zones of callers."""
    priority: Priorities = ()
    """Classes that the request asks for."""
    idempotent: Annotated[bool, Strict()] | None = None
    """Whether the request may be repeated."""
    headers: tuple[HeaderMatch, ...] = ()
    """Header fields that all have to be there."""

    def mismatch(self, request: Request) -> str | None:
        """Return the name of the first condition that does not hold, or None if all do."""
        if self.kind and request.kind not in self.kind:
            return "kind"
        if self.upstream and request.upstream not in self.upstream:
            return "upstream"
        if self.caller and request.caller not in self.caller:
            return "caller"
        if self.zone and request.zone not in self.zone:
            return "zone"
        if self.priority and request.priority not in self.priority:
            return "priority"
        if self.idempotent is not None and request.idempotent != self.idempotent:
            return "idempotent"
        for header in self.headers:
            if not header.fits(request):
                return f"headers.{header.name}"
        return None


@dataclass(frozen=True, slots=True)
class Serve:
    """Run the request, in this way."""

    __pydantic_config__ = _CLOSED

    coverage: Annotated[float, Strict(), Field(ge=0, le=1)] = 1.0
    """The fraction of documents that is wanted; once reached, stragglers get ``straggler_ms``."""
    min_coverage: Annotated[float, Strict(), Field(ge=0, le=1)] = 0.0
    """An answer that covers less than this is an error to the caller."""
    deadline_ms: Annotated[Millis, Strict(), Field(gt=0, le=MAX_DEADLINE_MS)] = 1000.0
    """The longest time to an answer; a caller may ask for less."""
    straggler_ms: Annotated[Millis, Strict(), Field(ge=0, le=MAX_DEADLINE_MS)] = 0.0
    """How long to wait for more once the coverage wanted is reached."""
    priority: Priority | None = None
    """The class the request gets; its own if none is given."""
    hedge: Annotated[float, Strict(), Field(ge=0, le=1)] = 0.05
    """Hedges allowed, as a fraction of the rule's shard requests."""
    retries: Annotated[int, Strict(), Field(ge=0, le=10)] = 1
    """Further tries for each shard after a failure."""
    max_load_share: Annotated[float, Strict(), Field(gt=0, le=1)] = 1.0
    """The share of an upstream's slots that requests of this rule may hold at one entry."""
    caller_rate: Annotated[float, Strict(), Field(gt=0)] | None = None
    """Requests a second for each caller at one entry; None is no limit."""
    zone: ZonePreference = ZonePreference.OWN_ZONE
    """Which replicas come first."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Do not run the request."""

    __pydantic_config__ = _CLOSED

    refuse: Annotated[str, Field(min_length=1, max_length=200)]
    """The reason that the caller is shown."""
    retry_after_ms: Annotated[Millis, Strict(), Field(ge=0)] | None = None
    """When the caller may come back, if ever."""


Then: TypeAlias = Serve | Refuse


@dataclass(frozen=True, slots=True)
class Rule:
    """One named rule of the ordered list."""

    __pydantic_config__ = _CLOSED

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
    then: Serve | Refuse
    when: When = When()
