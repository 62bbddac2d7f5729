from __future__ import annotations

import contextlib
import io

from behave import then, when

from alderhatch.standin.demo import run_demo


@when("the demo runs with {queries:d} queries for each upstream")
def step_run_demo(context, queries):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        context.demo_exit_code = run_demo(queries, 1)
    context.demo_output = output.getvalue()


@then('it returns exit code {code:d} and its last line is "{line}"')
def step_demo_result(context, code, line):
    assert context.demo_exit_code == code, context.demo_output
    assert context.demo_output.strip().splitlines()[-1] == line, context.demo_output
