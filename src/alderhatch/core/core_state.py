"""State shared by the components of the entry's core."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import Millis
from ..errors import ErrorKind, Failure
from .crash_detector import CrashDetector
from .entry_events import EntryEffect, Finish, Refused
from .policy import Policy
from .ratio_budget import RatioBudget
from .rule import Rule, Serve
from .rule_list import RuleList
from .run import Run
from .server_table import ServerTable
from .timers import Timers

if TYPE_CHECKING:
    from random import Random

MAX_HEDGE_BUDGETS = 2000


class CoreState:
    """The shared state, including the time and the effects of the current step."""

    def __init__(self, name: str, zone: str, rng: Random, policy: Policy) -> None:
        self.name = name
        self.zone = zone
        self.rng = rng
        self.policy = policy
        self.now: Millis = 0.0
        self.effects: list[EntryEffect] = []
        self.servers = ServerTable(policy)
        self.crashes = CrashDetector(policy.quarantine_ms)
        self.rules = RuleList()
        self.revision = 0
        self.runs: dict[int, Run] = {}
        """Running and queued requests by query number."""
        self.timers = Timers(self.runs)
        self.hedge_share = 1.0
        """The most hedges control allows any rule, as a fraction of its shard requests."""
        self.hedges: dict[str, RatioBudget] = {}
        """Hedge budgets by rule name."""
        self.shard_requests_sent = 0
        self.shard_requests_needed = 0
        self.wasted = 0
        """Attempts that were cancelled or whose answer was discarded."""

    def hedge_budget(self, rule: Rule, serve: Serve) -> RatioBudget:
        """Return a rule's hedge budget, capped by the tier-wide limit."""
        budget = self.hedges.get(rule.name)
        if budget is None:
            if len(self.hedges) >= MAX_HEDGE_BUDGETS:
                self.hedges.clear()
            budget = RatioBudget(0.0, self.policy.hedge_burst, 1.0)
            self.hedges[rule.name] = budget
        budget.ratio = min(serve.hedge, self.hedge_share)
        return budget

    def refuse(
        self,
        query: int,
        rule: Rule | None,
        kind: ErrorKind,
        message: str,
        retry_after: Millis | None = None,
    ) -> None:
        """Refuse a caller's request."""
        failure = Failure(kind, message, retry_after_ms=retry_after)
        name = rule.name if rule is not None else ""
        self.effects.append(Finish(query, Refused(failure, name, self.revision)))
