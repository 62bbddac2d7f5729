from __future__ import annotations

from functools import partial

import trio
from behave import given, then, when

from alderhatch.http.client import open_http
from alderhatch.http.exchange import ExchangeFault, HttpExchangeError
from alderhatch.http.unfinished_replies import UnfinishedReplies
from features.support.endless_bytes import KINDS, EndlessStream, read_head
from features.support.scripted_servers import LOOPBACK

MB = 1024 * 1024


class CountedReplies(UnfinishedReplies):
    """Keeps the most bytes that it has held."""

    most = 0

    def add(self, owner, size):
        super().add(owner, size)
        self.most = max(self.most, self.total)


@given("40 servers that answer with a body to the close without end, at full speed")
def step_many(context):
    context.handler = partial(send_endless, KINDS["a body to the close"])
    context.count = 40


@given("20 servers that answer with a sound body of 4 MB")
def step_sound(context):
    context.handler = send_whole
    context.count = 20


async def send_slowly(stream):
    """Send a sound answer of 100 kB, which takes longer than the endless ones around it."""
    await read_head(stream)
    await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
    for _ in range(100):
        await stream.send_all(b"r" * 1000)
        await trio.sleep(0.005)


async def send_whole(stream):
    await read_head(stream)
    await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (4 * MB))
    await stream.send_all(b"r" * (4 * MB))


async def send_endless(kind, stream):
    await read_head(stream)
    await EndlessStream(stream).send(kind, is_fast=True)


async def fetch(port, unfinished, outcomes):
    conn = await open_http(LOOPBACK, port, unfinished=unfinished)
    try:
        reply = await conn.forward("GET", "/x", [(b"host", b"a")])
        outcomes.append(len(reply.body))
    except HttpExchangeError as exc:
        outcomes.append(exc.fault)
    finally:
        conn.close()


@when("a request is sent to each of them, with a limit of {size:d} MB for all bodies together")
def step_fetch_all(context, size):
    context.limit = size * MB
    context.replies = CountedReplies(context.limit)
    context.outcomes = []
    context.sound_outcomes = []

    async def main():
        async with trio.open_nursery() as nursery:
            ports = []
            for handler in (context.handler, send_slowly):
                listeners = await nursery.start(partial(trio.serve_tcp, handler, 0, host=LOOPBACK))
                ports.append(listeners[0].socket.getsockname()[1])
            async with trio.open_nursery() as requests:
                requests.start_soon(fetch, ports[1], context.replies, context.sound_outcomes)
                for _ in range(context.count):
                    requests.start_soon(fetch, ports[0], context.replies, context.outcomes)
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("the bodies that arrived never held more than that, and all requests have failed")
def step_bounded(context):
    assert context.limit // 2 < context.replies.most <= context.limit, context.replies.most
    assert context.outcomes == [ExchangeFault.GARBAGE] * 40, context.outcomes
    assert context.replies.total == 0


@then("a sound answer of 100 kB that arrived meanwhile was not given up")
def step_sound_kept(context):
    assert context.sound_outcomes == [100_000], context.sound_outcomes


@then("all bodies arrive whole, and never held more than that")
def step_whole(context):
    assert context.outcomes == [4 * MB] * context.count, context.outcomes
    assert context.replies.most <= context.limit, context.replies.most
    assert context.replies.total == 0
