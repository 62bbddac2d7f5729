from __future__ import annotations

from behave import given, then, when

from alderhatch.core.control.connection_shares import (
    NO_SHARE,
    ConnectionShares,
    connections_for,
)


@then("{count:d} entries may hold {each:d} connections each of {limit:d}, and {spare:d} are spare")
def step_divisor(context, count, each, limit, spare):
    assert connections_for(limit, count) == each
    assert limit - count * each == spare


@given("{count:d} entries that share the connections of each server")
def step_sharing(context, count):
    context.shares = ConnectionShares()
    context.names = [f"entry-{number}" for number in range(count)]
    for name in context.names:
        context.shares.add(name, count)


@when("a share is asked for by one more entry")
def step_one_more(context):
    context.shares.add("new", NO_SHARE)
    context.granted = context.shares.grant("new", NO_SHARE, True, 0.0)


@then("the new entry has no share yet")
def step_no_share(context):
    assert context.granted == NO_SHARE


@when("the others say one after the other that they obey the smaller share")
def step_obey(context):
    target = len(context.names) + 1
    context.after_each = []
    for name in context.names:
        assert context.shares.grant(name, len(context.names), True, 0.0) == target
    for name in context.names:
        context.shares.grant(name, target, True, 0.0)
        context.after_each.append(context.shares.grant("new", NO_SHARE, True, 0.0))


@then("the new entry has a share only after the last of them")
def step_last(context):
    count = len(context.names)
    assert context.after_each == [NO_SHARE] * (count - 1) + [count + 1]


@when("one of them is taken out at {at:d} ms with connections that may be open until {until:d} ms")
def step_taken_out(context, at, until):
    context.shares.remove("entry-0", float(until))


@then("the other one keeps its share at {before:d} ms and has all at {after:d} ms")
def step_ghost(context, before, after):
    assert context.shares.grant("entry-1", 2, True, float(before)) == 2
    assert context.shares.grant("entry-1", 2, True, float(after)) == 1


@given("2 entries of whose shares a new leader knows nothing")
def step_unknown(context):
    context.shares = ConnectionShares()
    for name in ("entry-0", "entry-1"):
        context.shares.add(name, None)


@when("one of them asks for a larger share")
def step_larger(context):
    context.granted = context.shares.grant("entry-0", 3, True, 0.0)


@then("it keeps its share until the other has said what it obeys")
def step_vouched(context):
    assert context.granted == 3
    assert context.shares.grant("entry-1", 2, True, 0.0) == 2
    assert context.shares.grant("entry-0", 3, True, 0.0) == 2
