"""The state common to all running requests, idempotent or not."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import Millis
from .priority import Priority
from .request import Request
from .rule import Rule, Serve, ZonePreference
from .server_table import ShardPlan, UpstreamView
from .shard_map import ShardMap

if TYPE_CHECKING:
    from .admission import UpstreamLimiter
    from .attempt import Attempt


class Run:
    """One request that was matched to a rule."""

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
        self.query = query
        self.request = request
        self.rule = rule
        self.serve = serve
        self.fingerprint = fingerprint
        """The hash of the upstream, the kind and the body."""
        self.upstream = upstream
        self.shard_map = shard_map
        """The pinned shard map; every attempt reads its snapshot."""
        self.started_at = now
        self.admitted_at = now
        self.time_budget = min(serve.deadline_ms, request.deadline_ms or serve.deadline_ms)
        """The time from arrival to deadline."""
        self.deadline = now + self.time_budget
        self.priority: Priority = serve.priority or request.priority
        self.rank = self.priority.rank
        self.any_zone = serve.zone is ZonePreference.ANY_ZONE
        self.ended = False
        self.limiter: UpstreamLimiter | None = None
        """The limiter that admitted the request; None while the request waits."""
        self.units = 0
        """The units that it holds at the limiter: the number of its open shards."""
        self.maybe_ran = False
        """Whether an attempt may have run: one ended without a definite "not run"."""
        self.retry_after: Millis | None = None
        """The longest wait that a refusing server asked for."""


class ShardState:
    """The state of one shard within one request."""

    __slots__ = (
        "attempts",
        "closed",
        "failures",
        "hedges",
        "plan",
        "reason",
        "rows",
        "snapshot_gone",
        "tried",
        "waiting",
    )

    def __init__(self, plan: ShardPlan) -> None:
        self.plan = plan
        self.rows: list[object] | None = None
        """The rows of the accepted answer; None until there is one."""
        self.attempts: dict[int, Attempt] = {}
        """Attempts in flight by attempt number."""
        self.tried: set[str] = set()
        """IDs of the servers that were tried."""
        self.failures = 0
        """Failed attempts that count against the rule's retries."""
        self.hedges = 0
        self.closed = False
        """Whether the shard has answered or was given up."""
        self.snapshot_gone = False
        """Whether no replica holds the pinned snapshot any more."""
        self.waiting = False
        """Whether the shard request waits for an available server."""
        self.reason = "no answer in time"
        """Why the shard is missing from the answer, if it does not answer."""
