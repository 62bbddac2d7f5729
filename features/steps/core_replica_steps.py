from __future__ import annotations

from collections import Counter
from random import Random

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from alderhatch.core.entry_events import (
    Answered,
    AttemptFault,
    HealthReported,
    LeaseChanged,
    LoadReport,
    ServersLeaving,
    ServerState,
)
from alderhatch.core.latency_histogram import LatencyHistogram
from alderhatch.core.owners import EntryLocation, owners_of
from alderhatch.core.policy import Policy
from alderhatch.core.replica_choice import TIE_TOLERANCE, choose_replica
from alderhatch.core.rule import Serve
from alderhatch.core.server_view import ServerView
from alderhatch.core.shard_map import Server
from features.support.core_harness import ZONES, CoreHarness, make_map


@given("a core over {shards:d} shard with {replicas:d} replica")
@given("a core over {shards:d} shard with {replicas:d} replicas")
@given("a core over {shards:d} shards with {replicas:d} replicas")
def step_core_over(context, shards, replicas):
    context.core = CoreHarness(make_map(shards, replicas), Serve(hedge=0, retries=2))


def one_query(core, fail_on=None, fault=None, span=5.0, retry_after=None):
    """Run a query to its end; attempts on one server may be made to fail."""
    query = core.arrive()
    core.now += span
    while core.out:
        attempt, send = next(iter(core.out.items()))
        if send.server_id == fail_on:
            core.fail(attempt, fault, retry_after)
        else:
            core.answer(attempt)
    return query


def fail_server(core, server_id, fault, times, retry_after=None):
    done = 0
    for _ in range(200):
        before = len(core.faults)
        one_query(core, server_id, fault, 0.0, retry_after)
        done += len(core.faults) > before
        if done >= times:
            return
    raise AssertionError(f"{server_id} was asked only {done} times")


@when("server {server_id} is known as {how}")
def step_server_known(context, server_id, how):
    core = context.core
    if how.startswith("leaving by "):
        source = how.removeprefix("leaving by ")
        core.feed(ServersLeaving(source, frozenset([server_id])))
    elif how == "draining by answer":
        fail_server(core, server_id, AttemptFault.DRAINING, 1)
    elif how == "shedding":
        fail_server(core, server_id, AttemptFault.SHED, 1, 3000.0)
    elif how == "ejected":
        fail_server(core, server_id, AttemptFault.GARBAGE, 3)
    else:
        core.feed(HealthReported(server_id, ServerState(how), None, None))


@when("the platform says that no server is leaving")
def step_none_leaving(context):
    context.core.feed(ServersLeaving("platform", frozenset()))


@when("the health endpoint of {server_id} says {state}")
def step_health_says(context, server_id, state):
    context.core.feed(HealthReported(server_id, ServerState(state), LoadReport(0, 0), "b1"))


def servers_asked(core, queries):
    asked = Counter()
    for _ in range(queries):
        start = len(core.sent)
        one_query(core)
        asked.update(send.server_id for send in core.sent[start:])
    return asked


@then("{queries:d} queries in the core all go to {server_id}")
def step_all_go(context, queries, server_id):
    asked = servers_asked(context.core, queries)
    assert asked == {server_id: queries}, asked


@then("of {queries:d} queries in the core at most {most:d} go to {server_id}")
def step_at_most_go(context, queries, most, server_id):
    asked = servers_asked(context.core, queries)
    assert asked[server_id] <= most, asked


@then("of {queries:d} queries in the core at least {least:d} go to {server_id}")
def step_at_least_go(context, queries, least, server_id):
    asked = servers_asked(context.core, queries)
    assert asked[server_id] >= least, asked


@then("a query in the core is answered in full")
def step_answered_full(context):
    query = one_query(context.core)
    outcome = context.core.finished[query]
    assert isinstance(outcome, Answered) and outcome.coverage == 1.0, outcome


@when("each server fails {times:d} times in a row")
def step_each_fails(context, times):
    core = context.core
    for _ in range(times * 3):
        core.arrive()
        while core.out:
            core.fail(next(iter(core.out)), AttemptFault.GARBAGE)


def ejected(core):
    servers = core.core.dump(core.now)["upstreams"]["ix"]["servers"]
    return [name for name, server in servers.items() if "ejected" in server["reasons"]]


@then("at most {most:d} servers are ejected in the core")
def step_ejected_most(context, most):
    assert 1 <= len(ejected(context.core)) <= most, ejected(context.core)


@then("no server is ejected in the core")
def step_none_ejected(context):
    assert not ejected(context.core)


@when("an attempt on server {server_id} goes silent")
def step_one_silent(context, server_id):
    context.core.arrive()
    context.core.fail(next(iter(context.core.out)), AttemptFault.SILENT)


@when("{times:d} attempts on server {server_id} go silent")
def step_many_silent(context, times, server_id):
    fail_server(context.core, server_id, AttemptFault.SILENT, times)


@then("the same query has asked {server_id} again")
def step_asked_again(context, server_id):
    assert [send.server_id for send in context.core.sent] == [server_id, server_id]


@given("both replicas have answered in {span:d} ms")
def step_both_answered(context, span):
    for _ in range(40):
        one_query(context.core, span=float(span))


@when("server {server_id} has restarted")
def step_restarted(context, server_id):
    for boot in ("b1", "b2"):
        context.core.feed(HealthReported(server_id, ServerState.READY, None, boot))


@when("{liar} reports no load but answers in {slow:d} ms while {other} takes {fast:d} ms")
def step_liar(context, liar, slow, other, fast):
    core = context.core
    for _ in range(300):
        core.arrive()
        attempt, send = next(iter(core.out.items()))
        core.now += float(slow if send.server_id == liar else fast)
        core.answer(attempt, load=LoadReport(0, 0))
        if "load report distrusted" in reasons_of(core, liar):
            return
        core.now += 300.0


def reasons_of(core, server_id):
    return core.core.dump(core.now)["upstreams"]["ix"]["servers"][server_id]["reasons"]


@then('server {server_id} is shown as "{reason}" in the core\'s dump')
def step_dump_reason(context, server_id, reason):
    assert reason in reasons_of(context.core, server_id), reasons_of(context.core, server_id)


@when("the lease gives {first:d} connections to ix-0-0 and {second:d} to ix-0-1")
def step_lease_shares(context, first, second):
    shares = {"ix-0-0": first, "ix-0-1": second}
    context.core.feed(LeaseChanged(1e9, shares, frozenset()))


@then(
    "{queries:d} queries in the core lead to {most:d} attempts at the same time"
    " and all are answered"
)
def step_attempts_at_once(context, queries, most):
    core = context.core
    numbers = [core.arrive() for _ in range(queries)]
    seen = 0
    while core.out:
        by_server = Counter(send.server_id for send in core.out.values())
        assert by_server["ix-0-0"] <= 2 and by_server["ix-0-1"] <= 1, by_server
        seen = max(seen, len(core.out))
        core.now += 1.0
        core.answer(next(iter(core.out)))
    assert seen == most, seen
    assert all(isinstance(core.finished[number], Answered) for number in numbers)


VIEWS = st.tuples(
    st.integers(0, 3),
    st.floats(1.0, 50.0),
    st.integers(0, 4),
    st.sampled_from(["", "", "", "shed", "drained", "ejected", "leaving", "down"]),
    st.sampled_from(ZONES),
    st.booleans(),
)


def build_view(index, fields):
    in_flight, latency, others, trouble, zone, _ = fields
    server = Server(f"x{index}", "127.0.0.1", 1, zone, 2, 3)
    view = ServerView(server, LatencyHistogram(5.0), Policy())
    view.in_flight = in_flight
    view.latency, view.latency_at = latency, 100.0
    view.other_load, view.other_load_at = float(others), 90.0
    match trouble:
        case "shed":
            view.shed_until = 200.0
        case "drained":
            view.drained_until = 200.0
        case "ejected":
            view.ejected_until = 200.0
        case "leaving":
            view.leaving.add("platform")
        case "down":
            view.health = ServerState.UNREACHABLE
    return view


def naive_costs(all_fields):
    """Return the cost of each server that may be asked, doubtful ones apart, by plain sums."""
    usual, doubtful = {}, {}
    fresh = 1 - 10.0 / Policy().report_age_ms
    for index, (in_flight, latency, others, trouble, zone, excluded) in enumerate(all_fields):
        if in_flight >= 3 or excluded or trouble in ("shed", "drained", "leaving"):
            continue
        load = in_flight + others * fresh
        cost = latency * (1 + load / 2) + (0 if zone == ZONES[0] else 1)
        (doubtful if trouble in ("ejected", "down") else usual)[f"x{index}"] = cost
    return usual or doubtful


@then("the chosen replica is one that a naive version finds best, for any servers")
def step_choice_differential(context):
    @settings(max_examples=500)
    @given_any(st.lists(VIEWS, min_size=1, max_size=5), st.integers(0, 9))
    def check(all_fields, seed):
        views = [build_view(index, fields) for index, fields in enumerate(all_fields)]
        excluded = {f"x{index}" for index, fields in enumerate(all_fields) if fields[5]}
        chosen = choose_replica(views, excluded, ZONES[0], 1.0, 100.0, Random(seed))
        costs = naive_costs(all_fields)
        if not costs:
            assert chosen is None
            return
        assert chosen is not None
        # Near estimates count as equal, one such step after another.
        slack = (1 + TIE_TOLERANCE) ** len(views)
        assert costs[chosen.server_id] <= min(costs.values()) * slack + 1e-9

    check()


@when("a query's attempt is lost")
def step_attempt_lost(context):
    core = context.core
    context.core_query = core.arrive()
    attempt, context.lost_send = next(iter(core.out.items()))
    core.fail(attempt, AttemptFault.LOST)


@then("the core sends it to the other replica")
def step_other_replica(context):
    again = context.core.sent[-1]
    assert again.shard == context.lost_send.shard
    assert again.server_id != context.lost_send.server_id


@then("the query in the core is answered in full")
def step_that_query_full(context):
    context.core.answer_all()
    outcome = context.core.finished[context.core_query]
    assert isinstance(outcome, Answered) and outcome.coverage == 1.0, outcome


@when("{queries:d} queries in the core fail on every attempt")
def step_all_fail(context, queries):
    core = context.core
    for _ in range(queries):
        core.arrive()
        core.now += 5.0
        while core.out:
            core.fail(next(iter(core.out)), AttemptFault.FAILED)


@then("the core has sent at most {most:d} shard requests")
def step_sent_most(context, most):
    assert len(context.core.sent) <= most, len(context.core.sent)


@when("{queries:d} queries in the core wait while both replicas shed for {rounds:d} rounds")
def step_wait_while_shed(context, queries, rounds):
    core = context.core
    core.rules(Serve(hedge=0, retries=10, deadline_ms=5000.0), revision=2)
    context.most_timers = 0
    for number in range(queries + rounds):
        if number < queries:
            core.arrive()
        core.advance(25.0)
        for attempt in list(core.out):
            if attempt in core.out:
                core.fail(attempt, AttemptFault.SHED, 40.0 + number % 3)
        context.most_timers = max(context.most_timers, core.core.dump(core.now)["timers"])


@then("the core never held more than {most:d} timers")
def step_most_timers(context, most):
    assert context.most_timers <= most, context.most_timers


@then("owners of a server come from its zone first and move little when an entry goes")
def step_owners(context):
    entries = [EntryLocation(f"entry-{index}", ZONES[index % 3]) for index in range(12)]
    gone = entries[0]
    fewer = entries[1:]
    for index in range(60):
        zone = ZONES[index % 3]
        near = {entry.name for entry in entries if entry.zone == zone}
        owners = owners_of(f"srv-{index}", zone, entries, 2)
        assert len(owners) == 2 and set(owners) <= near
        after = owners_of(f"srv-{index}", zone, fewer, 2)
        kept = [name for name in owners if name != gone.name]
        assert after[: len(kept)] == tuple(kept)
        assert len(owners_of(f"srv-{index}", zone, entries)) == 12


def idle_view(name, zone, latency):
    server = Server(name, "127.0.0.1", 80, zone, 2, 8)
    view = ServerView(server, LatencyHistogram(latency), Policy())
    view.record_latency(latency, 100.0)
    return view


@given("a near replica that takes {near:g} ms and a far one that takes {far:g} ms")
def step_near_and_far(context, near, far):
    context.views = [idle_view("near", ZONES[0], near), idle_view("far", ZONES[1], far)]


@when("a near one is quick enough within {enough:g} ms")
def step_near_enough(context, enough):
    context.asked = {
        choose_replica(
            context.views, (), ZONES[0], 1.0, 100.0, Random(seed), other_zone_floor=enough
        ).server_id
        for seed in range(20)
    }


@then("the {name} one is asked")
def step_asked(context, name):
    assert context.asked == {name}, context.asked
