from __future__ import annotations

import json
import shlex
from urllib.request import urlopen

from behave import then, when

from alderhatch.cli.request_ids import new_request_id
from alderhatch.clock import WallClock
from features.support.cli_support import call
from features.support.tier import CHANGE_KEY, READ_KEY, SECRET, until

QUERY = ("--upstream", "navigator", "--kind", "route", "--zone", "waco-hall")
BOOK = ("--upstream", "navigator", "--kind", "dispatch", "--output", "json")


def _run_as_operator(context, *arguments, entries=None):
    tier = context.tier
    endpoints = ("--control", tier.control_addresses, "--entry", entries or tier.entry_addresses)
    call(context, *endpoints, "--key-file", tier.change_key, *arguments)


@when('the tier\'s operator runs "{words}"')
def step_run_as_operator(context, words):
    _run_as_operator(context, *shlex.split(words))


@when(
    "the tier's operator queries with a rule of 150 ms until no stall of a stand-in makes it late"
)
def step_query_in_time(context):
    # The stand-ins run in this process. If it is held up for as long as the rule's deadline, the
    # query ends without any answer, which is right; any other failure ends the scenario.
    def is_in_time():
        _run_as_operator(context, "query", '{"topic":"towels"}', *QUERY)
        is_late = "no answer in time" in context.cli.output
        assert is_late or context.cli.exit_code == 0, context.cli.output
        return not is_late

    until(is_in_time, "a query is answered in time")


@when('the tier\'s operator books a {thing} with a new request ID at "{entry}"')
def step_book_new(context, thing, entry):
    # The ledger refuses IDs whose creation time is over an hour old, so a fixed ID would fail.
    context.request_id = new_request_id(WallClock().now())
    step_book(context, thing, context.request_id, entry)


@when('the tier\'s operator books a {thing} with the same request ID at "{entry}"')
def step_book_again(context, thing, entry):
    step_book(context, thing, context.request_id, entry)


@when('the tier\'s operator books a {thing} with request ID "{request_id}" at "{entry}"')
def step_book(context, thing, request_id, entry):
    endpoint = f"{context.tier.address}:{context.tier.entry_ports[entry][0]}"
    body = json.dumps({"item": thing})
    _run_as_operator(context, "book", body, *BOOK, "--request-id", request_id, entries=endpoint)
    context.bookings = [*getattr(context, "bookings", []), context.cli.stdout]


@then("both bookings have the same outcome")
def step_same_outcome(context):
    first, second = (json.loads(text) for text in context.bookings[-2:])
    assert first == second, (first, second)
    assert first["rows"], first


@then("every process of the tier serves its dump and its metrics")
def step_dumps(context):
    context.pages = []
    for name, endpoint in context.tier.operator_addresses.items():
        _run_as_operator(context, "dump", endpoint)
        assert context.cli.exit_code == 0, context.cli.output
        assert f'"{name}"' in context.cli.stdout, context.cli.stdout[:500]
        with urlopen(f"http://{endpoint}/metrics", timeout=10) as reply:
            page = reply.read().decode()
        assert f'alderhatch_process_cpu_seconds_total{{process="{name}"}}' in page, page[:500]
        context.pages += [context.cli.stdout, page]
    assert any("alderhatch_control_revision" in text for text in context.pages)
    assert any("alderhatch_entry_requests_total" in text for text in context.pages)
    assert any('alderhatch_entry_revision{process="entry-2"} 1' in text for text in context.pages)
    assert any("alderhatch_entry_lease_left_seconds" in text for text in context.pages)


@then("no secret is in any log, dump or metrics page of the tier")
def step_no_secret(context):
    tier = context.tier
    texts = [*context.pages, *(program.log() for program in tier.programs.values())]
    assert all(program.log() for program in tier.programs.values())
    for secret in (SECRET, CHANGE_KEY, READ_KEY):
        assert not any(secret in text for text in texts)
    assert not any("tray" in text for text in texts), "a request body is exposed"


@when("the leading control host is killed")
def step_kill_leader(context):
    _run_as_operator(context, "status", "--output", "json")
    views = json.loads(context.cli.stdout)
    leader = next(view["name"] for view in views if view["role"] == "leader")
    context.tier.controls[leader].kill()


@when("every control host is killed and restarted")
def step_restart_controls(context):
    for program in context.tier.controls.values():
        if program.alive:
            program.kill()
        program.start()
    context.tier.leader()


@then('the program "{name}" exits by itself with exit code {code:d} and without aborted requests')
def step_ends(context, name, code):
    program = context.tier.programs[name]
    assert program.wait() == code
    last = json.loads(program.log().splitlines()[-1])
    assert last["event"] == "entry_stopped", last
    assert last["fields"]["cut_off"] == 0, last


@then('the entry "{name}" no longer advertises "{stopped}" to callers')
def step_not_advertised(context, name, stopped):
    port = context.tier.entry_ports[stopped][0]
    until(lambda: port not in context.tier.addresses(name), f"{stopped} is not advertised")
