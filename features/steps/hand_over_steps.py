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
from alderhatch.node.caller_side import CallerSide
from alderhatch.node.hand_over_client import HandOverClient
from alderhatch.node.hand_over_link import SILENCE
from alderhatch.node.hand_over_messages import (
    HAND_OVER_MESSAGE_TYPES,
    HAND_OVER_ROLE,
    HandedAnswer,
    HandedRefusal,
    HandedRequest,
)
from alderhatch.node.hand_over_server import HandOverServer
from alderhatch.node.tier_messages import ServerNews, Standing
from features.steps.caller_hosts_steps import node_before_servers
from features.steps.tier_size_steps import tier_after_script
from features.support.tier_hosts import server_list

SECRET = b"the secret of a tier of the tests"
CODEC = Codec(*HAND_OVER_MESSAGE_TYPES)
PATIENCE_S = 30
DEADLINE = 2000.0
VERSION = 7
FIELDS = [(b"x-note", b"one"), (b"x-note", b"two")]
REFUSALS = {
    "stands by as well": ErrorKind.NOT_SERVING,
    "is about to end": ErrorKind.STOPPING,
    "has no such configuration yet": ErrorKind.NO_CONFIGURATION,
    "is overloaded": ErrorKind.OVERLOADED,
    "knows no route for it": ErrorKind.NOT_FOUND,
    "has a fault": ErrorKind.INTERNAL,
}


# Decisions


@given('a host that stands by, and others "{names}" that serve callers')
@given('a host that stands by, and others "" that serve callers')
def step_others(context, names=""):
    context.hosts = [
        HostRecord(name, f"zone-{index % 2}", f"{name}:1", True, 1.0)
        for index, name in enumerate(names.split())
    ]
    context.now = 0.0
    context.targets = HandOverTargets("me", "zone-0", Random(1))


def hand_over(context, happens, now=0.0):
    """Run one request; ``happens`` says what becomes of it at each host that is asked."""
    run = HandOverRun(context.targets, lambda: context.hosts, DEADLINE)
    context.asked = []
    context.ended = None
    try:
        while True:
            host = run.next_host(now)
            context.asked.append(host.name)
            what = happens(len(context.asked))
            if what == "answers":
                return
            if what == "can't be reached":
                run.lost(host, False, now)
            elif what == "is lost while it has the request":
                run.lost(host, True, now)
            else:
                run.refused(host, Failure(REFUSALS[what], what), now)
    except AlderhatchError as exc:
        context.ended = exc.failure.kind


@when("a request is handed over, and the first one {what}")
def step_first(context, what):
    hand_over(context, lambda number: what if number == 1 else "answers")


@when("a request is handed over, and no host can be reached")
def step_none_reached(context):
    hand_over(context, lambda number: "can't be reached")


@when("a request is handed over, and every host is about to end")
def step_all_end(context):
    hand_over(context, lambda number: "is about to end")


@when("a request is handed over, and its caller's time is up")
def step_time_up(context):
    hand_over(context, lambda number: "answers", now=DEADLINE)


@then("one host was asked")
def step_one(context):
    assert len(context.asked) == 1 and context.ended is None, (context.asked, context.ended)


@then("another host was asked")
def step_another(context):
    assert len(set(context.asked)) == 2 and context.ended is None, (context.asked, context.ended)


@then('the request ended as "{kind}"')
def step_ended(context, kind):
    assert len(context.asked) == 1 and context.ended == kind, (context.asked, context.ended)


@then('{count:d} hosts were asked, and the request ended as "{kind}"')
def step_asked(context, count, kind):
    assert len(set(context.asked)) == len(context.asked) == count, context.asked
    assert context.ended == kind, context.ended


def chosen(context):
    return {context.targets.choose(context.hosts, (), context.now).name for _ in range(50)}


@then('requests go to the hosts of its zone, "{names}"')
@then('requests go to the hosts of the other zone, "{names}"')
@then('requests go to "{names}" only')
def step_chosen(context, names):
    assert chosen(context) == set(names.split()), chosen(context)


@when('"{name}" could not be reached')
def step_avoid(context, name):
    context.targets.avoid(name, context.now)


@when("{span:d} ms pass for the host that stands by")
def step_time(context, span):
    context.now += span


# Links


class Beliefs:
    """What the host that stands by believes, as far as a test needs it."""

    def __init__(self, port):
        self.name = "me"
        self.zone = "zone-0"
        self.seen_version = VERSION
        self.caller_hosts = [HostRecord("other", "zone-0", "127.0.0.1:1", True, 1.0, port)]

    def record_seen_version(self, version):
        self.seen_version = max(self.seen_version, version)


class OtherHost:
    """The host that serves callers."""

    def __init__(self):
        self.requests = []
        self.times_left = []
        self.cancelled = trio.Event()
        self.begun = trio.Event()
        self.span = 0.0
        self.serving = ServeState()
        self.server = HandOverServer(self.answer, None, lambda: VERSION, self.serving)
        self.links = []
        self.is_mute = False

    async def answer(self, http, time_left, version):
        if version > VERSION:
            raise AlderhatchError(Failure(ErrorKind.NO_CONFIGURATION, "not yet"))
        self.requests.append(http)
        self.times_left.append(time_left)
        self.begun.set()
        try:
            await trio.sleep(self.span / SECOND)
        except trio.Cancelled:
            self.cancelled.set()
            raise
        return HttpResponse(203, http.body[::-1], "text/plain", (("x-more", "1"),), FIELDS)

    async def handle(self, link):
        self.links.append(link)
        if self.is_mute:
            await link.receive()
            self.begun.set()
            await trio.sleep_forever()
        await self.server.serve(link)


@given("a host that serves callers, reached over a link")
def step_other(context):
    context.span = 0.0
    context.is_mute = False


@given("a host that takes links and requests, and says nothing more")
def step_mute(context):
    step_other(context)
    context.is_mute = True


def request(body=b"a body"):
    return HttpRequest("POST", "/a/b", {"c": "d"}, {}, body, "/a/b?c=d", list(FIELDS), True, 1.5)


def play(context, script):
    """Run a coroutine function with the other host, a client of it and a nursery."""

    async def main():
        other = context.other = OtherHost()
        other.span = context.span
        other.is_mute = context.is_mute
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = context.port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(PATIENCE_S):
            async with trio.open_nursery() as nursery:
                me = Peer("other", "control")
                nursery.start_soon(serve_links, listeners, CODEC, SECRET, me, other.handle)
                client = HandOverClient(Beliefs(port), CODEC, SECRET, Random(1))
                await nursery.start(client.run)
                await script(other, client, nursery)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def ask(context, client, time_left=60 * SECOND, body=b"a body"):
    context.failure = context.handed = None
    try:
        context.handed = await client.hand_over(request(body), time_left)
    except AlderhatchError as exc:
        context.failure = exc.failure


@when("a request with a body of {size:d} bytes is handed to it")
def step_ask(context, size):
    async def script(other, client, nursery):
        await ask(context, client, body=bytes(size - 1) + b"x")

    play(context, script)


@when("a request is handed to it")
def step_ask_any(context):
    step_ask(context, 10)


@when("a request that takes three times as long as a silent link is kept is handed to it")
def step_ask_slow(context):
    context.span = 3 * SILENCE
    step_ask(context, 10)


@then("it was answered as if it had come from its caller")
def step_answered(context):
    (http,) = context.other.requests
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


@then("it had the time that its caller had left")
def step_time_left(context):
    (left,) = context.other.times_left
    assert 50 * SECOND < left <= 60 * SECOND, left


@when("a request is handed to it, and its caller leaves")
def step_leaves(context):
    async def script(other, client, nursery):
        other.span = 60 * SECOND
        with trio.CancelScope() as scope:
            nursery.start_soon(wait_then, other.begun, scope.cancel)
            await ask(context, client)
        await other.cancelled.wait()
        other.span = 0.0
        await ask(context, client)

    play(context, script)


async def wait_then(event, act):
    await event.wait()
    act()


@then("the other host has cancelled it, and its link serves on")
def step_cancelled_serves(context):
    assert context.other.cancelled.is_set()
    assert context.handed.response.status == 203
    assert len(context.other.links) == 1


@when("a request is handed to it, and the host that handed it over is lost")
def step_client_lost(context):
    async def script(other, client, nursery):
        other.span = 60 * SECOND
        me = Peer("me", HAND_OVER_ROLE)
        async with open_link("127.0.0.1", context.port, CODEC, SECRET, me) as link:
            await link.send(message())
            await other.begun.wait()
        await other.cancelled.wait()

    play(context, script)


@then("the other host has cancelled it")
def step_cancelled(context):
    assert context.other.cancelled.is_set()


@then('the request ended as "{kind}" while its caller still waits')
def step_ended_early(context, kind):
    assert context.failure.kind == kind, context.failure


def message(**changes):
    whole = HandedRequest(1, "GET", "/a", [], b"", 1000.0, False, 0.0, VERSION)
    return whole._replace(**changes)


WRONG = {
    "no time left": {"time_left": -5.0},
    "a target that is no path": {"target": "http://[::1"},
    "a configuration that nobody has": {"version": VERSION + 1},
}


@when("it is handed a request with {what}")
def step_wrong(context, what):
    async def script(other, client, nursery):
        me = Peer("me", HAND_OVER_ROLE)
        async with open_link("127.0.0.1", context.port, CODEC, SECRET, me) as link:
            await link.send(message(**WRONG[what]))
            context.reply = await link.receive()
            await link.send(message(number=2))
            context.next_reply = await link.receive()

    play(context, script)


@then('it refuses that as "{kind}", naming "{field}", and its link serves on')
@then('it refuses that as "{kind}", naming "", and its link serves on')
def step_refused(context, kind, field=None):
    assert isinstance(context.reply, HandedRefusal), context.reply
    assert (context.reply.kind, context.reply.field) == (kind, field), context.reply
    assert isinstance(context.next_reply, HandedAnswer), context.next_reply
    assert len(context.other.requests) == 1


@when("it is sent a request whose target is a number")
def step_no_message(context):
    async def script(other, client, nursery):
        me = Peer("me", HAND_OVER_ROLE)
        async with open_link("127.0.0.1", context.port, CODEC, SECRET, me) as link:
            await link.send(message(target=5))
            try:
                context.reply = await link.receive()
            except LinkClosedError:
                context.reply = None

    context.refused = []
    with patch.object(
        link_module, "log_event", lambda event, **fields: context.refused.append(fields)
    ):
        play(context, script)


@then('that link is closed, and the log names the field "{field}"')
def step_closed(context, field):
    assert context.reply is None
    (fields,) = context.refused
    assert (fields["peer"], fields["field"]) == ("me", field), fields


@then('it is refused as "{kind}", naming "{field}", and nothing was sent')
def step_too_large(context, kind, field):
    assert (context.failure.kind, context.failure.field) == (kind, field)
    assert not context.other.links


@when("a request is handed to it, and it counts what it has under way")
def step_counts(context):
    async def script(other, client, nursery):
        other.span = 200.0
        nursery.start_soon(partial(ask, context, client))
        await other.begun.wait()
        context.during = other.serving.exchanges
        while context.handed is None:
            await trio.sleep(0.01)
        context.after = other.serving.exchanges

    play(context, script)


@then("it counts one, and none once it has answered")
def step_counted(context):
    assert (context.during, context.after) == (1, 0), (context.during, context.after)


# Who stands by


@then("at least {least:d} and at most {most:d} hosts were told the list of servers")
def step_told_servers(context, least, most):
    context.script.insert(0, give_list)
    tier = tier_after_script(context)
    count = sum(bool(host.received(ServerNews)) for host in tier.hosts)
    assert least <= count <= most, count


async def give_list(tier):
    tier.server.update_server_list(server_list(20))


@then("each of the others was told that it stands by")
def step_told_standing(context):
    for host in context.tier.hosts:
        stands_by = host.received(Standing) == [Standing(True)]
        assert stands_by != bool(host.received(ServerNews)), host.name


@when("the last host asks for the list of servers")
def step_wants(context):
    async def want(tier):
        await give_list(tier)
        tier.hosts[-1].wants_servers = True

    context.script.append(want)


@then("the last host was told the list of servers")
def step_last_told(context):
    host = tier_after_script(context).hosts[-1]
    assert host.received(Standing) == [Standing(True), Standing(False)]
    assert len(host.received(ServerNews)) == 1


# Configurations


@given("a host that stands by with configuration {own:d}, for which another one served by {seen:d}")
def step_versions(context, own, seen):
    context.beliefs = node_before_servers(context, "me", 20)
    context.beliefs.stored = StoredConfiguration(own, b"")
    context.beliefs.apply_standing(True)
    context.beliefs.record_seen_version(seen)
    context.seen = seen


@then("it hands requests over with {version:d} as the least configuration")
def step_least(context, version):
    client = HandOverClient(context.beliefs, CODEC, SECRET, Random(1))
    assert client._message(request(), 1000.0).version == version


@when("it serves by itself")
def step_serves(context):
    context.beliefs.apply_standing(False)


@then('its callers are refused as "{kind}" until it has {version:d}')
def step_refused_until(context, kind, version):
    side = CallerSide(context.beliefs, None, None, None, None, None, None)
    req = SimpleNamespace(host="a", http=request())
    kinds = []
    for held in (version - 1, version):
        context.beliefs.stored = StoredConfiguration(held, b"")
        try:
            side._route_of(req)
        except AlderhatchError as exc:
            kinds.append(exc.failure.kind)
    assert kinds == [kind, ErrorKind.NOT_FOUND], kinds
