from __future__ import annotations

from behave import given, then, when

from alderhatch.errors import ERROR_ANSWERS, ErrorKind
from features.support.cli_support import ScriptedEntry, call

BOOK = ("book", "{}", "--upstream", "navigator", "--kind", "dispatch")
DONE = {
    "rows": [],
    "snapshot": {"version": 1, "epoch": 1},
    "coverage": 1.0,
    "missing": [],
    "rule": "orders",
    "revision": 1,
}
RETRY_AFTER_MS = 20


def _answer_for(outcome):
    if outcome == "done":
        return 200, DONE
    kind = ErrorKind(outcome)
    answer = ERROR_ANSWERS[kind]
    body = {"error": kind, "message": outcome, "ran": answer.ran, "resend": answer.resend}
    return answer.status, body | {"retry_after_ms": RETRY_AFTER_MS}


@given('an entry that answers bookings with "{outcomes}"')
def step_entry(context, outcomes):
    context.entry = ScriptedEntry([_answer_for(outcome) for outcome in outcomes.split(", ")])
    context.add_cleanup(context.entry.stop)


@when("a booking is sent to it with a timeout of {seconds:g} s")
def step_book(context, seconds):
    call(context, "--entry", context.entry.endpoint, "--timeout", str(seconds), *BOOK)


@then("the entry received the same request ID {count:d} times")
def step_same_id(context, count):
    ids = context.entry.request_ids
    assert len(ids) == count, ids
    assert len(set(ids)) == 1, ids
