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
SOON_MS = 20


def _answer(word):
    if word == "done":
        return 200, DONE
    kind = ErrorKind(word)
    answer = ERROR_ANSWERS[kind]
    body = {"error": kind, "message": word, "ran": answer.ran, "resend": answer.resend}
    return answer.status, body | {"retry_after_ms": SOON_MS}


@given('an entry that answers a booking with "{words}"')
def step_entry(context, words):
    context.entry = ScriptedEntry([_answer(word) for word in words.split(", ")])
    context.add_cleanup(context.entry.stop)


@when("a booking is sent to it with {seconds:g} s to go")
def step_book(context, seconds):
    call(context, "--entry", context.entry.place, "--timeout", str(seconds), *BOOK)


@then("the entry got the same request id {count:d} times")
def step_same_id(context, count):
    ids = context.entry.request_ids
    assert len(ids) == count, ids
    assert len(set(ids)) == 1, ids
