from __future__ import annotations

from unittest.mock import patch

import orjson
import trio
from behave import given, then, when

from alderhatch.node.server_list import ListUnavailableError
from alderhatch.platform import server_list
from alderhatch.platform.server_list import PlatformServerList
from features.steps.platform_edge_steps import SERVER
from features.support.endless_bytes import KINDS, EndlessStream, read_head
from features.support.scripted_servers import LOOPBACK, SCENE_TIMEOUT_S, reply_bytes

PAGE_PAUSE_S = 0.1
CLOSE_TIMEOUT_S = 3.0
KB = 1000


class ListServer:
    """Serves pages that ``answer`` makes of the number of the request."""

    def __init__(self, answer):
        self._answer = answer
        self.requests = 0
        self.streams = []

    async def handle(self, stream):
        try:
            while True:
                await read_head(stream)
                self.requests += 1
                await self._answer(self, stream, self.requests)
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.EndOfChannel):
            return


def page(next_token, padding=0):
    body = {"instances": [SERVER], "next-token": next_token, "padding": "p" * padding}
    return reply_bytes(200, body=orjson.dumps(body))


@given("a server list that is {kind} without end, {pace}, at the first read")
def step_endless_list(context, kind, pace):
    async def answer(server, stream, number):
        if number > 1:
            await stream.send_all(page(None))
            return
        endless = EndlessStream(stream)
        server.streams.append(endless)
        await endless.send(KINDS[kind], pace == "at full speed")

    context.list_server = ListServer(answer)


NEXT_TOKENS = {
    "a page that names itself as the next one": lambda number: "same",
    "two pages that name each other": lambda number: f"p-{number % 2}",
}


@given("a server list of {pages}")
def step_pages(context, pages):
    next_token = NEXT_TOKENS.get(pages, lambda number: f"p-{number}")
    padding = 2 * 1024 * 1024 if "2 MB" in pages else 0
    is_slow = "every 100 ms" in pages

    async def answer(server, stream, number):
        if is_slow:
            await trio.sleep(PAGE_PAUSE_S)
        await stream.send_all(page(next_token(number), padding))

    context.list_server = ListServer(answer)


def read_times(context, count):
    """Read the list some times; keep what each read returned or raised."""
    context.reads = []

    async def main():
        with trio.fail_after(SCENE_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
                handler = context.list_server.handle
                nursery.start_soon(trio.serve_listeners, handler, listeners)
                port = listeners[0].socket.getsockname()[1]
                source = PlatformServerList(LOOPBACK, port)
                for _ in range(count):
                    try:
                        context.reads.append(await source.read())
                    except ListUnavailableError as exc:
                        context.reads.append(exc)
                with trio.move_on_after(CLOSE_TIMEOUT_S):
                    for stream in context.list_server.streams:
                        await stream.closed.wait()
                nursery.cancel_scope.cancel()

    trio.run(main)


@when("the list is read twice")
def step_read_twice(context):
    read_times(context, 2)


@when("the list is read, with {timeout:d} ms for all pages")
def step_read_once(context, timeout):
    with patch.object(server_list, "READ_TIMEOUT", float(timeout)):
        read_times(context, 1)


@then("the first read reports it as unreadable, after at most {size:d} kB")
def step_first_read(context, size):
    assert isinstance(context.reads[0], ListUnavailableError), context.reads[0]
    (stream,) = context.list_server.streams
    assert stream.closed.is_set()
    assert stream.sent <= size * KB, stream.sent


@then("the second read has its server")
def step_second_read(context):
    assert [one.server_id for one in context.reads[1]] == [SERVER["instance-id"]], context.reads[1]


@then("it is reported as unreadable because it {why}, after {most:d} pages at most")
def step_given_up(context, why, most):
    (error,) = context.reads
    assert isinstance(error, ListUnavailableError), error
    assert why in str(error), error
    assert context.list_server.requests <= most, context.list_server.requests


@then("the first read is given up because of its page, as it has {why} ms")
def step_page_given_up(context, why):
    assert why in str(context.reads[0]), context.reads[0]
