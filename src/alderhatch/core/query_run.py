"""The state of one running query: the shards that answered and the attempts in flight."""

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
    """The state of one query. It pins one shard map and never mixes answers from two of them."""

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
        few_open_share: float = 0.1,
    ) -> None:
        super().__init__(query, request, rule, serve, fingerprint, upstream, shard_map, now)
        self.few_open_share = few_open_share
        self.replans = 0
        self.waiting_for_map = False
        self.early_finish_at: Millis | None = None
        """When the wait for stragglers ends, once the target coverage is reached."""
        self.hedge_at: Millis | None = None
        """When the hedge timer fires."""
        self.canary_phase = False
        """Whether only the canaries have been sent so far."""
        self.canaries_delayed = False
        """Whether the canaries had to wait at the entry under overload."""
        self.crash_check_until: Millis = 0.0
        """Until when probes may show that the servers lost with the canaries are still running."""
        self.any_error_response = False
        """Whether a server responded with an error or with an invalid answer."""
        self.pin(shard_map)

    def pin(self, shard_map: ShardMap) -> None:
        """Plan the query over a shard map; discard what was gathered over an earlier one."""
        self.shard_map = shard_map
        self.shards = [ShardState(plan) for plan in self.upstream.plans]
        self.by_name = {state.plan.shard.name: state for state in self.shards}
        self.few_open_limit = max(1, int(self.few_open_share * len(self.shards)))
        """With at most this many open shards, the query counts as waiting for only a few."""
        self.open_shards = dict.fromkeys(self.shards)
        """Shards that have neither answered nor been given up, in the order of the map."""
        self.open = len(self.shards)
        """The number of open shards."""
        self.covered_documents = 0

    @property
    def coverage(self) -> float:
        """The fraction of the pinned map's documents that answers cover."""
        documents = self.shard_map.documents
        return self.covered_documents / documents if documents else 1.0

    @property
    def attempts_out(self) -> int:
        """The number of attempts in flight."""
        return sum(len(state.attempts) for state in self.shards)

    def accept(self, answer: ShardAnswer) -> bool:
        """Record an answer.

        Args:
            answer: The answer of an attempt of this query.

        Returns:
            False if the answer belongs to another shard or snapshot, or is a duplicate; it is then
            ignored.
        """
        state = self.by_name.get(answer.shard)
        # Index versions change while queries run. If rows of two versions were merged, the caller
        # would get an answer that was not true at any point in time.
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
        """Mark an open shard as answered or given up."""
        state.closed = True
        self.open -= 1
        del self.open_shards[state]

    def outcome(self, revision: int) -> Answered:
        """Return the answer with the rows gathered so far."""
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
