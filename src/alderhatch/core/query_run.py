"""One query under way: which shards have answered, which attempts are out."""

from __future__ import annotations

from typing import Any

from ..clock import Millis
from .entry_events import Answered, MissingShard, ShardAnswer
from .request import Request
from .rule import Rule, Serve
from .run import Run, ShardState
from .server_table import UpstreamView
from .shard_map import ShardMap


class QueryRun(Run):
    """The state of one query. It pins one shard map and never mixes answers of two."""

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
        few_share: float = 0.1,
    ) -> None:
        super().__init__(query, request, rule, serve, fingerprint, upstream, shard_map, now)
        self.few_share = few_share
        self.replans = 0
        self.waits_for_map = False
        self.early_finish: Millis | None = None
        """When the stragglers' time is up, once the coverage wanted is reached."""
        self.hedge_at: Millis | None = None
        """When a timer will look for shards to hedge."""
        self.canary_phase = False
        """Whether only the first few shards have been asked yet."""
        self.canary_held = False
        """Whether those had to wait at the entry under overload."""
        self.verdict_by: Millis = 0.0
        """Until when probes may still show that servers lost under its canaries run on."""
        self.any_failed = False
        """Whether a server said that it ran the request and failed, or answered nonsense."""
        self.pin(shard_map)

    def pin(self, shard_map: ShardMap) -> None:
        """Plan over a shard map; whatever was gathered over an earlier one is dropped."""
        self.shard_map = shard_map
        self.shards = [ShardState(plan) for plan in self.upstream.plans]
        self.by_name = {state.plan.shard.name: state for state in self.shards}
        self.few = max(1, int(self.few_share * len(self.shards)))
        """So many open shards at most make it a query that waits for a few only."""
        self.open_shards = dict.fromkeys(self.shards)
        """Shards that have neither answered nor been given up, in the map's order."""
        self.open = len(self.shards)
        """How many these are."""
        self.covered_documents = 0

    @property
    def coverage(self) -> float:
        """The fraction of the pinned map's documents that answers have covered."""
        documents = self.shard_map.documents
        return self.covered_documents / documents if documents else 1.0

    @property
    def attempts_out(self) -> int:
        """How many attempts are out."""
        return sum(len(state.attempts) for state in self.shards)

    def take(self, answer: ShardAnswer) -> bool:
        """Count an answer in.

        Args:
            answer: An answer that some attempt of this query brought.

        Returns:
            False if it belongs to another shard or snapshot, or came twice: it changes nothing.
        """
        state = self.by_name.get(answer.shard)
        # Index versions change while queries run. Rows of another version merged in would give
        # the caller an answer that never was true at any one time.
        if state is None or answer.snapshot != self.shard_map.snapshot:
            return False
        if state.rows is not None:
            return False
        state.rows = answer.rows
        self.covered_documents += state.plan.shard.documents
        if not state.closed:
            self.close(state)
        return True

    def close(self, state: ShardState) -> None:
        """Note that an open shard has answered or was given up."""
        state.closed = True
        self.open -= 1
        del self.open_shards[state]

    def outcome(self, revision: int) -> Answered:
        """Return the answer with what is there now."""
        rows: list[Any] = []
        missing: list[MissingShard] = []
        for state in self.shards:
            if state.rows is None:
                missing.append(MissingShard(state.plan.shard.name, state.reason))
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
