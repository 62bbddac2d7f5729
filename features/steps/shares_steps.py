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
from alderhatch.core.control.lease_table import SHARE_GRACE_MS, LeaseTable
from alderhatch.core.control.operations import EntryKey


@then("{count:d} entries may hold {each:d} connections each of {limit:d}, and {spare:d} are unused")
def step_divisor(context, count, each, limit, spare):
    assert connections_per_entry(limit, count) == each
    assert limit - count * each == spare


@given("{count:d} entries that share the connections of each server")
def step_sharing(context, count):
    context.shares = ConnectionShares()
    context.names = [f"entry-{number}" for number in range(count)]
    for name in context.names:
        context.shares.add(name, Share(count))


@when("one more entry requests a share")
def step_one_more(context):
    context.shares.add("new", Share(NO_SHARE))
    context.granted = context.shares.grant("new", Share(NO_SHARE), True, 0.0)


@then("the new entry has no share yet")
def step_no_share(context):
    assert context.granted == Share(NO_SHARE)


@when("the others confirm the smaller share one after the other")
def step_confirm(context):
    target = len(context.names) + 1
    context.after_each = []
    for name in context.names:
        assert context.shares.grant(name, Share(len(context.names)), True, 0.0) == Share(target)
    for name in context.names:
        context.shares.grant(name, Share(target), True, 0.0)
        context.after_each.append(context.shares.grant("new", Share(NO_SHARE), True, 0.0))


@then("the new entry has a share only after the last confirmation")
def step_last(context):
    count = len(context.names)
    assert context.after_each == [Share(NO_SHARE)] * (count - 1) + [Share(count + 1)]


@when("one of them is removed at {at:d} ms with connections that may be open until {until:d} ms")
def step_removed(context, at, until):
    context.shares.remove("entry-0", float(until))


@then("the other one keeps its share at {before:d} ms and has the full share at {after:d} ms")
def step_share_reassigned(context, before, after):
    assert context.shares.grant("entry-1", Share(2), True, float(before)) == Share(2)
    assert context.shares.grant("entry-1", Share(2), True, float(after)) == Share(1)


@given("2 entries whose shares are unknown to a new leader")
def step_unknown(context):
    context.shares = ConnectionShares()
    for name in ("entry-0", "entry-1"):
        context.shares.add(name, None)


@when("one of them requests a larger share")
def step_larger(context):
    context.granted = context.shares.grant("entry-0", Share(3), True, 0.0)


@then("it keeps its share until the other has reported its share")
def step_share_increased(context):
    assert context.granted == Share(3)
    assert context.shares.grant("entry-1", Share(2), True, 0.0) == Share(2)
    assert context.shares.grant("entry-0", Share(3), True, 0.0) == Share(2)


def _renewal(sequence, share):
    return Renewal(sequence, "entry-1", "run-1", "ulven", "10.0.0.1", 8080, 0, share, True)


@given("a leader that starts at {now:d} ms, {since:d} ms after an entry was removed")
def step_leader_starts(context, now, since):
    key = EntryKey("entry-1", "run-1")
    context.leases = LeaseTable(3000.0, [key], float(since), float(now))


@when("an entry with a third renews at {first:d} ms and at {second:d} ms")
def step_renews_twice(context, first, second):
    grants = [
        context.leases.renew(_renewal(sequence, 3), 0, float(now))
        for sequence, now in enumerate((first, second))
    ]
    context.granted = [grant.share for grant in grants]


@then("its share stays a third and is then increased to the full share")
def step_raised(context):
    assert context.granted == [3, 1]


@given("an entry with a third that is disconnected")
def step_disconnected(context):
    identity = EntryIdentity("entry-1", "run-1", "ulven", "10.0.0.1", 8080)
    context.lease = EntryLease(identity)
    sequence = context.lease.renewal(0.0).sequence
    context.lease.apply_grant(GrantReply(1, Grant(sequence, 3000.0, 0, 3, ""), []), 1.0)
    assert context.lease.share == 3


@when("the answer to a renewal arrives after it gave up its share")
def step_late_share(context):
    given_up = 3000.0 + SHARE_GRACE_MS
    sequence = context.lease.renewal(given_up - 1).sequence
    reply = GrantReply(1, Grant(sequence, 3000.0, 0, 3, ""), [])
    context.lease.apply_grant(reply, given_up)


@then("it has a lease and no share")
def step_no_share_taken(context):
    assert context.lease.may_serve(3000.0 + SHARE_GRACE_MS)
    assert context.lease.share == NO_SHARE
