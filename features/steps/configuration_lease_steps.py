from __future__ import annotations

import json
from contextlib import asynccontextmanager
from random import Random
from types import SimpleNamespace
from typing import NamedTuple
from unittest.mock import AsyncMock, Mock, patch

import cbor2
import orjson
import trio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from trio.testing import MockClock

from alderhatch.clock import SECOND, LoopClock
from alderhatch.codec import Codec
from alderhatch.core.control.configuration_register import (
    ConfigurationRegister,
    encode_configuration,
    pack_configuration,
)
from alderhatch.core.forwarding.configuration_lease import ConfigurationLease, lease_duration
from alderhatch.core.forwarding.outcome import Failed, FailureReason
from alderhatch.core.forwarding.quota_allowance import QuotaToken, TokenSource
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.errors import AlderhatchError
from alderhatch.http.messages import HttpRequest
from alderhatch.link import Peer, serve_links
from alderhatch.log_events import LogEvent
from alderhatch.node import lease_renewal, tier_server
from alderhatch.node.caller_handler import CallerHandler
from alderhatch.node.lease_messages import LEASE_MESSAGE_TYPES, LeaseAnswer, LeaseAsk
from alderhatch.node.node_state import NodeState
from alderhatch.node.quota_gate import QuotaGate
from alderhatch.node.service_turns import ServiceTurns
from alderhatch.node.tier_client import TierClient
from alderhatch.node.tier_messages import TIER_MESSAGE_TYPES, Join, Place, Pulse, Report
from alderhatch.platform.configuration import decode_configuration
from alderhatch.platform.dialect import PlatformDialect
from alderhatch.platform.settings import POLICY, parse_settings
from alderhatch.signal import Signal
from features.steps.platform_edge_steps import SETTINGS
from features.steps.tier_size_steps import tier_after_script
from features.support.busy_hosts import BUDGET_LIMITS
from features.support.lease_hosts import KEYS, ORGANISATIONS, REFUSED, LeaseHosts
from features.support.platform_tier import HOST

TIMEOUT_S = 30
SECRET = b"the secret of a tier of the tests"
CODEC = Codec(*TIER_MESSAGE_TYPES, *LEASE_MESSAGE_TYPES)
CLOCKS = st.tuples(st.floats(-1e6, 1e6), st.floats(0.9, 1.1))
HOST_INDEXES = st.integers(0, 2)
EVENTS = st.one_of(
    st.tuples(st.just("run"), st.integers(1, 80).map(lambda steps: steps * 50.0)),
    st.tuples(
        st.just("change"), st.sampled_from(KEYS), st.sampled_from([*ORGANISATIONS, None, None])
    ),
    st.tuples(st.just("cut"), HOST_INDEXES),
    st.tuples(st.just("reconnect"), HOST_INDEXES),
    st.tuples(st.just("freeze"), HOST_INDEXES, st.floats(100.0, 9000.0)),
    st.tuples(st.just("restart"), HOST_INDEXES),
    st.tuples(st.just("delay"), st.sampled_from([5.0, 5.0, 400.0, 2500.0, 6000.0])),
    st.tuples(st.just("leader"), st.booleans()),
)


def play(hosts, event):
    match event:
        case "run", span:
            hosts.run(span)
        case "change", key, organisation if hosts.has_leader:
            hosts.change({key: organisation})
        case "cut", index:
            hosts.cut(hosts.hosts[index])
        case "reconnect", index:
            hosts.reconnect(hosts.hosts[index])
        case "freeze", index, span:
            hosts.hosts[index].frozen_until = hosts.now + span
        case "restart", index:
            hosts.hosts[index].start()
        case "delay", delay:
            hosts.delay = delay
        case "leader", is_there:
            hosts.has_leader = is_there


@then("hosts serve a key only as a configuration within the bound says, whatever fails")
def step_bound_holds(context):
    results = set()

    @settings(max_examples=150)
    @for_all(st.lists(CLOCKS, min_size=3, max_size=3), st.lists(EVENTS, min_size=5, max_size=40))
    def holds(clocks, events):
        hosts = LeaseHosts(clocks)
        hosts.run(1000.0)
        for event in events:
            play(hosts, event)
        hosts.run(6000.0)
        results.update(hosts.results)

    holds()
    assert results == {*ORGANISATIONS, None, REFUSED}, results


@then("no host in touch is without a lease while leaders are missing for up to {gap:d} ms")
def step_never_refused(context, gap):
    periods = st.tuples(st.floats(0.0, gap), st.floats(1000.0, 6000.0))

    @settings(max_examples=60)
    @for_all(
        st.lists(CLOCKS, min_size=3, max_size=3),
        st.lists(periods, min_size=1, max_size=8),
        st.sampled_from([1.0, 50.0]),
    )
    def holds(clocks, leader_changes, delay):
        hosts = LeaseHosts(clocks)
        hosts.delay = delay
        hosts.run(1000.0)
        hosts.results.clear()
        for missing, present in leader_changes:
            hosts.has_leader = False
            hosts.run(missing)
            hosts.has_leader = True
            for host in hosts.hosts:
                hosts.reconnect(host)
            hosts.change({KEYS[1]: ORGANISATIONS[1]})
            hosts.run(present)
        assert REFUSED not in hosts.results

    holds()


# One lease


@given("a host with a lease of {duration:d} ms that uses version {version:d}")
def step_lease(context, duration, version):
    context.lease = ConfigurationLease(float(duration))
    context.lease.use_version(version)


@given("a host without a revocation bound")
def step_no_bound(context):
    context.lease = ConfigurationLease(None)


@given('the platform\'s settings with strict revocation "{strict}" within "{bound}" ms')
def step_settings(context, strict, bound):
    lines = [f"bounds.strict-revocation={strict}", f"bounds.revoke-ms={bound}"]
    context.cfg = parse_settings(SETTINGS + "\n".join(lines)).node


@then("a lease of the host lasts {duration} ms")
def step_duration(context, duration):
    expected = None if duration == "unlimited" else float(duration)
    assert lease_duration(context.cfg.revocation_bound) == expected
    assert parse_settings(SETTINGS).node.revocation_bound is None


@when("its ask of {asked:d} ms is answered at {answered:d} ms with version {version:d}")
def step_answered(context, asked, answered, version):
    number = context.lease.ask(float(asked))
    while asked + context.lease.ask_interval < answered:
        asked += context.lease.ask_interval
        context.lease.ask(asked)
    context.answer = (number, version)
    context.lease.confirm(number, version)


@when("the same answer arrives again")
def step_again(context):
    context.lease.confirm(*context.answer)


@when("it uses version {version:d}")
def step_uses(context, version):
    context.lease.use_version(version)


@when("another host has used version {version:d}")
def step_seen(context, version):
    context.lease.record_seen(version)


@then("it serves keys at {at:d} ms")
def step_serves(context, at):
    context.lease.check(float(at))


@then("it refuses keys at {at:d} ms")
def step_refuses(context, at):
    try:
        context.lease.check(float(at))
    except AlderhatchError as exc:
        answer = exc.failure.answer
        assert (exc.failure.kind, answer.status, answer.ran) == ("lease_expired", 503, "not_run")
        assert exc.failure.retry_after_ms > 0
        return
    raise AssertionError("keys are served")


@when("it receives the answer {number:d} with version {version:d}")
def step_receives(context, number, version):
    state = SimpleNamespace(lease=context.lease, leased=Signal())
    with patch.object(lease_renewal, "log_event") as log:
        lease_renewal.apply_lease_answer(state, LeaseAnswer(number, version), "leader")
    context.logged = log.mock_calls


@then('the answer is refused by its field "{field}", and logged')
@then('the ask is refused by its field "{field}", and logged')
def step_refused_by_field(context, field):
    logged = [call for call in context.logged if call.args == (LogEvent.LINK_MESSAGE_REFUSED,)]
    assert [call.kwargs["field"] for call in logged] == [field], context.logged


@then('the lease message {message} is refused by its field "{field}"')
def step_refused_by_codec(context, message, field):
    try:
        CODEC.decode(cbor2.dumps(json.loads(message)))
    except AlderhatchError as exc:
        assert exc.failure.field == field, exc.failure
        return
    raise AssertionError("the message is accepted")


# The leader


@when("a host asks for a lease with number {number:d}")
def step_asks(context, number):
    async def ask(tier):
        tier.hosts[0].link.queue_message(LeaseAsk(number))

    context.script.append(ask)


@when("the leader loses the lease of the log")
def step_loses_lease(context):
    async def lose(tier):
        tier.member.leads = False

    context.script.append(lose)


@then('that host got the answers "{numbers}"')
def step_got_answers(context, numbers):
    with patch.object(tier_server, "log_event") as log:
        tier_after_script(context)
    context.logged = log.mock_calls
    answers = context.tier.hosts[0].received(LeaseAnswer)
    assert answers == [LeaseAnswer(int(number), 1) for number in numbers.split()], answers


@then("the other hosts got no answers")
def step_got_none(context):
    assert not any(host.received(LeaseAnswer) for host in context.tier.hosts[1:])


# The links of hosts


@given('a host of a tier that leads as "{role}"')
def step_leader_role(context, role):
    context.role = role


@when("a host {kind} follows it")
def step_follows(context, kind):
    duration = None if kind == "without a bound" else 4000.0
    organisations = None if kind == "without organisations" else object()
    state = SimpleNamespace(
        name="me",
        controls=[],
        lease=ConfigurationLease(duration),
        leased=Signal(),
        configured=Signal(),
        needs_lease=duration is not None and organisations is not None,
        on_new_leader=lambda: None,
        mark_list_fresh=lambda: None,
    )
    state.lease.use_version(1)
    context.asks = trio.run(follow_leader, context.role, state)
    context.lease = state.lease


async def follow_leader(role, state):
    """Let a host follow a leader; return the asks that came until its second report."""
    asks = []
    reported = trio.Event()

    async def lead(link):
        await link.receive()
        await link.send(Pulse(True))
        reports = 0
        while reports < 2:
            message = await link.receive()
            if isinstance(message, LeaseAsk):
                asks.append(message.number)
                await link.send(LeaseAnswer(message.number, 1))
            else:
                reports += 1
        reported.set()
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        place = Place("leader", "127.0.0.1", listeners[0].socket.getsockname()[1])
        nursery.start_soon(serve_links, listeners, CODEC, SECRET, Peer("leader", role), lead)
        client = TierClient(
            lambda: Join(Place("me", "127.0.0.1", 1), "zone", "127.0.0.1:1", 1.0, None, True),
            lambda: Report(True, 1, None, [], 0),
            lambda: [place],
            state,
            CODEC,
            SECRET,
        )
        nursery.start_soon(client.run)
        with trio.fail_after(TIMEOUT_S):
            await reported.wait()
        nursery.cancel_scope.cancel()
    return asks


@then("it asks")
def step_has_asked(context):
    assert context.asks[:1] == [1], context.asks
    assert context.lease.confirmed_at > float("-inf")


@then("it does not ask")
def step_has_not_asked(context):
    assert context.asks == [], context.asks


# The requests of a host


def document_of(version, holders):
    """Return a configuration whose organisations hold one key each, or none."""
    route = {"host": HOST, "timeout-ms": 9000, "route-type": "safe", "service": "kitchen"}
    names = [("paths", False), ("open", True)]
    return orjson.dumps(
        {
            "version": version,
            "services": [{"name": "kitchen"}],
            "routes": [
                route | {"name": name, "path-prefix": f"/{name}/", "public": public}
                for name, public in names
            ],
            "tenants": [
                {"name": name, "api-keys": [key] if key else []} for name, key in holders.items()
            ],
        }
    )


class RequestScript(NamedTuple):
    """What happens at a host before and while a request arrives."""

    before: float
    """How long the host has accepted requests, in milliseconds."""
    declared_late: bool = False
    """Whether the organisations are declared only as the request arrives."""
    lease: str = ""
    stands_by: bool = False
    turn_wait: float = 0.0
    """How long the request waits for its turn, in milliseconds."""


@given("a host that has used organisations since it started, {before:d} ms ago")
def step_host(context, before):
    context.script = RequestScript(before)


@given("its configuration declares organisations only since now")
def step_declared_late(context):
    context.script = context.script._replace(declared_late=True)


@given("it is a standby host")
def step_host_stands_by(context):
    context.script = context.script._replace(stands_by=True)


@given("its lease is {lease}")
def step_host_lease(context, lease):
    context.script = context.script._replace(lease=lease)


@given("its requests wait {wait:d} ms for their turn")
def step_turn(context, wait):
    context.script = context.script._replace(turn_wait=wait)


def make_state():
    pool = ConnectionPool(0, spares=False)
    return NodeState(
        "me",
        "zone-0",
        decode_configuration,
        pool,
        BUDGET_LIMITS,
        POLICY,
        LoopClock(),
        Random(1),
        lease_duration=4000.0,
    )


def use(state, version, holders):
    state.apply_configuration(pack_configuration(version, document_of(version, holders)))


def confirm(state, version):
    state.lease.confirm(state.lease.ask(LoopClock().now()), version)
    state.leased.notify()


async def prepare(state, script):
    """Let the host start, and the time pass until the request arrives."""
    if not script.declared_late:
        use(state, 1, {"north": "key-1"})
    state.started.set()
    state.stands_by = script.stands_by
    if script.lease == "lost":
        confirm(state, 1)
    await trio.sleep(script.before / SECOND)
    use(state, 2, {"north": "key-1"})


async def extend(state, script):
    """Confirm the lease for the first time 200 ms after the request has arrived."""
    await trio.sleep(0.2)
    if script.lease == "confirmed for the first time":
        confirm(state, 2)


@when('a request for "{path}" with key "{key}" and {left:d} ms left arrives')
def step_request(context, path, key, left):
    script = context.script
    turns = Mock(spec=ServiceTurns)

    @asynccontextmanager
    async def turn(route, organisation):
        await trio.sleep(script.turn_wait / SECOND)
        yield

    turns.turn = turn
    token = QuotaToken("north", TokenSource.OWN)
    context.quotas = Mock(spec=QuotaGate, admit=AsyncMock(return_value=token))

    async def main():
        state = make_state()
        runner = Mock(forward=AsyncMock(return_value=Failed(FailureReason.FAILED)))
        hand_over_client = Mock(hand_over=AsyncMock())
        handler = CallerHandler(
            state,
            runner,
            PlatformDialect(),
            Mock(),
            Mock(),
            hand_over_client,
            Mock(create=Mock(return_value=None)),
            1.0,
            context.quotas,
            turns,
        )
        handler.start_accepting()
        await prepare(state, script)
        fields = {"host": HOST, "attempt-id": "a1", "time-budget-ms": str(left), "api-key": key}
        raw = [(name.encode(), value.encode()) for name, value in fields.items()]
        http = HttpRequest("GET", path, {}, fields, b"", path, raw)
        arrived = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(extend, state, script)
            try:
                await handler.handle(http)
            except AlderhatchError as exc:
                context.ended = f"is refused, {exc.failure.kind}"
            else:
                context.ended = "runs" if runner.forward.called else "is handed over"
            context.wait = (trio.current_time() - arrived) * SECOND
            nursery.cancel_scope.cancel()
        assert runner.forward.called == (context.ended == "runs")
        assert hand_over_client.hand_over.called == (context.ended == "is handed over")

    trio.run(main, clock=MockClock(autojump_threshold=0))


@then("the request {ends} after {wait:d} ms")
def step_request_ends(context, ends, wait):
    assert (context.ended, round(context.wait)) == (ends, wait), (context.ended, context.wait)


@then("the token of its quota is given back")
def step_given_back(context):
    assert context.quotas.admit.call_count == 1
    (token,) = context.quotas.give_back.call_args.args
    assert token == context.quotas.admit.return_value
    assert context.quotas.give_back.call_count == 1


# Keys


@given('the configurations "{configurations}" are committed in this order')
def step_committed(context, configurations):
    register = ConfigurationRegister(lambda: None)
    state = trio.run(adopt_all, register, configurations.split())
    context.organisations = state.organisations


async def adopt_all(register, configurations):
    state = make_state()
    for index, text in enumerate(configurations, 1):
        version, _, holder = text.partition(":")
        name, _, key = holder.partition("=")
        document = document_of(int(version), {name: key} if name else {})
        register.apply(index, encode_configuration(pack_configuration(int(version), document)))
        state.apply_configuration(register.stored)
    return state


@then('"{key}" belongs to "{organisation}"')
@then('"{key}" belongs to ""')
def step_belongs(context, key, organisation=""):
    found = context.organisations.with_key(key)
    assert (found.name if found else "") == organisation, found
