from __future__ import annotations

import json
from ipaddress import ip_address

import h11
import orjson
import trio
from behave import given, then, when
from hypothesis import given as generated
from hypothesis import seed, settings
from hypothesis import strategies as st

from alderhatch.core.forwarding.outcome import Answered
from alderhatch.http.messages import HttpResponse
from alderhatch.http.server import serve_http
from alderhatch.node.server_list import ListUnavailableError
from alderhatch.platform.dialect import PlatformDialect
from alderhatch.platform.server_list import PlatformServerList
from features.steps.platform_edge_steps import SERVER, caller_request
from features.support.forward_model import single_route
from features.support.scripted_servers import (
    LOOPBACK,
    SCENE_TIMEOUT_S,
    RunnerScene,
    ScriptedServer,
    reply_bytes,
)

ORDERS = single_route("kitchen")
UNREADABLE_ADDRESS = "\ufffd\ufffd\ufffd\ufffd"
DRAINING = orjson.dumps(SERVER | {"instance-id": "i-leaving", "state": "draining"})
ENTRY = (
    b'{"instance-id":"i-2","service":"s00","address":"10.1.0.1:80","zone":%s,"max-concurrency":%s'
)
ENTRY += b',"state":"ready","warmup-left-ms":%s}'
ENTRIES = {
    "bytes that aren't UTF-8": ENTRY % (b'"\xff\xfe"', b"2", b"0"),
    "a lone surrogate": ENTRY % (b'"\\ud800"', b"2", b"0"),
    "a control character": ENTRY % (b'"a\x01"', b"2", b"0"),
    "a number of 400 digits": ENTRY % (b'"z"', b"9" * 400, b"0"),
    "a number of 5000 digits": ENTRY % (b'"z"', b"9" * 5000, b"0"),
    "NaN as slots": ENTRY % (b'"z"', b"NaN", b"0"),
    "an infinite warm-up": ENTRY % (b"null", b"2", b"1e999"),
    "a list nested 3000 deep": ENTRY % (b"[" * 3000 + b"]" * 3000, b"2", b"0"),
}


class UnreachableServer(ScriptedServer):
    """A server that is listed with text that is no address."""

    def record(self):
        return super().record()._replace(address=UNREADABLE_ADDRESS)


@given("a server, and another one of the same upstream whose address is no address")
def step_unreachable(context):
    def script(server, request_id, sent):
        server.runs.append(request_id)
        return reply_bytes(200, request_id, b"seal")

    context.servers = [
        ScriptedServer("i-0", "kitchen", script),
        UnreachableServer("i-1", "kitchen", script),
    ]


@when("6 requests are forwarded to that upstream")
def step_forward(context):
    context.outcomes = []

    async def scene(runner_scene):
        for number in range(6):
            context.outcomes.append(await runner_scene.forward(ORDERS, f"r{number}"))

    RunnerScene(context.servers, [ORDERS]).run(scene)


@then("all of them are answered by the server")
def step_answered(context):
    assert all(isinstance(one, Answered) for one in context.outcomes), context.outcomes
    assert len(context.servers[0].runs) == 6


def read_list(body):
    """Return what is read from a list that is served over HTTP."""

    async def handler(req):
        return HttpResponse(200, body)

    async def main():
        with trio.fail_after(SCENE_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
                nursery.start_soon(serve_http, listeners, handler)
                port = listeners[0].socket.getsockname()[1]
                try:
                    return await PlatformServerList(LOOPBACK, port).read()
                except ListUnavailableError as exc:
                    return exc
                finally:
                    nursery.cancel_scope.cancel()

    return trio.run(main)


def page_of(*entries):
    return b'{"instances":[' + b",".join(entries) + b'],"next-token":null}'


@given("a list of a draining server and an entry with {what}")
def step_list(context, what):
    context.page = page_of(ENTRIES[what], DRAINING)


@when("the list is read over HTTP")
def step_read(context):
    context.read = read_list(context.page)


@then("the server is read as draining, and the entry is left out")
def step_left_out(context):
    assert [(one.server_id, one.draining) for one in context.read] == [("i-leaving", True)]


WARM_UPS = {"a year": b"31536000000", "an infinite time": b"1e999", "less than no time": b"-1"}


@given("a list of a server that says that it is cold for {span}")
def step_cold(context, span):
    context.page = page_of(ENTRY % (b'"z"', b"2", WARM_UPS[span]))


@then("the server is read as one that isn't cold")
def step_not_cold(context):
    assert [(one.server_id, one.warm_up) for one in context.read] == [("i-2", 0.0)], context.read


VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(min_value=10**19, max_value=10**330),
    st.floats(),
    st.text(max_size=12),
    st.text("\ud800\ufffd0123456789.:[]", max_size=12),
    st.sampled_from(["ready", "draining", "10.1.0.1:80", "[::1]:80", "::1:80", "a:80"]),
    st.lists(st.integers(), max_size=2),
)
OTHER_ENTRIES = st.one_of(
    VALUES,
    st.dictionaries(st.sampled_from(sorted(SERVER)), VALUES).map(
        lambda changed: SERVER | {"instance-id": "i-other"} | changed
    ),
    st.dictionaries(st.text(max_size=4), VALUES, max_size=3),
)


def check_usable(server):
    """Check that a server can be connected to, and that a request to it can be written."""
    ip_address(server.address)
    assert 0 < server.port < 65536 and server.slots > 0
    assert 0.0 <= server.warm_up < float("inf")
    orjson.dumps([server.upstream, server.zone])
    request = caller_request([(b"host", b"fleet.example")])
    fields = PlatformDialect().server_fields(request, server.server_id, 1000.0)
    h11.Request(method="GET", target="/", headers=fields)


@then("no entries of another writer keep a server from being read, and what is read can be used")
def step_any_entries(context):
    @seed(50)
    @settings(max_examples=150, deadline=None, database=None)
    @generated(st.lists(OTHER_ENTRIES, max_size=6))
    def check(entries):
        own = SERVER | {"instance-id": "i-own"}
        page = json.dumps({"instances": [*entries, own], "next-token": None}).encode()
        read = read_list(page)
        assert not isinstance(read, ListUnavailableError), read
        assert any(one.server_id == "i-own" for one in read), read
        for server in read:
            check_usable(server)

    check()


@then("any bytes as a list are read, or reported as an unreadable list")
def step_any_bytes(context):
    opening, closing = b'{"instances":[', b'],"next-token":'
    texts = [b'"\xff"', b"null", b'"a"', b"9" * 5000, b'"\\ud800"', b"[" * 3000]
    pieces = st.sampled_from([opening, closing, b"}", b"{", b",", DRAINING, *texts])

    @seed(50)
    @settings(max_examples=100, deadline=None, database=None)
    @generated(st.one_of(st.binary(max_size=60), st.lists(pieces, max_size=8).map(b"".join)))
    def check(body):
        read = read_list(body)
        assert isinstance(read, (list, ListUnavailableError))

    check()
