"""The state of one shard of a forwarded request."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from ...clock import Millis
from .target import Target


class SentAttempt(NamedTuple):
    """One attempt in flight."""

    target: Target
    at: Millis


@dataclass(slots=True)
class ShardState:
    """One shard of a request, or its only upstream if it goes to a single server."""

    upstream: str
    in_flight: dict[int, SentAttempt] = field(default_factory=dict)
    """Attempts without a result, by number."""
    hedge_at: Millis | None = None
    """When a second server is queried; None until it is computed."""
    sends: int = 0
    """Requests that this host sent for it."""
    may_have_run: Counter[str] = field(default_factory=Counter)
    """The servers that may have begun to work on it, with the number of attempts each."""
    refused_by: dict[str, Millis] = field(default_factory=dict)
    """When each server refused it without running it."""
    part: object = None
    """The answer, once there is one."""
    failure: object = None
    """The latest error response of a server."""
    without_server_since: Millis | None = None
    """Since when no server was usable; None while an attempt is in flight or a server was found."""
    given_up: bool = False
    is_spent: bool = False
    """Whether it was sent to a server that other hosts would not use, so that no other host may
    query it."""
    awaits_trial: bool = False
    """Whether it is sent once a trial of the request has been answered."""
    retry_at: Millis | None = None
    """When to look for a server again, if none was usable."""

    def record_not_run(self, server_id: str) -> None:
        """Record that a server has not begun to work on one of the attempts sent to it.

        It may still have begun to work on another one.
        """
        self.may_have_run[server_id] -= 1
        if self.may_have_run[server_id] <= 0:
            del self.may_have_run[server_id]

    @property
    def open(self) -> bool:
        """Whether an answer may still arrive."""
        return self.part is None and not self.given_up
