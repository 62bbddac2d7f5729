"""The state of one running non-idempotent request."""

from __future__ import annotations

from enum import Enum

from ..clock import Millis
from .request import Request
from .rule import Rule, Serve
from .run import Run, ShardState
from .server_table import UpstreamView
from .shard_map import ShardMap


class Stage(Enum):
    """The stage that a request has reached."""

    QUEUED = "queued"
    """The request waits for admission; nothing has been claimed."""
    CLAIMING = "claiming"
    """A claim has been sent to the run ledger."""
    WAITING = "waiting"
    """The request is claimed and waits for a server; nothing has been sent."""
    SENT = "sent"
    """One attempt is in flight."""


class SingleRun(Run):
    """A request that is sent to one shard and runs at most once."""

    def __init__(
        self,
        query: int,
        request: Request,
        rule: Rule,
        serve: Serve,
        fingerprint: str,
        upstream: UpstreamView,
        shard_map: ShardMap,
        now: Millis,
    ) -> None:
        super().__init__(query, request, rule, serve, fingerprint, upstream, shard_map, now)
        self.shard: ShardState | None = None
        self.stage = Stage.QUEUED
        self.caller_served = False
        """Whether the caller has its answer or has disconnected; the outcome is still recorded."""
