from __future__ import annotations

import pickle

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from alderhatch.core.forwarding.outcome import Answered
from alderhatch.core.forwarding.retry_budget import BudgetShare, RetryBudget
from features.support.forward_model import TERMS, ForwardModel, scatter_route

SECOND = 1000.0
SHARDS = [f"shard{number:02}" for number in range(20)]
SECONDS = 12


@given("a tier of {hosts:d} hosts over 20 shards with traffic of {rate:d} requests a second")
def step_tier(context, hosts, rate):
    context.model = ForwardModel(hosts, seed=7)
    for name in SHARDS:
        context.model.add_upstream(name, 20.0)
    context.rate = rate
    context.burst = (0.0, 0.0, 1.0)
    context.sent = {}
    context.played = False


def one_of_each(model, count=20):
    return [model.servers[f"{name}-{index % 2}"] for index, name in enumerate(SHARDS[:count])]


def change_between(model, servers, begin, end, name, value):
    def set_to(new):
        for server in servers:
            setattr(server, name, new)

    usual = getattr(servers[0], name)
    model.at(begin * SECOND, lambda: set_to(value))
    model.at(end * SECOND, lambda: set_to(usual))


@when(
    "one server of each shard sheds {share:g} of its requests "
    "from second {begin:d} to second {end:d}"
)
def step_shed(context, share, begin, end):
    change_between(context.model, one_of_each(context.model), begin, end, "shed_share", share)


@when("every server pauses for {span:d} ms each {every:d} ms")
def step_pauses(context, span, every):
    model = context.model

    def pause(server):
        server.paused_until = model.now + span
        model.at(model.now + every * (0.8 + 0.4 * model.rng.random()), lambda: pause(server))

    for server in model.servers.values():
        model.at(model.rng.random() * every, lambda server=server: pause(server))


@when("{count:d} servers of different shards are dark from second {begin:d} to second {end:d}")
def step_dark(context, count, begin, end):
    context.spoilt = one_of_each(context.model, count)
    context.seen = {}
    for second in (begin + 2, end):
        context.model.at(second * SECOND, lambda second=second: note_arrivals(context, second))
    change_between(context.model, one_of_each(context.model, count), begin, end, "mode", "dark")


def note_arrivals(context, second):
    context.seen[second] = sum(one.arrivals for one in context.spoilt)


@then("at most {share:g} of the requests to servers leave their zone without need")
def step_crossings(context, share):
    model = context.model
    assert model.needless_crossings <= share * model.sends, (model.needless_crossings, model.sends)


@then(
    "those 8 servers get less than {share:g} of their usual requests "
    "from second {begin:d} to second {end:d}"
)
def step_left_alone(context, share, begin, end):
    play(context)
    usual = context.rate * (end - begin) * len(context.spoilt) / 2
    got = context.seen[end] - context.seen[begin]
    assert got < share * usual, (got, usual)


@when(
    "{count:d} servers of different shards are {times:d} times slower "
    "from second {begin:d} to second {end:d}"
)
def step_slow(context, count, times, begin, end):
    servers = one_of_each(context.model, count)
    change_between(context.model, servers, begin, end, "slow", float(times))


@when("the traffic is {times:g} times the usual from second {begin:d} to second {end:d}")
def step_burst(context, times, begin, end):
    context.burst = (begin * SECOND, end * SECOND, times)


def play(context):
    if context.played:
        return
    context.played = True
    model = context.model
    route = scatter_route(SHARDS)
    at = 0.0
    while at < SECONDS * SECOND:
        begin, end, times = context.burst
        rate = context.rate * (times if begin <= at < end else 1.0)
        at += model.rng.expovariate(rate / SECOND)
        host = model.rng.randrange(len(model.tables))
        context.sent[model.request(route, at, host)] = at
    model.run_until((SECONDS + 3) * SECOND)


def between(context, begin, end):
    play(context)
    chosen = {
        number: at for number, at in context.sent.items() if begin * SECOND <= at < end * SECOND
    }
    assert chosen
    return chosen


@then(
    "at least {share:g} of the requests from second {begin:d} to second {end:d} "
    "are answered in time"
)
def step_in_time(context, share, begin, end):
    chosen = between(context, begin, end)
    in_time = 0
    for number, at in chosen.items():
        outcome, ended = context.model.results[number]
        in_time += isinstance(outcome, Answered) and ended - at <= 145.0
    assert in_time / len(chosen) >= share, in_time / len(chosen)


@then(
    "the mean coverage of the requests from second {begin:d} to second {end:d} "
    "is at least {share:g}"
)
def step_coverage(context, begin, end, share):
    covered = [
        len(outcome.parts) / 20 if isinstance(outcome, Answered) else 0.0
        for outcome, _ in (context.model.results[one] for one in between(context, begin, end))
    ]
    assert sum(covered) / len(covered) >= share, sum(covered) / len(covered)


@then("the budget for extra requests is kept in every window")
def step_budget_kept(context):
    play(context)
    requests = len(context.sent)
    for name in SHARDS:
        # The day is one window and a fifth: what the whole of it may have bounds every window.
        allowed = TERMS.ratio * requests + TERMS.constant * SECONDS * SECOND / TERMS.window
        assert context.model.extra(name, requests) <= allowed


TRAFFIC = st.lists(
    st.tuples(st.floats(0.0, 400.0), st.integers(0, 4), st.booleans()), min_size=20, max_size=400
)


@then("over random traffic at random hosts the shared budget is kept in every window")
def step_shared_budget(context):
    @for_all(TRAFFIC)
    def check(traffic):
        hosts = [RetryBudget(10_000.0) for _ in range(5)]
        share = BudgetShare(0.2, 6.0 / 5)
        now = 0.0
        firsts, extras = [], []
        for pause, host, wants_extra in traffic:
            now += pause
            if wants_extra and hosts[host].spend(share, now):
                extras.append(now)
            elif not wants_extra:
                hosts[host].count_first(now)
                firsts.append(now)
        for end in extras:
            begin = end - 10_000.0
            spent = sum(1 for at in extras if begin < at <= end)
            came = sum(1 for at in firsts if begin - 500.0 < at <= end)
            assert spent <= 0.2 * came + 6.0 + 1e-9, (spent, came)

    check()


@then("a budget that counts requests for an hour takes no more room than after a minute")
def step_small(context):
    budget = RetryBudget(10_000.0)

    def size_after(minutes):
        for at in range(0, minutes * 60_000, 100):
            budget.count_first(float(at))
        return len(pickle.dumps(budget))

    after_a_minute = size_after(1)
    assert size_after(60) <= 1.2 * after_a_minute
