from __future__ import annotations

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from alderhatch.core.entry_events import (
    NOT_RUN_FAULTS,
    Answered,
    AttemptFault,
    CallerGone,
    Claim,
    ClaimDecided,
    ServersLeaving,
    ShardMapFetched,
)
from alderhatch.core.policy import Policy
from alderhatch.core.rule import Serve
from alderhatch.errors import RunStatus
from features.support.core_harness import CoreHarness, make_map, make_request


def make_dispatch(context):
    context.core = CoreHarness(make_map(), Serve(retries=2))
    context.dispatch = context.core.arrive(idempotent=False, key="room-12")
    assert len(context.core.claims) == 1 and not context.core.out


@given("a dispatch that waits for its claim")
def step_dispatch_waits(context):
    make_dispatch(context)


@given("a dispatch that was sent")
def step_dispatch_was_sent(context):
    make_dispatch(context)
    context.core.feed(ClaimDecided(context.dispatch, Claim.GRANTED))
    assert len(context.core.out) == 1


@when('the ledger answers the claim with "{claim}"')
def step_ledger_answers(context, claim):
    context.core.feed(ClaimDecided(context.dispatch, Claim(claim)))


@when('its attempt ends as "{fault}"')
def step_attempt_ends(context, fault):
    context.core.fail(next(iter(context.core.out)), fault)


@when('all its attempts end as "{fault}"')
def step_attempts_end(context, fault):
    while context.core.out:
        context.core.fail(next(iter(context.core.out)), fault)


@when("its attempt is answered")
def step_attempt_answered(context):
    context.core.answer_all()


@when("its deadline passes")
def step_deadline_passes(context):
    context.core.advance(1000.0)


@when("its deadline and a further minute pass")
def step_long_after(context):
    context.core.advance(61_000.0)


@when("its caller disconnects and it continues")
def step_caller_disconnects(context):
    core = context.core
    core.feed(CallerGone(context.dispatch))
    if not core.sent:
        core.feed(ClaimDecided(context.dispatch, Claim.GRANTED))
    core.answer_all()
    assert context.dispatch not in core.finished


@when("it is answered and resent with the same id")
def step_resend(context):
    core = context.core
    core.answer_all()
    context.resend = core.arrive(make_request(1, idempotent=False, key="room-12"))
    stored = core.records[-1].outcome
    core.feed(ClaimDecided(context.resend, Claim.DONE, stored))


@then("the resend gets the same answer without an attempt")
def step_same_answer(context):
    core = context.core
    first = core.finished[context.dispatch]
    assert isinstance(first, Answered) and first.coverage == 0.25
    assert core.finished[context.resend] == first
    assert len(core.sent) == 1


@then("{count:d} attempts of the dispatch are in flight")
def step_dispatch_in_flight(context, count):
    assert len(context.core.out) == count, context.core.out


@then("{count:d} attempts of the dispatch were ever sent")
def step_dispatch_sent_count(context, count):
    assert len(context.core.sent) == count, context.core.sent


@then('its caller gets "{expected}"')
def step_caller_gets(context, expected):
    outcome = context.core.finished.get(context.dispatch)
    if expected == "nothing yet":
        assert outcome is None, outcome
        return
    assert outcome.failure.kind == expected, outcome
    context.core.check_not_run()


@then('the dispatch is recorded as "{recorded}"')
def step_recorded(context, recorded):
    records = [record.ran.value for record in context.core.records]
    assert records == ([] if recorded == "nothing" else [recorded]), records


@then("dispatches with one key go to one shard and every shard gets some, at any entry")
def step_key_shard(context):
    all_shards = set()
    for number in range(60):
        shards = set()
        for seed in (1, 2):
            core = CoreHarness(make_map(), Serve(), seed=seed)
            query = core.arrive(idempotent=False, key=f"room-{number}")
            core.feed(ClaimDecided(query, Claim.GRANTED))
            shards.add(core.sent[0].shard)
        assert len(shards) == 1, shards
        all_shards |= shards
    assert len(all_shards) == 4, all_shards


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "answer",
                "wrong",
                "fault",
                "fault",
                "fault",
                "gone",
                "time",
                "map",
                "leaving",
                "claim",
            ]
        ),
        st.integers(0, 40),
    ),
    max_size=14,
)
FAULTS = list(AttemptFault)


@then("at most one server may ever have run a dispatch, for any order of events")
def step_at_most_once(context):
    @settings(max_examples=400)
    @given_any(EVENTS, st.booleans(), st.integers(0, 3))
    def check(events, granted, seed):
        core = CoreHarness(make_map(2, 3), Serve(retries=3), Policy(), seed=seed)
        query = core.arrive(idempotent=False, key="room")
        if granted:
            core.feed(ClaimDecided(query, Claim.GRANTED))
        may_have_run = set()
        version = 1
        for event, pick in events:
            attempt = next(iter(core.out), None)
            match event:
                case "answer" if attempt:
                    may_have_run.add(attempt)
                    core.answer(attempt)
                case "wrong" if attempt:
                    may_have_run.add(attempt)
                    core.answer(attempt, shard="other")
                case "fault" if attempt:
                    fault = FAULTS[pick % len(FAULTS)]
                    if fault not in NOT_RUN_FAULTS:
                        may_have_run.add(attempt)
                    core.fail(attempt, fault)
                case "gone":
                    core.feed(CallerGone(query))
                case "time":
                    core.advance(pick * 50.0)
                case "map":
                    version += 1
                    core.feed(ShardMapFetched(make_map(2, 3, version)))
                case "leaving":
                    core.feed(ServersLeaving("control", frozenset([f"ix-0-{pick % 3}"])))
                case "claim":
                    core.feed(ClaimDecided(query, list(Claim)[pick % len(Claim)]))
            assert len(core.out) <= 1
            assert (
                len(may_have_run) + len(core.out) <= 1
            ), "a second server may have run the dispatch"
        core.advance(120_000.0)
        assert not core.out
        assert len(core.records) <= 1, core.records
        ran = may_have_run or core.cancelled
        for record in core.records:
            assert record.ran is not RunStatus.NOT_RUN or not ran
        core.check_not_run()
        assert core.core.running == 0

    check()
