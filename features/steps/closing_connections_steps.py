from __future__ import annotations

import re
import socket

import trio
import trio.testing
from behave import given, then, when

from alderhatch.clock import SECOND
from alderhatch.http.messages import HttpResponse
from alderhatch.http.serve_state import ServeState
from alderhatch.http.server import serve_http
from features.support.raw_client import REQUEST, RawAnswer, RawClient

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 20.0
SIZE = 60_000
"""More than a client's buffer, and less than that and the server's together: an answer that is not
read is written at once, and a part of it stays in the server's socket."""
SEND_BUFFER_BYTES = 262_144
LATER = 0.05
LONG = 5.0


def serve(context, scene, handler):
    """Run a scene with the port of a server whose sockets hold little."""
    context.state = ServeState()
    context.handled = []
    context.cancelled = []

    async def handle(req):
        context.handled.append(req.path)
        try:
            return await handler(req)
        except trio.Cancelled:
            context.cancelled.append(trio.current_time())
            raise

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = trio.current_time() + TIMEOUT_S
            listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
            listeners[0].socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            context.server_scope = trio.CancelScope()

            async def run_server():
                with context.server_scope:
                    await serve_http(listeners, handle, state=context.state)

            nursery.start_soon(run_server)
            await scene(listeners[0].socket.getsockname()[1])
            nursery.cancel_scope.cancel()

    trio.run(main)


async def until_written(context):
    """Wait until a request has been handled and its answer has been written."""
    while not context.handled or context.state.exchanges:
        await trio.sleep(0.001)
    await trio.testing.wait_all_tasks_blocked()


async def answer_at_once(req):
    return HttpResponse(200, bytes(SIZE))


@given("a server that closes a connection after {why}")
def step_closes(context, why):
    context.why = why


@when("more bytes of its client arrive at the server before the client has read the answer")
def step_bytes_behind(context):
    async def handler(req):
        if context.why == "its last answer, as it stops":
            context.state.closing = True
        return HttpResponse(200, bytes(SIZE))

    async def scene(port):
        client = await RawClient.connect(port)
        request = REQUEST
        if context.why == "the client asked it to":
            request = REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        await client.send_request(request)
        await until_written(context)
        await client.send_request()
        await trio.testing.wait_all_tasks_blocked()
        context.answer = await client.read_answer()
        await client.receive()
        context.client = client

    serve(context, scene, handler)


@then("the client gets the whole answer and the end of the stream, and no reset")
def step_in_order(context):
    assert context.answer == RawAnswer(200, SIZE, True), context.answer
    assert context.client.has_ended and not context.client.was_reset


@given("a server that begins to {what} while it answers the first request")
def step_begins_to(context, what):
    context.what = what


@when("a client sends three requests at once")
def step_ahead(context):
    async def handler(req):
        # Until the requests behind the first one have been read.
        await trio.testing.wait_all_tasks_blocked()
        context.state.closing = True
        context.state.refusing = context.what == "refuse requests"
        return HttpResponse(200, b"body")

    async def scene(port):
        client = await RawClient.connect(port)
        await client.send_request(3 * REQUEST)
        context.received = b""
        while data := await client.receive():
            context.received += data
        context.client = client

    serve(context, scene, handler)


@then("it gets {answers}, and only the last one closes the connection")
def step_all_answered(context, answers):
    heads = re.findall(rb"HTTP/1.1 (\d+)(.*?)\r\n\r\n", context.received, re.DOTALL)
    assert [int(status) for status, _ in heads] == [int(one) for one in answers.split(", ")], heads
    closes = [b"connection: close" in fields.lower() for _, fields in heads]
    assert closes == [False, False, True], heads
    assert context.client.has_ended and not context.client.was_reset


@given("a connection that is idle when its server begins to refuse")
def step_idle(context):
    pass


@when("a request crosses its close, {when}")
def step_crosses(context, when):
    async def scene(port):
        client = await RawClient.connect(port)
        await client.send_request()
        await client.read_answer()
        if when == "sent before that is noticed":
            context.state.refusing = True
            await client.send_request()
        else:
            context.state.refusing = True
            await trio.testing.wait_all_tasks_blocked()
            await client.send_request()
        context.answer = await client.read_answer()
        while await client.receive():
            pass
        context.client = client

    serve(context, scene, answer_at_once)


@then("the client of the crossing request gets {result}, and no reset")
def step_crossing_result(context, result):
    expected = 503 if result == "a whole 503 that closes the connection" else None
    assert context.answer.status == expected, context.answer
    if expected:
        assert context.answer.is_whole
        assert b"connection: close" in context.client.head.lower(), context.client.head
    assert context.client.has_ended and not context.client.was_reset
    assert len(context.handled) == 1, context.handled


@when("the server ends 400 ms after {event}, and its client reads on")
def step_server_ends(context, event):
    async def scene(port):
        client = await RawClient.connect(port)
        await client.send_request()
        await until_written(context)
        context.state.ends_at = (trio.current_time() + 0.4) * SECOND
        context.server_scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        await client.send_request()
        await trio.testing.wait_all_tasks_blocked()
        context.answer = await client.read_answer()
        await client.receive()
        context.client = client

    serve(context, scene, answer_at_once)


# Clients that have closed their sending half


@given("a server whose handler takes {takes} for a request")
def step_takes(context, takes):
    context.takes = {"50 ms": LATER, "5 s": LONG}[takes]


async def work(context, req):
    await trio.sleep(context.takes)
    return HttpResponse(200, bytes(SIZE))


@when("its client sends one and {ends}")
def step_client_ends(context, ends):
    async def scene(port):
        client = await RawClient.connect(port)
        await client.send_request()
        if ends != "closes its sending half":
            while not context.handled:
                await trio.sleep(0.001)
        context.left_at = trio.current_time()
        match ends:
            case "closes its sending half" | "closes its sending half once it runs":
                await client.stream.send_eof()
                context.answer = await client.read_answer()
                context.client = client
            case "closes its connection once it runs":
                client.close()
            case "resets its connection once it runs":
                client.reset()
        while context.state.exchanges:
            await trio.sleep(0.001)
        context.ended_at = trio.current_time()

    serve(context, scene, lambda req: work(context, req))


@then("the half-closed client gets {result}")
def step_half_closed(context, result):
    expected = 200 if result == "the whole answer" else 504
    assert (context.answer.status, context.answer.is_whole) == (expected, True), context.answer
    if expected == 504:
        assert b'"ran":"unknown"' in context.client.body, context.client.body


@then("the server works on it for no longer than {limit:d} ms after that")
def step_stopped(context, limit):
    # The promise to servers is half a second in all.
    assert len(context.cancelled) == 1
    assert (context.cancelled[0] - context.left_at) * SECOND <= limit


@given("a client that sends a request and {ends} while its host is frozen for {frozen:d} ms")
def step_frozen(context, ends, frozen):
    context.ends = ends
    context.frozen = frozen


@when("the host goes on")
def step_goes_on(context):
    context.handled = []

    async def handler(req):
        context.handled.append(req.path)
        return HttpResponse(200, b"plain")

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = trio.current_time() + TIMEOUT_S
            listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
            port = listeners[0].socket.getsockname()[1]
            client = await RawClient.connect(port)
            await client.send_request()
            match context.ends:
                case "closes its sending half":
                    await client.stream.send_eof()
                case "closes its connection":
                    client.close()
                case "resets its connection":
                    client.reset()
            # Nothing reads meanwhile.
            await trio.sleep(context.frozen / SECOND)
            nursery.start_soon(serve_http, listeners, handler)
            other = await RawClient.connect(port)
            await other.send_request(REQUEST.replace(b"/x", b"/plain"))
            context.other = await other.read_answer()
            if context.ends == "closes its sending half":
                context.answer = await client.read_answer()
                context.client = client
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("the request reaches no handler, and another client of the host is served")
def step_reaches_none(context):
    assert context.handled == ["/plain"], context.handled
    assert context.other.status == 200, context.other
    if context.ends == "closes its sending half":
        assert (context.answer.status, context.answer.is_whole) == (503, True), context.answer
        assert b'"ran":"not_run"' in context.client.body, context.client.body
