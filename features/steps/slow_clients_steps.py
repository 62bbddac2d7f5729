from __future__ import annotations

import socket
from functools import partial

import trio
import trio.testing
from behave import given, then, when

from alderhatch.clock import SECOND
from alderhatch.http.messages import HttpLimits, HttpResponse
from alderhatch.http.serve_state import ServeState
from alderhatch.http.server import serve_http
from alderhatch.http.waiting_answers import WaitingAnswer, WaitingAnswers
from alderhatch.http.write_progress import WriteProgress, stall_span
from features.support.raw_client import BUFFER_BYTES, RawAnswer, RawClient

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 30.0
STEP_MS = 1.0
MB = 1_000_000


@given("an answer of {size:d} bytes, and a client that may take nothing for {limit:d} ms")
def step_answer(context, size, limit):
    context.size = size
    context.progress = WriteProgress(size, 0.0, float(limit))


@then("reading {rate:d} bytes a second, a part each {every:d} ms, the client {result}")
def step_reads(context, rate, every, result):
    assert replay(context.progress, context.size, rate, every) == result


def replay(progress, size, rate, every):
    """Return what becomes of a client that takes a part each so many milliseconds."""
    left = float(size)
    now = 0.0
    while left > 0.0:
        now += STEP_MS
        if now % every == 0:
            left -= rate * every / SECOND
            progress.record(max(0, int(left)), now)
        if left > 0.0 and now >= int(progress.ends_at):
            return f"is given up at {now:.0f} ms"
    return "gets all"


@given("clients that hold {held} MB and took bytes {ago} ms ago, where {limit:d} MB are allowed")
def step_held(context, held, ago, limit):
    context.answers = WaitingAnswers(limit * MB)
    now = 10_000.0
    for size, taken in zip(held.split(", "), ago.split(", "), strict=True):
        context.answers.add(WaitingAnswer(int(size) * MB, now - float(taken)))
    context.given_up = context.answers.give_up_stalled(now)
    assert context.answers.give_up_stalled(now) == [], "given up twice"


@then("those that hold {ended} MB are given up, and the host is full: {full}")
def step_given_up(context, ended, full):
    expected = [] if ended == "none" else [int(size) * MB for size in ended.split(", ")]
    assert [answer.size for answer in context.given_up] == expected
    assert context.answers.is_full == (full == "yes")


# Real connections


@given("a server of answers of {size:d} bytes, whose clients may take nothing for {limit:d} ms")
def step_server(context, size, limit):
    context.size = size
    context.limits = HttpLimits(request_timeout=float(limit))
    context.state = ServeState()
    context.handled = 0


@given("answers that wait for clients may hold {limit:d} bytes")
def step_limit(context, limit):
    context.state.answers = WaitingAnswers(limit)


def serve(context, scene):
    """Run a scene with the port of the server, whose sockets hold little."""

    async def handler(req):
        context.handled += 1
        return HttpResponse(200, bytes(context.size))

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = trio.current_time() + TIMEOUT_S
            listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
            # The kernel would take most of an answer otherwise, however slowly it is read.
            listeners[0].socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
            nursery.start_soon(serve_http, listeners, handler, context.limits, context.state)
            await scene(listeners[0].socket.getsockname()[1])
            context.bytes_at_end = context.state.answers.bytes
            nursery.cancel_scope.cancel()

    trio.run(main)


async def read_answer(context, port, rate, client=None):
    if client is None:
        client = await RawClient.connect(port)
        await client.send_request()
    context.answer = await client.read_answer(rate)
    client.close()
    # The server's task sees the end of the exchange in the loop's next passes.
    await trio.testing.wait_all_tasks_blocked()


@when("a client reads {rate:d} bytes a second")
def step_client_reads(context, rate):
    serve(context, partial(read_answer, context, rate=rate))


@when("a client reads {rate:d} bytes a second and the server is told to end after {end:d} ms")
def step_client_reads_at_stop(context, rate, end):
    async def scene(port):
        context.state.closing = True
        context.state.ends_at = trio.current_time() * SECOND + end
        if rate:
            await read_answer(context, port, rate)
            return
        client = await RawClient.connect(port)
        await client.send_request()
        await trio.sleep_until(context.state.ends_at / SECOND)
        while context.state.exchanges:
            await trio.sleep(0.01)
        context.answer = await client.read_answer(None)

    serve(context, scene)


@then("it gets the whole answer")
@then("the one that reads gets the whole answer")
def step_whole(context):
    assert context.answer == RawAnswer(200, context.size, True), context.answer


@then("it is given up as the server ends")
def step_given_up_at_end(context):
    assert not context.answer.is_whole, context.answer


@then("{count} answer was cut, and no bytes are held")
def step_cut(context, count):
    assert context.state.cut == {"no": 0, "one": 1}[count], context.state.cut
    assert (context.state.writing, context.bytes_at_end) == (0, 0)


@when("{count:d} clients read nothing and one reads {rate:d} bytes a second")
def step_many(context, count, rate):
    async def scene(port):
        reader = await RawClient.connect(port)
        clients = [await RawClient.connect(port) for _ in range(count)]
        for client in (reader, *clients):
            await client.send_request()
            await trio.testing.wait_all_tasks_blocked()
        await read_answer(context, port, rate, reader)
        for client in clients:
            client.close()

    serve(context, scene)


@then("no more than {most:d} bytes were held, and {limit:d} at the end at most")
def step_bytes_held(context, most, limit):
    answers = context.state.answers
    assert limit < answers.peak_bytes <= most, answers.peak_bytes
    assert context.bytes_at_end <= limit, context.bytes_at_end


@when("a client reads nothing and another sends a request at once")
def step_full(context):
    async def scene(port):
        client = await RawClient.connect(port)
        await client.send_request()
        while not context.state.answers.is_full:
            await trio.sleep(0.01)
        other = await RawClient.connect(port)
        await other.send_request()
        context.answer = await other.read_answer(None)
        context.other_body = other.body
        client.close()
        other.close()

    serve(context, scene)


@then("the other gets a whole 503 that says that the request has not run")
def step_refused(context):
    assert (context.answer.status, context.answer.is_whole) == (503, True), context.answer
    assert b'"ran":"not_run"' in context.other_body, context.other_body
    assert context.handled == 1, context.handled


@when(
    "a client that read an answer at {rate:d} bytes a second asks again {left:d} ms before the end"
)
def step_asks_again(context, rate, left):
    async def scene(port):
        client = await RawClient.connect(port)
        await client.send_request()
        context.first_answer = await client.read_answer(rate)
        context.state.ends_at = trio.current_time() * SECOND + left
        await client.send_request()
        context.answer = await client.read_answer()
        context.other_body = client.body

    serve(context, scene)


@then("the second request gets a whole 503 that says that it has not run")
def step_second_refused(context):
    assert context.first_answer.is_whole
    step_refused(context)


@when(
    "a client that read an answer at {rate:d} bytes a second connects again {left:d} ms before "
    "the end"
)
def step_connects_again(context, rate, left):
    async def scene(port):
        client = await RawClient.connect(port)
        await client.send_request()
        context.first_answer = await client.read_answer(rate)
        client.close()
        context.state.ends_at = trio.current_time() * SECOND + left
        again = await RawClient.connect(port)
        await again.send_request()
        context.answer = await again.read_answer()
        context.other_body = again.body

    serve(context, scene)


@then(
    "a client with segments of {segment:d} bytes that may take nothing for {limit:d} ms has "
    "{span:d} ms"
)
def step_stall_span(context, segment, limit, span):
    assert round(stall_span(limit, segment)) == span, stall_span(limit, segment)
