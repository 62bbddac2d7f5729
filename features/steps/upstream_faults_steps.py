from __future__ import annotations

import orjson
import trio
from behave import given, then, when

from alderhatch.standin.server_faults import FrozenSide
from features.entry_world import LOOPBACK, world


@given("the entry's rule has a target coverage of {coverage:g}")
def step_rule_coverage(context, coverage):
    world(context).rule["coverage"] = coverage


@given('the upstream\'s server "{server_id}" takes {duration_ms:d} ms longer')
def step_straggle(context, server_id, duration_ms):
    world(context).upstream.server(server_id).faults.straggle_ms = duration_ms


@given("each server of the upstream takes {duration_ms:d} ms longer")
def step_all_straggle(context, duration_ms):
    for server in world(context).upstream.servers:
        server.faults.straggle_ms = duration_ms


@given("the upstream was repartitioned into shards of unequal weight")
def step_repartitioned(context):
    world(context).upstream.repartition()


@given("the first server of each shard of the upstream {behaviour}")
def step_first_servers(context, behaviour):
    upstream = world(context).upstream
    for shard in upstream.newest.servers:
        _set_fault(upstream.holders(shard)[0].faults, behaviour)


@given("each server of the upstream reports that it is draining")
def step_all_draining(context):
    for server in world(context).upstream.servers:
        server.faults.health_state = "draining"


def _set_fault(faults, behaviour):
    match behaviour:
        case "sheds":
            faults.shed_ms = 1000
        case "drains":
            faults.draining = True
        case "loses its requests":
            faults.lose = True
        case "reports that it is draining":
            faults.health_state = "draining"
        case "reports that it is starting":
            faults.health_state = "starting"
        case "does not answer health probes":
            faults.health_silent = True
        case "reports no load":
            faults.report_load = (0, 0)
        case "reports a huge load":
            faults.report_load = (1_000_000, 1_000_000)
        case "reports good health and fails":
            faults.lose = True
            faults.health_state = "ready"
            faults.report_load = (0, 0)
        case _:
            raise AssertionError(behaviour)


@given("the entry has received the health of each server")
def step_health_received(context):
    here = world(context)
    here.call(here.sleep_for, 3 * here.entries[0].cfg.upstreams[0].health_poll_ms / 1000)


@given("the entry was asked {count:d} times")
def step_was_asked(context, count):
    here = world(context)
    for status, answer in here.call(here.queries_at_once, count):
        assert status == 200 and here.check(answer) is None, answer


@given(
    "the open connections to the first server of each shard of the upstream go silent"
    " on the {side} side"
)
def step_freeze_first(context, side):
    upstream = world(context).upstream
    context.silent_servers = [upstream.holders(shard)[0] for shard in upstream.newest.servers]
    _freeze(context, side)


@given("all open connections to the upstream go silent on the {side} side")
def step_freeze_all(context, side):
    context.silent_servers = world(context).upstream.servers
    _freeze(context, side)


def _freeze(context, side):
    here = world(context)

    async def freeze():
        for server in context.silent_servers:
            server.freeze_open_connections(FrozenSide(side))

    here.call(freeze)


def _silent(context):
    return [server.server_id for server in context.silent_servers if server.silent_connections]


@then("soon none of the silent connections to the upstream is open")
@when("the entry's probes have replaced the silent connections to the upstream")
def step_replaced(context):
    here = world(context)
    here.call(here.until, lambda: not _silent(context))


@when(
    "the entry is asked {count:d} times at once and the upstream's server" ' "{server_id}" crashes'
)
def step_crash_meanwhile(context, count, server_id):
    here = world(context)
    server = here.upstream.server(server_id)

    async def crash():
        await here.until(lambda: server.counts.received > 0)
        server.crash()

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crash)
            return await here.queries_at_once(count)

    context.entry_replies = here.call(run)


@when('all servers of shard "{shard}" of the upstream are lost for good')
def step_shard_gone(context, shard):
    here = world(context)

    async def crash():
        for server in here.upstream.holders(shard):
            server.faults.restart_ms = 1_000_000
            server.crash()
        await trio.sleep(0.1)

    here.call(crash)


@then('the entry\'s answers are right and lack only the shards "{shards}"')
def step_lacking_shards(context, shards):
    for status, answer in context.entry_replies:
        assert status == 200, answer
        assert world(context).check(answer) is None, world(context).check(answer)
        assert [item["shard"] for item in answer["missing"]] == shards.split(", "), answer


@then("the entry's answers have a coverage of {coverage:g}")
def step_coverage(context, coverage):
    for _, answer in context.entry_replies:
        assert abs(answer["coverage"] - coverage) < 1e-9, answer["coverage"]


@then('the upstream\'s server "{server_id}" saw its requests cancelled')
def step_saw_cancelled(context, server_id):
    here = world(context)
    counts = here.upstream.server(server_id).counts
    here.call(here.until, lambda: counts.received == counts.cancelled)
    assert counts.received > 0


@then('the upstream\'s server "{server_id}" crashed {count:d} time')
def step_crashed(context, server_id, count):
    assert world(context).upstream.server(server_id).counts.crashes == count


@when("a caller of the entry disconnects once its query has reached each server of the upstream")
def step_caller_disconnects(context):
    here = world(context)

    async def leave():
        body = orjson.dumps(
            {
                "request_id": "gone-1",
                "caller": "tests",
                "kind": "route",
                "upstream": "navigator",
                "query": {},
            }
        )
        head = f"POST /query HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        stream = await trio.open_tcp_stream(LOOPBACK, here.entries[0].port)
        await stream.send_all(head.encode() + body)
        await here.until(lambda: all(item.counts.received for item in here.upstream.servers))
        await stream.aclose()

    here.call(leave)


@then("soon each server of the upstream saw its request cancelled")
def step_each_cancelled(context):
    here = world(context)
    servers = here.upstream.servers
    here.call(here.until, lambda: all(item.counts.cancelled == 1 for item in servers))


@then("soon the entry runs no query")
def step_no_query(context):
    here = world(context)
    entry = here.entries[0]
    here.call(here.until, lambda: entry.core.running == 0 and entry.attempts.running == 0)


@when("the first server of each shard of the upstream restarts and stays cold")
def step_restart_cold(context):
    here = world(context)
    upstream = here.upstream
    context.cold = [upstream.holders(shard)[0] for shard in upstream.newest.servers]
    for server in context.cold:
        server.faults.restart_ms = 50.0
        server.faults.cold_ms = 600_000.0
        server.faults.cold_factor = 20.0
    here.call(_restart, here, context.cold)
    context.received_before = {s.server_id: s.counts.received for s in upstream.servers}


async def _restart(here, servers):
    boots = {server.server_id: server.boot_id for server in servers}
    for server in servers:
        server.crash()
    views = here.entries[0].core._state.servers.servers
    await here.until(
        lambda: all(
            views[server.server_id].boot_id == server.boot_id != boots[server.server_id]
            for server in servers
        )
    )


@when("the entry is asked {count:d} times one after the other")
def step_asked_in_turn(context, count):
    here = world(context)

    async def ask():
        return [await here.query(request_id=f"turn-{number}") for number in range(count)]

    context.entry_replies = here.call(ask)


@then("the cold servers of the upstream received less than half as many requests as the others")
def step_cold_spared(context):
    got = {True: 0, False: 0}
    for server in world(context).upstream.servers:
        before = context.received_before[server.server_id]
        got[server in context.cold] += server.counts.received - before
    assert 2 * got[True] < got[False], got
