from __future__ import annotations

import trio
from behave import given, then, when

from features.entry_world import world

RULES = [{"name": "only", "then": {"deadline_ms": 5000, "retries": 2}}]


async def _until_may_serve(harness):
    await harness.until(lambda: _may_serve(harness))


def _may_serve(harness):
    return all(entry.may_serve for entry in harness.entries)


@given("{controls:d} control hosts and {count:d} entries that hold a lease")
def step_tier(context, controls, count):
    harness = world(context)
    harness.call(harness.start_controls, controls)
    harness.call(harness.change_rules, RULES)
    for _ in range(count):
        harness.call(harness.start_entry)
    harness.call(_until_may_serve, harness)


@when("{count:d} more entries join and hold a lease")
def step_join(context, count):
    harness = world(context)
    for _ in range(count):
        harness.call(harness.start_entry)
        harness.call(_until_may_serve, harness)
    harness.call(harness.sleep_for, 0.5)


async def _send_booking(harness, entry, booking):
    return await harness.query(entry, "/run", request_id=booking, key=booking)


@when('the booking "{booking}" is sent to both entries simultaneously')
def step_both(context, booking):
    harness = world(context)

    async def send_both():
        replies = []

        async def send_to(entry):
            replies.append(await _send_booking(harness, entry, booking))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_to, 0)
            nursery.start_soon(send_to, 1)
        return replies

    context.booking_first = harness.call(send_both)


@when('the booking "{booking}" is resent to each entry')
def step_again(context, booking):
    harness = world(context)
    context.booking_resent = [
        harness.call(_send_booking, harness, entry, booking) for entry in (0, 1)
    ]


@then('the booking "{booking}" ran once at the upstream')
def step_ran_once(context, booking):
    runs = [run for run in world(context).upstream.runs if run[0] == booking]
    assert len(runs) == 1, runs


@then("at least one entry answered the first booking, and each entry answered the resent one")
def step_answered(context):
    first = [answer for status, answer in context.booking_first if status == 200]
    others = [answer for status, answer in context.booking_first if status != 200]
    assert first and all(reply["error"] == "in_progress" for reply in others), context.booking_first
    for status, answer in context.booking_resent:
        assert status == 200 and answer["rows"] == first[0]["rows"], answer


@when('the booking "{booking}" has reached the upstream through entry {number:d}, which then fails')
def step_entry_fails(context, booking, number):
    harness = world(context)

    async def fail_entry():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_booking, harness, number - 1, booking)
            await harness.until(lambda: harness.upstream.runs)
            nursery.cancel_scope.cancel()
        await harness.end_entry(number - 1)

    harness.call(fail_entry)


@when('the booking "{booking}" is sent to entry {number:d} until it is no longer in progress')
def step_until(context, booking, number):
    harness = world(context)

    async def resend():
        while True:
            status, answer = await _send_booking(harness, number - 1, booking)
            if answer.get("error") != "in_progress":
                return status, answer
            await trio.sleep(0.1)

    context.booking_reply = harness.call(resend)


@then('the entry answers the booking with "{error}" and "{ran}"')
def step_booking_error(context, error, ran):
    _, answer = context.booking_reply
    assert (answer["error"], answer["ran"]) == (error, ran), answer


@when("{count:d} bookings are sent to the entries")
def step_bookings(context, count):
    harness = world(context)
    context.bookings = {
        f"booking-{number}": harness.call(_send_booking, harness, number % 2, f"booking-{number}")
        for number in range(count)
    }


@then("each booking ran once at the upstream and was answered")
def step_each_once(context):
    ran = sorted(booking for booking, _ in world(context).upstream.runs)
    assert ran == sorted(context.bookings), ran
    for booking, (status, answer) in context.bookings.items():
        assert status == 200, answer
        assert answer["rows"][0]["ran"] == booking


@given('each server of the upstream crashes on the word "{word}"')
def step_crash_on(context, word):
    for server in world(context).upstream.servers:
        server.faults.crash_on = word.encode()


@given("the entries were asked {count:d} times each")
def step_asked_each(context, count):
    harness = world(context)
    for entry in range(len(harness.entries)):
        for _ in range(count):
            status, answer = harness.call(harness.query, entry)
            assert status == 200 and harness.check(answer) is None, answer


@when('a query with the word "{word}" is sent {count:d} times to the entries by turns')
def step_poison(context, word, count):
    harness = world(context)

    async def send():
        for number in range(count):
            status, answer = await harness.query(
                number % len(harness.entries), query={"topic": word}, request_id=f"p-{number}"
            )
            assert status != 200, answer
            await _until_quarantined(harness)

    harness.call(send)


async def _until_quarantined(harness):
    """Wait until all entries know the crashes so far, as a caller waits before it resends."""
    crashes = sum(server.counts.crashes for server in harness.upstream.servers)
    while crashes >= 2 and not all(
        node.core._state.crashes.quarantined_tier_wide for node in harness.entries
    ):
        await trio.sleep(0.01)


@then("at most {count:d} servers of the upstream crashed")
def step_crashes(context, count):
    crashed = {
        server.server_id: server.counts.crashes
        for server in world(context).upstream.servers
        if server.counts.crashes
    }
    assert 1 <= sum(crashed.values()) <= count, crashed


@then("soon the entries answer other queries completely")
def step_other_queries(context):
    harness = world(context)

    async def ask():
        for entry in range(len(harness.entries)):
            while True:
                status, answer = await harness.query(entry)
                if status == 200:
                    assert harness.check(answer) is None, answer
                    if not answer["missing"]:
                        break
                await trio.sleep(0.05)

    harness.call(ask)


@when("all control hosts of the entries fail")
def step_controls_lost(context):
    harness = world(context)

    async def kill():
        for name in list(harness.controls.hosts):
            await harness.controls.kill_control(name)

    harness.call(kill)


@then('soon each entry refuses with "{error}" and "{ran}"')
def step_refuses(context, error, ran):
    harness = world(context)

    async def ask():
        for entry in range(len(harness.entries)):
            while (await harness.query(entry))[0] == 200:
                await trio.sleep(0.05)
            status, answer = await harness.query(entry)
            assert status == 503 and (answer["error"], answer["ran"]) == (error, ran), answer

    harness.call(ask)


@when("an operator plans the stop of entry {number:d} through control")
def step_plan_stop(context, number):
    harness = world(context)

    async def plan():
        body = {"change_id": "stop-1", "expected_revision": 1, "forced": True}
        path = f"/v1/hosts/{harness.entries[number - 1].cfg.name}/stop"
        return await harness.controls.change("POST", path, body)

    status, answer = harness.call(plan)
    assert status == 200, answer


@then("soon entry {number:d} has been asked to stop")
def step_asked_to_stop(context, number):
    harness = world(context)
    harness.call(harness.until, harness.entries[number - 1].stop_requested.is_set)
