from __future__ import annotations

import trio
from behave import given, then, when

from alderhatch.core.shard_map import Server
from alderhatch.entry.connection_pool import ConnectionPool

UPSTREAM = "rare"
SERVER_ID = "i-1"
IDLE_TIMEOUT_S = 0.7
TIMEOUT_S = 30


class IdleClosingServer:
    """A server that never answers and closes each connection after ``IDLE_TIMEOUT_S``."""

    def __init__(self):
        self.closed = 0

    async def serve(self, stream):
        await trio.sleep(IDLE_TIMEOUT_S)
        await stream.aclose()
        self.closed += 1


@given("a pool with a connection to a server that closes connections unused for 700 ms")
def step_pool(context):
    context.server = IdleClosingServer()
    context.steps = []


@when("the server has closed it")
def step_closed(context):
    async def closed(pool):
        while not context.server.closed:
            await trio.sleep(0.01)

    context.steps.append(closed)


@then("the next request gets a connection without an error")
def step_taken(context):
    async def taken(pool):
        conn = await pool.acquire(SERVER_ID)
        assert conn.alive
        pool.release(SERVER_ID, conn)

    context.steps.append(taken)


@then("the pool opens another one by itself after the server has closed that one too")
def step_again(context):
    async def again(pool):
        known = context.server.closed
        while context.server.closed == known:
            await trio.sleep(0.01)
        opened = pool.opened_count
        while pool.opened_count == opened or pool.idle_and_busy_counts(SERVER_ID) != (1, 0):
            await trio.sleep(0.01)

    context.steps.append(again)
    trio.run(run_steps, context)


async def run_steps(context):
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, context.server.serve, 0)
            port = listeners[0].socket.getsockname()[1]
            pool = ConnectionPool(4, spares=False)
            await nursery.start(pool.run)
            pool.update_servers(UPSTREAM, [Server(SERVER_ID, "127.0.0.1", port, "zone", 2, 10)], ())
            while not pool.opened_count:
                await trio.sleep(0.01)
            for step in context.steps:
                await step(pool)
            nursery.cancel_scope.cancel()
