from __future__ import annotations

from behave import given, then, when

from features.support.platform_soak import PlatformSoak
from features.support.stop_soak import StopSoak


@given("a platform tier of 4 hosts whose servers are reached through a faulty network")
def step_tier(context):
    context.make_soak = lambda seed, seconds: PlatformSoak(context, seed, seconds)


@when("the faults of seed {seed:d} go on for {seconds:d} seconds")
def step_soak(context, seed, seconds):
    context.soak = context.make_soak(seed, seconds)
    context.soak.run()


@when("planned stops of seed {seed:d} go on for {seconds:d} seconds")
def step_stop_soak(context, seed, seconds):
    context.soak = StopSoak(context, seed, seconds)
    context.soak.run()


@then("no violation was found")
def step_kept(context):
    assert not context.soak.findings, context.soak.findings
