from __future__ import annotations

import trio
from behave import given, then, when
from trio.testing import MockClock

from alderhatch.clock import SECOND
from alderhatch.http.messages import HttpResponse
from alderhatch.http.server import ServeState, serve_http
from alderhatch.loop_delay import LoopDelay

REQUEST = b"GET /a HTTP/1.1\r\nHost: fleet.example\r\n\r\n"


@given(
    "a loop that handles the events of these polls, busy for {busy:g} ms after each of the "
    "first two"
)
def step_polls(context, busy):
    context.busy = busy


@when("its third poll takes {third:g} ms")
def step_third_poll(context, third):
    context.third = third


def unread_times(busy, third, after):
    """Return how long data may have waited on a used and on a new connection."""
    clock = MockClock()
    times = []

    async def main():
        delay = LoopDelay()
        for span, busy_after in ((0.0, busy), (0.0, busy), (third, after)):
            delay.before_io_wait(0.0)
            clock.jump(span / SECOND)
            delay.after_io_wait(0.0)
            clock.jump(busy_after / SECOND)
        times.extend((delay.unread_time(False), delay.unread_time(True)))

    trio.run(main, clock=clock)
    return times


@then("data that is read {after:g} ms later may have waited {used:g} ms on a used connection")
def step_used(context, after, used):
    context.unread = unread_times(context.busy, context.third, after)
    assert round(context.unread[0], 3) == used, context.unread


@then("it may have waited {new:g} ms on a new connection")
def step_new(context, new):
    assert round(context.unread[1], 3) == new, context.unread


@given("a loop that has not polled yet")
def step_no_poll(context):
    context.delay = LoopDelay()


@then("the time that data may have waited is unknown")
def step_unknown(context):
    async def main():
        return context.delay.unread_time(False), context.delay.unread_time(True)

    assert trio.run(main) == (0.0, 0.0)


@given("a server whose loop is busy for {busy:g} ms at a time")
def step_busy_server(context, busy):
    context.busy = busy


@when("a client sends two requests over one connection")
def step_two_requests(context):
    clock = MockClock()
    context.seen = []

    async def answer(req):
        context.seen.append(req.unread_time)
        return HttpResponse(200, b"")

    async def keep_busy():
        while True:
            clock.jump(context.busy / SECOND)
            await trio.lowlevel.checkpoint()

    async def main():
        delay = LoopDelay()
        trio.lowlevel.add_instrument(delay)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        async with trio.open_nursery() as nursery:
            await nursery.start(
                lambda task_status: serve_http(
                    listeners, answer, state=ServeState(delay), task_status=task_status
                )
            )
            nursery.start_soon(keep_busy)
            stream = await trio.testing.open_stream_to_socket_listener(listeners[0])
            for _ in range(2):
                await stream.send_all(REQUEST)
                assert await stream.receive_some()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=clock)


@then("each request may have waited at least {least:g} ms")
def step_waited(context, least):
    assert len(context.seen) == 2, context.seen
    assert all(one >= least - 0.001 for one in context.seen), context.seen
