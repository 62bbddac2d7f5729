"""What a forwarded request knows of one shard."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ...clock import Millis
from .target import Target


class SentAttempt(NamedTuple):
    """One attempt that is out."""

    target: Target
    at: Millis


@dataclass(slots=True)
class ShardState:
    """One shard of a request, or its only upstream if it goes to a single server."""

    upstream: str
    out: dict[int, SentAttempt] = field(default_factory=dict)
    """Attempts whose outcome is not known."""
    hedge_at: Millis | None = None
    """When another server is asked as well; None until it is worked out."""
    sends: int = 0
    """Requests that left this host for it."""
    may_have_run: set[str] = field(default_factory=set)
    """The servers that may have begun to work on it."""
    refused_by: dict[str, Millis] = field(default_factory=dict)
    """When servers refused it without running it."""
    part: object = None
    """The answer that counts."""
    failure: object = None
    """The newest answer with which a server said that it failed."""
    without_server_since: Millis | None = None
    """Since when no server could be asked; None while one is out or was found."""
    given_up: bool = False
    is_spent: bool = False
    """Whether it was asked for at a server that other hosts would not ask, so that none may."""
    waits_until: Millis | None = None
    """When to look for a server again, if none could be asked."""

    @property
    def open(self) -> bool:
        """Whether an answer may still come."""
        return self.part is None and not self.given_up
