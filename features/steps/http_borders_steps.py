from __future__ import annotations

from functools import partial

import trio
from behave import given, then, when
from hypothesis import given as generated
from hypothesis import seed, settings
from hypothesis import strategies as st

from alderhatch.http.client import http_once
from alderhatch.http.messages import HttpLimits, HttpResponse
from alderhatch.http.server import serve_http

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 20.0
PLAIN_PATH = "/plain"
LIMITS = HttpLimits(head_bytes=2000, request_timeout=300.0, idle_timeout=300.0)
ANSWERS = {
    "404 and a body": HttpResponse(404, b"nothing here"),
    "200 and a body": HttpResponse(200, b"something"),
    "304 and a body": HttpResponse(304, b"something"),
    "an unreadable field": HttpResponse(200, b"x", fields=[(b"part-seals", b"a, ")]),
    "a field that isn't ASCII": HttpResponse(200, b"x", headers=(("Retry-After", "\u00e9\u20ac"),)),
    "an internal error": None,
}
HEAD = b"HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n"
REQUESTS = {
    "a HEAD request": HEAD,
    "a GET request": b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n",
    "a CONNECT": b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n",
    "two HEAD at once": HEAD + HEAD,
    "a HEAD too large": b"HEAD /x HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n" % (b"x" * 3000),
}


def serve(answer, scene):
    """Run a scene with the port of a server that gives this answer, but for ``PLAIN_PATH``."""

    async def handler(req):
        if req.path == PLAIN_PATH:
            return HttpResponse(200, b"plain")
        if answer is None:
            raise RuntimeError("a mistake in the handler")
        return answer

    async def main():
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
                nursery.start_soon(serve_http, listeners, handler, LIMITS)
                await scene(listeners[0].socket.getsockname()[1])
                nursery.cancel_scope.cancel()

    trio.run(main)


async def send_bytes(port, data):
    """Send bytes and the end of the stream; return all that comes back."""
    received = b""
    stream = await trio.open_tcp_stream(LOOPBACK, port)
    async with stream:
        try:
            await stream.send_all(data)
            await stream.send_eof()
            while chunk := await stream.receive_some(65_536):
                received += chunk
        except trio.BrokenResourceError:
            # The server has closed a connection on which unread bytes were left.
            pass
    return received


async def check_plain(port):
    reply = await http_once(LOOPBACK, port, "GET", PLAIN_PATH)
    assert (reply.status, reply.body) == (200, b"plain"), reply


@given("a server for clients whose handler answers with {answer}")
def step_server(context, answer):
    context.answer = ANSWERS[answer]


@when("{request} comes from a client")
def step_send(context, request):
    async def scene(port):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_request, port)
        await check_plain(port)
        context.has_other = True

    async def send_request(port):
        # The end of the stream would cancel the handler, so the connection stays open.
        stream = await trio.open_tcp_stream(LOOPBACK, port)
        async with stream:
            await stream.send_all(REQUESTS[request])
            context.received = await read_quiet(stream)

    context.has_other = False
    serve(context.answer, scene)


async def read_quiet(stream):
    """Read until nothing has come for a while."""
    received = b""
    while True:
        chunk = b""
        with trio.move_on_after(0.15):
            chunk = await stream.receive_some(65_536)
        if not chunk:
            return received
        received += chunk


@then("it is answered with {status:d} and {length} bytes")
def step_answered(context, status, length):
    heads = context.received.split(b"\r\n\r\n")
    assert heads[0].startswith(b"HTTP/1.1 %d " % status), context.received
    body = heads[-1]
    if length == "some":
        assert body, context.received
        return
    assert body == b"", context.received


@then("another client is answered")
def step_other(context):
    assert context.has_other


@then("any requests, sent ahead in any pieces while others run, are answered in their order")
def step_pipelined(context):
    bodies = st.lists(st.binary(max_size=40), min_size=2, max_size=5)

    async def handler(req):
        # Longer than the pause between two pieces, which arrive while this request runs.
        await trio.sleep(0.008)
        return HttpResponse(200, req.path.encode() + b" " + req.body)

    async def main(data, cuts):
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = trio.current_time() + TIMEOUT_S
            listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
            nursery.start_soon(serve_http, listeners, handler)
            port = listeners[0].socket.getsockname()[1]
            received = b""
            stream = await trio.open_tcp_stream(LOOPBACK, port)
            async with stream:
                for begin, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
                    await stream.send_all(data[begin:end])
                    await trio.sleep(0.002)
                while chunk := await stream.receive_some(65_536):
                    received += chunk
            nursery.cancel_scope.cancel()
        return received

    @seed(50)
    @settings(max_examples=25, deadline=None, database=None)
    @generated(bodies, st.lists(st.integers(0, 400), max_size=5))
    def check(sent, cuts):
        heads = [
            b"PUT /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n" % (number, len(body))
            for number, body in enumerate(sent)
        ]
        # The server closes after the last one, so that all that it sends can be read.
        heads[-1] += b"Connection: close\r\n"
        data = b"".join(head + b"\r\n" + body for head, body in zip(heads, sent, strict=True))
        with_limit = partial(main, data, sorted(min(cut, len(data)) for cut in cuts))
        received = trio.run(with_limit)
        answered = [b"/%d %s" % (number, body) for number, body in enumerate(sent)]
        assert received.count(b"HTTP/1.1 200") == len(sent), received
        position = 0
        for expected in answered:
            position = received.index(expected, position)

    check()


FIELD_TEXT = st.binary(max_size=12)
RESPONSES = st.one_of(
    st.none(),
    st.builds(
        HttpResponse,
        st.sampled_from([200, 204, 206, 304, 404, 421, 500, 503]),
        st.binary(max_size=30),
        st.sampled_from([None, "text/plain", "text/\u20ac", "a\r\nb"]),
        st.lists(st.tuples(st.text(max_size=8), st.text(max_size=8)), max_size=2).map(tuple),
        st.lists(st.tuples(FIELD_TEXT, FIELD_TEXT), max_size=2),
    ),
)
TOKEN_LINES = """GET |HEAD |PUT |CONNECT |OPTIONS |* |/x |//x/y |http://a/b |HTTP/1.1~|HTTP/1.0~
Host: a~|Host: ~|Content-Length: 3~|Content-Length: -1~|Content-Length: 99999999999999999999999~
Transfer-Encoding: chunked~|Upgrade: websocket~Connection: upgrade~|Expect: 100-continue~
Connection: close~|~|3~abc~|0~|Time-Budget-Ms: nan~|abc|\x00|\xff\xfe| """
TOKENS = st.sampled_from(
    [
        token.replace("~", "\r\n").encode("latin-1")
        for line in TOKEN_LINES.splitlines()
        for token in line.split("|")
    ]
)
MESSAGES = st.one_of(
    st.binary(max_size=200),
    st.lists(TOKENS, max_size=12).map(b"".join),
    st.tuples(
        st.sampled_from([b"GET", b"HEAD", b"PUT", b"TRACE"]), st.lists(TOKENS, max_size=4)
    ).map(lambda parts: parts[0] + b" /x HTTP/1.1\r\nHost: a\r\n" + b"".join(parts[1]) + b"\r\n"),
)


@then("no bytes of a client and no answer of the handler keep another client from its answer")
def step_any_bytes(context):
    @seed(50)
    @settings(max_examples=150, deadline=None, database=None)
    @generated(st.lists(MESSAGES, min_size=1, max_size=5), RESPONSES)
    def check(messages, response):
        async def scene(port):
            async with trio.open_nursery() as nursery:
                for data in messages:
                    nursery.start_soon(send_bytes, port, data)
            await check_plain(port)

        serve(response, scene)

    check()
