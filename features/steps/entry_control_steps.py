from __future__ import annotations

import trio
from behave import given, then, when

from features.entry_world import world

RULES = [{"name": "only", "then": {"deadline_ms": 5000, "retries": 2}}]


async def _until_may_serve(here):
    await here.until(lambda: _may_serve(here))


def _may_serve(here):
    return all(entry.may_serve for entry in here.entries)


@given("{controls:d} control hosts and {count:d} entries that hold a lease")
def step_tier(context, controls, count):
    here = world(context)
    here.call(here.start_controls, controls)
    here.call(here.change_rules, RULES)
    for _ in range(count):
        here.call(here.start_entry)
    here.call(_until_may_serve, here)


@when("{count:d} more entries join and hold a lease")
def step_join(context, count):
    here = world(context)
    for _ in range(count):
        here.call(here.start_entry)
        here.call(_until_may_serve, here)
    here.call(here.nap, 0.5)


async def _book(here, entry, booking):
    return await here.query(entry, "/run", request_id=booking, key=booking)


@when('the booking "{booking}" is sent to both entries at once')
def step_both(context, booking):
    here = world(context)

    async def both():
        replies = []

        async def one(entry):
            replies.append(await _book(here, entry, booking))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(one, 0)
            nursery.start_soon(one, 1)
        return replies

    context.booking_first = here.call(both)


@when('the booking "{booking}" is sent to each entry again')
def step_again(context, booking):
    here = world(context)
    context.booking_again = [here.call(_book, here, entry, booking) for entry in (0, 1)]


@then('the booking "{booking}" ran once at the upstream')
def step_ran_once(context, booking):
    runs = [run for run in world(context).upstream.runs if run[0] == booking]
    assert len(runs) == 1, runs


@then("at least one entry answered the booking at once and each did when it was sent again")
def step_answered(context):
    first = [answer for status, answer in context.booking_first if status == 200]
    others = [answer for status, answer in context.booking_first if status != 200]
    assert first and all(item["error"] == "in_progress" for item in others), context.booking_first
    for status, answer in context.booking_again:
        assert status == 200 and answer["rows"] == first[0]["rows"], answer


@when('the booking "{booking}" has reached the upstream by entry {number:d}, which then is lost')
def step_lost(context, booking, number):
    here = world(context)

    async def lose():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_book, here, number - 1, booking)
            await here.until(lambda: here.upstream.runs)
            nursery.cancel_scope.cancel()
        await here.end_entry(number - 1)

    here.call(lose)


@when('the booking "{booking}" is sent to entry {number:d} until it is no longer in progress')
def step_until(context, booking, number):
    here = world(context)

    async def resend():
        while True:
            status, answer = await _book(here, number - 1, booking)
            if answer.get("error") != "in_progress":
                return status, answer
            await trio.sleep(0.1)

    context.booking_reply = here.call(resend)


@then('the entry answers the booking with "{error}" and "{ran}"')
def step_booking_error(context, error, ran):
    _, answer = context.booking_reply
    assert (answer["error"], answer["ran"]) == (error, ran), answer


@when("{count:d} bookings are sent to the entries")
def step_bookings(context, count):
    here = world(context)
    context.bookings = {
        f"booking-{number}": here.call(_book, here, number % 2, f"booking-{number}")
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
    here = world(context)
    for entry in range(len(here.entries)):
        for _ in range(count):
            status, answer = here.call(here.query, entry)
            assert status == 200 and here.check(answer) is None, answer


@when('a query with the word "{word}" is sent {count:d} times to the entries by turns')
def step_poison(context, word, count):
    here = world(context)

    async def send():
        for number in range(count):
            status, answer = await here.query(
                number % len(here.entries), query={"topic": word}, request_id=f"p-{number}"
            )
            assert status != 200, answer
            await _until_tier_knows(here)

    here.call(send)


async def _until_tier_knows(here):
    """Wait until the crashes so far are known everywhere, as the caller waits who sends again."""
    crashes = sum(server.counts.crashes for server in here.upstream.servers)
    while crashes >= 2 and not all(
        e.core._state.crashes.quarantined_tier_wide for e in here.entries
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


@then("soon the entries answer innocent queries whole")
def step_innocent(context):
    here = world(context)

    async def ask():
        for entry in range(len(here.entries)):
            while True:
                status, answer = await here.query(entry)
                if status == 200:
                    assert here.check(answer) is None, answer
                    if not answer["missing"]:
                        break
                await trio.sleep(0.05)

    here.call(ask)


@when("all control hosts of the entries are lost")
def step_controls_lost(context):
    here = world(context)

    async def kill():
        for name in list(here.controls.hosts):
            await here.controls.kill_control(name)

    here.call(kill)


@then('soon each entry refuses with "{error}" and "{ran}"')
def step_refuses(context, error, ran):
    here = world(context)

    async def ask():
        for entry in range(len(here.entries)):
            while (await here.query(entry))[0] == 200:
                await trio.sleep(0.05)
            status, answer = await here.query(entry)
            assert status == 503 and (answer["error"], answer["ran"]) == (error, ran), answer

    here.call(ask)


@when("an operator plans the stop of entry {number:d} with control")
def step_plan_stop(context, number):
    here = world(context)

    async def plan():
        body = {"change_id": "stop-1", "expected_revision": 1, "forced": True}
        path = f"/v1/hosts/{here.entries[number - 1].cfg.name}/stop"
        return await here.controls.change("POST", path, body)

    status, answer = here.call(plan)
    assert status == 200, answer


@then("soon entry {number:d} has been asked to stop")
def step_asked_to_stop(context, number):
    here = world(context)
    here.call(here.until, here.entries[number - 1].stop_requested.is_set)
