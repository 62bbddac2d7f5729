from __future__ import annotations

import zlib
from math import nan
from random import Random

import cbor2
import trio
from behave import given, then, when
from hypothesis import given as generated
from hypothesis import seed, settings
from hypothesis import strategies as st

from alderhatch import task_faults
from alderhatch.clock import ManualClock
from alderhatch.codec import Codec
from alderhatch.control.log_messages import PEER_MESSAGE_TYPES
from alderhatch.core.control.configuration_register import StoredConfiguration
from alderhatch.core.forwarding.route import CallerLimits, TierConfiguration
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.errors import AlderhatchError
from alderhatch.link import Peer, open_link, serve_links
from alderhatch.loop_tasks import LoopTasks
from alderhatch.node.gather_messages import GATHER_MESSAGE_TYPES
from alderhatch.node.hand_over_messages import HAND_OVER_MESSAGE_TYPES, Alive
from alderhatch.node.identity_messages import IDENTITY_MESSAGE_TYPES
from alderhatch.node.node_state import NodeState
from alderhatch.node.quota_messages import QUOTA_MESSAGE_TYPES
from alderhatch.node.tier_messages import TIER_MESSAGE_TYPES
from alderhatch.platform.settings import POLICY
from alderhatch.task_faults import TaskKind
from features.steps.http_borders_steps import send_bytes
from features.support.forward_model import BUDGET_LIMITS

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 20.0
SECRET = b"secret"
MESSAGE_TYPES = (
    *PEER_MESSAGE_TYPES,
    *TIER_MESSAGE_TYPES,
    *HAND_OVER_MESSAGE_TYPES,
    *GATHER_MESSAGE_TYPES,
    *IDENTITY_MESSAGE_TYPES,
    *QUOTA_MESSAGE_TYPES,
)
CODEC = Codec(*MESSAGE_TYPES)


async def check_peer(port):
    async with open_link(LOOPBACK, port, CODEC, SECRET, Peer("host-1", "host")) as link:
        await link.send(Alive())
        assert await link.receive() == Alive()


@then("no bytes at the port keep an authenticated peer from its answer")
def step_any_bytes(context):
    upgrade = (
        b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
    )
    payloads = st.binary(min_size=1, max_size=60)
    frames = payloads.map(lambda data: bytes([0x82, 0x80 | len(data), 0, 0, 0, 0]) + data)

    async def echo(link):
        await link.send(await link.receive())

    async def main(messages):
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
                peer = Peer("host-0", "host")
                await nursery.start(serve_links, listeners, CODEC, SECRET, peer, echo)
                port = listeners[0].socket.getsockname()[1]
                async with trio.open_nursery() as senders:
                    for data in messages:
                        senders.start_soon(send_bytes, port, data)
                await check_peer(port)
                nursery.cancel_scope.cancel()

    @seed(50)
    @settings(max_examples=60, deadline=None, database=None)
    @generated(st.lists(st.one_of(payloads, frames.map(upgrade.__add__)), max_size=4))
    def check(messages):
        trio.run(main, messages)

    check()


SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(min_value=2**63, max_value=10**400),
    st.floats(),
    st.text(max_size=6),
    st.binary(max_size=6),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(st.text(max_size=3), inner, max_size=2)
    ),
    max_leaves=12,
)
NAMES = st.sampled_from([one.__name__ for one in MESSAGE_TYPES])


@then("no message of a peer to a host has any effect but that its link is closed")
def step_any_message(context):
    @seed(50)
    @settings(max_examples=400, deadline=None, database=None)
    @generated(
        st.one_of(
            st.binary(max_size=80),
            st.tuples(NAMES, st.lists(VALUES, max_size=6)).map(lambda one: cbor2.dumps(list(one))),
        )
    )
    def check(data):
        try:
            message = CODEC.decode(data)
        except AlderhatchError:
            # This is what closes the link.
            return
        assert CODEC.decode(CODEC.encode(message)) == message

    check()


REFUSED = {
    "NaN as a time": cbor2.dumps(["PartsRequest", [1, "GET", "/", [], b"", nan, 1.0, ["a"]]]),
    "an integer of 400 digits": cbor2.dumps(["HandedCancel", [10**400]]),
    "a date beyond all dates": b"\x82\x6cHandedCancel\x81\xc1\x1b" + b"\xff" * 8,
    "a fraction over 0": b"\x82\x6cHandedCancel\x81\xd8\x1e\x82\x01\x00",
}


@then("a message between hosts with {what} is refused")
def step_refused(context, what):
    try:
        CODEC.decode(REFUSED[what])
    except AlderhatchError as exc:
        assert exc.failure.answer.status == 400
        return
    raise AssertionError("the message was accepted")


@given("a host that serves by a configuration")
def step_host(context):
    pool = ConnectionPool(0, 1000.0, spares=False)
    cfg = TierConfiguration(3, (), (), CallerLimits())
    state = NodeState(
        "host-0", "zone-0", lambda _: cfg, pool, BUDGET_LIMITS, POLICY, ManualClock(), Random(1)
    )

    async def main():
        state.apply_configuration(StoredConfiguration(3, zlib.compress(b"{}")))

    trio.run(main)
    context.state = state


@when("it receives a newer configuration whose bytes hold no document")
def step_damaged(context):
    async def main():
        context.state.apply_configuration(StoredConfiguration(4, b"not compressed"))

    trio.run(main)


@then("it goes on serving by the one that it has")
def step_same(context):
    assert context.state.stored.version == 3


@given("tasks of which one raises an error")
def step_tasks(context):
    context.ended = []
    context.before = task_faults.counts[TaskKind.LINK]


@when("they run")
def step_run(context):
    async def good(number):
        await trio.sleep(0.01 * number)
        context.ended.append(number)

    async def bad():
        raise OverflowError("a mistake")

    async def main():
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                tasks = LoopTasks(TaskKind.LINK)
                await nursery.start(tasks.run)
                tasks.start(good, 1)
                tasks.start(bad)
                tasks.start(good, 2)
                await trio.sleep(0.1)
                nursery.cancel_scope.cancel()

    trio.run(main)


@then("the others end as if nothing had happened, and the error is counted")
def step_others(context):
    assert context.ended == [1, 2], context.ended
    assert task_faults.counts[TaskKind.LINK] == context.before + 1
