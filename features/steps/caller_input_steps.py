from __future__ import annotations

import itertools
import re
from pathlib import Path

import orjson
import trio
from behave import given, then, when

from alderhatch.errors import ERROR_ANSWERS, ErrorKind
from features.entry_world import LOOPBACK, world

GOOD = {
    "request_id": "input-1",
    "caller": "tests",
    "kind": "route",
    "upstream": "navigator",
    "query": {"topic": ""},
}


def _post(body, path="/query", extra=""):
    return (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode()
        + body
    )


def _without(field):
    return {key: value for key, value in GOOD.items() if key != field}


def _drip(data):
    return [bytes([byte]) for byte in data]


def _pieces(what):
    """Return what a caller sends, in pieces, and the pause between them in seconds."""
    good = orjson.dumps(GOOD)
    match what:
        case "no HTTP":
            return [b"\x16\x03\x01 hello\r\n\r\n"], 0
        case "broken JSON":
            return [_post(good[:-1])], 0
        case "a list as body":
            return [_post(b"[]")], 0
        case "an empty body":
            return [_post(b"")], 0
        case "no request id":
            return [_post(orjson.dumps(_without("request_id")))], 0
        case "an empty request id":
            return [_post(orjson.dumps(GOOD | {"request_id": ""}))], 0
        case "an unknown field":
            return [_post(orjson.dumps(GOOD | {"deadline": 5}))], 0
        case "a negative deadline":
            return [_post(orjson.dumps(GOOD | {"deadline_ms": -5}))], 0
        case "a priority that there is not":
            return [_post(orjson.dumps(GOOD | {"priority": "highest"}))], 0
        case "a query as text":
            return [_post(orjson.dumps(GOOD | {"query": "towels"}))], 0
        case "JSON nested too deep":
            return [_post(b'{"query":' + b"[" * 2000 + b"]" * 2000 + b"}")], 0
        case "an unknown path":
            return [_post(good, "/querry")], 0
        case "a GET of the query path":
            return [b"GET /query HTTP/1.1\r\nHost: x\r\n\r\n"], 0
        case "an upstream that there is not":
            return [_post(orjson.dumps(GOOD | {"upstream": "nowhere"}))], 0
        case "a body over the limit":
            return [_post(b"{" + b" " * 400_000 + b"}")], 0
        case "a body over the limit in chunks":
            head = b"POST /query HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            return [head, *[b"400\r\n" + b" " * 1024 + b"\r\n"] * 100], 0
        case "a head over the limit":
            return [_post(good, extra=f"X-Filler: {'x' * 8000}\r\n")], 0
        case "a head that never ends":
            return itertools.chain([b"GET / HTTP/1.1\r\n"], itertools.repeat(b"X: y\r\n")), 0
        case "a byte of its head now and then":
            return _drip(_post(good)), 0.05
        case "a byte of its body now and then":
            return [_post(good)[: -len(good)], *_drip(good)], 0.05
        case "half a body and nothing more":
            return [_post(good)[:-20]], 0
        case "two lengths that differ":
            return [_post(good, extra=f"Content-Length: {len(good) + 1}\r\n")], 0
        case "a length that is no number":
            return [b"POST /query HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n"], 0
    raise AssertionError(what)


@given(
    "the entry takes heads of {head:d} bytes, bodies of {body:d} bytes and requests"
    " within {span:d} ms"
)
def step_limits(context, head, body, span):
    limits = {"head_bytes": head, "body_bytes": body, "request_timeout_ms": span}
    world(context).settings["limits"] = limits | {"idle_timeout_ms": 500}


@given("the entry takes {count:d} connections")
def step_connection_limit(context, count):
    world(context).settings["limits"] = {"connections": count}


@when("a caller of the entry sends {what}")
def step_send(context, what):
    here = world(context)
    pieces, pause = _pieces(what)
    context.caller_bytes = here.call(here.raw, here.entries[0].port, pieces, pause)


@then('the caller of the entry is answered {status:d} with "{error}" and "{ran}"')
def step_refused(context, status, error, ran):
    received = context.caller_bytes
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {status} ".encode()), received
    answer = orjson.loads(body)
    assert (answer["error"], answer["ran"]) == (error, ran), answer
    assert answer["message"], answer


@then("the entry still answers others")
def step_others(context):
    here = world(context)
    status, answer = here.call(here.query)
    assert status == 200 and here.check(answer) is None, answer
    context.entry_replies = [(status, answer)]


@when("a caller of the entry closes after half of its request")
def step_half(context):
    here = world(context)

    async def half():
        stream = await trio.open_tcp_stream(LOOPBACK, here.entries[0].port)
        await stream.send_all(_post(orjson.dumps(GOOD))[:-20])
        await stream.aclose()
        await here.until(lambda: here.entries[0].callers.connections == 0)

    here.call(half)


@then("the upstream received only the requests of others")
def step_only_others(context):
    received = sum(server.counts.received for server in world(context).upstream.servers)
    assert received == 2 * len(context.entry_replies), received


@when("{count:d} callers connect to the entry and stay")
def step_connect(context, count):
    here = world(context)

    async def connect():
        streams = []
        for number in range(count):
            streams.append(await trio.open_tcp_stream(LOOPBACK, here.entries[0].port))
            await here.until(
                lambda number=number: here.entries[0].callers.connections >= min(3, number + 1)
            )
        return streams

    context.caller_streams = here.call(connect)


@then("{count:d} callers of the entry are still connected")
def step_connected(context, count):
    here = world(context)

    async def closed_ones():
        closed = 0
        for stream in context.caller_streams[count:]:
            closed += await stream.receive_some(10) == b""
        return closed

    assert here.call(closed_ones) == len(context.caller_streams) - count
    assert here.entries[0].callers.connections == count


@then("a caller of the entry that was connected before is answered")
def step_connected_answered(context):
    here = world(context)

    async def ask():
        stream = context.caller_streams[0]
        await stream.send_all(_post(orjson.dumps(GOOD)))
        return await stream.receive_some(65536)

    assert here.call(ask).startswith(b"HTTP/1.1 200 ")


@when("the entry is asked to run a booking")
def step_booking(context):
    here = world(context)

    async def book():
        return await here.query(0, "/run", request_id="booking-1", key="room 12")

    context.booking_reply = here.call(book)


@then('the booking is answered {status:d} by the entry with "{error}" and "{ran}"')
def step_booking_refused(context, status, error, ran):
    got, answer = context.booking_reply
    assert (got, answer["error"], answer["ran"]) == (status, error, ran), answer


@then("nothing ran at the upstream")
def step_nothing_ran(context):
    upstream = world(context).upstream
    assert upstream.runs == []
    assert sum(server.counts.received for server in upstream.servers) == 0


@when("the errors on the page of the caller API are read")
def step_page(context):
    page = Path("docs/CALLER-API.md").read_text()
    rows = re.findall(r"^\| `(\w+)` \| (\d{3}) \| (\w+) \| (\w+) \|", page, re.MULTILINE)
    context.page_rows = rows


@then("each of them has the status, the run and the resend of the table of errors")
def step_page_rows(context):
    assert len(context.page_rows) >= 20, context.page_rows
    for kind, status, ran, resend in context.page_rows:
        answer = ERROR_ANSWERS[ErrorKind(kind)]
        assert (answer.status, answer.ran, answer.resend) == (int(status), ran, resend), kind
