from __future__ import annotations

from random import Random

from behave import given, then, when

from alderhatch.core.forwarding.hedge_timer import HedgeTimer
from alderhatch.core.forwarding.retry_budget import BudgetLimits
from alderhatch.core.forwarding.target_table import TargetTable
from alderhatch.platform.settings import POLICY

ROUTE = "robot-paths"
UPSTREAM = "shard"
NOW = 1000.0


@given("a route whose parts take {usual:g} ms, and {slow:g} ms at one in 5 servers")
def step_route(context, usual, slow):
    context.servers = TargetTable("zone-0", BudgetLimits(0.0, 100.0, 10_000.0), POLICY, Random(1))
    for number in range(500):
        span = slow if number % 5 == 0 else usual
        context.servers.route_latencies(ROUTE).record(span)
        context.servers.upstream(UPSTREAM).latencies.record(span)


@when("a share is sent that is due after {due:g} ms, with {left:g} of the budget left")
def step_sent(context, due, left):
    for _ in range(round(100 * (1 - left))):
        assert context.servers.spend(UPSTREAM, NOW)
    timer = HedgeTimer(ROUTE, context.servers, NOW + due)
    context.after = timer.hedge_at(UPSTREAM, NOW) - NOW


@then("another server is asked between {first:g} and {last:g} ms")
def step_asked(context, first, last):
    assert first <= context.after <= last, context.after
