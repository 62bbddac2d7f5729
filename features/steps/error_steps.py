from __future__ import annotations

from behave import then

from alderhatch.errors import ERROR_ANSWERS, ErrorKind


@then("the table of answers has one row for each error kind")
def step_table_is_whole(context):
    assert set(ERROR_ANSWERS) == set(ErrorKind)


@then('an answer of kind "{kind}" has status {status:d} and says "{ran}"')
def step_answer_row(context, kind, status, ran):
    answer = ERROR_ANSWERS[ErrorKind(kind)]
    assert (answer.status, answer.ran) == (status, ran), answer
