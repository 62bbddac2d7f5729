"""Our entry: the real core, driven on the virtual clock."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from alderhatch.clock import Millis
from alderhatch.core.entry_core import EntryCore
from alderhatch.core.entry_events import (
    Answered,
    AttemptFailed,
    AttemptFault,
    CancelAttempt,
    EntryEvent,
    FetchShardMap,
    Finish,
    HealthReported,
    LeaseChanged,
    LoadReport,
    Outcome,
    ProbeServer,
    QueryArrived,
    RulesChanged,
    SendShard,
    ServersLeaving,
    ServerState,
    ShardAnswer,
    ShardAnswered,
    ShardMapFetched,
    WakeAt,
    Woke,
)
from alderhatch.core.policy import Policy
from alderhatch.core.request import Request
from alderhatch.core.rule_list import RuleList
from alderhatch.errors import RunStatus

from .model_server import Job

if TYPE_CHECKING:
    from .tier import Tier

FETCH_MS: Millis = 2.0
LEASE_MS: Millis = 1e9


class CoreEntry:
    """One entry with the real core. It sees its own traffic only."""

    def __init__(
        self, tier: Tier, name: str, zone: str, rules: RuleList, policy: Policy, seed: str
    ) -> None:
        self.tier = tier
        self.name = name
        self.zone = zone
        self.core = EntryCore(name, Random(f"{seed}/{name}"), zone, policy)
        self._jobs: dict[int, tuple[Job, str]] = {}
        self._wake_at: Millis | None = None
        self.faults: list[str] = []
        """Broken promises, in words."""
        self.feed(RulesChanged(1, rules))
        self.feed(ShardMapFetched(tier.shard_map))
        shape = tier.shape
        share = max(1, shape.connections // len(tier.entry_zones))
        shares = {server.server_id: share for server in tier.shard_map.servers}
        self.feed(LeaseChanged(LEASE_MS, shares, frozenset()))

    @property
    def sent(self) -> int:
        """Shard requests sent."""
        return self.core.shard_requests_sent

    @property
    def needed(self) -> int:
        """Shard requests that the admitted queries need."""
        return self.core.shard_requests_needed

    def arrive(self, query: int, request: Request, deadline: Millis) -> None:
        """Take a request."""
        self.feed(QueryArrived(query, request))

    def answered(self, job: Job, load: LoadReport) -> None:
        """Take an answer off the network."""
        if self._jobs.pop(job.attempt, None) is None:
            return
        rows = [f"{job.shard}@{job.snapshot.version}"]
        request_id = f"{self.name}-{job.attempt}"
        answer = ShardAnswer(request_id, job.shard, job.snapshot, rows, load)
        self.feed(ShardAnswered(job.attempt, answer))

    def failed(self, job: Job, fault: AttemptFault, retry_after: Millis | None) -> None:
        """Take a failure off the network."""
        if self._jobs.pop(job.attempt, None) is not None:
            self.feed(AttemptFailed(job.attempt, fault, retry_after))

    def leaving(self, server_ids: frozenset[str]) -> None:
        """Take the platform's list of leaving servers."""
        self.feed(ServersLeaving("platform", server_ids))

    def fetch_map(self) -> None:
        """Read the newest shard map."""
        self.feed(ShardMapFetched(self.tier.shard_map))

    def _probe(self, server_id: str) -> None:
        lost = self.tier.servers[server_id].lost
        state = ServerState.UNREACHABLE if lost else ServerState.READY
        self.feed(HealthReported(server_id, state, None, "b1"))

    def feed(self, event: EntryEvent) -> None:
        """Step the core and do what it asks for."""
        loop = self.tier.loop
        for effect in self.core.step(event, loop.now):
            match effect:
                case SendShard():
                    job = self.tier.send(
                        self,
                        effect.attempt,
                        effect.request.request_id,
                        effect.shard,
                        effect.server_id,
                        effect.snapshot,
                    )
                    self._jobs[effect.attempt] = (job, effect.server_id)
                case CancelAttempt(attempt=attempt):
                    known = self._jobs.pop(attempt, None)
                    if known is not None:
                        self.tier.cancel(*known)
                case WakeAt(at=at):
                    self._wake_at = at
                    loop.at(at, self._wake, at)
                case Finish(query=query, outcome=outcome):
                    self._finish(query, outcome)
                case FetchShardMap():
                    loop.after(FETCH_MS, self.fetch_map)
                case ProbeServer(server_id=server_id):
                    loop.after(FETCH_MS, self._probe, server_id)
                case _:
                    pass

    def _wake(self, at: Millis) -> None:
        if self._wake_at == at:
            self._wake_at = None
            self.feed(Woke())

    def _finish(self, query: int, outcome: Outcome) -> None:
        match outcome:
            case Answered(coverage=coverage):
                self._check_answer(outcome)
                self.tier.finished(query, coverage, "")
            case _:
                failure = outcome.failure
                if failure.answer.ran is RunStatus.NOT_RUN and self.tier.was_accepted(query):
                    self.faults.append(f"query {query}: {failure.kind} says not run, but it ran")
                # Only what certainly did not run may be sent again without a doubt.
                again = failure.retry_after_ms if failure.answer.ran is RunStatus.NOT_RUN else None
                self.tier.finished(query, 0.0, failure.kind, again)

    def _check_answer(self, outcome: Answered) -> None:
        shard_map = self.tier.maps[outcome.snapshot]
        missing = {item.shard for item in outcome.missing}
        wanted = [
            f"{shard.name}@{outcome.snapshot.version}"
            for shard in shard_map.shards
            if shard.name not in missing
        ]
        if outcome.rows != wanted:
            self.faults.append(f"rows of {outcome.snapshot} are not those of its shards")
        if abs(outcome.coverage - len(wanted) / len(shard_map.shards)) > 1e-9:
            self.faults.append(f"coverage {outcome.coverage} with {len(missing)} missing")
