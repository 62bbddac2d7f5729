from __future__ import annotations

from random import Random

import orjson
import trio
from behave import given, then, when

from alderhatch.core.entry_events import AttemptFailed, AttemptFault, SendShard
from alderhatch.core.request import Request
from alderhatch.entry.attempt_runner import AttemptRunner
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.entry.upstream_lists import parse_shard_map
from alderhatch.entry.upstream_protocol import ProtocolError
from alderhatch.standin.server_faults import Garbage
from features.entry_world import world


@given("an upstream for the entry of {shards:d} shards with {servers:d} server each")
@given("an upstream for the entry of {shards:d} shards with {servers:d} servers each")
def step_upstream(context, shards, servers):
    here = world(context)
    here.call(here.start_upstream, shards, servers)


@given("the entry's rule has a deadline of {duration_ms:d} ms")
def step_rule_deadline(context, duration_ms):
    world(context).rule["deadline_ms"] = duration_ms


@given("the entry runs")
def step_entry_runs(context):
    here = world(context)
    here.call(here.start_entry)


@given('the upstream\'s server of shard "{shard}" answers with "{garbage}"')
def step_shard_garbage(context, shard, garbage):
    for server in world(context).upstream.holders(shard):
        server.faults.garbage = Garbage(garbage)


@given('the upstream\'s server "{server_id}" answers with "{garbage}"')
def step_server_garbage(context, server_id, garbage):
    world(context).upstream.server(server_id).faults.garbage = Garbage(garbage)


@when("the entry is asked {count:d} times")
def step_ask(context, count):
    here = world(context)
    context.entry_replies = [here.call(here.query) for _ in range(count)]


@when("the entry is asked {count:d} different queries")
def step_ask_different(context, count):
    here = world(context)
    context.entry_replies = []
    for number in range(count):

        async def ask(number=number):
            return await here.query(query={"topic": "", "number": number})

        context.entry_replies.append(here.call(ask))


@then('the entry\'s answers are right and lack only shard "{shard}"')
def step_lacking(context, shard):
    for status, answer in context.entry_replies:
        assert status == 200, answer
        assert world(context).check(answer) is None, (world(context).check(answer), answer)
        assert [item["shard"] for item in answer["missing"]] == [shard], answer["missing"]
        assert answer["coverage"] < 1


@then("the entry's answers are right and lack nothing")
def step_whole(context):
    for status, answer in context.entry_replies:
        assert status == 200, answer
        assert world(context).check(answer) is None, world(context).check(answer)
        assert answer["missing"] == [] and answer["coverage"] == 1, answer


@then('after 2 s an exchange with that server of the upstream has the outcome "{outcome}"')
def step_exchange(context, outcome):
    here = world(context)
    events = here.call(_one_attempt, here)
    # A server that sends a byte now and then makes progress; only the query's deadline ends that.
    expected = [] if outcome == "none yet" else [AttemptFailed(1, AttemptFault(outcome))]
    assert events == expected, events


async def _one_attempt(here):
    """Send one shard request with a separate attempt runner and return its events."""
    events = []
    ended = trio.Event()

    def feed(event):
        events.append(event)
        ended.set()

    server = next(item for item in here.upstream.servers if item.faults.garbage)
    shard = next(
        name for name, ids in here.upstream.newest.servers.items() if server.server_id in ids
    )
    request = Request("query-9", "tests", "route", "navigator", b"{}")
    now = trio.current_time() * 1000
    send = SendShard(
        1,
        f"direct-{Random(1).random()}",
        "navigator",
        server.server_id,
        shard,
        here.upstream.newest.snapshot,
        now + 5000,
        request,
    )
    pool = ConnectionPool(1, progress_timeout=300)
    runner = AttemptRunner(pool, feed)
    async with trio.open_nursery() as nursery:
        await nursery.start(pool.run)
        await nursery.start(runner.run)
        pool.update_servers("navigator", here.entries[0].map_pollers[0].newest.servers, [])
        runner.start(send)
        with trio.move_on_after(2):
            await ended.wait()
        nursery.cancel_scope.cancel()
    return events


def _corrupt(raw, error):
    match error:
        case "no version":
            del raw["version"]
        case "a negative epoch":
            raw["epoch"] = -1
        case "a version as text":
            raw["version"] = "1"
        case "the name of another upstream":
            raw["upstream"] = "deskline"
        case "a host name as address":
            raw["servers"][0]["address"] = "navigator.example"
        case "a port of 0":
            raw["servers"][0]["port"] = 0
        case "an unknown server":
            raw["shards"][0]["servers"] = ["nobody"]
        case "two shards of one name":
            raw["shards"][1]["name"] = raw["shards"][0]["name"]
        case "two servers of one id":
            raw["servers"][1]["id"] = raw["servers"][0]["id"]
        case "no shard":
            raw["shards"] = []
        case _:
            raise AssertionError(error)


def _valid_map():
    servers = [
        {
            "id": f"n{number}",
            "address": "127.0.0.1",
            "port": 9000 + number,
            "zone": "austin-hall",
            "slots": 2,
            "max_connections": 30,
        }
        for number in range(2)
    ]
    shards = [
        {"name": f"s0{number}", "documents": 10, "servers": [f"n{number}"]} for number in range(2)
    ]
    return {
        "upstream": "navigator",
        "version": 1,
        "epoch": 1,
        "servers": servers,
        "shards": shards,
    }


@when("the upstream's shard map is read with {error}")
def step_read_map(context, error):
    raw = _valid_map()
    parse_shard_map(orjson.dumps(raw), "navigator")
    if error == "broken JSON":
        body = orjson.dumps(raw)[:-3]
    else:
        _corrupt(raw, error)
        body = orjson.dumps(raw)
    try:
        parse_shard_map(body, "navigator")
    except ProtocolError as exc:
        context.upstream_map_error = str(exc)
    else:
        context.upstream_map_error = None


@then('the upstream\'s shard map is refused because of "{field}"')
def step_map_refused(context, field):
    assert context.upstream_map_error is not None
    assert context.upstream_map_error.startswith(field), context.upstream_map_error
