from __future__ import annotations

import copy
from contextlib import asynccontextmanager
from functools import partial
from types import SimpleNamespace
from unittest.mock import Mock, patch

import trio
from behave import then, when
from trio.testing import MockClock

from alderhatch import link as link_module
from alderhatch.clock import SECOND, LoopClock
from alderhatch.codec import Codec
from alderhatch.core.forwarding.caller_hosts import HostRecord
from alderhatch.core.forwarding.gather_plan import GatherPlan, HostShare
from alderhatch.core.forwarding.identity import Identity
from alderhatch.core.forwarding.organisation import key_digest
from alderhatch.core.forwarding.run_limits import RunTimes
from alderhatch.errors import AlderhatchError, ErrorKind, Failure
from alderhatch.link import LinkClosedError, Peer, open_link
from alderhatch.node import hand_over_server
from alderhatch.node.caller_identity import CallerIdentity
from alderhatch.node.gather_messages import PartsRequest
from alderhatch.node.gather_server import GatherServer
from alderhatch.node.hand_over_link import HandOverLostError
from alderhatch.node.hand_over_messages import HAND_OVER_MESSAGE_TYPES, HAND_OVER_ROLE, to_fields
from alderhatch.node.identity_messages import IDENTITY_MESSAGE_TYPES, IdentifiedRequest
from alderhatch.node.split_gather import SplitGather, SplitGathers
from alderhatch.platform.dialect import PlatformDialect
from features.steps import hand_over_steps
from features.steps.hand_over_steps import request_message, run_with_active_host
from features.support.identified_hosts import ORGANISATIONS, SHARDS, RecordedCollector, request

PATHS = {"private": "/private/7", "public": "/public/7"}
CODEC = Codec(*HAND_OVER_MESSAGE_TYPES, *IDENTITY_MESSAGE_TYPES)
NORTH = Identity("north", key_digest("north-key"), 5)
TIME_LEFT = 900.0
EAST = {"name": "east", "api-keys": ["east-key"]}


def change(host, what):
    """Bring a change of the configuration, the lease or the standing about at a host."""
    north, south = copy.deepcopy(ORGANISATIONS)
    configure = partial(host.configure, host.state.stored.version + 1)
    match what:
        case "nothing changes":
            pass
        case "its second key is taken away":
            configure([north | {"api-keys": ["north-key"]}, south])
        case "the key is taken away":
            configure([north | {"api-keys": ["north-second"]}, south])
        case "the key moves to south":
            south["api-keys"].append("north-key")
            configure([north | {"api-keys": ["north-second"]}, south])
        case "the organisation is removed":
            configure([south])
        case "the organisation is renamed":
            configure([north | {"name": "far north"}, south])
        case "the key is taken away and given again":
            change(host, "the key is taken away")
            host.configure(host.state.stored.version + 1, ORGANISATIONS)
        case "no organisations are declared":
            configure(None)
        case "the lease of this host runs out":
            host.state.lease.is_valid = False
        case "this host becomes a standby host":
            host.state.apply_standing(True)
        case _:
            raise AssertionError(what)


# Requests that are handed over


@when('another host decided "north" for "north-key" by configuration 5, and then {what}')
def step_decided(context, what):
    context.identity = NORTH
    context.arrives_after = None
    change(context.host, what)


@when('another host decided "east" for "east-key" by configuration 6, which {arrives}')
def step_decided_newer(context, arrives):
    context.identity = Identity("east", key_digest("east-key"), 6)
    context.arrives_after = None if arrives == "never arrives" else 200.0


async def answer_while_configured(context, answer):
    """Answer a request while a newer configuration is on its way."""
    if context.arrives_after is None:
        return await answer()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(configure_later, context.host, context.arrives_after)
        return await answer()


async def configure_later(host, delay):
    await trio.sleep(delay / SECOND)
    host.configure(6, [*ORGANISATIONS, EAST])


def hand_over(context, http):
    handler = context.host.handler
    answer = partial(handler.handle_handed_over, http, TIME_LEFT, 5, context.identity)
    context.result = context.host.outcome(lambda: answer_while_configured(context, answer))


@when("it hands over a request on a {route} route")
def step_hands_over(context, route):
    hand_over(context, request(PATHS[route]))


@when('it hands over a request with "{fields}"')
def step_hands_over_fields(context, fields):
    pairs = [field.strip().split(": ") for field in fields.split(";")]
    hand_over(context, request("/private/7", *pairs))


@when('a host that has decided nothing hands over a request with "{fields}"')
def step_undecided(context, fields):
    context.identity = context.arrives_after = None
    step_hands_over_fields(context, fields)


@then("the request would go on to further hosts with the same decision")
def step_same_decision(context):
    assert context.host.servers.identities == [NORTH]


# Links


IDENTITIES = {
    "of an organisation": NORTH,
    "on a public route without a key": Identity(None, None, 5),
    "of a tier without organisations": None,
}


@when("a request {of_whom} is handed over to it")
def step_hand_over_identified(context, of_whom):
    sent_types = []
    encode = CODEC.encode

    def record_type(message):
        sent_types.append(type(message).__name__)
        return encode(message)

    async def script(active_host, client, nursery):
        http = hand_over_steps.request()
        identity = IDENTITIES[of_whom]
        context.handed = await client.hand_over(http, 60 * SECOND, (), identity)

    with (
        patch.object(hand_over_steps, "CODEC", CODEC),
        patch.object(CODEC, "encode", record_type),
    ):
        run_with_active_host(context, script)
    context.sent_types = sent_types


@then('the other host sees that it is {of_whom}, as a message of type "{name}"')
def step_sees(context, of_whom, name):
    hand_over_steps.step_answered(context)
    assert context.active_host.identities == [IDENTITIES[of_whom]]
    assert context.sent_types == [name, "HandedAnswer"], context.sent_types


MISTAKES = {
    "a version of 0": {"version": 0},
    "a negative version": {"version": -3},
    "an empty organisation": {"organisation": ""},
    "no digest of the key": {"key_digest": None},
    "a digest without organisation": {"organisation": None},
    "an empty digest": {"key_digest": b""},
    "a digest that is too long": {"key_digest": bytes(33)},
}


def identified(number=1, **changes):
    return IdentifiedRequest(number, request_message(number=0), NORTH._replace(**changes))


def exchange_with_active_host(context, first):
    """Send a message and then a valid one; record the replies and the log events."""
    context.events = []

    async def script(active_host, client, nursery):
        peer = Peer("me", HAND_OVER_ROLE)
        secret = hand_over_steps.SECRET
        async with open_link("127.0.0.1", context.port, CODEC, secret, peer) as link:
            await link.send(first)
            try:
                context.reply = await link.receive()
                await link.send(identified(2))
                context.next_reply = await link.receive()
            except LinkClosedError:
                context.reply = None

    def record(event, *args, **fields):
        context.events.append(fields)

    with (
        patch.object(hand_over_steps, "CODEC", CODEC),
        patch.object(hand_over_server, "log_event", record),
        patch.object(link_module, "log_event", record),
    ):
        run_with_active_host(context, script)
    context.refusals = context.events


@when("it receives an identified request with {mistake}")
def step_invalid_identity(context, mistake):
    exchange_with_active_host(context, identified(**MISTAKES[mistake]))


@then('the log names the other host and the field "{field}"')
def step_logged(context, field):
    (fields,) = context.events
    assert (fields["peer"], fields["field"]) == ("me", field), fields


WRONG_TYPES = {
    "version": identified(version="five"),
    "organisation": identified(organisation=7),
    "digest": identified(key_digest="north-key"),
    "target": IdentifiedRequest(1, request_message(target=5), NORTH),
}


@when("it receives an identified request whose {what} is of the wrong type")
def step_wrong_type(context, what):
    exchange_with_active_host(context, WRONG_TYPES[what])


# Shares of gathers


@when("it asks for a share of a gather")
def step_share(context):
    host = context.host
    context.collector = RecordedCollector()
    server = GatherServer(host.state, context.collector, PlatformDialect(), Mock(), Mock())
    http = request("/gather/7")
    parts_req = PartsRequest(
        1, "GET", http.target, to_fields(http.fields), b"", TIME_LEFT, 100.0, SHARDS[:3]
    )

    async def answer():
        await server.answer(parts_req, context.identity, lambda parts: None)
        return SimpleNamespace(status="its parts")

    context.result = host.outcome(lambda: answer_while_configured(context, answer))


@then('the share ends with "{result}", and its servers are told the organisation "{told}"')
@then('the share ends with "{result}", and its servers are told the organisation ""')
def step_share_ends(context, result, told=""):
    assert context.result == result, context.result
    sent = context.collector.sent
    assert len(sent) == (result == "its parts"), sent
    for fields in sent:
        organisations = [value.decode() for name, value in fields if name == b"tenant"]
        assert organisations == ([told] if told else []), fields


class OtherHost:
    """The links of a host that divides a gather: the other host does not deliver its share."""

    def __init__(self, failure, on_request):
        self.failure = failure
        self.on_request = on_request
        self.identities = []
        self.avoided = []

    async def request_parts(self, host, req, on_parts, identity):
        self.identities.append(identity)
        assert not {"api-key", "tenant"} & {field.name.decode() for field in req.fields}
        self.on_request()
        raise self.failure

    def avoid(self, name, now, duration):
        self.avoided.append(name)


@when("it splits a gather of north with another host, then {what}, and that host {how}")
def step_split(context, what, how):
    host = context.host
    failure = HandOverLostError(False)
    if how != "is lost":
        kind = ErrorKind(how.removeprefix("refuses it as "))
        failure = AlderhatchError(Failure(kind, "refused there"))
    links = context.links = OtherHost(failure, lambda: change(host, what))
    context.collector = RecordedCollector(duration=2 * TIME_LEFT)
    other = HostRecord("other", "zone-1", "127.0.0.1:1", True, 1.0)
    plan = GatherPlan(tuple(SHARDS[:3]), (HostShare(other, tuple(SHARDS[3:])),))
    route = host.state.routes.find("fleet.example", "/gather/7")
    dialect = PlatformDialect()
    req = dialect.read_request(request("/gather/7", ("Api-Key", "north-key")))

    async def main():
        identified_req = CallerIdentity(host.state, dialect).identify(req, route)
        now = LoopClock().now()
        times = RunTimes(now, now + 100.0, now + 1000.0)
        gathers = SplitGathers(host.state, context.collector, links)
        gather = SplitGather(gathers, identified_req, route, route.destination, plan, times)
        await gather.run()

    trio.run(main, clock=MockClock(autojump_threshold=0))


@then("it {asks} servers for the shards of the other host, and {avoids} that host for a while")
def step_asked(context, asks, avoids):
    assert context.links.identities == [NORTH]
    others = [shards for shards in context.collector.shards if shards != tuple(SHARDS[:3])]
    assert others == ([tuple(SHARDS[3:])] if asks == "asks" else []), others
    assert context.links.avoided == (["other"] if avoids == "avoids" else [])


# Requests that wait


@when("a request of north waits for its turn, and meanwhile {what}")
def step_waits(context, what):
    host = context.host

    @asynccontextmanager
    async def turn(route, organisation):
        assert organisation.name == "north"
        match what:
            case "its turn is refused":
                raise AlderhatchError(Failure(ErrorKind.OVERLOADED, "no turn in time"))
            case "its caller leaves":
                context.scope.cancel()
                await trio.sleep(1)
            case _:
                change(host, what)
        yield

    async def answer():
        with trio.CancelScope() as context.scope:
            return await host.handler.handle(request("/private/7", ("Api-Key", "north-key")))
        return SimpleNamespace(status="cancelled")

    with patch.object(host.turns, "turn", turn):
        context.result = host.outcome(answer)


@then(
    'the caller gets "{result}", the server was asked {times:d} times, and {tokens:d} tokens were'
    " given back"
)
def step_waited(context, result, times, tokens):
    assert str(context.result) == result, context.result
    assert len(context.host.servers.sent) == times
    assert context.host.quotas.given_back == tokens
