from __future__ import annotations

from behave import given, then, when

from alderhatch.clock import SECOND
from features.support.busy_hosts import BusyHosts, traffic
from features.support.forward_model import scatter_route

LIGHT_WORK_MS = 7.5
HEAVY_WORK_MS = 22.5
LIGHT_FRACTION = 0.25
END_MS = 4 * SECOND
"""Time after the last request in which all of them end."""


@given("{hosts:d} hosts, {strong:d} of them strong, and gathers over {shards:d} shards")
def step_tier(context, hosts, strong, shards):
    names = [f"shard{number:03}" for number in range(shards)]
    context.light = scatter_route(
        names, name="light", path_prefix="/light/", target_latency=70.2, timeout=1028.0
    )
    context.heavy = scatter_route(names, name="heavy", target_latency=147.0)
    context.model = BusyHosts(hosts, strong, (context.light, context.heavy), names, seed=1)
    context.model.work_by_route = {"light": LIGHT_WORK_MS, "heavy": HEAVY_WORK_MS}


@when("callers send {rate:d} gathers a second, a quarter of them light, for {seconds:d} seconds")
def step_traffic(context, rate, seconds):
    shares = {context.light: LIGHT_FRACTION, context.heavy: 1.0 - LIGHT_FRACTION}
    traffic(context.model, shares, rate, seconds)
    context.model.run_until(seconds * SECOND + END_MS)


@then("{kind} gathers earn at least {share:g} of their credit from second {second:d} on")
def step_earned(context, kind, share, second):
    route = context.light if kind == "light" else context.heavy
    earned = context.model.credits(route, second * SECOND).values()
    assert earned
    assert sum(earned) / len(earned) >= share, sum(earned) / len(earned)
