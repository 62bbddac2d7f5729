from __future__ import annotations

from functools import partial

import trio
from behave import given, then, when

from alderhatch.http.client import open_http
from alderhatch.http.exchange import ExchangeFault, HttpExchangeError
from alderhatch.http.messages import HttpResponse
from alderhatch.http.server import ServeState, serve_http
from features.steps.http_client_steps import LOOPBACK, TIMEOUT_S, with_connection
from features.support.loopback_proxy import reset_on_close

MATCHING_BODY = b"own"
FIELDS = ((b"host", b"fleet.example"), (b"attempt-id", b"a1"))
SILENCE_TIMEOUT_S = 0.3


def answer(body, request_id=b"a1"):
    return b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s" % (
        request_id,
        len(body),
        body,
    )


EARLIER_ANSWER = answer(b"other", b"a0")
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n\r\nown"
SERVER_BEHAVIOURS = {
    "a complete answer": (answer(MATCHING_BODY), "keep"),
    "a chunked answer": (CHUNKED_HEAD + b"3\r\nown\r\n0\r\n\r\n", "keep"),
    "an answer without a length": (ANSWER_WITHOUT_LENGTH, "close"),
    "an answer to an earlier request first": (EARLIER_ANSWER + answer(MATCHING_BODY), "keep"),
    "two answers to earlier requests first": (
        EARLIER_ANSWER + EARLIER_ANSWER + answer(MATCHING_BODY),
        "keep",
    ),
    "only an answer to an earlier request": (EARLIER_ANSWER, "keep"),
    "a truncated answer": (answer(MATCHING_BODY)[:-1], "close"),
    "a truncated chunk": (CHUNKED_HEAD + b"9\r\nown", "close"),
    "an answer without a length, then a reset": (ANSWER_WITHOUT_LENGTH, "reset"),
    "nothing, then closes": (b"", "close"),
    "bytes that are not HTTP": (b"towels towels towels\r\n\r\n", "keep"),
    "an answer followed by another one": (answer(MATCHING_BODY) + answer(b"second"), "keep"),
}


async def read_head(stream):
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive_some(65_536)
    return data


def sender(data, ending):
    async def handle(stream):
        await read_head(stream)
        if data:
            await stream.send_all(data)
        if ending == "keep":
            await trio.sleep_forever()
        if ending == "reset":
            await trio.sleep(0.1)
            reset_on_close(stream)

    return handle


@given("a server that sends {what}")
def step_sends(context, what):
    context.handler = sender(*SERVER_BEHAVIOURS[what])
    context.timeout_s = SILENCE_TIMEOUT_S if what.startswith("only") else TIMEOUT_S


@given("a server that answers before it has read the body")
def step_early(context):
    context.handler = sender(answer(MATCHING_BODY), "keep")
    context.timeout_s = TIMEOUT_S


@given("a server that records the request and answers")
def step_recording(context):
    context.received = b""
    context.timeout_s = TIMEOUT_S

    async def handle(stream):
        data = await read_head(stream)
        while not data.endswith(b"towels"):
            data += await stream.receive_some(65_536)
        context.received = data
        await stream.send_all(answer(MATCHING_BODY))

    context.handler = handle


def forward(context, method="GET", target="/x", fields=FIELDS, body=b""):
    async def use(conn):
        try:
            with trio.move_on_after(context.timeout_s):
                reply = await conn.forward(
                    method,
                    target,
                    fields,
                    body,
                    lambda response: response.header(b"attempt-id") == b"a1",
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


@then("the connection can't carry another request")
def step_not_usable(context):
    assert not context.usable_after


@then("the server received exactly that")
def step_received(context):
    head, _, body = context.received.partition(b"\r\n\r\n")
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
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
                nursery.start_soon(serve_http, listeners, handler)
                conn = await open_http(LOOPBACK, listeners[0].socket.getsockname()[1])
                for _ in range(2):
                    await conn.exchange("GET", "/x")
                conn.close()
                nursery.cancel_scope.cancel()

    trio.run(main)


@then("the second request is marked as on a used connection, and its round trip is below 1000 ms")
def step_connection_use(context):
    first, second = context.requests
    assert (first.on_used_connection, second.on_used_connection) == (False, True)
    assert 0.0 <= second.round_trip < 1000.0


@when("the node is stopping and a client sends a request on a persistent connection")
def step_stopping(context):
    context.started_count = 0

    async def handle(req):
        context.started_count += 1
        return HttpResponse(200, b"")

    async def main():
        state = ServeState()
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
            port = listeners[0].socket.getsockname()[1]
            nursery.start_soon(partial(serve_http, listeners, handle, state=state))
            with trio.fail_after(TIMEOUT_S):
                conn = await open_http(LOOPBACK, port)
                await conn.forward("GET", "/", FIELDS)
                state.refusing = True
                context.refusal = await conn.forward("GET", "/", FIELDS)
                context.is_usable_after = conn.usable and conn.alive
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("it gets a whole 503, the connection is closed and the request is not started")
def step_not_started(context):
    assert context.refusal.status == 503, context.refusal
    assert b'"ran":"not_run"' in context.refusal.body, context.refusal
    assert not context.is_usable_after
    assert context.started_count == 1, context.started_count
