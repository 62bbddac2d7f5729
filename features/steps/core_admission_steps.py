from __future__ import annotations

from collections import Counter

from behave import given, then, when

from alderhatch.core.crash_detector import fingerprint_of
from alderhatch.core.entry_events import (
    Answered,
    CallerGone,
    LeaseChanged,
    LoadReport,
    QueryArrived,
    StopRequested,
)
from alderhatch.core.policy import Policy
from alderhatch.core.priority import Priority
from alderhatch.core.rule import Refuse, Rule, Serve, When
from features.support.core_harness import CoreHarness, make_map, make_request

ONE_QUERY_POLICY = Policy(canaries=0, batch_share=0.001, normal_share=0.001)


@given('an entry core that "{state}"')
def step_core_in_state(context, state):
    core = context.core = CoreHarness(make_map(), Serve(hedge=0))
    context.arriving_request = make_request(77)
    match state:
        case "is stopping":
            core.feed(StopRequested())
        case "has an expired lease":
            core.feed(LeaseChanged(1000.0, {}, frozenset()))
            core.advance(1000.0)
        case "has no shard map":
            context.core = CoreHarness(None, Serve())
        case "has a rule that refuses the request":
            core.rules(Refuse("closed for the month"), revision=2)
        case "has quarantined the body":
            bodies = frozenset([fingerprint_of(context.arriving_request)])
            core.feed(LeaseChanged(1e9, {}, bodies))
        case "has seen no answer faster than 50 ms":
            for _ in range(20):
                core.arrive()
                core.now += 50.0
                core.answer_all()
            context.arriving_request = make_request(77, deadline_ms=20.0)
        case _:
            raise AssertionError(state)


@when("a request arrives at the core")
def step_request_arrives(context):
    context.sent_before = len(context.core.sent)
    context.core_query = 77
    context.core.feed(QueryArrived(77, context.arriving_request))


@then("the core refuses it at once as {kind} and sends no shard request for it")
def step_refused_unsent(context, kind):
    failure = context.core.finished[context.core_query].failure
    assert failure.kind == kind, failure
    assert failure.answer.ran == "not_run"
    assert len(context.core.sent) == context.sent_before


@given("a core with a running query")
def step_running_query(context):
    context.core = CoreHarness(make_map(), Serve(hedge=0))
    context.core_query = context.core.arrive()


@when("the core is told to stop")
def step_told_to_stop(context):
    context.core.feed(StopRequested())


@when("the core loses its lease")
def step_loses_lease(context):
    context.core.feed(LeaseChanged(context.core.now + 1.0, {}, frozenset()))
    context.core.advance(5.0)


@then("the running query is answered in full")
def step_running_query_answered(context):
    context.core.answer_all()
    outcome = context.core.finished[context.core_query]
    assert isinstance(outcome, Answered) and outcome.coverage == 1.0, outcome


@when("the core's lease is renewed")
def step_renewed(context):
    context.core.feed(LeaseChanged(context.core.now + 3000.0, {}, frozenset()))


@then("a new request at the core is sent")
def step_request_sent(context):
    context.core.arrive()
    assert len(context.core.out) == 4


@given("a core whose limit admits one query")
def step_one_query_core(context):
    context.core = CoreHarness(make_map(), policy=ONE_QUERY_POLICY)
    start_first_query(context.core)


@given("a core whose limit admits one query and whose queue holds {size:d}")
def step_one_query_core_with_queue(context, size):
    context.core = CoreHarness(make_map(), policy=ONE_QUERY_POLICY._replace(queue=size))
    start_first_query(context.core)


def start_first_query(core):
    core.rules(Serve(hedge=0, deadline_ms=5000.0, max_load_share=0.01))
    core.running_query = core.arrive(kind="first")


@when('queries are queued at the core as "{items}"')
def step_queries_queued(context, items):
    context.query_by_item = {}
    context.started_at = context.core.now
    for item in items.split():
        priority, deadline = item.split("/")
        context.query_by_item[item] = context.core.arrive(
            priority=Priority(priority), deadline_ms=float(deadline), kind=item
        )


@then('the core starts them in the order "{items}"')
def step_start_order(context, items):
    core = context.core
    while core.out:
        core.answer(next(iter(core.out)))
    order = list(dict.fromkeys(send.request.kind for send in core.sent))
    assert order == ["first", *items.split()], order


@then('the request "{item}" is refused as overloaded with a retry-after time')
def step_item_refused(context, item):
    failure = context.core.finished[context.query_by_item[item]].failure
    assert failure.kind == "overloaded", failure
    assert failure.answer.ran == "not_run"
    assert failure.retry_after_ms >= 50, failure
    assert all(send.request.kind != item for send in context.core.sent)


@when("the core's running query takes {span:d} ms")
def step_running_takes(context, span):
    context.first_refusal_times = []
    core = context.core
    for _ in range(span):
        core.advance(1.0)
        if len(core.finished) and not context.first_refusal_times:
            context.first_refusal_times.append(core.now)
    core.answer_all()


@then("the core refused it before {span:d} ms had passed")
def step_refused_before(context, span):
    assert context.first_refusal_times[0] < context.started_at + span, context.first_refusal_times


@given("a core with a rule of {rate:d} requests a second for each caller")
def step_rate_rule(context, rate):
    context.core = CoreHarness(make_map(slots=20), Serve(hedge=0, caller_rate=float(rate)))


@when('caller "{first}" sends {many:d} requests at once and caller "{second}" sends {few:d}')
def step_callers_send(context, first, many, second, few):
    for caller, count in ((first, many), (second, few)):
        for _ in range(count):
            context.core.arrive(caller=caller)


@then('{many:d} of caller "{first}" and {few:d} of caller "{second}" are sent')
def step_callers_sent(context, many, first, few, second):
    for caller, count in ((first, many), (second, few)):
        ids = {s.request.request_id for s in context.core.sent if s.request.caller == caller}
        assert len(ids) == count, (caller, len(ids))


@then("each refusal of the core is {kind} with a retry-after time of {low:d} to {high:d} ms")
def step_rate_refusals(context, kind, low, high):
    failures = [outcome.failure for outcome in context.core.finished.values()]
    assert len(failures) == 5
    for failure in failures:
        assert failure.kind == kind and low <= failure.retry_after_ms <= high, failure
    context.retry_after = max(failure.retry_after_ms for failure in failures)


@when("that time has passed in the core")
def step_time_passed(context):
    context.core.answer_all()
    context.core.advance(context.retry_after)


@then('the next core request of caller "{caller}" is sent')
def step_next_request_sent(context, caller):
    context.core.arrive(caller=caller)
    assert context.core.out


@given(
    'a core with a rule "{name}" limited to {share:g} of the load, and a rule for other requests'
)
def step_share_rule(context, name, share):
    context.core = CoreHarness(make_map(slots=10))
    context.core.rules(
        Rule(name, Serve(hedge=0, max_load_share=share), When(kind=(name,))), Serve(hedge=0)
    )


@when('{count:d} queries of kind "{kind}" arrive at the core')
def step_kind_arrive(context, count, kind):
    for _ in range(count):
        context.core.arrive(kind=kind)


@then('the open shards of rule "{rule}" are at most {share:g} of the limit plus one query')
def step_open_share(context, rule, share):
    core = context.core
    limit = core.core.dump(core.now)["upstreams"]["ix"]["limit"]
    out = [send for send in core.out.values() if send.request.kind == rule]
    assert 0 < len(out) <= share * limit + 4, (len(out), limit)


@then('a query of kind "{kind}" is sent at once')
def step_kind_sent(context, kind):
    context.core.arrive(kind=kind)
    assert any(send.request.kind == kind for send in context.core.out.values())


@then('some of the queries of kind "{kind}" are queued at the core')
def step_some_queued(context, kind):
    dump = context.core.core.dump(context.core.now)
    assert dump["upstreams"]["ix"]["waiting"] > 0, dump["upstreams"]


@then('an urgent query of kind "{kind}" is sent at once')
def step_urgent_sent(context, kind):
    context.core.arrive(kind=kind, priority=Priority.URGENT)
    assert any(send.request.kind == kind for send in context.core.out.values())


@given("a core with canaries and {shards:d} shards")
def step_canaries(context, shards):
    context.core = CoreHarness(make_map(shards), Serve(hedge=0), Policy())
    context.core.arrive()


@when('{count:d} queries of kind "{kind}" and then an urgent one arrive at the core')
def step_lower_and_urgent(context, count, kind):
    core = context.core
    answer_until_idle(core)
    # One recent urgent query, and a pause since the last query of a lower priority class.
    for priority in (Priority.URGENT, Priority.NORMAL):
        core.arrive(priority=priority)
        core.advance(60.0)
        answer_until_idle(core)
    for _ in range(count):
        core.arrive(kind=kind)
    core.arrive(kind="urgent", priority=Priority.URGENT)


def answer_until_idle(core):
    while core.core.running:
        for attempt in list(core.out):
            core.answer(attempt, load=LoadReport(2, 12))
        core.advance(5.0)


def in_flight(core, kind):
    return [send for send in core.out.values() if send.request.kind == kind]


@then('at most {most:d} shard request of kind "{kind}" is in flight for each shard')
def step_held_back(context, most, kind):
    by_shard = Counter(send.shard for send in in_flight(context.core, kind))
    assert all(count <= most for count in by_shard.values()), by_shard
    dump = context.core.core.dump(context.core.now)
    # The queries wait for a server or for admission, depending on how far the limit has fallen.
    assert dump["waiting_for_server"] + dump["upstreams"]["ix"]["waiting"] > 0, dump


@then("every shard request of the urgent one is in flight")
def step_all_urgent_out(context):
    assert len(in_flight(context.core, "urgent")) == 4, in_flight(context.core, "urgent")


@when("the servers answer all shard requests of the core for {span:d} ms")
def step_answer_for(context, span):
    core = context.core
    for _ in range(span // 2):
        core.advance(2.0)
        core.answer_all()


@when('the servers answer nothing until one of kind "{kind}" is sent')
def step_answer_nothing(context, kind):
    core = context.core
    assert not in_flight(core, kind), "a query of this kind was not held back"
    waited = 0
    while not in_flight(core, kind) and waited < 1000:
        core.advance(1.0)
        waited += 1
    assert waited > 20, "held back no longer than the core waits for canaries"


@then("every query at the core has its answer")
def step_all_answered(context):
    core = context.core
    assert not core.core.running, core.core.dump(core.now)
    assert len(core.finished) == core.next_query


@then(
    "each of the {count:d} bodies has at most {most:d} shard requests in flight or waiting for a "
    "server"
)
def step_canaries_hold(context, count, most):
    core = context.core
    waiting = core.core.dump(core.now)["waiting_for_server"]
    assert 0 < len(in_flight(core, "log")) + waiting <= count * most, waiting


def limit_of(core):
    return core.core.dump(core.now)["upstreams"]["ix"]["limit"]


@when("answers report {queued:d} queued requests for some time")
def step_report_queue(context, queued, latency=10.0, first_priority=Priority.NORMAL):
    core = context.core
    for _ in range(400):
        core.arrive(priority=first_priority)
        for _ in range(7):
            core.arrive()
        core.now += latency
        for attempt in list(core.out):
            core.answer(attempt, load=LoadReport(2, queued))
        core.advance(0.0)


@when("answers report {queued:d} queued requests while urgent requests arrive")
def step_report_queue_urgent(context, queued):
    step_report_queue(context, queued, first_priority=Priority.URGENT)


@when("answers take {latency:d} ms longer and report an empty queue for some time")
def step_slow_answers(context, latency):
    step_report_queue(context, 0, latency)


@then("no shard request at the core waits for a server")
def step_none_waits_for_server(context):
    dump = context.core.core.dump(context.core.now)
    assert dump["waiting_for_server"] == 0, dump["waiting_for_server"]


@then("the core's limit has fallen below {limit:d} shards")
def step_limit_below(context, limit):
    assert limit_of(context.core) < limit, limit_of(context.core)


@then("the core's limit has risen above {limit:d} shards")
def step_limit_above(context, limit):
    assert limit_of(context.core) > limit, limit_of(context.core)


@then("each shard request's deadline is before the query's")
def step_deadlines(context):
    assert {send.deadline for send in context.core.out.values()} == {998.0}


@when('the caller of "{item}" disconnects')
def step_caller_disconnects(context, item):
    context.core.feed(CallerGone(context.query_by_item[item]))


@then('no shard request of "{item}" was ever sent')
def step_never_sent(context, item):
    assert all(send.request.kind != item for send in context.core.sent)
    assert context.query_by_item[item] not in context.core.finished
