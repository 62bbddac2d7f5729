"""The seeded runs of the bench."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from alderhatch.clock import SECOND, Millis
from alderhatch.core.policy import Policy
from alderhatch.core.priority import Priority
from alderhatch.core.rule import Rule, Serve, When
from alderhatch.core.shard_map import Snapshot

from .baseline_entry import Baseline
from .core_entry import CoreEntry
from .results import Result, collect, entry_name
from .shapes import CLASHWATCH, KITCHENPASS, NAVIGATOR, SENDELOGG, SPOTBOOK, Shape
from .tally import percentile
from .tier import Mix, Phase, Plan, Tier

LOADS = (0.3, 0.5, 0.7)
STEADY_QUERIES = 6000
FULL = (Rule("full", Serve(deadline_ms=1000.0, retries=2)),)
NEARLY = (Rule("nearly", Serve(coverage=0.95, deadline_ms=1000.0, retries=2)),)
CONFLICT = (Rule("conflict-check", Serve(deadline_ms=2000.0, retries=2)),)
DEFAULT = Policy()
NO_CANARIES = Policy(canaries=0)
"""What a query costs whose body has been answered before."""
TAKE_BACK = Policy(take_back_hedges=True)
"""The paper's idea that extra copies are given back when new work comes."""
MIXED = (
    Mix(0.2, "conflict-check", "desk", Priority.URGENT),
    Mix(0.5, "lookup", "desk", Priority.NORMAL),
    Mix(0.3, "month-end", "closing", Priority.BATCH),
)
FLOOD = (Mix(0.15, "conflict-check", "desk", Priority.URGENT), Mix(0.85, "month-end", "closing"))
FAIR = (
    Rule(
        "closing",
        Serve(deadline_ms=1000.0, max_load_share=0.5, caller_rate=30.0),
        When(caller=("closing",)),
    ),
    *FULL,
)
SLOW_FROM: Millis = 3 * SECOND
FAULT_AT: Millis = 4 * SECOND
OVERLOAD_FROM: Millis = 5 * SECOND
OVERLOAD_UNTIL: Millis = 13 * SECOND
RETURNS = 8
"""How often a caller that is refused under overload comes back before it gives up."""


class Job(NamedTuple):
    """One run to do."""

    name: str
    run: Callable[[], Result]


def _span(shape: Shape, load: float, queries: int) -> Millis:
    tier = Tier(Plan(shape, (), FULL, Baseline.RANDOM))
    return queries / (tier.query_capacity * load) * SECOND + SECOND


def _steady(
    shape: Shape, load: float, rules: tuple[Rule, ...], entry: Baseline | Policy, name: str
) -> Result:
    queries = STEADY_QUERIES if shape.shards > 1 else 4 * STEADY_QUERIES
    phases = (Phase(_span(shape, load, queries), load),)
    tier = Tier(Plan(shape, phases, rules, entry))
    tier.run()
    return collect(tier, name)


def _lose_server(tier: Tier) -> None:
    server = tier.servers[f"{tier.shape.upstream}-3-0"]
    tier.loop.at(FAULT_AT, server.lose)


def _lose_zone(tier: Tier) -> None:
    for server in tier.servers.values():
        if server.server.zone == tier.shape.zones[0]:
            tier.loop.at(FAULT_AT, server.lose)


def _slow_server(tier: Tier) -> None:
    def slow() -> None:
        tier.servers[f"{tier.shape.upstream}-3-0"].factor = 5.0

    tier.loop.at(SLOW_FROM, slow)


def _nothing(tier: Tier) -> None:
    pass


def _with_fault(
    shape: Shape,
    load: float,
    entry: Baseline | Policy,
    name: str,
    script: Callable[[Tier], None],
    since: Millis = FAULT_AT,
) -> Result:
    tier = Tier(Plan(shape, (Phase(12 * SECOND, load),), CONFLICT, entry))
    tier.run(script)
    return collect(tier, name, since)


def _overload(entry: Baseline | Policy, returns: int = 0) -> Result:
    phases = (
        Phase(OVERLOAD_FROM, 0.5),
        Phase(OVERLOAD_UNTIL - OVERLOAD_FROM, 1.5),
        Phase(10 * SECOND, 0.5),
    )
    tier = Tier(Plan(NAVIGATOR, phases, FULL, entry, MIXED, returns=returns))
    at_start: list[tuple[int, int]] = []

    def count() -> None:
        sent = sum(item.sent for item in tier.entries)
        needed = sum(item.needed for item in tier.entries)
        at_start.append((sent, needed))

    tier.loop.at(OVERLOAD_FROM, count)
    tier.loop.at(OVERLOAD_UNTIL, count)
    tier.run()
    figures = _overload_figures(tier, at_start)
    if not returns:
        return collect(tier, "overload 1.5", extra=figures)
    figures["asked per request"] = 1.0 + tier.returned / len(tier.tally.done)
    for priority in Priority:
        figures[f"{priority} served in the end"] = 1.0 - _refused(tier, priority, OVERLOAD_FROM)
    return collect(tier, "overload 1.5, refused come back", extra=figures)


def _overload_figures(tier: Tier, counts: list[tuple[int, int]]) -> dict[str, float]:
    tally = tier.tally
    settled = OVERLOAD_FROM + 2 * SECOND
    span = OVERLOAD_UNTIL - settled
    good = tally.good(settled, OVERLOAD_UNTIL) * SECOND / span
    (sent_0, needed_0), (sent_1, needed_1) = counts
    before = percentile(tally.latencies(SECOND, OVERLOAD_FROM, Priority.URGENT), 99.0)
    during = percentile(tally.latencies(settled, OVERLOAD_UNTIL, Priority.URGENT), 99.0)
    normal = percentile(tally.latencies(SECOND, OVERLOAD_FROM), 99.0)
    back = [
        at + SECOND - OVERLOAD_UNTIL
        for at, p99 in tally.windows()
        if at >= OVERLOAD_UNTIL and p99 > 1.3 * normal and at < OVERLOAD_UNTIL + 9 * SECOND
    ]
    return {
        "goodput": good / tier.query_capacity,
        "urgent p99": during,
        "urgent p99 ratio": during / before if before else 0.0,
        "sent ratio": (sent_1 - sent_0) / max(1, needed_1 - needed_0),
        "recovery s": (max(back) if back else 0.0) / SECOND,
        "urgent refused": _refused(tier, Priority.URGENT, settled),
    }


def _refused(tier: Tier, priority: Priority, since: Millis) -> float:
    chosen = [
        done
        for done in tier.tally.done
        if done.priority is priority and since <= done.arrived < OVERLOAD_UNTIL
    ]
    return sum(1 for done in chosen if done.refusal) / max(1, len(chosen))


def _fairness(rules: tuple[Rule, ...], name: str) -> Result:
    phases = (Phase(8 * SECOND, 1.3),)
    mix = tuple(item._replace(priority=Priority.NORMAL) for item in FLOOD)
    tier = Tier(Plan(SPOTBOOK, phases, rules, DEFAULT, mix))
    tier.run()
    desk = tier.tally.latencies(caller="desk")
    refused = sum(1 for done in tier.tally.done if done.caller == "desk" and done.refusal)
    asked = sum(1 for done in tier.tally.done if done.caller == "desk")
    figures = {"desk p99": percentile(desk, 99.0), "desk refused": refused / max(1, asked)}
    return collect(tier, name, extra=figures)


def _change_version(tier: Tier, at: Millis) -> None:
    old, new = Snapshot(1, 1), Snapshot(2, 1)
    for server in tier.servers.values():
        server.snapshots = {old}

    def change() -> None:
        tier.adopt_map(2)
        for index, server in enumerate(tier.servers.values()):
            tier.loop.after(index * 2.0, server.snapshots.add, new)
            tier.loop.after(300.0 + index * 2.0, server.snapshots.discard, old)
        for index, entry in enumerate(tier.entries):
            if isinstance(entry, CoreEntry):
                tier.loop.after(90.0 + index * 80.0, entry.fetch_map)

    tier.loop.at(at, change)


def _zone_and_version(tier: Tier) -> None:
    _change_version(tier, FAULT_AT - 50.0)
    _lose_zone(tier)


def _leaving_hosts(tier: Tier) -> None:
    gone = frozenset(
        server_id for server_id in tier.servers if server_id.endswith("-0")
    ) - frozenset(f"{tier.shape.upstream}-{shard}-0" for shard in range(6, 30))

    def leave() -> None:
        for server_id in gone:
            tier.servers[server_id].leaving_since = tier.loop.now
        for index, entry in enumerate(tier.entries):
            if isinstance(entry, CoreEntry):
                tier.loop.after(100.0 * index, entry.leaving, gone)

    tier.loop.at(FAULT_AT, leave)


def _silent(tier: Tier) -> None:
    def fall_silent() -> None:
        for server in tier.servers.values():
            server.silent_share = 0.01

    tier.loop.at(FAULT_AT, fall_silent)


def _two_faults(name: str, script: Callable[[Tier], None], load: float) -> Result:
    tier = Tier(Plan(NAVIGATOR, (Phase(9 * SECOND, load),), CONFLICT, DEFAULT, MIXED))
    tier.run(script)
    return collect(tier, name, FAULT_AT)


def all_jobs() -> list[Job]:
    """Return every run of the bench."""
    jobs: list[Job] = []

    def add(name: str, call: Callable[..., Result], *args: object) -> None:
        jobs.append(Job(name, partial(call, *args)))

    for shape in (NAVIGATOR, SPOTBOOK):
        for load in LOADS:
            for kind in Baseline:
                add("steady", _steady, shape, load, FULL, kind, "steady")
            add("steady", _steady, shape, load, FULL, DEFAULT, "steady")
            add("steady", _steady, shape, load, NEARLY, DEFAULT, "steady 0.95")
        add("steady", _steady, shape, 0.5, FULL, NO_CANARIES, "steady known body")
    add("steady", _steady, NAVIGATOR, 0.3, FULL, NO_CANARIES, "steady known body")
    add("steady", _steady, NAVIGATOR, 0.7, FULL, NO_CANARIES, "steady known body")
    add("paper", _steady, NAVIGATOR, 0.7, FULL, TAKE_BACK, "steady take back")
    for shape in (KITCHENPASS, SENDELOGG):
        for entry in (Baseline.RANDOM, DEFAULT):
            add("small", _steady, shape, 0.5, FULL, entry, "steady")
    for entry in (Baseline.RANDOM, Baseline.ROUND_ROBIN, DEFAULT):
        add("loss", _with_fault, CLASHWATCH, 0.4, entry, "server lost", _lose_server)
        add("loss", _with_fault, CLASHWATCH, 0.4, entry, "zone lost", _lose_zone)
    since = SLOW_FROM + 2 * SECOND
    for entry in (Baseline.RANDOM, DEFAULT):
        for load in (0.3, 0.5):
            add("slow", _with_fault, NAVIGATOR, load, entry, "healthy", _nothing, since)
            add("slow", _with_fault, NAVIGATOR, load, entry, "slow server", _slow_server, since)
    for entry in (Baseline.ROUND_ROBIN, DEFAULT):
        add("overload", _overload, entry)
    add("overload", _overload, DEFAULT, RETURNS)
    add("fairness", _fairness, FULL, "flood without limits")
    add("fairness", _fairness, FAIR, "flood with limits")
    add("two faults", _two_faults, "zone lost and version", _zone_and_version, 0.4)
    add("two faults", _two_faults, "leaving and overload", _leaving_hosts, 1.3)
    add("two faults", _two_faults, "silent and hedging", _silent, 0.5)
    return jobs


__all__ = ["Job", "all_jobs", "entry_name"]
