"""Keeps what was decided about a request with what each decision was based on."""

from __future__ import annotations

from ...clock import Millis
from ..server_view import NEVER
from .decision import Decision, DecisionKind
from .shard_state import ShardState
from .target import Target
from .target_table import TargetTable

MAX_TRACE = 400
"""Decisions kept of one request: three for each of 100 shards, and some."""


class RunTrace:
    """The decisions of one request, oldest first.

    Args:
        table: The servers as they are when a decision is made.
        arrived: When the request arrived.
    """

    def __init__(self, table: TargetTable, arrived: Millis) -> None:
        self.decisions: list[Decision] = []
        self._table = table
        self._arrived = arrived

    def note(
        self,
        now: Millis,
        kind: DecisionKind,
        shard: ShardState,
        target: Target | None = None,
        why: str = "",
    ) -> None:
        """Keep one decision, unless there are too many already.

        Args:
            now: The time.
            kind: What was decided.
            shard: For which shard.
            target: The server that it is about, if any.
            why: The reason, where the kind does not say it.
        """
        if len(self.decisions) >= MAX_TRACE:
            return
        at = now - self._arrived
        if target is None or kind is DecisionKind.FAULT:
            server_id = target.server_id if target is not None else ""
            self.decisions.append(Decision(at, kind, shard.upstream, server_id, why))
            return
        upstream = shard.upstream
        is_first = kind is DecisionKind.SEND
        budget = -1.0 if is_first else self._table.budget_level(upstream, now)
        age = now - target.other_load_at if target.other_load_at > NEVER else -1.0
        load = target.load(now)
        candidates = self._table.count_usable(upstream, now)
        self.decisions.append(
            Decision(at, kind, upstream, target.server_id, why, load, age, candidates, budget)
        )
