from __future__ import annotations

from functools import partial

import trio
import trio.testing
from behave import given, then, when

from alderhatch.http.client import open_http
from alderhatch.http.exchange import ExchangeFault, HttpExchangeError

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 30
READ_BYTES = 65_536
READ_PAUSE_S = 0.0005


async def answer_with_size(stream):
    head = b""
    while b"\r\n\r\n" not in head:
        head += await stream.receive_some(READ_BYTES)
    head, _, rest = head.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    size = len(rest)
    while size < length:
        await trio.sleep(READ_PAUSE_S)
        size += len(await stream.receive_some(READ_BYTES))
    body = b"%d" % size
    await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


async def answer_never(stream):
    await trio.sleep_forever()


async def with_connection(handler, use):
    """Run ``use`` on a connection to a loopback server with the given handler."""
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(partial(trio.serve_tcp, handler, 0, host=LOOPBACK))
            conn = await open_http(LOOPBACK, listeners[0].socket.getsockname()[1])
            try:
                return await use(conn)
            finally:
                conn.close()
                nursery.cancel_scope.cancel()


@given("a server that reads slowly and answers with the size of what it read")
def step_slow_reader(context):
    context.handler = answer_with_size


@given("a server that never answers")
def step_silent(context):
    context.handler = answer_never


@when("a request with a body of 32 MiB is sent to it")
def step_large(context):
    async def use(conn):
        return await conn.exchange("POST", "/", bytes(32 * 1024 * 1024))

    context.reply = trio.run(with_connection, context.handler, use)


@then("its answer is {size:d}")
def step_answer(context, size):
    assert int(context.reply.body) == size, context.reply


@when("the connection is closed locally while an exchange is in progress on it")
def step_close(context):
    async def exchange(conn):
        try:
            await conn.exchange("GET", "/")
        except HttpExchangeError as exc:
            context.fault = exc.fault

    async def use(conn):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(exchange, conn)
            await trio.testing.wait_all_tasks_blocked()
            conn.close(ExchangeFault.LOST)
        context.usable = conn.usable

    trio.run(with_connection, context.handler, use)


@then('the exchange fails as "lost" and the connection can\'t be used again')
def step_lost(context):
    assert context.fault is ExchangeFault.LOST, context.fault
    assert not context.usable
