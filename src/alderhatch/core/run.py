"""What every request under way has, whether it may be repeated or not."""

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
    """One request that has found its rule."""

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
        """The hash of its body."""
        self.upstream = upstream
        self.shard_map = shard_map
        """The pinned map; every attempt reads its snapshot."""
        self.started_at = now
        self.admitted_at = now
        self.time_budget = min(serve.deadline_ms, request.deadline_ms or serve.deadline_ms)
        """From its arrival to its deadline."""
        self.deadline = now + self.time_budget
        self.priority: Priority = serve.priority or request.priority
        self.rank = self.priority.rank
        self.any_zone = serve.zone is ZonePreference.ANY_ZONE
        self.ended = False
        self.limiter: UpstreamLimiter | None = None
        """Where it was admitted; None while it waits."""
        self.units = 0
        """What it holds of the gate: its shards that are still open."""
        self.maybe_ran = False
        """Whether an attempt ended in another way than with a certain "not run"."""
        self.retry_after: Millis | None = None
        """When a server that refused wants to be asked again."""


class ShardState:
    """What one request knows of one shard."""

    __slots__ = (
        "attempts",
        "closed",
        "failures",
        "gone",
        "hedges",
        "plan",
        "reason",
        "rows",
        "tried",
        "waiting",
    )

    def __init__(self, plan: ShardPlan) -> None:
        self.plan = plan
        self.rows: list[object] | None = None
        """The rows of the answer that counts; None until there is one."""
        self.attempts: dict[int, Attempt] = {}
        """Attempts that are out, by their numbers."""
        self.tried: set[str] = set()
        """Servers that were asked."""
        self.failures = 0
        """Tries that count against the rule's retries."""
        self.hedges = 0
        self.closed = False
        """Whether it has answered or was given up."""
        self.gone = False
        """Whether no replica has the pinned snapshot any more."""
        self.waiting = False
        """Whether it waits for a server that may be asked."""
        self.reason = "no answer in time"
        """Why the shard is missing, if it stays so."""
