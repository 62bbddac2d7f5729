from __future__ import annotations

import trio
from behave import given, then, when

from features.entry_world import world

QUIET_QUERIES = 40


@given("callers use the entries that hold a lease without pause")
def step_callers(context):
    here = world(context)
    here.call(here.start_load)


@when('{source} says that the upstream\'s server "{server_id}" is leaving')
def step_leaving(context, source, server_id):
    here = world(context)
    server = here.upstream.server(server_id)
    match source:
        case "the platform":
            here.platform.states = {server.port: "leaving"}
        case "an operator":
            here.call(_depart, here, server_id)
        case "its health endpoint":
            server.faults.health_state = "draining"
        case "its answer to a query":
            server.faults.draining = True
            server.faults.health_state = "ready"
        case _:
            raise AssertionError(source)


async def _depart(here, server_id):
    body = {
        "change_id": "depart-1",
        "expected_revision": await _revision(here),
        "role": "upstream",
        "upstream": "navigator",
    }
    status, answer = await here.controls.change("POST", f"/v1/hosts/{server_id}/depart", body)
    assert status == 200, answer


async def _revision(here):
    return max(entry.core._state.revision for entry in here.entries)


@then('soon the upstream\'s server "{server_id}" gets no new work from any entry')
def step_no_new_work(context, server_id):
    here = world(context)
    here.call(_until_quiet, here, here.upstream.server(server_id))


async def _until_quiet(here, server):
    """Wait until a good number of answers came while the server ran not one shard request."""
    while True:
        ran = server.counts.answered
        right = here.load_counts["right"]
        await here.until(lambda right=right: here.load_counts["right"] >= right + QUIET_QUERIES)
        if server.counts.answered == ran:
            return
        await trio.sleep(0.01)


@then("the callers that used the entries meanwhile had only right answers")
def step_only_right(context):
    here = world(context)
    counts = here.call(here.end_load)
    assert counts["right"] > QUIET_QUERIES
    assert not counts["wrong"] and not counts["broken"], counts
