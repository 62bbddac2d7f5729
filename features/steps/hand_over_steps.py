from __future__ import annotations

from functools import partial
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

import trio
from behave import given, then, when

from alderhatch import link as link_module
from alderhatch.clock import SECOND
from alderhatch.codec import Codec
from alderhatch.core.control.configuration_register import StoredConfiguration
from alderhatch.core.forwarding.caller_hosts import HostRecord
from alderhatch.core.forwarding.hand_over import HandOverRun, HandOverTargets
from alderhatch.errors import AlderhatchError, ErrorKind, Failure
from alderhatch.http.messages import HttpRequest, HttpResponse
from alderhatch.http.server import ServeState
from alderhatch.link import LinkClosedError, Peer, open_link, serve_links
from alderhatch.node.caller_identity import CallerIdentity
from alderhatch.node.gather_messages import GATHER_MESSAGE_TYPES, PartsEnd, PartsNews
from alderhatch.node.hand_over_client import HandOverClient
from alderhatch.node.hand_over_link import SILENCE_TIMEOUT
from alderhatch.node.hand_over_messages import (
    HAND_OVER_MESSAGE_TYPES,
    HAND_OVER_ROLE,
    Field,
    HandedAnswer,
    HandedRefusal,
    HandedRequest,
)
from alderhatch.node.hand_over_server import HandOverServer
from alderhatch.node.tier_messages import ServerNews, Standing
from alderhatch.platform.dialect import PlatformDialect
from features.steps.caller_hosts_steps import node_with_servers
from features.steps.tier_size_steps import tier_after_script
from features.support.tier_hosts import server_list

SECRET = b"the secret of a tier of the tests"
CODEC = Codec(*HAND_OVER_MESSAGE_TYPES, *GATHER_MESSAGE_TYPES)
TIMEOUT_S = 30
DEADLINE = 2000.0
VERSION = 7
FIELDS = [(b"x-note", b"one"), (b"x-note", b"two")]
REFUSALS = {
    "is a standby host as well": ErrorKind.NOT_SERVING,
    "is stopping": ErrorKind.STOPPING,
    "lacks the configuration version": ErrorKind.NO_CONFIGURATION,
    "is overloaded": ErrorKind.OVERLOADED,
    "has no route for it": ErrorKind.NOT_FOUND,
    "has an internal error": ErrorKind.INTERNAL,
}


# Decisions


@given('a standby host, and active hosts "{names}"')
@given('a standby host, and active hosts ""')
def step_active_hosts(context, names=""):
    context.hosts = [
        HostRecord(name, f"zone-{index % 2}", f"{name}:1", True, 1.0)
        for index, name in enumerate(names.split())
    ]
    context.now = 0.0
    context.targets = HandOverTargets("me", "zone-0", Random(1))


def run_hand_over(context, result_at, now=0.0):
    """Hand a request over; ``result_at`` maps the number of the attempt to its result."""
    run = HandOverRun(context.targets, lambda: context.hosts, DEADLINE)
    context.tried = []
    context.ended = None
    try:
        while True:
            host = run.next_host(now)
            context.tried.append(host.name)
            what = result_at(len(context.tried))
            if what == "answers":
                return
            if what == "cannot be reached":
                run.handle_loss(host, False, now)
            elif what == "is lost while it has the request":
                run.handle_loss(host, True, now)
            else:
                run.handle_refusal(host, Failure(REFUSALS[what], what), now)
    except AlderhatchError as exc:
        context.ended = exc.failure.kind


@when("a request is handed over, and the first host {what}")
def step_first_host(context, what):
    run_hand_over(context, lambda number: what if number == 1 else "answers")


@when("a request is handed over, and no host can be reached")
def step_none_reachable(context):
    run_hand_over(context, lambda number: "cannot be reached")


@when("a request is handed over, and every host is stopping")
def step_all_stopping(context):
    run_hand_over(context, lambda number: "is stopping")


@when("a request is handed over, and its caller's deadline passed")
def step_deadline_passed(context):
    run_hand_over(context, lambda number: "answers", now=DEADLINE)


@then("one host was tried")
def step_one_tried(context):
    assert len(context.tried) == 1 and context.ended is None, (context.tried, context.ended)


@then("another host was tried")
def step_another_tried(context):
    assert len(set(context.tried)) == 2 and context.ended is None, (context.tried, context.ended)


@then('the request ended as "{kind}"')
def step_ended(context, kind):
    assert len(context.tried) == 1 and context.ended == kind, (context.tried, context.ended)


@then('{count:d} hosts were tried, and the request ended as "{kind}"')
def step_hosts_tried(context, count, kind):
    assert len(set(context.tried)) == len(context.tried) == count, context.tried
    assert context.ended == kind, context.ended


def chosen_hosts(context):
    return {context.targets.choose(context.hosts, (), context.now).name for _ in range(50)}


@then('requests go to the hosts of its zone, "{names}"')
@then('requests go to the hosts of the other zone, "{names}"')
@then('requests go to "{names}" only')
def step_hosts_chosen(context, names):
    assert chosen_hosts(context) == set(names.split()), chosen_hosts(context)


@when('"{name}" could not be reached')
def step_avoid(context, name):
    context.targets.avoid(name, context.now)


@when("{span:d} ms pass for the standby host")
def step_time(context, span):
    context.now += span


# Links


class StandbyState:
    """The parts of a standby host's ``NodeState`` that ``HandOverClient`` uses."""

    def __init__(self, port):
        self.name = "me"
        self.zone = "zone-0"
        self.seen_version = VERSION
        self.caller_hosts = [HostRecord("other", "zone-0", "127.0.0.1:1", True, 1.0, port)]

    def record_seen_version(self, version):
        self.seen_version = max(self.seen_version, version)


class ActiveHost:
    """An active host that answers each request after ``service_time`` with the reversed body."""

    def __init__(self):
        self.requests = []
        self.identities = []
        self.times_left = []
        self.cancelled = trio.Event()
        self.request_started = trio.Event()
        self.service_time = 0.0
        self.serving = ServeState()
        self.server = HandOverServer(self.answer, None, lambda: VERSION, self.serving)
        self.links = []
        self.is_silent = False
        self.bad_answer = None
        """What it answers each request with, if anything."""

    async def answer(self, http, time_left, version, identity):
        if version > VERSION:
            raise AlderhatchError(Failure(ErrorKind.NO_CONFIGURATION, "not yet"))
        self.requests.append(http)
        self.identities.append(identity)
        self.times_left.append(time_left)
        self.request_started.set()
        try:
            await trio.sleep(self.service_time / SECOND)
        except trio.Cancelled:
            self.cancelled.set()
            raise
        return HttpResponse(203, http.body[::-1], "text/plain", (("x-more", "1"),), FIELDS)

    async def handle(self, link):
        self.links.append(link)
        if self.bad_answer is not None:
            number = (await link.receive()).number
            await link.send(self.bad_answer._replace(number=number))
            await trio.sleep_forever()
        if self.is_silent:
            await link.receive()
            self.request_started.set()
            await trio.sleep_forever()
        await self.server.serve(link)


@given("an active host, reached over a link")
def step_active_host(context):
    context.service_time = 0.0
    context.is_silent = False
    context.bad_answer = None


@given("an active host that accepts links and requests, and sends nothing")
def step_silent_host(context):
    step_active_host(context)
    context.is_silent = True


GOOD_ANSWER = HandedAnswer(0, 200, "text/plain", [], b"a body", VERSION)
BAD_ANSWERS = {
    "a status of 99": GOOD_ANSWER._replace(status=99),
    "a status of 700": GOOD_ANSWER._replace(status=700),
    "a line break in a field": GOOD_ANSWER._replace(fields=[Field(b"x", b"a\r\nb: c")]),
    "a field without a name": GOOD_ANSWER._replace(fields=[Field(b"", b"a")]),
    "a content length": GOOD_ANSWER._replace(fields=[Field(b"Content-Length", b"3")]),
    "an unreadable type": GOOD_ANSWER._replace(content_type="a\nb"),
    "a type that isn't ASCII": GOOD_ANSWER._replace(content_type="text/\u20ac"),
    "a part of a gather": PartsNews(0, [0], [b"seal"], b"", []),
    "the end of a gather": PartsEnd(0),
}


@given("an active host that answers with {what}")
def step_bad_answer(context, what):
    step_active_host(context)
    context.bad_answer = BAD_ANSWERS[what]


def request(body=b"a body"):
    return HttpRequest("POST", "/a/b", {"c": "d"}, {}, body, "/a/b?c=d", list(FIELDS), True, 1.5)


def run_with_active_host(context, script):
    """Run ``script`` with an active host, a client of it and a nursery."""

    async def main():
        active_host = context.active_host = ActiveHost()
        active_host.service_time = context.service_time
        active_host.is_silent = context.is_silent
        active_host.bad_answer = context.bad_answer
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = context.port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                local_peer = Peer("other", "control")
                nursery.start_soon(
                    serve_links, listeners, CODEC, SECRET, local_peer, active_host.handle
                )
                client = HandOverClient(StandbyState(port), CODEC, SECRET, Random(1))
                await nursery.start(client.run)
                await script(active_host, client, nursery)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def hand_request_over(context, client, time_left=60 * SECOND, body=b"a body"):
    context.failure = context.handed = None
    try:
        context.handed = await client.hand_over(request(body), time_left)
    except AlderhatchError as exc:
        context.failure = exc.failure


@when("a request with a body of {size:d} bytes is handed over to it")
def step_hand_over_body(context, size):
    async def script(active_host, client, nursery):
        await hand_request_over(context, client, body=bytes(size - 1) + b"x")

    run_with_active_host(context, script)


@when("a request is handed over to it")
def step_hand_over_any(context):
    step_hand_over_body(context, 10)


@when("a request that takes three times the silence timeout is handed over to it")
def step_hand_over_slow(context):
    context.service_time = 3 * SILENCE_TIMEOUT
    step_hand_over_body(context, 10)


@then("the request was answered as if its caller had sent it directly")
def step_answered(context):
    (http,) = context.active_host.requests
    res = context.handed.response
    assert (http.method, http.path, http.query, http.target) == (
        "POST",
        "/a/b",
        {"c": "d"},
        "/a/b?c=d",
    )
    assert http.fields == FIELDS and http.on_used_connection and http.round_trip == 1.5
    assert (res.status, res.content_type, res.body) == (203, "text/plain", http.body[::-1])
    assert list(res.fields) == [*FIELDS, (b"x-more", b"1")], res.fields


@then("the request had its caller's remaining time")
def step_time_left(context):
    (left,) = context.active_host.times_left
    assert 50 * SECOND < left <= 60 * SECOND, left


@when("a request is handed over to it, and its caller leaves")
def step_leaves(context):
    async def script(active_host, client, nursery):
        active_host.service_time = 60 * SECOND
        with trio.CancelScope() as scope:
            nursery.start_soon(call_after, active_host.request_started, scope.cancel)
            await hand_request_over(context, client)
        await active_host.cancelled.wait()
        active_host.service_time = 0.0
        await hand_request_over(context, client)

    run_with_active_host(context, script)


async def call_after(event, callback):
    await event.wait()
    callback()


@then("the active host has cancelled it, and its link still works")
def step_cancelled_link_works(context):
    assert context.active_host.cancelled.is_set()
    assert context.handed.response.status == 203
    assert len(context.active_host.links) == 1


@when("a request is handed over to it, and the standby host is lost")
def step_standby_host_lost(context):
    async def script(active_host, client, nursery):
        active_host.service_time = 60 * SECOND
        local_peer = Peer("me", HAND_OVER_ROLE)
        async with open_link("127.0.0.1", context.port, CODEC, SECRET, local_peer) as link:
            await link.send(request_message())
            await active_host.request_started.wait()
        await active_host.cancelled.wait()

    run_with_active_host(context, script)


@then("the active host has cancelled it")
def step_cancelled(context):
    assert context.active_host.cancelled.is_set()


@then('the request ended as "{kind}" before its caller\'s deadline')
def step_ended_early(context, kind):
    assert context.failure.kind == kind, context.failure


def request_message(**changes):
    valid = HandedRequest(1, "GET", "/a", [], b"", 1000.0, False, 0.0, VERSION)
    return valid._replace(**changes)


INVALID_FIELDS = {
    "no time left": {"time_left": -5.0},
    "an invalid target": {"target": "http://[::1"},
    "an unknown configuration": {"version": VERSION + 1},
}


@when("it receives a request with {what}")
def step_invalid_request(context, what):
    async def script(active_host, client, nursery):
        local_peer = Peer("me", HAND_OVER_ROLE)
        async with open_link("127.0.0.1", context.port, CODEC, SECRET, local_peer) as link:
            await link.send(request_message(**INVALID_FIELDS[what]))
            context.reply = await link.receive()
            await link.send(request_message(number=2))
            context.next_reply = await link.receive()

    run_with_active_host(context, script)


@then('it refuses that as "{kind}", naming "{field}", and its link still works')
@then('it refuses that as "{kind}", naming "", and its link still works')
def step_refused(context, kind, field=None):
    assert isinstance(context.reply, HandedRefusal), context.reply
    assert (context.reply.kind, context.reply.field) == (kind, field), context.reply
    assert isinstance(context.next_reply, HandedAnswer), context.next_reply
    assert len(context.active_host.requests) == 1


@when("it receives a request whose target is a number")
def step_invalid_message(context):
    async def script(active_host, client, nursery):
        local_peer = Peer("me", HAND_OVER_ROLE)
        async with open_link("127.0.0.1", context.port, CODEC, SECRET, local_peer) as link:
            await link.send(request_message(target=5))
            try:
                context.reply = await link.receive()
            except LinkClosedError:
                context.reply = None

    context.refusals = []
    with patch.object(
        link_module, "log_event", lambda event, **fields: context.refusals.append(fields)
    ):
        run_with_active_host(context, script)


@then('that link is closed, and the log names the field "{field}"')
def step_link_closed(context, field):
    assert context.reply is None
    (fields,) = context.refusals
    assert (fields["peer"], fields["field"]) == ("me", field), fields


@then('it is refused as "{kind}", naming "{field}", and nothing was sent')
def step_too_large(context, kind, field):
    assert (context.failure.kind, context.failure.field) == (kind, field)
    assert not context.active_host.links


@when("a request is handed over to it, and its requests in progress are counted")
def step_count_in_progress(context):
    async def script(active_host, client, nursery):
        active_host.service_time = 200.0
        nursery.start_soon(partial(hand_request_over, context, client))
        await active_host.request_started.wait()
        context.during = active_host.serving.exchanges
        while context.handed is None:
            await trio.sleep(0.01)
        context.after = active_host.serving.exchanges

    run_with_active_host(context, script)


@then("it counts one, and none once it has answered")
def step_counted(context):
    assert (context.during, context.after) == (1, 0), (context.during, context.after)


# Standby hosts


@then("at least {least:d} and at most {most:d} hosts received the server list")
def step_received_list(context, least, most):
    context.script.insert(0, send_server_list)
    tier = tier_after_script(context)
    count = sum(bool(host.received(ServerNews)) for host in tier.hosts)
    assert least <= count <= most, count


async def send_server_list(tier):
    tier.server.update_server_list(server_list(20))


@then("each of the others was told that it is a standby host")
def step_told_standing(context):
    for host in context.tier.hosts:
        stands_by = host.received(Standing) == [Standing(True)]
        assert stands_by != bool(host.received(ServerNews)), host.name


@when("the last host requests the server list")
def step_request_list(context):
    async def request_list(tier):
        await send_server_list(tier)
        tier.hosts[-1].wants_servers = True

    context.script.append(request_list)


@then("the last host received the server list")
def step_last_received_list(context):
    host = tier_after_script(context).hosts[-1]
    assert host.received(Standing) == [Standing(True), Standing(False)]
    assert len(host.received(ServerNews)) == 1


# Configurations


@given("a standby host with configuration {own:d}, for which an active host served by {seen:d}")
def step_versions(context, own, seen):
    context.node_state = node_with_servers(context, "me", 20)
    context.node_state.stored = StoredConfiguration(own, b"")
    context.node_state.apply_standing(True)
    context.node_state.record_seen_version(seen)
    context.seen = seen


@then("it hands requests over with {version:d} as the oldest valid configuration")
def step_oldest_version(context, version):
    client = HandOverClient(context.node_state, CODEC, SECRET, Random(1))
    assert client._to_message(request(), 1000.0).version == version


@when("it becomes an active host")
def step_becomes_active(context):
    context.node_state.apply_standing(False)


@then('its callers are refused as "{kind}" until it has {version:d}')
def step_refused_until(context, kind, version):
    identity = CallerIdentity(context.node_state, PlatformDialect())
    req = SimpleNamespace(host="a", http=request())
    kinds = []
    for held in (version - 1, version):
        context.node_state.stored = StoredConfiguration(held, b"")
        try:
            identity.route_of(req)
        except AlderhatchError as exc:
            kinds.append(exc.failure.kind)
    assert kinds == [kind, ErrorKind.NOT_FOUND], kinds
