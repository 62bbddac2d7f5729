"""The goals, each judged by what this run measured."""

from __future__ import annotations

from typing import NamedTuple

from .results import Result
from .scenarios import LOADS

OURS = "alderhatch"
NAIVE = "random"


class Goal(NamedTuple):
    """One goal with what was measured."""

    name: str
    value: float
    limit: float
    at_most: bool = True

    @property
    def met(self) -> bool:
        """Whether the value keeps to the limit."""
        return self.value <= self.limit if self.at_most else self.value >= self.limit

    def __str__(self) -> str:
        verdict = "met" if self.met else "missed"
        return f"goal {self.name} {self.value:.4g} {self.limit:.4g} {verdict}"


def judge(results: list[Result], core_micros: float) -> list[Goal]:
    """Return all goals."""
    table = {(r.scenario, r.upstream, r.entry, r.load): r for r in results}
    goals: list[Goal] = []
    for upstream in ("navigator", "spotbook"):
        for load in LOADS:
            goals += _steady_goals(table, upstream, load)
    for lost in ("server lost", "zone lost"):
        ours = table[lost, "clashwatch", OURS, 0.4].under_wanted
        naive = table[lost, "clashwatch", NAIVE, 0.4].under_wanted
        goals.append(Goal(f"under-wanted-{lost.replace(' ', '-')}", ours, naive / 10))
    overload = table["overload 1.5", "navigator", OURS, 0.5].extra
    goals += [
        Goal("overload-goodput", overload["goodput"], 0.9, at_most=False),
        Goal("overload-urgent-p99-ratio", overload["urgent p99 ratio"], 2.0),
        Goal("overload-sent-per-accepted", overload["sent ratio"], 1.1),
        Goal("overload-recovery-s", overload["recovery s"], 5.0),
    ]
    for load in (0.3, 0.5):
        healthy = table["healthy", "navigator", OURS, load].p99
        slow = table["slow server", "navigator", OURS, load].p99
        goals.append(Goal(f"slow-server-p99-ratio-{load}", slow / healthy, 1.2))
    flood = table["flood with limits", "spotbook", OURS, 1.3].extra
    free = table["flood without limits", "spotbook", OURS, 1.3].extra
    goals.append(Goal("flood-desk-refused", flood["desk refused"], free["desk refused"] / 10))
    broken = sum(len(result.faults) for result in results)
    goals.append(Goal("broken-promises", broken, 0))
    goals.append(Goal("core-us-per-shard-request", core_micros, 25.0))
    return goals


def _steady_goals(
    table: dict[tuple[str, str, str, float], Result], upstream: str, load: float
) -> list[Goal]:
    naive = table["steady", upstream, NAIVE, load]
    ours = table["steady", upstream, OURS, load]
    nearly = table["steady 0.95", upstream, OURS, load]
    where = f"{upstream}-{load}"
    return [
        Goal(f"p99-ratio-{where}", ours.p99 / naive.p99, 0.30),
        Goal(f"p99.9-ratio-{where}", ours.p999 / naive.p999, 0.45),
        Goal(f"p99-ratio-0.95-{where}", nearly.p99 / naive.p99, 0.25),
        Goal(f"extra-load-{where}", ours.sent_ratio - 1.0, 0.05),
    ]
