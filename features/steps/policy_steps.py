from __future__ import annotations

from behave import then, when

from alderhatch.clock import SECOND
from bench.policy import scenarios
from bench.policy.baseline_entry import Baseline
from bench.policy.results import collect
from bench.policy.shapes import NAVIGATOR
from bench.policy.tier import Phase, Plan, Tier

SCRIPTS = {
    "zone lost and version": (scenarios._zone_and_version, 0.4),
    "leaving and overload": (scenarios._leaving_hosts, 1.3),
    "silent and hedging": (scenarios._silent, 0.5),
}


def steady(entry, load, span=3 * SECOND, seed=1):
    tier = Tier(Plan(NAVIGATOR, (Phase(span, load),), scenarios.FULL, entry, seed=seed))
    tier.run()
    return collect(tier, "steady")


@when('the policy runs over 12 entries through "{scenario}"')
def step_policy_scenario(context, scenario):
    script, load = SCRIPTS[scenario]
    phases = (Phase(scenarios.FAULT_AT + 4.5 * SECOND, load),)
    plan = Plan(NAVIGATOR, phases, scenarios.CONFLICT, scenarios.DEFAULT, scenarios.MIXED)
    context.tier = Tier(plan)
    context.tier.run(script)


@then("the policy broke no promise and answered at least {share:g} of the queries in full")
def step_policy_promises(context, share):
    assert not context.tier.faults, context.tier.faults[:5]
    done = context.tier.tally.done
    whole = sum(1 for item in done if item.coverage >= item.wanted)
    assert whole >= share * len(done) > 100, (whole, len(done), context.tier.tally.refusals)


@when("the policy runs twice with one seed")
def step_policy_twice(context):
    context.policy_runs = [steady(scenarios.DEFAULT, 0.5, seed=3) for _ in range(2)]


@then("both runs of the policy give the same figures")
def step_policy_same(context):
    first, second = context.policy_runs
    assert first == second


@when("the policy and a naive entry meet the same arrivals at load {load:g}")
def step_policy_naive(context, load):
    span = 6 * SECOND
    context.ours = steady(scenarios.DEFAULT, load, span)
    context.naive = steady(Baseline.RANDOM, load, span)


@then("the policy's p99 is below {ratio:g} of the naive one's with at most {extra:g} extra load")
def step_policy_ratio(context, ratio, extra):
    assert context.ours.p99 < ratio * context.naive.p99, (context.ours, context.naive)
    assert context.ours.sent_ratio - 1 <= extra
