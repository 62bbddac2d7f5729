from __future__ import annotations

import trio
from behave import given, then, when

from features.entry_world import world

QUIET_QUERIES = 40


@given("callers use the entries that hold a lease without pause")
def step_callers(context):
    harness = world(context)
    harness.call(harness.start_load)


@when('{source} reports that the upstream\'s server "{server_id}" is leaving')
def step_leaving(context, source, server_id):
    harness = world(context)
    server = harness.upstream.server(server_id)
    match source:
        case "the platform":
            harness.platform.states = {server.port: "leaving"}
        case "an operator":
            harness.call(_depart, harness, server_id)
        case "its health endpoint":
            server.faults.health_state = "draining"
        case "its answer to a query":
            server.faults.draining = True
            server.faults.health_state = "ready"
        case _:
            raise AssertionError(source)


async def _depart(harness, server_id):
    body = {
        "change_id": "depart-1",
        "expected_revision": await _revision(harness),
        "role": "upstream",
        "upstream": "navigator",
    }
    status, answer = await harness.controls.change("POST", f"/v1/hosts/{server_id}/depart", body)
    assert status == 200, answer


async def _revision(harness):
    return max(entry.core._state.revision for entry in harness.entries)


@then('soon the upstream\'s server "{server_id}" gets no new requests from any entry')
def step_no_new_requests(context, server_id):
    harness = world(context)
    harness.call(_until_no_new_requests, harness, harness.upstream.server(server_id))


async def _until_no_new_requests(harness, server):
    """Wait until ``QUIET_QUERIES`` queries were answered without a shard request to the server."""
    while True:
        answered_before = server.counts.answered
        correct_before = harness.load_counts["right"]
        await harness.until(
            lambda correct_before=correct_before: harness.load_counts["right"]
            >= correct_before + QUIET_QUERIES
        )
        if server.counts.answered == answered_before:
            return
        await trio.sleep(0.01)


@then("the callers that used the entries meanwhile got only correct answers")
def step_only_correct(context):
    harness = world(context)
    counts = harness.call(harness.end_load)
    assert counts["right"] > QUIET_QUERIES
    assert not counts["wrong"] and not counts["broken"], counts
