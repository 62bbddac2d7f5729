from __future__ import annotations

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from alderhatch.core.entry_events import AttemptFault
from alderhatch.core.forwarding.effects import Finish, Send
from alderhatch.core.forwarding.forward_run import ForwardRun
from alderhatch.core.forwarding.outcome import Answered, Failed, NotRun
from alderhatch.core.forwarding.response_lead_time import ResponseLeadTime
from alderhatch.core.forwarding.retry_budget import BudgetLimits
from alderhatch.core.forwarding.run_limits import RunTimes, min_parts
from features.support.forward_model import BUDGET_LIMITS, ForwardModel, scatter_route, single_route

SHARDS = [f"shard{number:02}" for number in range(20)]
LONG_AFTER_MS = 20_000.0
NO_BUDGET = BudgetLimits(0.0, 0.0, 10_000.0)


def kitchen(budget_limits=BUDGET_LIMITS):
    model = ForwardModel(1, budget_limits=budget_limits)
    model.add_upstream("kitchen", 100.0, 2, 3)
    # The faster server is chosen first.
    model.servers["kitchen-0"].work = 50.0
    for server in model.servers.values():
        server.spread = 0.0
    return model


def warm_up(model):
    """Let the host learn the latencies, then reset the counters of the servers."""
    for number in range(60):
        model.request(single_route("kitchen"), number * 500.0)
    model.run_until(60 * 500.0)
    for server in model.servers.values():
        server.arrivals = server.runs = 0


def make_leaving(model, upstreams):
    changed = [one._replace(draining=one.upstream in upstreams) for one in model.records]
    for table in model.tables:
        table.update(changed, model.now)


def inject_fault(server, behavior):
    match behavior:
        case "is healthy":
            pass
        case "breaks the connection":
            server.mode = "lost"
        case "answers with an error":
            server.mode = "failing"
        case "refuses it without running it":
            server.shed_share = 1.0
        case "does not respond":
            server.mode = "silent"
        case _:
            raise AssertionError(behavior)


def outcome_name(outcome):
    match outcome:
        case Answered():
            return "answered"
        case NotRun():
            return "not run"
        case Failed(reason):
            return str(reason)


@given('2 servers of "kitchen", of which the first choice {behavior}')
def step_kitchen(context, behavior):
    context.model = kitchen()
    warm_up(context.model)
    inject_fault(context.model.servers["kitchen-0"], behavior)


@given('1 server of "kitchen" that ends with each request')
def step_only_server(context):
    context.model = ForwardModel()
    context.model.add_upstream("kitchen", 20.0, 1)


@when("its connection is lost and no later one opens")
def step_lost_then_refused(context):
    run = ForwardRun(
        single_route("kitchen"),
        ("kitchen",),
        RunTimes(0.0, 500.0, LONG_AFTER_MS),
        context.model.tables[0],
    )
    effects = run.start(0.0)
    context.outcomes = []
    now = 0.0
    faults = [AttemptFault.LOST]
    while not run.finished:
        now += 10.0
        for effect in effects:
            match effect:
                case Send(attempt=attempt):
                    fault = faults.pop() if faults else AttemptFault.NOT_SENT
                    effects = run.on_fault(attempt, fault, None, now)
                    break
        else:
            effects = run.on_timer(now)
        context.outcomes += [one.outcome for one in effects if isinstance(one, Finish)]


@then("the request does not end as not run")
def step_not_not_run(context):
    (outcome,) = context.outcomes
    assert not isinstance(outcome, NotRun), outcome


@given('2 servers of "kitchen" that are all leaving')
def step_kitchen_leaving(context):
    context.model = kitchen()
    make_leaving(context.model, {"kitchen"})


@given('2 servers of "kitchen" that refuse every request, {state}')
def step_kitchen_refuses(context, state):
    has_budget = state == "and there is budget"
    model = context.model = kitchen(BUDGET_LIMITS if has_budget else NO_BUDGET)
    warm_up(model)
    for server in model.servers.values():
        server.shed_share = 1.0


@then("it is refused within {span:d} ms as not run, with a retry-after time")
def step_told_refused(context, span):
    outcome, at = context.model.results[context.number]
    assert isinstance(outcome, NotRun), outcome
    assert outcome.retry_after > 0
    taken = at - context.model.runs[context.number].times.arrived
    assert taken <= span, taken
    assert not any(one.runs for one in context.model.servers.values())


@given("20 shards with 2 servers each")
def step_shards(context):
    context.model = ForwardModel()
    for name in SHARDS:
        context.model.add_upstream(name, 20.0)


@given("all servers of {count:d} shards are leaving")
def step_shards_leaving(context, count):
    make_leaving(context.model, set(SHARDS[:count]))


@given("all servers of {count:d} shards do not respond")
def step_shards_dark(context, count):
    for name in SHARDS[:count]:
        for index in range(2):
            context.model.servers[f"{name}-{index}"].mode = "silent"


@given("3 shards answer after 400, 500 and 1500 ms")
def step_slow_shards(context):
    for name, work in zip(SHARDS, (400.0, 500.0, 1500.0), strict=False):
        for index in range(2):
            server = context.model.servers[f"{name}-{index}"]
            server.accept = lambda now, work=work: (now + work, None)


@when('a {kind} request is forwarded to "kitchen"')
@when('an {kind} request is forwarded to "kitchen"')
def step_forward(context, kind):
    route = single_route("kitchen", idempotent=kind == "idempotent")
    context.number = context.model.request(route)
    context.model.run_until(context.model.now + LONG_AFTER_MS)


@when("a request over all shards is forwarded")
def step_scatter(context):
    context.number = context.model.request(scatter_route(SHARDS))
    context.model.run_until(LONG_AFTER_MS)


@when("the same list of servers is received again")
def step_same_list(context):
    table = context.model.tables[0]
    table.take_changes()
    table.update(context.model.records, 1.0)
    context.changes = table.take_changes()


@when("one of them fails {count:d} times in a row")
def step_fails_often(context, count):
    table = context.model.tables[0]
    context.failing = table.upstream("kitchen").targets["kitchen-0"]
    for _ in range(count):
        table.record_failure(context.failing, AttemptFault.LOST, None, context.model.now)


@then("it is ejected for at most 10 s")
def step_left_alone_bounded(context):
    left = context.failing.ejected_until - context.model.now
    assert 0 < left <= 10_000.0, left


@then("no server state has changed")
def step_nothing_new(context):
    assert context.changes == [], context.changes


@then("it ends as {name}, and {runs:d} servers have run it")
def step_ended(context, name, runs):
    outcome, _ = context.model.results[context.number]
    assert outcome_name(outcome) == name, outcome
    ran = sum(1 for one in context.model.servers.values() if one.runs)
    assert ran == runs, ran


@then("it is refused as not run within {span:d} ms, with a retry-after time")
def step_refused(context, span):
    outcome, at = context.model.results[context.number]
    assert isinstance(outcome, NotRun), outcome
    assert outcome.retry_after > 0
    assert at <= span, at
    assert not any(one.arrivals for one in context.model.servers.values())


@then("it is answered with {parts:d} of 20 parts before its target latency")
def step_answered_in_time(context, parts):
    outcome, at = context.model.results[context.number]
    assert isinstance(outcome, Answered), outcome
    assert (len(outcome.parts), outcome.missing) == (parts, 20 - parts)
    assert at < 145.0, at


@then("it is answered with {parts:d} of 20 parts between {least:d} and {most:d} ms")
def step_answered_between(context, parts, least, most):
    outcome, at = context.model.results[context.number]
    assert isinstance(outcome, Answered), outcome
    assert len(outcome.parts) == parts, len(outcome.parts)
    assert least <= at <= most, at


@then("these are the minimum numbers of parts")
def step_least(context):
    for row in context.table:
        found = min_parts(int(row["shards"]), float(row["coverage"]))
        assert found == int(row["parts"]), (row, found)


MODES = st.sampled_from(["healthy", "lost", "failing", "silent", "shed"])


def apply_mode(server, mode):
    if mode == "shed":
        server.shed_share = 1.0
    else:
        server.mode = mode


@then('over random faults a non-idempotent request never runs twice and "not run" is true')
def step_never_twice(context):
    @for_all(st.lists(MODES, min_size=3, max_size=3), st.integers(0, 1000))
    def check(modes, seed):
        model = ForwardModel(1, seed)
        model.add_upstream("kitchen", 100.0, 3, 3)
        for server, mode in zip(model.servers.values(), modes, strict=True):
            apply_mode(server, mode)
        number = model.request(single_route("kitchen", idempotent=False))
        model.run_until(LONG_AFTER_MS)
        outcome, _ = model.results[number]
        runs = sum(one.runs for one in model.servers.values())
        assert runs <= 1, (modes, runs)
        if isinstance(outcome, NotRun):
            assert runs == 0, modes
            # An unresponsive server may have run it; nobody knows.
            assert not any(one.mode == "silent" and one.arrivals for one in model.servers.values())

    check()


@then("over random faults no shard is sent to more servers than the route allows")
def step_max_servers(context):
    @for_all(st.lists(MODES, min_size=9, max_size=9), st.integers(1, 3), st.integers(0, 1000))
    def check(modes, most, seed):
        model = ForwardModel(1, seed)
        for name in SHARDS[:3]:
            model.add_upstream(name, 20.0, 3)
        for server, mode in zip(model.servers.values(), modes, strict=True):
            apply_mode(server, mode)
        route = scatter_route(SHARDS[:3], max_servers=most)
        model.request(route)
        model.run_until(LONG_AFTER_MS)
        for name in SHARDS[:3]:
            ran = [f"{name}-{index}" for index in range(3) if model.servers[f"{name}-{index}"].runs]
            assert len(ran) <= most, (modes, most, ran)

    check()


@given("answers of a route that were finished {spans} ms after they were due")
def step_overruns(context, spans):
    context.lead_times = ResponseLeadTime()
    for span in spans.replace(" and", ",").split(","):
        context.lead_times.record_overrun(float(span))


@when("{count:d} answers are finished {span:d} ms after they were due")
def step_more_overruns(context, count, span):
    for _ in range(count):
        context.lead_times.record_overrun(float(span))


@then("the next answer leaves {span:d} ms before its target")
def step_own_time(context, span):
    assert context.lead_times.lead_time == span, context.lead_times.lead_time
