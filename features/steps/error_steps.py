from __future__ import annotations

from behave import then

from alderhatch.errors import ERROR_ANSWERS, ErrorKind


@then("the error catalogue has one row for each error kind")
def step_catalogue_complete(context):
    assert set(ERROR_ANSWERS) == set(ErrorKind)


@then('the error kind "{kind}" has status {status:d} and run status "{ran}"')
def step_catalogue_row(context, kind, status, ran):
    answer = ERROR_ANSWERS[ErrorKind(kind)]
    assert (answer.status, answer.ran) == (status, ran), answer
