from __future__ import annotations

from functools import partial

import trio
from behave import given, then, when

from alderhatch.http.client import open_http
from alderhatch.http.exchange import ExchangeFault, HttpExchangeError
from alderhatch.http.messages import HttpResponse
from alderhatch.http.server import ServeState, serve_http
from features.steps.http_client_steps import LOOPBACK, PATIENCE_S, with_connection
from features.support.loopback_proxy import reset_on_close

OWN = b"own"
FIELDS = ((b"host", b"fleet.example"), (b"attempt-id", b"a1"))
SILENCE_S = 0.3


def answer(body, request_id=b"a1"):
    return b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s" % (
        request_id,
        len(body),
        body,
    )


EARLIER = answer(b"other", b"a0")
CHUNKED = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n\r\nown"
SENT = {
    "a whole answer": (answer(OWN), "keep"),
    "an answer in chunks": (CHUNKED + b"3\r\nown\r\n0\r\n\r\n", "keep"),
    "an answer without a length": (ENDLESS, "close"),
    "an answer to an earlier request first": (EARLIER + answer(OWN), "keep"),
    "two answers to earlier requests first": (EARLIER + EARLIER + answer(OWN), "keep"),
    "only an answer to an earlier request": (EARLIER, "keep"),
    "half an answer": (answer(OWN)[:-1], "close"),
    "half a chunk": (CHUNKED + b"9\r\nown", "close"),
    "an answer without a length, then resets": (ENDLESS, "reset"),
    "nothing and closes": (b"", "close"),
    "bytes that are no answer": (b"towels towels towels\r\n\r\n", "keep"),
    "an answer and another one behind it": (answer(OWN) + answer(b"second"), "keep"),
}


async def read_head(stream):
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive_some(65_536)
    return data


def sender(data, then_do):
    async def handle(stream):
        await read_head(stream)
        if data:
            await stream.send_all(data)
        if then_do == "keep":
            await trio.sleep_forever()
        if then_do == "reset":
            await trio.sleep(0.1)
            reset_on_close(stream)

    return handle


@given("a server that sends {what}")
def step_sends(context, what):
    context.handler = sender(*SENT[what])
    context.patience = SILENCE_S if what.startswith("only") else PATIENCE_S


@given("a server that answers before it has read the body")
def step_early(context):
    context.handler = sender(answer(OWN), "keep")
    context.patience = PATIENCE_S


@given("a server that answers with what it got")
def step_echo(context):
    context.got = b""
    context.patience = PATIENCE_S

    async def handle(stream):
        data = await read_head(stream)
        while not data.endswith(b"towels"):
            data += await stream.receive_some(65_536)
        context.got = data
        await stream.send_all(answer(OWN))

    context.handler = handle


def forward(context, method="GET", target="/x", fields=FIELDS, body=b""):
    async def use(conn):
        try:
            with trio.move_on_after(context.patience):
                reply = await conn.forward(
                    method, target, fields, body, lambda one: one.header(b"attempt-id") == b"a1"
                )
                context.forwarded = reply.body
                return
            context.forwarded = ExchangeFault.SILENT
        except HttpExchangeError as exc:
            context.forwarded = exc.fault
        finally:
            context.usable_after = conn.usable and conn.alive

    trio.run(with_connection, context.handler, use)


@when("a request is forwarded to it")
def step_forward(context):
    forward(context)


@when("a request with a body of 4 MiB is forwarded to it")
def step_forward_long(context):
    forward(context, "POST", body=b"x" * 4 * 1024 * 1024)


@when('a PUT of "/a%20b?x=1&x=2" with the body "towels" and two fields "X-A" is forwarded to it')
def step_forward_put(context):
    fields = (*FIELDS, (b"x-a", b"1"), (b"x-a", b"2"))
    forward(context, "PUT", "/a%20b?x=1&x=2", fields, b"towels")


@then('the forwarded request ends as the answer "{body}"')
def step_ends_answer(context, body):
    assert context.forwarded == body.encode(), context.forwarded


@then("the forwarded request ends as the fault {fault}")
def step_ends_fault(context, fault):
    assert context.forwarded == fault, context.forwarded


@then("the connection carries no other request")
def step_not_usable(context):
    assert not context.usable_after


@then("the server got exactly that")
def step_got(context):
    head, _, body = context.got.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"PUT /a%20b?x=1&x=2 HTTP/1.1", lines
    assert [line for line in lines if line.lower().startswith(b"x-a")] == [b"x-a: 1", b"x-a: 2"]
    assert b"content-length: 6" in [line.lower() for line in lines]
    assert body == b"towels"


@given("a node's server on loopback")
def step_server(context):
    context.requests = []


@when("a client sends two requests on one connection")
def step_two_requests(context):
    async def handler(req):
        context.requests.append(req)
        return HttpResponse(200, b"{}")

    async def main():
        with trio.fail_after(PATIENCE_S):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
                nursery.start_soon(serve_http, listeners, handler)
                conn = await open_http(LOOPBACK, listeners[0].socket.getsockname()[1])
                for _ in range(2):
                    await conn.exchange("GET", "/x")
                conn.close()
                nursery.cancel_scope.cancel()

    trio.run(main)


@then("the second one is known to come on a used connection, and the round trip is below 1000 ms")
def step_used(context):
    first, second = context.requests
    assert (first.on_used_connection, second.on_used_connection) == (False, True)
    assert 0.0 <= second.round_trip < 1000.0


@when("the node ends, and a client sends a request on a connection that it has kept")
def step_ending(context):
    context.begun = 0

    async def handle(req):
        context.begun += 1
        return HttpResponse(200, b"")

    async def main():
        state = ServeState()
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
            port = listeners[0].socket.getsockname()[1]
            nursery.start_soon(partial(serve_http, listeners, handle, state=state))
            with trio.fail_after(PATIENCE_S):
                conn = await open_http(LOOPBACK, port)
                await conn.forward("GET", "/", FIELDS)
                state.refusing = True
                try:
                    await conn.forward("GET", "/", FIELDS)
                except HttpExchangeError as exc:
                    context.ended = exc.fault
            nursery.cancel_scope.cancel()

    context.ended = None
    trio.run(main)


@then("the connection is closed and the request was not begun")
def step_not_begun(context):
    assert context.ended is ExchangeFault.LOST, context.ended
    assert context.begun == 1, context.begun
