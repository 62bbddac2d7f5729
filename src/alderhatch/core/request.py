"""A caller's request as the core represents it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..clock import Millis
from .priority import Priority


@dataclass(frozen=True, slots=True)
class Request:
    """A parsed and validated request that has not been matched to a rule yet."""

    request_id: str
    """The caller's ID; with ``caller`` it identifies a non-idempotent request."""
    caller: str
    kind: str
    """The caller's name for the kind of request, such as ``conflict-check``; rules match on it."""
    upstream: str
    """The name of the upstream that holds the indexes."""
    body: bytes
    """The query as JSON, forwarded to the shards unchanged."""
    idempotent: bool = True
    """False for a dispatch or booking, which runs at most once."""
    priority: Priority = Priority.NORMAL
    """The priority the caller asks for; a rule may override it."""
    zone: str = ""
    """The caller's availability zone; empty if not given."""
    deadline_ms: Millis | None = None
    """The time within which the caller wants the answer; None if not given."""
    key: str = ""
    """The subject of a non-idempotent request, such as a room; it selects the shard that runs it.
    If empty, the request ID selects the shard."""
    headers: Mapping[str, str] = field(default_factory=dict)
    """Header fields with lower-case names."""
