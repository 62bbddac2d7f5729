"""Records the decisions about a request with the data that each was based on."""

from __future__ import annotations

from ...clock import Millis
from ..server_view import NEVER
from .decision import Decision, DecisionKind
from .shard_state import ShardState
from .target import Target
from .target_table import TargetTable

MAX_DECISIONS = 400
"""Decisions kept for one request: three for each of 100 shards, and some more."""


class RunTrace:
    """The decisions of one request, oldest first.

    Args:
        table: The servers, with their state at the time of each decision.
        arrived: When the request arrived.
    """

    def __init__(self, table: TargetTable, arrived: Millis) -> None:
        self.decisions: list[Decision] = []
        self._table = table
        self._arrived = arrived

    def record_decision(
        self,
        now: Millis,
        kind: DecisionKind,
        shard: ShardState,
        target: Target | None = None,
        why: str = "",
    ) -> None:
        """Record one decision, unless there are too many already.

        Args:
            now: The time.
            kind: What was decided.
            shard: The shard that it concerns.
            target: The server that it concerns, if any.
            why: The reason, where the kind does not imply it.
        """
        if len(self.decisions) >= MAX_DECISIONS:
            return
        at = now - self._arrived
        if target is None or kind is DecisionKind.FAULT:
            server_id = target.server_id if target is not None else ""
            self.decisions.append(Decision(at, kind, shard.upstream, server_id, why))
            return
        upstream = shard.upstream
        is_first = kind is DecisionKind.SEND
        budget = -1.0 if is_first else self._table.remaining_budget(upstream, now)
        age = now - target.other_load_at if target.other_load_at > NEVER else -1.0
        load = target.load(now)
        candidates = self._table.count_usable(upstream, now)
        self.decisions.append(
            Decision(at, kind, upstream, target.server_id, why, load, age, candidates, budget)
        )
