from __future__ import annotations

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from alderhatch.core.control.connection_shares import FULL_SHARE
from alderhatch.core.control.control_state import ControlState
from alderhatch.core.control.entry_lease import EntryIdentity, EntryLease
from alderhatch.core.control.feed import UPDATES, Update
from alderhatch.core.control.lease_messages import Grant, GrantReply
from alderhatch.core.control.lease_table import LeaseTable
from alderhatch.core.control.operations import EntryKey
from alderhatch.core.control.renewal_interval import min_renewal_interval
from features.support.lease_model import run_events
from features.support.lease_simulation import run_simulation

ME = EntryIdentity("entry-1", "run-1", "waco-hall", "10.0.0.1", 8080)
FAULTS = ["join", "kill", "tick", "send", "renewal", "reply", "drop", "leader", "alone", "owners"]


def _schedules(*always):
    """Rounds without faults, mixed with a few kinds of fault: all kinds at once undo each other."""
    faults = st.lists(st.sampled_from(FAULTS), min_size=1, max_size=4, unique=True)
    return faults.flatmap(
        lambda kinds: st.lists(
            st.tuples(
                st.sampled_from([*kinds, *always, "round", "round", "change"]), st.integers(0, 99)
            ),
            min_size=20,
            max_size=100,
        )
    )


@then("leases keep their promises under {count:d} random schedules")
def step_lease_schedules(context, count):
    _check_schedules(_schedules(), [], count)


@then("no server has a connection too many under {count:d} random schedules of owners")
def step_owner_schedules(context, count):
    _check_schedules(_schedules("owners"), [("owners", 1)], count)


def _check_schedules(schedules, begin, count):
    served = []

    @settings(max_examples=count)
    @for_all(schedules)
    def check(schedule):
        model = run_events([*begin, ("join", 0), ("join", 1), ("join", 2), *schedule])
        model.run_without_faults()
        count_now = len(model.entries)
        for entry in model.entries.values():
            assert entry.lease.may_serve(entry.clock(model.now)), entry.name
            assert _has_its_share(entry.lease, model.plan(), count_now), entry.lease.share
            assert entry.lease.view.version == model.state.feed.version
        served.append(count_now)

    check()
    assert len(served) >= count and max(served) >= 4


def _has_its_share(lease, plan, entries):
    if plan is None:
        return (lease.share, lease.plans) == (entries, ())
    return (lease.share, lease.plans) == (FULL_SHARE, (plan.digest,))


def _grant(sequence, version=0, lease=3000.0, share=1):
    return Grant(sequence, lease, version, share, "")


@then("leases keep their promises in {count:d} spells of bad weather")
def step_lease_weather(context, count):
    served = 0
    for seed in range(count):
        model = run_simulation(seed)
        for entry in model.entries.values():
            if not entry.lease.is_leaving:
                assert entry.lease.may_serve(entry.clock(model.now)), (seed, entry.name)
                assert entry.lease.share, (seed, entry.name)
                assert entry.lease.view.version == model.state.feed.version, (seed, entry.name)
                served += 1
    assert served >= count


@given("a lease of 3000 ms whose renewal was sent at {sent:d} ms and answered at {answered:d} ms")
def step_lease_answered(context, sent, answered):
    context.lease = EntryLease(ME)
    renewal = context.lease.renewal(float(sent))
    reply = GrantReply(1, _grant(renewal.sequence), [])
    context.lease.apply_grant(reply, float(answered))


@then('the lease says "{may}" at {now:d} ms')
def step_lease_may(context, may, now):
    assert context.lease.may_serve(float(now)) == (may == "serve")


@given("a lease held in term 5 at version 7")
def step_lease_held(context):
    context.lease = EntryLease(ME)
    renewal = context.lease.renewal(0.0)
    updates = [UPDATES.encode(Update(base, base + 1, 0, [])) for base in range(7)]
    context.lease.apply_grant(GrantReply(5, _grant(renewal.sequence, 7), updates), 1.0)
    assert context.lease.view.version == 7
    context.end = context.lease.serve_until


@when("a grant comes that {fault}")
def step_faulty_grant(context, fault):
    sequence = context.lease.renewal(1000.0).sequence
    good = GrantReply(5, _grant(sequence, 7), [])
    replies = {
        "answers an earlier renewal": good._replace(grant=_grant(sequence - 1, 7)),
        "is of term 4": good._replace(term=4),
        "is at version 6": good._replace(grant=_grant(sequence, 6)),
        "lacks the updates to its version": good._replace(grant=_grant(sequence, 9)),
        "says that it is not registered yet": good._replace(grant=_grant(sequence, 7, 0.0)),
    }
    context.taken = context.lease.apply_grant(replies[fault], 1001.0)


@then('the lease takes it as "{taken}" and its end is unchanged')
def step_grant_taken(context, taken):
    assert context.taken == taken
    assert context.lease.serve_until == context.end
    assert context.lease.view.version == 7


@when("news of version 8 are pushed before the answer to a renewal at version 7")
def step_pushed(context):
    sequence = context.lease.renewal(1500.0).sequence
    assert context.lease.apply_pushed_updates([UPDATES.encode(Update(7, 8, 0, []))])
    assert context.lease.serve_until == context.end
    context.taken = context.lease.apply_grant(GrantReply(5, _grant(sequence, 7), []), 1501.0)


@then('the lease takes it as "{taken}" and has version {version:d}')
def step_pushed_taken(context, taken, version):
    assert (context.taken, context.lease.view.version) == (taken, version)
    assert context.lease.serve_until > context.end


@when("news that do not follow on it are pushed")
def step_pushed_gap(context):
    context.is_news = context.lease.apply_pushed_updates([UPDATES.encode(Update(10, 11, 0, []))])


@then("the lease has version {version:d} and no news")
def step_no_news(context, version):
    assert (context.lease.view.version, context.is_news) == (version, False)


@given("an entry with a lease of the leader before")
def step_registered_entry(context):
    context.key = EntryKey("entry-1", "run-1")
    context.state = ControlState()


@when("a new leader takes over at {now:d} ms and nobody renews")
def step_new_leader(context, now):
    context.leases = LeaseTable(3000.0, [context.key], None, float(now))


@then("it waits for the entry at {now:d} ms")
def step_waits(context, now):
    assert context.leases.unconfirmed_entries(0, float(now)) == ["entry-1"]
    assert context.leases.take_expired(float(now)) == []


@then("it takes the lease as run out at {now:d} ms and not a second time")
def step_run_out(context, now):
    assert context.leases.unconfirmed_entries(0, float(now)) == []
    assert context.leases.take_expired(float(now)) == [context.key]
    assert context.leases.take_expired(float(now)) == []


@then("{entries:d} entries hurried by news make at most {renewals:d} renewals a second")
def step_pace(context, entries, renewals):
    assert entries * 1000.0 / min_renewal_interval(entries) <= renewals
