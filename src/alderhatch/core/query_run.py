"""One query under way: which shards have answered, which attempts are out."""

from __future__ import annotations

from typing import Any

from ..clock import Millis
from .entry_events import Answered, MissingShard, ShardAnswer
from .request import Request
from .rule import Rule, Serve
from .shard_map import Shard, ShardMap


class ShardState:
    """What one query knows of one shard."""

    __slots__ = ("attempts", "failures", "reason", "rows", "shard", "tried")

    def __init__(self, shard: Shard) -> None:
        self.shard = shard
        self.rows: list[Any] | None = None
        """The rows of the answer that counts; None until there is one."""
        self.attempts: dict[int, str] = {}
        """Attempts that are out, with their servers."""
        self.tried: set[str] = set()
        """Servers that were asked."""
        self.failures = 0
        self.reason = "no answer in time"
        """Why the shard is missing, if it stays so."""


class QueryRun:
    """The state of one query. It pins one shard map and never mixes answers of two."""

    def __init__(
        self, query: int, request: Request, rule: Rule, serve: Serve, shard_map: ShardMap
    ) -> None:
        self.query = query
        self.request = request
        self.rule = rule
        self.serve = serve
        self.shard_map = shard_map
        self.shards = {shard.name: ShardState(shard) for shard in shard_map.shards}
        self.covered_documents = 0
        self.deadline: Millis = 0.0
        self.early_finish: Millis | None = None
        """When the stragglers' time is up, once the coverage wanted is reached."""

    @property
    def coverage(self) -> float:
        """The fraction of the pinned map's documents that answers have covered."""
        documents = self.shard_map.documents
        return self.covered_documents / documents if documents else 1.0

    @property
    def complete(self) -> bool:
        """Whether every shard has answered."""
        return self.covered_documents == self.shard_map.documents and all(
            state.rows is not None for state in self.shards.values()
        )

    def take(self, answer: ShardAnswer) -> bool:
        """Count an answer in.

        Args:
            answer: An answer that some attempt of this query brought.

        Returns:
            False if it belongs to another shard or snapshot, or came twice: it changes nothing.
        """
        state = self.shards.get(answer.shard)
        # Index versions change while queries run. Rows of another version merged in would give
        # the caller an answer that never was true at any one time.
        if state is None or answer.snapshot != self.shard_map.snapshot:
            return False
        if state.rows is not None:
            return False
        state.rows = answer.rows
        self.covered_documents += state.shard.documents
        return True

    def outcome(self, revision: int) -> Answered:
        """Return the answer with what is there now."""
        rows: list[Any] = []
        missing: list[MissingShard] = []
        for name, state in self.shards.items():
            if state.rows is None:
                missing.append(MissingShard(name, state.reason))
            else:
                rows += state.rows
        return Answered(
            self.shard_map.snapshot,
            self.coverage,
            tuple(missing),
            rows,
            self.rule.name,
            revision,
        )
