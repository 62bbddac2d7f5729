from __future__ import annotations

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from alderhatch.clock import HOUR
from alderhatch.core.control import run_ledger
from alderhatch.core.control.control_state import ControlState
from alderhatch.core.control.operations import (
    Claim,
    EntryKey,
    RecordOutcome,
    RegisterEntry,
    ReleaseClaim,
    RemoveEntries,
)
from features.support.control_commands import Applier
from features.support.ledger_model import run_ledger_events, run_resends

EVENT_KINDS = ["request", "apply", "give-up", "finish", "start", "expire", "restart", "tick"]
FREQUENT_EVENT_KINDS = ["request", "apply", "apply", "apply", "finish"]
ENTRY_A = EntryKey("entry-a", "run-1")
ENTRY_B = EntryKey("entry-b", "run-1")
TWO_HOURS_OLD = "00000000-03e8-7000-8000-000000000001"
"""A version 7 UUID created 1,000 ms after the start of 1970."""


@then("no request runs twice in {count:d} random schedules")
def step_no_second_run(context, count):
    events = st.tuples(st.sampled_from(EVENT_KINDS + FREQUENT_EVENT_KINDS), st.integers(0, 99))
    totals = []

    @settings(max_examples=count)
    @for_all(st.lists(events, min_size=10, max_size=120))
    def check(schedule):
        totals.append(sum(run_ledger_events(schedule).runs.values()))

    check()
    assert sum(totals) > count // 2, "too few runs in the schedules for a meaningful result"


@then("no request runs twice in {count:d} random schedules of resends")
def step_no_second_run_of_resends(context, count):
    assert sum(sum(run_resends(seed).runs.values()) for seed in range(count)) > count


def _claim(key, token, fingerprint="body", caller="trafikk", request_id="booking-1"):
    return Claim(caller, request_id, fingerprint, *key, token)


def _register(applier, key):
    applier.one(RegisterEntry(*key, "ulven", "10.0.0.1", 8080))


def _record(outcome):
    return RecordOutcome("trafikk", "booking-1", "token-a", outcome)


@given("a booking that entry A claimed and that {history}")
def step_claimed(context, history):
    applier = context.applier = Applier(ControlState())
    applier.now = 3 * HOUR
    _register(applier, ENTRY_A)
    _register(applier, ENTRY_B)
    assert applier.one(_claim(ENTRY_A, "token-a")).status == "granted"
    match history:
        case "is still running":
            pass
        case "has its outcome stored":
            assert applier.one(_record(b"booked")).applied
        case "has an outcome too large to be stored":
            applier.one(_record(b"x" * (run_ledger.MAX_OUTCOME_BYTES + 1)))
        case "lost its entry, whose lease has expired":
            applier.one(RemoveEntries([ENTRY_A]))
        case "lost its entry, which stored an outcome later":
            applier.one(RemoveEntries([ENTRY_A]))
            assert applier.one(_record(b"booked")).applied
        case "lost its entry, which restarted":
            applier.one(RemoveEntries([ENTRY_A]))
            _register(applier, EntryKey("entry-a", "run-2"))
        case "was released as not sent":
            assert applier.one(ReleaseClaim("trafikk", "booking-1", "token-a")).applied
        case "was stored before control restarted":
            applier.one(_record(b"booked"))
            state = ControlState()
            state.restore(applier.state.snapshot())
            applier.state = state
        case "is older than the horizon":
            applier.one(_record(b"booked"))
            applier.now += HOUR + 1
        case "was evicted because the ledger was full":
            _fill_with_large_outcomes(applier)
        case _:
            raise AssertionError(history)


def _fill_with_large_outcomes(applier):
    applier.one(_record(b"booked"))
    large = b"x" * run_ledger.MAX_OUTCOME_BYTES
    count = run_ledger.MAX_TOTAL_OUTCOME_BYTES // len(large) + 2
    for number in range(count):
        name = f"other-{number}"
        applier.one(_claim(ENTRY_A, name, request_id=name))
        applier.one(RecordOutcome("trafikk", name, name, large))
    counts = applier.state.ledger.counts()
    assert counts.outcome_bytes <= run_ledger.MAX_TOTAL_OUTCOME_BYTES + len(large)


@when("the booking is resent to entry B")
def step_resent(context):
    context.answer = context.applier.one(_claim(ENTRY_B, "token-b"))


@when("a claim arrives that {property_}")
def step_unusual_claim(context, property_):
    claims = {
        "has the same id but another body": _claim(ENTRY_B, "token-b", "other body"),
        "has the same token because its answer was lost": _claim(ENTRY_A, "token-a"),
        "is from an entry process without a lease": _claim(EntryKey("entry-b", "run-9"), "t"),
        "has an id created two hours ago": _claim(ENTRY_B, "t", request_id=TWO_HOURS_OLD),
        "is from another caller with the same id": _claim(ENTRY_B, "t", caller="brazos"),
    }
    context.answer = context.applier.one(claims[property_])


@then('the ledger answers "{status}"')
def step_ledger_answer(context, status):
    assert context.answer.status == status, context.answer
    assert (context.answer.outcome == b"booked") == (status == "stored")


@given("a booking whose release arrived before its claim")
def step_release_first(context):
    applier = context.applier = Applier(ControlState())
    _register(applier, ENTRY_A)
    applier.one(ReleaseClaim("trafikk", "booking-1", "token-a"))


@then('the late claim gets "{late}" and a new one gets "{new}"')
def step_late_claim(context, late, new):
    assert context.applier.one(_claim(ENTRY_A, "token-a")).status == late
    assert context.applier.one(_claim(ENTRY_A, "token-b")).status == new
    assert context.applier.one(_claim(ENTRY_A, "token-a")).status == "in_progress"


@when("a claim of entry B is refused, A releases its claim, and a copy of B's claim arrives")
def step_claim_refused(context):
    applier = context.applier
    _register(applier, ENTRY_B)
    assert applier.one(_claim(ENTRY_B, "token-b")).status in ("in_progress", "outcome_unknown")
    assert applier.one(ReleaseClaim("trafikk", "booking-1", "token-a")).applied
    context.answer = applier.one(_claim(ENTRY_B, "token-b"))


@given("a ledger full of records in progress")
def step_full(context):
    applier = context.applier = Applier(ControlState())
    _register(applier, ENTRY_A)
    for start in range(0, run_ledger.MAX_RECORDS, 500):
        names = [f"booking-{number}" for number in range(start, start + 500)]
        answers = applier.apply(*[_claim(ENTRY_A, name, request_id=name) for name in names])
        assert all(answer.status == "granted" for answer in answers)


@when("one more booking is claimed")
def step_one_more_booking(context):
    context.answer = context.applier.one(_claim(ENTRY_A, "t", request_id="one-more"))


@given("a booking that ran while the release of its first attempt was in transit")
def step_ran_meanwhile(context):
    applier = context.applier = Applier(ControlState())
    _register(applier, ENTRY_A)
    _register(applier, ENTRY_B)
    assert applier.one(_claim(ENTRY_A, "token-a")).status == "granted"
    assert applier.one(_record(b"booked")).applied


@when("the release arrives after the horizon and the booking is resent to entry B")
def step_late_release(context):
    context.applier.now += HOUR
    release = ReleaseClaim("trafikk", "booking-1", "token-0")
    assert not context.applier.one(release).applied
    context.answer = context.applier.one(_claim(ENTRY_B, "token-b"))
