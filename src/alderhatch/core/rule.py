"""When-then rules: the conditions on a request and how a matching request is treated."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, TypeAlias

from pydantic import BeforeValidator, ConfigDict, Field, Strict

from ..clock import Millis
from .priority import Priority
from .request import Request

MAX_DEADLINE_MS: Millis = 600_000.0


def _as_tuple(value: object) -> object:
    return (value,) if isinstance(value, str) else value


StringTuple: TypeAlias = Annotated[tuple[str, ...], BeforeValidator(_as_tuple)]
"""One string or a list of strings, any of which may match; empty matches everything."""

Priorities: TypeAlias = Annotated[tuple[Priority, ...], BeforeValidator(_as_tuple)]

_FORBID_EXTRA = ConfigDict(extra="forbid")


class ZonePreference(StrEnum):
    """The replicas that a rule prefers."""

    OWN_ZONE = "own_zone"
    """Replicas in the entry's availability zone, unless another one is clearly faster."""
    ANY_ZONE = "any_zone"


@dataclass(frozen=True, slots=True)
class HeaderMatch:
    """A condition on one header field, with exactly one of ``equals`` and ``prefix``."""

    __pydantic_config__ = _FORBID_EXTRA

    name: str
    equals: str | None = None
    prefix: str | None = None

    def matches(self, request: Request) -> bool:
        """Return whether the request has a matching header field."""
        value = request.headers.get(self.name.lower())
        if value is None:
            return False
        if self.equals is not None:
            return value == self.equals
        return self.prefix is not None and value.startswith(self.prefix)


@dataclass(frozen=True, slots=True)
class When:
    """The conditions of a rule; all that are given must hold."""

    __pydantic_config__ = _FORBID_EXTRA

    kind: StringTuple = ()
    """Kinds of request, as named by callers."""
    upstream: StringTuple = ()
    """Names of upstreams."""
    caller: StringTuple = ()
    """Names of callers."""
    zone: StringTuple = ()
    """Availability zones of callers."""
    priority: Priorities = ()
    """Priority classes that the request asks for."""
    idempotent: Annotated[bool, Strict()] | None = None
    """Whether the request is idempotent."""
    headers: tuple[HeaderMatch, ...] = ()
    """Conditions on header fields, all of which must hold."""

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
            if not header.matches(request):
                return f"headers.{header.name}"
        return None


@dataclass(frozen=True, slots=True)
class Serve:
    """Run the request with these settings."""

    __pydantic_config__ = _FORBID_EXTRA

    coverage: Annotated[float, Strict(), Field(ge=0, le=1)] = 1.0
    """The target fraction of documents; once reached, stragglers get ``straggler_ms``."""
    min_coverage: Annotated[float, Strict(), Field(ge=0, le=1)] = 0.0
    """An answer that covers less than this fraction is an error to the caller."""
    deadline_ms: Annotated[Millis, Strict(), Field(gt=0, le=MAX_DEADLINE_MS)] = 1000.0
    """The longest time to an answer; a caller may ask for less."""
    straggler_ms: Annotated[Millis, Strict(), Field(ge=0, le=MAX_DEADLINE_MS)] = 0.0
    """How long to wait for stragglers once the target coverage is reached."""
    priority: Priority | None = None
    """The priority class of the request; the one it asks for if none is given."""
    hedge: Annotated[float, Strict(), Field(ge=0, le=1)] = 0.05
    """The hedges allowed, as a fraction of the rule's shard requests."""
    retries: Annotated[int, Strict(), Field(ge=0, le=10)] = 1
    """Retries for each shard after a failure."""
    max_load_share: Annotated[float, Strict(), Field(gt=0, le=1)] = 1.0
    """The fraction of an upstream's slots that requests of this rule may use at one entry."""
    caller_rate: Annotated[float, Strict(), Field(gt=0)] | None = None
    """Requests per second for each caller at one entry; None for no limit."""
    zone: ZonePreference = ZonePreference.OWN_ZONE
    """The replicas that are preferred."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request without running it."""

    __pydantic_config__ = _FORBID_EXTRA

    refuse: Annotated[str, Field(min_length=1, max_length=200)]
    """The reason given to the caller."""
    retry_after_ms: Annotated[Millis, Strict(), Field(ge=0)] | None = None
    """When the caller may retry, if at all."""


Then: TypeAlias = Serve | Refuse


@dataclass(frozen=True, slots=True)
class Rule:
    """One named rule of the ordered list."""

    __pydantic_config__ = _FORBID_EXTRA

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
    then: Serve | Refuse
    when: When = When()
