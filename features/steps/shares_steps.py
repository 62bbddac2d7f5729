from __future__ import annotations

from behave import given, then, when

from alderhatch.core.control.connection_shares import (
    NO_SHARE,
    ConnectionShares,
    Share,
    connections_per_entry,
)
from alderhatch.core.control.entry_lease import EntryIdentity, EntryLease
from alderhatch.core.control.lease_messages import Grant, GrantReply, Renewal
from alderhatch.core.control.lease_table import SHARE_GRACE, LeaseTable
from alderhatch.core.control.operations import EntryKey


@then("{count:d} entries may hold {each:d} connections each of {limit:d}, and {spare:d} are spare")
def step_divisor(context, count, each, limit, spare):
    assert connections_per_entry(limit, count) == each
    assert limit - count * each == spare


@given("{count:d} entries that share the connections of each server")
def step_sharing(context, count):
    context.shares = ConnectionShares()
    context.names = [f"entry-{number}" for number in range(count)]
    for name in context.names:
        context.shares.add(name, Share(count))


@when("a share is asked for by one more entry")
def step_one_more(context):
    context.shares.add("new", Share(NO_SHARE))
    context.granted = context.shares.grant("new", Share(NO_SHARE), True, 0.0)


@then("the new entry has no share yet")
def step_no_share(context):
    assert context.granted == Share(NO_SHARE)


@when("the others say one after the other that they obey the smaller share")
def step_obey(context):
    target = len(context.names) + 1
    context.after_each = []
    for name in context.names:
        assert context.shares.grant(name, Share(len(context.names)), True, 0.0) == Share(target)
    for name in context.names:
        context.shares.grant(name, Share(target), True, 0.0)
        context.after_each.append(context.shares.grant("new", Share(NO_SHARE), True, 0.0))


@then("the new entry has a share only after the last of them")
def step_last(context):
    count = len(context.names)
    assert context.after_each == [Share(NO_SHARE)] * (count - 1) + [Share(count + 1)]


@when("one of them is taken out at {at:d} ms with connections that may be open until {until:d} ms")
def step_taken_out(context, at, until):
    context.shares.remove("entry-0", float(until))


@then("the other one keeps its share at {before:d} ms and has all at {after:d} ms")
def step_ghost(context, before, after):
    assert context.shares.grant("entry-1", Share(2), True, float(before)) == Share(2)
    assert context.shares.grant("entry-1", Share(2), True, float(after)) == Share(1)


@given("2 entries of whose shares a new leader knows nothing")
def step_unknown(context):
    context.shares = ConnectionShares()
    for name in ("entry-0", "entry-1"):
        context.shares.add(name, None)


@when("one of them asks for a larger share")
def step_larger(context):
    context.granted = context.shares.grant("entry-0", Share(3), True, 0.0)


@then("it keeps its share until the other has said what it obeys")
def step_vouched(context):
    assert context.granted == Share(3)
    assert context.shares.grant("entry-1", Share(2), True, 0.0) == Share(2)
    assert context.shares.grant("entry-0", Share(3), True, 0.0) == Share(2)


def _renewal(sequence, share):
    return Renewal(sequence, "entry-1", "run-1", "ulven", "10.0.0.1", 8080, 0, share, True)


@given("a leader that begins at {now:d} ms, {since:d} ms after an entry was taken out")
def step_begins(context, now, since):
    key = EntryKey("entry-1", "run-1")
    context.leases = LeaseTable(3000.0, [key], float(since), float(now))


@when("an entry that obeys a third renews at {first:d} ms and at {second:d} ms")
def step_renews_twice(context, first, second):
    grants = [
        context.leases.renew(_renewal(sequence, 3), 0, float(now))
        for sequence, now in enumerate((first, second))
    ]
    context.granted = [grant.share for grant in grants]


@then("its share stays a third and then is raised to all")
def step_raised(context):
    assert context.granted == [3, 1]


@given("an entry that obeys a third and is cut off")
def step_cut_off(context):
    identity = EntryIdentity("entry-1", "run-1", "ulven", "10.0.0.1", 8080)
    context.lease = EntryLease(identity)
    sequence = context.lease.renewal(0.0).sequence
    context.lease.apply_grant(GrantReply(1, Grant(sequence, 3000.0, 0, 3, ""), []), 1.0)
    assert context.lease.share == 3


@when("the answer to a renewal comes after it gave up its share")
def step_late_share(context):
    given_up = 3000.0 + SHARE_GRACE
    sequence = context.lease.renewal(given_up - 1).sequence
    reply = GrantReply(1, Grant(sequence, 3000.0, 0, 3, ""), [])
    context.lease.apply_grant(reply, given_up)


@then("it has a lease and no share")
def step_no_share_taken(context):
    assert context.lease.may_serve(3000.0 + SHARE_GRACE)
    assert context.lease.share == NO_SHARE
