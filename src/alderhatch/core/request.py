"""A caller's request as the core sees it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..clock import Millis
from .priority import Priority


@dataclass(frozen=True, slots=True)
class Request:
    """One request, parsed and checked, before a rule has been found for it."""

    request_id: str
    """The caller's id; together with ``caller`` it names a request that may not be repeated."""
    caller: str
    kind: str
    """The caller's word for what this is, such as ``conflict-check``; rules match on it."""
    upstream: str
    """The name of the upstream that holds the indexes."""
    body: bytes
    """The query as JSON, passed on to the shards as it is."""
    idempotent: bool = True
    """False for a dispatch or booking, which runs at most once."""
    priority: Priority = Priority.NORMAL
    """What the caller asks for; a rule may decide otherwise."""
    zone: str = ""
    """The caller's availability zone, empty if it did not say."""
    deadline_ms: Millis | None = None
    """The span within which the caller wants the answer, if it said one."""
    key: str = ""
    """What a request that may not be repeated is about, such as a room; it decides the shard that
    runs it. Empty: the request id decides."""
    headers: Mapping[str, str] = field(default_factory=dict)
    """Header fields with lower-case names."""
