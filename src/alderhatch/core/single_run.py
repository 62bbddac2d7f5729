"""The state of one request that may not be repeated."""

from __future__ import annotations

from enum import Enum

from ..clock import Millis
from .request import Request
from .rule import Rule, Serve
from .run import Run, ShardState
from .server_table import UpstreamView
from .shard_map import ShardMap


class Stage(Enum):
    """How far it has got."""

    QUEUED = "queued"
    """It waits for admission; nothing has been claimed."""
    CLAIMING = "claiming"
    """The run ledger has been asked."""
    WAITING = "waiting"
    """It is claimed and waits for a server; nothing has been sent."""
    SENT = "sent"
    """One attempt is out."""


class SingleRun(Run):
    """A request that goes to one shard, once."""

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
        """Whether the caller has its answer, or left; the run's outcome is still recorded."""
