from __future__ import annotations

from functools import partial

import orjson
import trio
from behave import given, then, when

from alderhatch.clock import SECOND
from alderhatch.codec import Codec
from alderhatch.core.entry_events import SendShard
from alderhatch.core.request import Request
from alderhatch.entry.operator_handler import OperatorHandler
from alderhatch.entry.owner_link import OwnerCallError
from alderhatch.entry.owner_messages import ENTRY_ROLE, OWNER_MESSAGES
from alderhatch.http.messages import HttpRequest
from alderhatch.link import LinkClosedError, Peer, open_link
from features.entry_world import LOOPBACK, ZONES, world
from features.steps.entry_connections_steps import step_limit_kept
from features.steps.entry_control_steps import RULES, _send_booking, _until_may_serve
from features.steps.entry_leaving_steps import _revision


async def _change_owners(here, owners):
    body = {
        "change_id": f"owners-{owners}-{trio.current_time()}",
        "expected_revision": await _revision(here),
        "settings": {"owners_per_server": owners},
    }
    status, answer = await here.controls.change("PUT", "/v1/settings", body)
    assert status == 200, answer
    await here.until(lambda: all(_uses_owners(entry, owners) for entry in here.entries))


def _uses_owners(entry, owners):
    client = entry._control.client
    if client.view.settings.owners_per_server != owners:
        return False
    servers = entry.known_servers()
    if owners == 0:
        return bool(servers) and all(entry.pool.share_of(one.server_id) for one in servers)
    named = [client.owners(one) for one in servers]
    return bool(named) and client.share == 1 and all(len(names) == owners for names in named)


@given(
    "{controls:d} control hosts and {count:d} entries with links and {owners:d} owners "
    "for each server"
)
def step_tier(context, controls, count, owners):
    here = world(context)
    # The whole tier runs in one event loop, and a shorter lease would expire on a busy machine.
    here.settings |= {"links": True, "lease_ms": 5000, "health_poll_ms": 400, "map_poll_ms": 200}
    # All entries are in one zone, so that they query servers there that other entries own.
    here.settings["zone"] = ZONES[0]
    here.call(here.start_controls, controls)
    here.call(here.change_rules, RULES)
    for _ in range(count):
        here.call(here.start_entry)
    here.call(_until_may_serve, here)
    here.call(_change_owners, here, owners)


@when("{count:d} queries are sent to the entries by turns")
def step_queries(context, count):
    here = world(context)
    context.answers = [
        here.call(partial(here.query, number % len(here.entries), request_id=f"q-{number}"))
        for number in range(count)
    ]


@then("each of them got a complete and correct answer")
def step_whole(context):
    assert context.answers
    for status, answer in context.answers:
        assert status == 200 and not answer["missing"], answer
        assert world(context).check(answer) is None, answer


@then(
    "each server of the upstream has connections of {owners:d} entries and no more than its limit"
)
def step_connections(context, owners):
    here = world(context)
    for server in here.upstream.servers:
        holders = [
            one for one in here.entries if sum(one.pool.idle_and_busy_counts(server.server_id))
        ]
        assert len(holders) == owners, (server.server_id, len(holders))
    step_limit_kept(context)


@then("some shard requests were sent through owners")
def step_through(context):
    assert sum(entry.owners.traffic.messages for entry in world(context).entries) > 0


@then("the entries' dumps show the links that were used")
def step_dumps(context):
    here = world(context)
    get = HttpRequest("GET", "/dump", {}, {}, b"")

    async def links_shown():
        answers = [await OperatorHandler(entry).handle(get) for entry in here.entries]
        links = [orjson.loads(answer.body)["links"] for answer in answers]
        return dict(zip((entry.cfg.name for entry in here.entries), links, strict=True))

    async def both_ends_shown():
        # The dialling end sees a link as open a moment before the accepting end.
        while True:
            shown = await links_shown()
            dialled = {(name, to) for name, links in shown.items() for to in links["to_owners"]}
            accepted = {
                (who, name) for name, links in shown.items() for who in links["from_entries"]
            }
            if dialled and dialled <= accepted:
                return
            await trio.sleep(0.02)

    here.call(both_ends_shown)


@when("the number of owners is changed to {first:d}, then to {second:d}, then to {third:d}")
def step_change(context, first, second, third):
    here = world(context)
    for owners in (first, second, third):
        here.call(_change_owners, here, owners)
        here.call(here.sleep_for, 0.3)


@given("callers use all entries except the last without a pause")
def step_others(context):
    here = world(context)
    here.call(partial(here.start_load, callers=len(here.entries) - 1))


@then("the callers of entries with owners still get only correct answers")
def step_still_correct(context):
    here = world(context)
    enough = here.load_counts["right"] + 50
    here.call(here.until, lambda: here.load_counts["right"] > enough)
    counts = here.call(here.end_load)
    assert not counts["wrong"] and not counts["broken"], counts


@when("the last entry is lost")
def step_lost(context):
    here = world(context)
    lost = here.entries[-1].cfg.name
    here.call(here.end_entry, len(here.entries) - 1)
    here.call(here.until, lambda: all(_has_dropped(entry, lost) for entry in here.entries[:-1]))


def _has_dropped(entry, name):
    client = entry._control.client
    return name not in client.view.roster and _uses_owners(entry, 2)


@when("the last entry performs a planned stop")
def step_stop(context):
    here = world(context)
    last = here.entries[-1]

    async def stop():
        body = {"change_id": "stop", "expected_revision": await _revision(here)}
        path = f"/v1/hosts/{last.cfg.name}/stop"
        status, answer = await here.controls.change("POST", path, body)
        assert status == 200, answer
        await here.stop_entry(len(here.entries) - 1)

    here.call(stop)
    context.left_running = last.running_for_others


@then("it aborted no request of another entry")
def step_none_aborted(context):
    assert context.left_running == 0


@when("the links of the last entry go silent and {count:d} queries are sent to the other entries")
def step_silent(context, count):
    here = world(context)
    last = here.entries[-1].owner_server

    async def use_links():
        while not last.links:
            await here.query(0)

    here.call(use_links)

    async def send_nothing(message):
        await trio.sleep_forever()

    async def silence():
        assert last.links, "the last entry has no open link"
        for link in last.links:
            link.send = send_nothing

    here.call(silence)
    context.answers = [
        here.call(partial(here.query, number % (len(here.entries) - 1), request_id=f"q-{number}"))
        for number in range(count)
    ]


@when('the booking "{booking}" has reached the upstream through an owner that is then lost')
def step_owner_lost(context, booking):
    here = world(context)

    async def lose():
        replies = []

        async def book():
            replies.append(await _send_booking(here, requester, booking))

        requester = _entry_without_servers(here)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(book)
            await here.until(lambda: here.upstream.runs)
            owners = [n for n, one in enumerate(here.entries) if one.running_for_others]
            assert len(owners) == 1, owners
            await here.end_entry(owners[0])
        return replies[0]

    context.booking_reply = here.call(lose)


@when("{count:d} shard requests are sent through the owner of a server at once")
def step_flood(context, count):
    here = world(context)
    requester = here.entries[_entry_without_servers(here)]
    server = here.upstream.servers[0]
    request = Request("flood", "tests", "route", "navigator", b"{}")
    context.flood = []

    async def one(number):
        snapshot = requester.map_pollers[0].newest.snapshot
        shard = requester.map_pollers[0].newest.shards[0].name
        deadline = trio.current_time() * SECOND + 60_000.0
        target = (f"flood-{number}", "navigator", server.server_id, shard, snapshot)
        try:
            await requester.owners.exchange(SendShard(number, *target, deadline, request), deadline)
        except OwnerCallError as exc:
            context.flood.append((number, exc.fault))

    async def flood():
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(one, number)
            await here.until(lambda: context.flood and server.counts.received)
            # All calls were sent in one message, so all refusals have been made by now.
            context.accepted = sum(entry.running_for_others for entry in here.entries)
            nursery.cancel_scope.cancel()

    here.call(flood)


@then(
    'the owner accepts {accepted:d} of them and refuses {refused:d} with "{fault}",'
    " of which no byte reaches the server"
)
def step_flood_refused(context, accepted, fault, refused):
    assert [got for _, got in context.flood] == [fault] * refused, context.flood
    assert context.accepted == accepted
    assert world(context).upstream.servers[0].counts.received <= accepted


def _entry_without_servers(here):
    """Return the index of an entry that owns no server."""
    servers = [server.server_id for server in here.upstream.servers]
    for number, entry in enumerate(here.entries):
        if not any(entry.pool.share_of(server_id) for server_id in servers):
            return number
    raise AssertionError("expected an entry that owns no server; each owns one")


@when("a peer without the secret opens a link to an entry")
def step_peer_without_secret(context):
    here = world(context)

    async def dial():
        codec = Codec(*OWNER_MESSAGES)
        me = Peer("intruder", ENTRY_ROLE)
        try:
            port = here.entries[1].link_port
            async with open_link(LOOPBACK, port, codec, b"a guess", me):
                return False
        except LinkClosedError:
            return True

    context.refused = here.call(dial)


@then("the peer without the secret is refused")
def step_refused(context):
    assert context.refused
    links = world(context).entries[1].owner_server.links
    assert "intruder" not in {link.peer.name for link in links}
