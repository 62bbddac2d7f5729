from __future__ import annotations

from random import Random

from behave import given, then
from hypothesis import given as any_of
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
from features.support.forward_model import TERMS

ROUNDING = 1e-9


def parts(alive, named):
    """Return the part of each host, those first that callers are sent to."""
    return [constant_fraction(alive, named, index < named) for index in range(alive)]


@given("{alive:d} hosts, of which callers are sent to {named:d}")
def step_hosts(context, alive, named):
    context.parts = parts(alive, named)


@then(
    "each of these {named:d} may use {percent:d} % of a budget's constant, and all together no more"
    " than the whole"
)
def step_parts(context, named, percent):
    assert all(part >= percent / 100 - ROUNDING for part in context.parts[:named]), context.parts
    assert sum(context.parts) <= 1 + ROUNDING, sum(context.parts)


@then("for any number of hosts the whole is kept, also while one of them takes another one's place")
def step_whole(context):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @any_of(st.integers(MIN_ACTIVE_HOSTS, 60), st.integers(0, 400), st.integers(0, 60))
    def check(named, others, told):
        before = parts(named + others, named)
        assert sum(before) <= 1 + ROUNDING
        if not others:
            return
        # Those that were told of the change count the old one and its successor for a while.
        after = parts(named + others, named + 1)
        successor = after[named]
        mixed = [after[index] if index < told else before[index] for index in range(named + others)]
        mixed[named] = successor
        assert sum(mixed) <= 1 + ROUNDING, (named, others, told, sum(mixed))

    check()


@then("where one host asks for all, the whole is kept while another one takes its place")
def step_owned(context):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @any_of(st.integers(MIN_ACTIVE_HOSTS, 60), st.integers(0, 400))
    def check(named, others):
        alive = named + others
        owner = owner_constant_fraction(alive, named, True, True)
        rest = [
            owner_constant_fraction(alive, named, index < named, False) for index in range(1, alive)
        ]
        assert owner + sum(rest) <= 1 + ROUNDING
        # A host that is cut off goes on as the owner beside its successor.
        assert 2 * owner + sum(rest[1:]) <= 1 + ROUNDING
        assert owner >= 0.35

    check()


@then("a host takes the owner's part only once a window has passed since gathers are divided")
def step_after_window(context):
    owners = ShardOwners("host-0")
    owners.set_hosts(
        (HostRecord(f"host-{index}", "zone-0", "a:1", True, 1.0) for index in range(4)), 0.0
    )
    table = TargetTable("zone-0", TERMS, POLICY, Random(1))
    table.set_host_share(0.1, 4, {True: OWNER_FRACTION, False: 0.01})
    shards = tuple(f"shard-{number}" for number in range(40))
    owners.set_gathers([shards], 500.0)
    table.set_owners(owners)
    for shard in shards:
        part = OWNER_FRACTION if owners.owner(shard) == "host-0" else 0.01
        for now, wanted in ((501.0, 0.1), (500.0 + TERMS.window, part)):
            found = table.budget_share(shard, now).constant
            assert abs(found - TERMS.constant * wanted) < ROUNDING, (shard, now, found)
