from __future__ import annotations

import itertools
import re
from pathlib import Path

import orjson
import trio
from behave import given, then, when

from alderhatch.errors import ERROR_ANSWERS, ErrorKind
from features.entry_world import LOOPBACK, world

VALID_REQUEST = {
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
    return {key: value for key, value in VALID_REQUEST.items() if key != field}


def _single_bytes(data):
    return [bytes([byte]) for byte in data]


def _chunks(input_name):
    """Return the chunks that a caller sends and the pause between them in seconds."""
    valid_body = orjson.dumps(VALID_REQUEST)
    match input_name:
        case "bytes that are not HTTP":
            return [b"\x16\x03\x01 hello\r\n\r\n"], 0
        case "broken JSON":
            return [_post(valid_body[:-1])], 0
        case "a list as body":
            return [_post(b"[]")], 0
        case "an empty body":
            return [_post(b"")], 0
        case "no request id":
            return [_post(orjson.dumps(_without("request_id")))], 0
        case "an empty request id":
            return [_post(orjson.dumps(VALID_REQUEST | {"request_id": ""}))], 0
        case "an unknown field":
            return [_post(orjson.dumps(VALID_REQUEST | {"deadline": 5}))], 0
        case "a negative deadline":
            return [_post(orjson.dumps(VALID_REQUEST | {"deadline_ms": -5}))], 0
        case "an unknown priority":
            return [_post(orjson.dumps(VALID_REQUEST | {"priority": "highest"}))], 0
        case "a query as text":
            return [_post(orjson.dumps(VALID_REQUEST | {"query": "towels"}))], 0
        case "JSON nested too deep":
            return [_post(b'{"query":' + b"[" * 2000 + b"]" * 2000 + b"}")], 0
        case "an unknown path":
            return [_post(valid_body, "/querry")], 0
        case "a GET of the query path":
            return [b"GET /query HTTP/1.1\r\nHost: x\r\n\r\n"], 0
        case "an unknown upstream":
            return [_post(orjson.dumps(VALID_REQUEST | {"upstream": "nowhere"}))], 0
        case "a body over the limit":
            return [_post(b"{" + b" " * 400_000 + b"}")], 0
        case "a body over the limit in chunks":
            head = b"POST /query HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            return [head, *[b"400\r\n" + b" " * 1024 + b"\r\n"] * 100], 0
        case "a head over the limit":
            return [_post(valid_body, extra=f"X-Filler: {'x' * 8000}\r\n")], 0
        case "a head that never ends":
            return itertools.chain([b"GET / HTTP/1.1\r\n"], itertools.repeat(b"X: y\r\n")), 0
        case "a head byte by byte, slowly":
            return _single_bytes(_post(valid_body)), 0.05
        case "a body byte by byte, slowly":
            return [_post(valid_body)[: -len(valid_body)], *_single_bytes(valid_body)], 0.05
        case "half a body, then nothing":
            return [_post(valid_body)[:-20]], 0
        case "two different lengths":
            return [_post(valid_body, extra=f"Content-Length: {len(valid_body) + 1}\r\n")], 0
        case "a length that is not a number":
            return [b"POST /query HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n"], 0
    raise AssertionError(input_name)


@given(
    "the entry accepts heads of {head:d} bytes, bodies of {body:d} bytes and requests"
    " within {timeout:d} ms"
)
def step_limits(context, head, body, timeout):
    limits = {"head_bytes": head, "body_bytes": body, "request_timeout_ms": timeout}
    world(context).settings["limits"] = limits | {"idle_timeout_ms": 500}


@given("the entry accepts {count:d} connections")
def step_connection_limit(context, count):
    world(context).settings["limits"] = {"connections": count}


@when("a caller of the entry sends {input_name}")
def step_send(context, input_name):
    harness = world(context)
    chunks, pause = _chunks(input_name)
    context.caller_bytes = harness.call(harness.send_raw, harness.entries[0].port, chunks, pause)


@when("the two halves of a request reach the entry after {pause:d} ms each")
def step_send_after_idle(context, pause):
    harness = world(context)
    request = _post(orjson.dumps(VALID_REQUEST), extra="Connection: close\r\n")
    chunks = [b"", request[:-20], request[-20:]]
    context.caller_bytes = harness.call(
        harness.send_raw, harness.entries[0].port, chunks, pause / 1000
    )


@then("the caller of the entry is answered with all shards")
def step_answered_in_full(context):
    received = context.caller_bytes
    assert received.startswith(b"HTTP/1.1 200 "), received
    answer = orjson.loads(received.partition(b"\r\n\r\n")[2])
    assert answer["coverage"] == 1.0, answer


@then('the caller of the entry is answered {status:d} with "{error}" and "{ran}"')
def step_refused(context, status, error, ran):
    received = context.caller_bytes
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {status} ".encode()), received
    answer = orjson.loads(body)
    assert (answer["error"], answer["ran"]) == (error, ran), answer
    assert answer["message"], answer


@then("the entry still answers other callers")
def step_others_answered(context):
    harness = world(context)
    status, answer = harness.call(harness.query)
    assert status == 200 and harness.check(answer) is None, answer
    context.entry_replies = [(status, answer)]


@when("a caller of the entry closes its connection after half of its request")
def step_half_request(context):
    harness = world(context)

    async def send_half():
        stream = await trio.open_tcp_stream(LOOPBACK, harness.entries[0].port)
        await stream.send_all(_post(orjson.dumps(VALID_REQUEST))[:-20])
        await stream.aclose()
        await harness.until(lambda: harness.entries[0].callers.connections == 0)

    harness.call(send_half)


@then("the upstream received only the requests of other callers")
def step_only_others(context):
    received = sum(server.counts.received for server in world(context).upstream.servers)
    assert received == 2 * len(context.entry_replies), received


@when("{count:d} callers connect to the entry and keep their connections open")
def step_connect(context, count):
    harness = world(context)

    async def connect():
        streams = []
        for number in range(count):
            streams.append(await trio.open_tcp_stream(LOOPBACK, harness.entries[0].port))
            await harness.until(
                lambda number=number: harness.entries[0].callers.connections >= min(3, number + 1)
            )
        return streams

    context.caller_streams = harness.call(connect)


@then("{count:d} callers of the entry are still connected")
def step_connected(context, count):
    harness = world(context)

    async def count_closed():
        closed = 0
        for stream in context.caller_streams[count:]:
            closed += await stream.receive_some(10) == b""
        return closed

    assert harness.call(count_closed) == len(context.caller_streams) - count
    assert harness.entries[0].callers.connections == count


@then("a caller of the entry that was connected before is answered")
def step_connected_answered(context):
    harness = world(context)

    async def ask():
        stream = context.caller_streams[0]
        await stream.send_all(_post(orjson.dumps(VALID_REQUEST)))
        return await stream.receive_some(65536)

    assert harness.call(ask).startswith(b"HTTP/1.1 200 ")


@when("a booking is requested from the entry")
def step_booking(context):
    harness = world(context)

    async def book():
        return await harness.query(0, "/run", request_id="booking-1", key="room 12")

    context.booking_reply = harness.call(book)


@then('the booking is answered {status:d} by the entry with "{error}" and "{ran}"')
def step_booking_refused(context, status, error, ran):
    received_status, answer = context.booking_reply
    assert (received_status, answer["error"], answer["ran"]) == (status, error, ran), answer


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


@then("each of them has the status, ran and resend values of the error table")
def step_page_rows(context):
    assert len(context.page_rows) >= 20, context.page_rows
    for kind, status, ran, resend in context.page_rows:
        answer = ERROR_ANSWERS[ErrorKind(kind)]
        assert (answer.status, answer.ran, answer.resend) == (int(status), ran, resend), kind
