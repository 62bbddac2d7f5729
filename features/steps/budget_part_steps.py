from __future__ import annotations

from random import Random

from behave import given, then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from alderhatch.core.forwarding.caller_hosts import MIN_ACTIVE_HOSTS, HostRecord
from alderhatch.core.forwarding.retry_budget import (
    OWNER_FRACTION,
    constant_fraction,
    owner_constant_fraction,
)
from alderhatch.core.forwarding.shard_owners import ShardOwners
from alderhatch.core.forwarding.target_table import TargetTable
from alderhatch.platform.settings import POLICY
from features.support.forward_model import BUDGET_LIMITS

ROUNDING = 1e-9


def fractions(alive, active):
    """Return the fraction of each host, the active hosts first."""
    return [constant_fraction(alive, active, index < active) for index in range(alive)]


@given("{alive:d} hosts, of which {active:d} are active")
def step_hosts(context, alive, active):
    context.fractions = fractions(alive, active)


@then(
    "each of these {active:d} may use {percent:d} % of a budget's constant, and all hosts"
    " at most the whole"
)
def step_parts(context, active, percent):
    assert all(
        part >= percent / 100 - ROUNDING for part in context.fractions[:active]
    ), context.fractions
    assert sum(context.fractions) <= 1 + ROUNDING, sum(context.fractions)


@then("for any number of hosts the total is kept, also while one of them replaces another one")
def step_whole(context):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @for_all(st.integers(MIN_ACTIVE_HOSTS, 60), st.integers(0, 400), st.integers(0, 60))
    def check(active, others, informed):
        before = fractions(active + others, active)
        assert sum(before) <= 1 + ROUNDING
        if not others:
            return
        # The hosts that know of the change count the old host and its successor for a while.
        after = fractions(active + others, active + 1)
        successor = after[active]
        mixed = [
            after[index] if index < informed else before[index] for index in range(active + others)
        ]
        mixed[active] = successor
        assert sum(mixed) <= 1 + ROUNDING, (active, others, informed, sum(mixed))

    check()


@then("where one host queries for all, the total is kept while another one replaces it")
def step_owned(context):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @for_all(st.integers(MIN_ACTIVE_HOSTS, 60), st.integers(0, 400))
    def check(active, others):
        alive = active + others
        owner = owner_constant_fraction(alive, active, True, True)
        rest = [
            owner_constant_fraction(alive, active, index < active, False)
            for index in range(1, alive)
        ]
        assert owner + sum(rest) <= 1 + ROUNDING
        # A host that is partitioned continues as the owner beside its successor.
        assert 2 * owner + sum(rest[1:]) <= 1 + ROUNDING
        assert owner >= 0.35

    check()


@then("a host uses the owner's fraction only one window after gathers are split")
def step_after_window(context):
    owners = ShardOwners("host-0")
    owners.set_hosts(
        (HostRecord(f"host-{index}", "zone-0", "a:1", True, 1.0) for index in range(4)), 0.0
    )
    table = TargetTable("zone-0", BUDGET_LIMITS, POLICY, Random(1))
    table.set_host_share(0.1, 4, {True: OWNER_FRACTION, False: 0.01})
    shards = tuple(f"shard-{number}" for number in range(40))
    owners.set_gathers([shards], 500.0)
    table.set_owners(owners)
    for shard in shards:
        part = OWNER_FRACTION if owners.owner(shard) == "host-0" else 0.01
        for now, wanted in ((501.0, 0.1), (500.0 + BUDGET_LIMITS.window, part)):
            found = table.budget_share(shard, now).constant
            assert abs(found - BUDGET_LIMITS.constant * wanted) < ROUNDING, (shard, now, found)
