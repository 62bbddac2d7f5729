from __future__ import annotations

from contextlib import asynccontextmanager
from math import nan
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

import trio
from behave import given, then, when

from alderhatch import link as link_module
from alderhatch.clock import SECOND, LoopClock
from alderhatch.codec import Codec
from alderhatch.core.forwarding import quota_allowance
from alderhatch.core.forwarding.caller_hosts import HostRecord
from alderhatch.core.forwarding.organisation import Organisation
from alderhatch.core.forwarding.quota_allowance import TokenSource
from alderhatch.core.forwarding.quota_bounds import QuotaBounds
from alderhatch.core.forwarding.quota_host import QuotaHost
from alderhatch.core.forwarding.quota_owner import Charge, ChargeAnswer, HandedBalance, Sender
from alderhatch.errors import AlderhatchError
from alderhatch.link import LinkClosedError, Peer, open_link, serve_links
from alderhatch.log_events import LogEvent
from alderhatch.node import quota_client, quota_gate, quota_log, quota_messages
from alderhatch.node.quota_client import QuotaClient
from alderhatch.node.quota_gate import QuotaGate
from alderhatch.node.quota_log import QuotaLog
from alderhatch.node.quota_messages import (
    QUOTA_MESSAGE_TYPES,
    QUOTA_ROLE,
    HandedBalances,
    QuotaAnswers,
    QuotaCharges,
)
from alderhatch.node.quota_server import QuotaServer

NAME = "acme"
SECRET = b"the secret of a tier of the tests"
CODEC = Codec(*QUOTA_MESSAGE_TYPES)
TIMEOUT_S = 30
IN_TOUCH_MS = 60 * SECOND
RATE = 1e-4
"""So low that nothing is refilled during a test; a window of ``BOUNDS`` is as long as needed."""
LIMIT = Organisation(NAME, (), None, RATE, 10.0)
UNLIMITED = Organisation("free", ())
BOUNDS = QuotaBounds(5 * SECOND, 0.0, 7.0)
CHARGE = Charge(NAME, 0, 0, 0.0, 0)


class Contact:
    """A leader that is always in touch."""

    def confirmed_at(self, now):
        return now


class QuotaNode:
    """The parts of a node that decide about quotas, with links to the others."""

    def __init__(self, context, name):
        self.context = context
        self.links = []
        self.behavior = "answers"
        self.state = SimpleNamespace(
            name=name,
            hosts=[],
            caller_hosts=[],
            leader_since=float("-inf"),
            organisations={NAME: LIMIT, UNLIMITED.name: UNLIMITED},
        )
        self.quotas = QuotaHost(name, BOUNDS, self.state.organisations.get, Random(1))
        self.client = QuotaClient(self.state, self.quotas.allowances, 1, CODEC, SECRET)
        metrics = SimpleNamespace(
            count_quota_token=lambda source, waited: context.sources.append(source),
            count_quota_refused=lambda reason: None,
        )
        self.log = QuotaLog(metrics)
        self.gate = QuotaGate(self.state, self.quotas, self.client, Contact(), self.log)
        self.server = QuotaServer(self.state, self.quotas, self.gate.refresh)

    def age(self, now):
        """Bring the node into the state of one that has run for a while, with full buckets."""
        names = [host.name for host in self.state.hosts]
        self.quotas.owners.begin(now - IN_TOUCH_MS)
        for back in range(round(IN_TOUCH_MS), 0, -1000):
            self.quotas.set_hosts(names, names, now - back, now - back)

    async def serve(self, link):
        """Serve a link of another node, or behave as the scenario says."""
        self.links.append(link)
        match self.behavior:
            case "answers":
                await self.server.serve(link)
            case "answers nothing":
                while True:
                    await link.receive()
            case ChargeAnswer() as answer:
                message = await link.receive()
                await link.send(QuotaAnswers(message.number, [answer]))
                await link.receive()
            case "loses the link":
                message = await link.receive()
                sender = Sender(link.peer.name, message.start, message.number)
                self.quotas.answer(sender, message.charges, LoopClock().now())
                self.behavior = "answers"
                await link.aclose()


@given(
    "an owner of a quota with {tokens:d} tokens and no refill, and another host, with a link"
    " between them"
)
def step_nodes(context, tokens):
    assert tokens == LIMIT.burst
    context.behavior = "answers"
    context.sources = []
    context.refused = []
    context.events = []


@given("the owner {behavior}")
def step_behavior(context, behavior):
    context.behavior = behavior


@asynccontextmanager
async def open_nodes(context):
    """Run an owner and another node; the quota's bucket is full."""
    nodes = {name: QuotaNode(context, name) for name in ("a", "b")}
    async with trio.open_nursery() as nursery:
        records = []
        for name, node in nodes.items():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            records.append(HostRecord(name, "zone", "127.0.0.1:1", True, 1.0, port))
            peer = Peer(name, "control")
            nursery.start_soon(serve_links, listeners, CODEC, SECRET, peer, node.serve)
        now = LoopClock().now()
        for node in nodes.values():
            node.state.hosts = node.state.caller_hosts = records
            node.age(now)
            await nursery.start(node.client.run)
        owner = nodes[nodes["a"].quotas.owners.owner(NAME)]
        # With the rate of these tests, the bucket would take a day to fill.
        owner.quotas.owner.accept(HandedBalance(NAME, LIMIT.burst), now - IN_TOUCH_MS)
        owner.quotas.answer(Sender("someone", 1, 0), [CHARGE], now - IN_TOUCH_MS + 1.0)
        user = nodes["b" if owner.state.name == "a" else "a"]
        if context.behavior == "is gone":
            user.state.hosts = [
                host._replace(link_port=1) if host.name == owner.state.name else host
                for host in records
            ]
        else:
            owner.behavior = context.behavior
        context.owner, context.user, context.records = owner, user, records
        yield SimpleNamespace(owner=owner, user=user, nursery=nursery)
        nursery.cancel_scope.cancel()


def run_nodes(context, script):
    """Run a script with both nodes, and record what they log."""

    def record(event, exc=None, **fields):
        context.events.append((event, fields))

    async def main():
        with trio.fail_after(TIMEOUT_S):
            async with open_nodes(context) as nodes:
                await script(nodes)
                nodes.user.log.flush(0.0)

    with (
        patch.object(link_module, "log_event", record),
        patch.object(quota_client, "log_event", record),
        patch.object(quota_messages, "log_event", record),
        patch.object(quota_log, "log_event", record),
    ):
        trio.run(main)


async def admit(context, node, organisation=LIMIT):
    try:
        return await node.gate.admit(organisation, LoopClock().now() + 10 * SECOND)
    except AlderhatchError as exc:
        context.refused.append(exc.failure)
        return None


def counted(owner):
    """Return how many requests the owner has counted."""
    (answer,) = owner.quotas.answer(Sender("someone", 1, 1), [CHARGE], LoopClock().now())
    return round(LIMIT.burst - answer.balance)


async def until(condition):
    while not condition():
        await trio.sleep(0.005)


@when("{count:d} requests of its organisation arrive at the other host")
def step_arrive(context, count, organisation=LIMIT):
    async def script(nodes):
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(admit, context, nodes.user, organisation)

    context.script = script
    if context.behavior != "answers":
        run_nodes(context, script)
        return
    # On a busy machine the answer of a sound owner may take longer than a request waits for it, and
    # the reserve decides in its place.
    with (
        patch.object(quota_gate, "ASK_TIMEOUT", LONG_WAIT_MS),
        patch.object(quota_allowance, "ASK_TIMEOUT", LONG_WAIT_MS),
    ):
        run_nodes(context, script)
    assert TokenSource.RESERVE not in context.sources, context.sources


@when("{count:d} requests of an organisation without a quota arrive at the other host")
def step_unlimited(context, count):
    context.admitted = []

    async def script(nodes):
        for _ in range(count):
            context.admitted.append(await admit(context, nodes.user, UNLIMITED))

    run_nodes(context, script)


@then("{count:d} are admitted, and no link was opened")
def step_no_link(context, count):
    assert context.admitted == [None] * count and not context.refused
    assert not context.owner.links


@then(
    '{admitted:d} are admitted, and {refused:d} refused as "{kind}" with different times to return'
)
@then(
    '{admitted:d} are admitted by the reserve, and {refused:d} refused as "{kind}" with different'
    " times to return"
)
def step_admitted(context, admitted, refused, kind):
    assert len(context.sources) == admitted, context.sources
    assert [failure.kind for failure in context.refused] == [kind] * refused
    times = {failure.retry_after_ms for failure in context.refused}
    assert len(times) == refused and min(times) > 0.0, times


@then(
    'the log tells once that "{reason}" refused {count:d} requests of "{name}", with the owner and'
    " {tokens} tokens"
)
def step_logged(context, reason, count, name, tokens):
    lines = [fields for event, fields in context.events if event is LogEvent.QUOTA_REFUSED]
    (fields,) = lines
    assert (fields["reason"], fields["count"], fields["organisation"]) == (reason, count, name)
    assert fields["owner"] == context.owner.state.name, fields
    assert fields["tokens"] == (None if tokens == "no" else float(tokens)), fields


@then("one link was opened")
def step_one_link(context):
    assert len(context.owner.links) == 1


@when("{count:d} requests arrive one after the other at the other host")
def step_one_by_one(context, count):
    async def script(nodes):
        for _ in range(count):
            await admit(context, nodes.user)
        if context.behavior == "answers":
            await until(lambda: counted(nodes.owner) == count)

    run_nodes(context, script)


@then("the last of them ran ahead, and the owner has counted 2")
def step_ran_ahead(context):
    assert context.sources[0] == TokenSource.ASKED, context.sources
    assert context.sources[-1] == TokenSource.AHEAD, context.sources


@when("a request waits for a token of a slow owner, and its caller leaves")
def step_caller_leaves(context):
    async def script(nodes):
        with trio.CancelScope() as scope:
            scope.cancel()
            await admit(context, nodes.user)
        await until(lambda: nodes.owner.links)
        await trio.sleep(0.05)
        nodes.user.client.send(nodes.owner.state.name)
        await trio.sleep(0.05)
        context.counted = counted(nodes.owner)

    run_nodes(context, script)


@when("a request has run ahead, and the link is lost before the answer")
def step_lost_with_charge(context):
    context.behavior = "answers"


LONG_WAIT_MS = 10 * SECOND


def is_answered(nodes):
    """Return whether the owner has answered all messages."""
    channel = nodes.user.quotas.allowances._channels[nodes.owner.state.name]
    return not channel.unanswered


@when("the link is open again")
def step_open_again(context):
    async def script(nodes):
        owner = nodes.owner
        await admit(context, nodes.user)
        await owner.links[0].aclose()
        await until(lambda: not nodes.user.client._links[owner.state.name].is_open)
        owner.behavior = "loses the link"
        # The link may not be opened again yet.
        await trio.sleep(quota_client.REOPEN_DELAY / SECOND)
        await admit(context, nodes.user)
        await until(lambda: owner.behavior == "answers")
        await trio.sleep(2 * quota_client.REOPEN_DELAY / SECOND)
        nodes.user.client.send(owner.state.name)
        await until(lambda: len(owner.links) == 3 and is_answered(nodes))
        context.counted = counted(owner)

    with (
        patch.object(quota_gate, "ASK_TIMEOUT", LONG_WAIT_MS),
        patch.object(quota_allowance, "ASK_TIMEOUT", LONG_WAIT_MS),
    ):
        run_nodes(context, script)
    assert context.sources == [TokenSource.ASKED, TokenSource.AHEAD], context.sources


@then("the owner has counted {count:d}")
def step_counted(context, count):
    assert context.counted == count, context.counted


@when("the owner leaves the list of hosts")
def step_leaves(context):
    script = context.script

    async def leave(nodes):
        await script(nodes)
        name = nodes.owner.state.name
        remaining = [host for host in context.records if host.name != name]
        nodes.owner.state.hosts = remaining
        nodes.user.state.hosts = list(context.records)
        nodes.owner.gate.update()
        await trio.sleep(0.1)
        nodes.user.state.hosts = remaining
        nodes.user.gate.update()
        now = LoopClock().now()
        context.answer = nodes.user.quotas.owner.take(LIMIT, now)

    run_nodes(context, leave)


@then("the other host is the owner, with {tokens:d} tokens")
def step_new_owner(context, tokens):
    assert context.answer.counted, context.answer
    assert round(context.answer.balance) == tokens - 1, context.answer


MESSAGES = {
    "a negative number of runs": QuotaCharges(1, 1, [CHARGE._replace(ran=-1)]),
    "a number of runs that is text": QuotaCharges(1, 1, [CHARGE._replace(ran="2")]),
    "an epoch that is NaN": QuotaCharges(1, 1, [CHARGE._replace(epoch=nan)]),
    "a balance that is NaN": HandedBalances([HandedBalance(NAME, nan)]),
    "a balance of an unknown organisation": HandedBalances([HandedBalance("nobody", 1.0)]),
    "an answer": QuotaAnswers(1, []),
    "a charge from a host that isn't listed": QuotaCharges(1, 1, [CHARGE._replace(ran=1)]),
}


@when("the owner receives {what}")
def step_receives(context, what):
    async def script(nodes):
        name = "stranger" if "isn't listed" in what else nodes.user.state.name
        port = next(
            host.link_port for host in context.records if host.name == nodes.owner.state.name
        )
        peer = Peer(name, QUOTA_ROLE)
        context.is_closed = False
        async with open_link("127.0.0.1", port, CODEC, SECRET, peer) as link:
            await link.send(MESSAGES[what])
            try:
                await link.receive()
            except LinkClosedError:
                context.is_closed = True
        context.counted = counted(nodes.owner)

    run_nodes(context, script)


@then('the link is closed, the log names the field "{field}", and the owner has counted 0')
def step_link_closed(context, field):
    assert context.is_closed
    assert logged_fields(context) == [field]
    assert context.counted == 0


def logged_fields(context):
    return [
        fields["field"]
        for event, fields in context.events
        if event is LogEvent.LINK_MESSAGE_REFUSED
    ]


ANSWER = ChargeAnswer(NAME, True, 1, [], 5.0, True, 1.0)
ANSWERS = {
    "more tokens than asked for": ANSWER._replace(granted=2),
    "another organisation": ANSWER._replace(organisation="other"),
    "a balance that is NaN": ANSWER._replace(balance=nan),
    "a time below 0": ANSWER._replace(granted=0, retry_after=[-1.0]),
}


@when("the owner answers with {what}")
def step_answers(context, what):
    context.behavior = ANSWERS[what]

    async def script(nodes):
        await admit(context, nodes.user)
        # On a busy machine the reserve admits the request before the answer arrives.
        while not logged_fields(context):
            await trio.sleep(0.005)

    run_nodes(context, script)


@then('the request is not admitted by the answer, and the log names the field "{field}"')
def step_answer_refused(context, field):
    assert context.sources in ([], [TokenSource.RESERVE]), context.sources
    assert logged_fields(context) == [field]
