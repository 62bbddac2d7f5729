from __future__ import annotations

from random import Random

from behave import given, then, when

from alderhatch.core.entry_events import Answered, BudgetsChanged, Claim, ClaimDecided
from alderhatch.core.rule import Serve
from features.support.core_harness import CoreHarness, make_map


def warmed_up_core(serve):
    """Return a core that has recorded latencies of 3 to 7 ms, and of 12 ms for one answer in 50."""
    core = CoreHarness(make_map(), serve)
    rng = Random(7)
    for _ in range(200):
        core.arrive()
        start = core.now
        latencies = [12.0 if rng.random() < 0.02 else 3.0 + 4.0 * rng.random() for _ in range(4)]
        answers = sorted(zip(latencies, list(core.out), strict=True))
        for latency, attempt in answers:
            core.advance(max(0.0, start + latency - core.now))
            if attempt in core.out:
                core.answer(attempt)
        core.answer_all()
    return core


@given("a core that has run 200 queries over 4 shards of about 5 ms")
def step_warmed_up_core(context):
    context.core = warmed_up_core(Serve())


@given("a core without hedges that has run 200 queries over 4 shards of about 5 ms")
def step_core_without_hedges(context):
    context.core = warmed_up_core(Serve(hedge=0))


@when("all but one shard of a query answer and {span:d} ms pass")
def step_all_but_one(context, span):
    run_all_but_one(context, span)


@when("all but one shard of a query with a deadline of {deadline:d} ms answer and {span:d} ms pass")
def step_all_but_one_deadline(context, deadline, span):
    run_all_but_one(context, span, deadline_ms=float(deadline))


def run_all_but_one(context, span, **fields):
    core = context.core
    context.sent_before = len(core.sent)
    context.core_query = core.arrive(**fields)
    core.advance(4.0)
    *others, context.last_attempt = list(core.out)
    for attempt in others:
        core.answer(attempt)
    core.advance(span - 4.0)


@then("a hedge of the last shard is in flight on another server")
def step_hedge_in_flight(context):
    core = context.core
    assert len(core.out) == 2, core.out
    first, hedged = core.out.values()
    assert first.shard == hedged.shard and first.server_id != hedged.server_id


@when("the hedge answers")
def step_hedge_answers(context):
    context.core.answer(list(context.core.out)[-1])


@then("the query is complete and the first attempt was cancelled")
def step_complete_and_cancelled(context):
    outcome = context.core.finished[context.core_query]
    assert isinstance(outcome, Answered) and outcome.coverage == 1.0, outcome
    assert context.last_attempt in context.core.cancelled


@when("{queries:d} queries run with every answer taking {span:d} ms")
def step_all_slow(context, queries, span):
    core = context.core
    for _ in range(queries):
        core.arrive()
        until = core.now + span
        while core.now < until:
            core.advance(1.0)
        core.answer_all()


@then("the core has sent at most {ratio:g} times the shard requests needed")
def step_sent_ratio(context, ratio):
    core = context.core.core
    assert core.shard_requests_sent > core.shard_requests_needed
    assert core.shard_requests_sent <= ratio * core.shard_requests_needed


@then("no hedge is in flight")
def step_no_hedge(context):
    assert len(context.core.out) <= 1, context.core.out
    assert len({s.shard for s in context.core.sent[context.sent_before :]}) == len(
        context.core.sent[context.sent_before :]
    )


@when("a dispatch is claimed and sent and {span:d} ms pass")
def step_dispatch_sent(context, span):
    core = context.core
    context.sent_before = len(core.sent)
    query = core.arrive(idempotent=False, key="room-12")
    core.feed(ClaimDecided(query, Claim.GRANTED))
    assert len(core.out) == 1
    core.advance(float(span))


@then("a hedge is sent later when the budget is nearly empty than when it is full")
def step_delay_grows(context):
    def measure_hedge_delay(core):
        start = core.now
        core.arrive()
        core.advance(4.0)
        for attempt in list(core.out)[:-1]:
            core.answer(attempt)
        sent = len(core.sent)
        while len(core.sent) == sent and core.now < start + 100.0:
            core.advance(0.1)
        delay = core.now - start
        core.answer_all()
        return delay

    core = context.core
    while core.core.dump(core.now)["hedges"]["rule-0"]["tokens"] < core.policy.hedge_burst - 0.5:
        core.arrive()
        core.advance(4.0)
        core.answer_all()
    full = measure_hedge_delay(core)
    while core.core.dump(core.now)["hedges"]["rule-0"]["tokens"] > 3.0:
        measure_hedge_delay(core)
    empty = measure_hedge_delay(core)
    assert full < empty, (full, empty)


@given("control has set the core's budgets to {hedge:g} for hedges and {retry:g} for retries")
def step_budgets(context, hedge, retry):
    context.core.feed(BudgetsChanged(hedge, retry))
    state = context.core.core._state
    context.hedges_before = {name: held.spent for name, held in state.hedges.items()}
    context.tokens_before = {name: held.tokens for name, held in state.hedges.items()}


@then("since then the hedge budgets have earned no tokens")
def step_no_tokens_earned(context):
    for name, budget in context.core.core._state.hedges.items():
        spent = budget.spent - context.hedges_before[name]
        assert budget.ratio == 0
        assert spent <= context.tokens_before[name], (spent, context.tokens_before)
        assert budget.tokens <= context.tokens_before[name]
