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
FAULTS = ["join", "kill", "tick", "send", "renewal", "reply", "drop", "leader", "isolate", "owners"]


def _schedules(*always):
    """Fault-free rounds mixed with a few kinds of faults, as all kinds at once cancel out."""
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


@then("the lease guarantees hold in {count:d} random schedules")
def step_lease_schedules(context, count):
    _check_schedules(_schedules(), [], count)


@then("no server exceeds its connection limit in {count:d} random schedules of owners")
def step_owner_schedules(context, count):
    _check_schedules(_schedules("owners"), [("owners", 1)], count)


def _check_schedules(schedules, first_events, count):
    served = []

    @settings(max_examples=count)
    @for_all(schedules)
    def check(schedule):
        model = run_events([*first_events, ("join", 0), ("join", 1), ("join", 2), *schedule])
        model.run_without_faults()
        count_now = len(model.entries)
        for entry in model.entries.values():
            assert entry.lease.may_serve(entry.clock(model.now)), entry.name
            assert _has_target_share(entry.lease, model.plan(), count_now), entry.lease.share
            assert entry.lease.view.version == model.state.feed.version
        served.append(count_now)

    check()
    assert len(served) >= count and max(served) >= 4


def _has_target_share(lease, plan, entries):
    if plan is None:
        return (lease.share, lease.plans) == (entries, ())
    return (lease.share, lease.plans) == (FULL_SHARE, (plan.digest,))


def _grant(sequence, version=0, lease=3000.0, share=1):
    return Grant(sequence, lease, version, share, "")


@then("the lease guarantees hold in {count:d} simulations of an unreliable network")
def step_lease_simulations(context, count):
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


@then('the entry must "{action}" at {now:d} ms')
def step_lease_action(context, action, now):
    assert context.lease.may_serve(float(now)) == (action == "serve")


@given("a lease held in term 5 at version 7")
def step_lease_held(context):
    context.lease = EntryLease(ME)
    renewal = context.lease.renewal(0.0)
    updates = [UPDATES.encode(Update(base, base + 1, 0, [])) for base in range(7)]
    context.lease.apply_grant(GrantReply(5, _grant(renewal.sequence, 7), updates), 1.0)
    assert context.lease.view.version == 7
    context.end = context.lease.serve_until


@when("a grant arrives that {fault}")
def step_faulty_grant(context, fault):
    sequence = context.lease.renewal(1000.0).sequence
    good = GrantReply(5, _grant(sequence, 7), [])
    replies = {
        "answers an earlier renewal": good._replace(grant=_grant(sequence - 1, 7)),
        "is of term 4": good._replace(term=4),
        "is at version 6": good._replace(grant=_grant(sequence, 6)),
        "lacks updates up to its version": good._replace(grant=_grant(sequence, 9)),
        "has no lease before registration": good._replace(grant=_grant(sequence, 7, 0.0)),
    }
    context.outcome = context.lease.apply_grant(replies[fault], 1001.0)


@then('the grant is "{outcome}" and the end of the lease is unchanged')
def step_grant_outcome(context, outcome):
    assert context.outcome == outcome
    assert context.lease.serve_until == context.end
    assert context.lease.view.version == 7


@when("an update to version 8 is pushed before the answer to a renewal at version 7")
def step_pushed(context):
    sequence = context.lease.renewal(1500.0).sequence
    assert context.lease.apply_pushed_updates([UPDATES.encode(Update(7, 8, 0, []))])
    assert context.lease.serve_until == context.end
    context.outcome = context.lease.apply_grant(GrantReply(5, _grant(sequence, 7), []), 1501.0)


@then('the grant is "{outcome}" and the view has version {version:d}')
def step_pushed_outcome(context, outcome, version):
    assert (context.outcome, context.lease.view.version) == (outcome, version)
    assert context.lease.serve_until > context.end


@when("an update that is not based on version 8 is pushed")
def step_pushed_gap(context):
    context.is_advanced = context.lease.apply_pushed_updates(
        [UPDATES.encode(Update(10, 11, 0, []))]
    )


@then("the view keeps version {version:d} and the update is dropped")
def step_update_dropped(context, version):
    assert (context.lease.view.version, context.is_advanced) == (version, False)


@given("an entry with a lease of the previous leader")
def step_registered_entry(context):
    context.key = EntryKey("entry-1", "run-1")
    context.state = ControlState()


@when("a new leader takes over at {now:d} ms and no entry renews")
def step_new_leader(context, now):
    context.leases = LeaseTable(3000.0, [context.key], None, float(now))


@then("the new leader waits for the entry at {now:d} ms")
def step_waits(context, now):
    assert context.leases.unconfirmed_entries(0, float(now)) == ["entry-1"]
    assert context.leases.take_expired(float(now)) == []


@then("it returns the lease as expired at {now:d} ms, only once")
def step_expired(context, now):
    assert context.leases.unconfirmed_entries(0, float(now)) == []
    assert context.leases.take_expired(float(now)) == [context.key]
    assert context.leases.take_expired(float(now)) == []


@then("{entries:d} entries send at most {renewals:d} early renewals a second")
def step_renewal_rate(context, entries, renewals):
    assert entries * 1000.0 / min_renewal_interval(entries) <= renewals
