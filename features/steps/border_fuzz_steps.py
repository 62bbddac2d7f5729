from __future__ import annotations

from behave import given, then, when

from features.support.border_fuzz import BorderFuzz


@given("a platform tier of 4 hosts with traffic")
def step_tier(context):
    context.make_fuzz = lambda *args: BorderFuzz(context, *args)


@when("odd inputs of seed {seed:d} reach its border {border} for {seconds:d} seconds")
def step_fuzz(context, seed, border, seconds):
    context.fuzz = context.make_fuzz(seed, seconds, border)
    context.fuzz.run()


@then("no input has done harm")
def step_no_harm(context):
    assert not context.fuzz.findings, context.fuzz.findings
