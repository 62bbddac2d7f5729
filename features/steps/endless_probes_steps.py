from __future__ import annotations

from types import SimpleNamespace

import trio
from behave import given, then, when

from alderhatch import task_faults
from alderhatch.core.entry_events import ServerState
from alderhatch.core.shard_map import Server
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.entry.health_poller import MAX_HEALTH_BYTES, HealthPoller
from features.support.endless_bytes import KINDS, EndlessServer
from features.support.scripted_servers import LOOPBACK, SCENE_TIMEOUT_S

CLOSE_TIMEOUT_S = 3.0
MAX_BUFFERED_BYTES = 8_000_000
"""What the sockets of both ends may hold beside what was read."""


@given("a server whose health is {kind} without end, {pace}")
def step_server(context, kind, pace):
    context.endless = EndlessServer("i-0", "kitchen", KINDS[kind], pace == "at full speed")


@when("it is probed until it has been reported")
def step_probe(context):
    before = task_faults.counts.copy()
    context.reports = []

    async def main():
        with trio.fail_after(SCENE_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                await nursery.start(context.endless.serve)
                await probe(context, nursery)
                nursery.cancel_scope.cancel()

    trio.run(main)
    assert task_faults.counts == before, task_faults.counts - before


async def probe(context, nursery):
    server = Server("i-0", LOOPBACK, context.endless.port, "zone-0", 2, 4)
    shard_map = SimpleNamespace(servers=(server,), by_server_id={"i-0": server})
    reported = trio.Event()

    def report(health):
        context.reports.append(health)
        reported.set()

    pool = ConnectionPool(2, spares=False)
    await nursery.start(pool.run)
    pool.update_servers("kitchen", [server], [])
    cfg = SimpleNamespace(health_poll_ms=60_000.0)
    nursery.start_soon(HealthPoller(cfg, pool, lambda: shard_map, report).run)
    await reported.wait()
    with trio.move_on_after(CLOSE_TIMEOUT_S):
        for stream in context.endless.streams:
            await stream.closed.wait()


@then("it is reported as unreachable, and all connections of its probes were closed")
def step_reported(context):
    assert [one.state for one in context.reports] == [ServerState.UNREACHABLE], context.reports
    streams = context.endless.streams
    assert streams
    assert all(one.closed.is_set() for one in streams)
    assert max(one.sent for one in streams) <= 3 * MAX_HEALTH_BYTES + MAX_BUFFERED_BYTES
