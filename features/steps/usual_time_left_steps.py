from __future__ import annotations

from behave import given, then, when

from alderhatch.core.forwarding.usual_time_left import UsualTimeLeft


@given("a route on which {count:d} requests had {left:g} ms left")
def step_route(context, count, left):
    context.usual = UsualTimeLeft()
    step_unusual(context, count, left)


@given("after them {count:d} requests had {left:g} ms left")
def step_unusual(context, count, left):
    for _ in range(count):
        context.usual.used_before(left)


@when("a request with {left:g} ms left arrives")
def step_arrives(context, left):
    context.used = context.usual.used_before(left)


@then("it has used {used:g} ms before")
def step_used(context, used):
    assert context.used == used, context.used
