from __future__ import annotations

import threading
from functools import partial
from types import SimpleNamespace
from typing import NamedTuple
from unittest.mock import patch

import trio
from behave import given, then, when

from alderhatch import link as link_module
from alderhatch.clock import SECOND
from alderhatch.codec import Codec
from alderhatch.link import Link, LinkClosedError, Peer, open_link, serve_links
from alderhatch.node import tier_client
from alderhatch.node.lease_messages import LEASE_MESSAGE_TYPES
from alderhatch.node.tier_client import TierClient
from alderhatch.node.tier_messages import TIER_MESSAGE_TYPES, Join, Place, Pulse, Report
from features.support.loop_thread import LoopThread

TIMEOUT_S = 30
"""Limit of a whole scenario."""
SECRET = b"a secret of the tests, 32 bytes.."


class Note(NamedTuple):
    text: str


async def _exchange(context, secret):
    context.seen_peers = []
    context.reply = None
    context.refused = None
    codec = Codec(Note)

    async def handler(link: Link) -> None:
        context.seen_peers.append(link.peer)
        while True:
            note = await link.receive()
            await link.send(Note(note.text.upper()))

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        me = Peer("control-1", "control")
        await nursery.start(serve_links, listeners, codec, SECRET, me, handler, 8)
        try:
            async with open_link(
                "127.0.0.1", port, codec, secret, Peer("entry-1", "entry")
            ) as link:
                await link.send(Note("hello"))
                context.reply = await link.receive()
                context.server_peer = link.peer
        except LinkClosedError as exc:
            context.refused = exc
        nursery.cancel_scope.cancel()


@when("a peer opens a link with the right secret")
def step_right_secret(context):
    trio.run(_exchange, context, SECRET)


@when("a peer opens a link with a wrong secret")
def step_wrong_secret(context):
    trio.run(_exchange, context, b"not the secret")


@then("its message comes back and both ends know each other's name")
def step_reply(context):
    assert context.reply == Note("HELLO")
    assert context.seen_peers == [Peer("entry-1", "entry")]
    assert context.server_peer == Peer("control-1", "control")


@then("the link is refused and the handler was not called")
def step_refused(context):
    assert context.refused is not None
    assert context.seen_peers == [] and context.reply is None


async def _roles_seen(client_roles, host_role):
    """Return the role of the accepting end as peers of certain roles see it."""
    seen = []

    async def handler(link: Link) -> None:
        await link.receive()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        me = Peer("node-1", "control")
        serve = partial(serve_links, roles={"host": host_role})
        await nursery.start(serve, listeners, Codec(Note), SECRET, me, handler)
        for role in client_roles:
            peer = Peer("node-2", role)
            async with open_link("127.0.0.1", port, Codec(Note), SECRET, peer) as link:
                seen.append(link.peer.role)
        nursery.cancel_scope.cancel()
    return seen


@when(
    'peers with the roles "{first}" and "{second}" open links to an end that is "{role}" to hosts'
)
def step_open_with_roles(context, first, second, role):
    context.roles = trio.run(_roles_seen, (first, second), role)


@then('they see the roles "{first}" and "{second}"')
def step_roles(context, first, second):
    assert context.roles == [first, second], context.roles


class SuspendedPeer:
    """A process that accepts links, in a thread whose loop can be stopped for good."""

    def __init__(self, context, handler, codec):
        self._resumed = threading.Event()
        self._loop = LoopThread()
        context.add_cleanup(self.close)
        self.port = self._loop.call(self._start, handler, codec)

    async def _start(self, handler, codec):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        me = Peer("peer", "control")
        await self._loop.nursery.start(serve_links, listeners, codec, SECRET, me, handler, 8)
        return listeners[0].socket.getsockname()[1]

    def suspend(self):
        self._loop._token.run_sync_soon(self._resumed.wait)

    def close(self):
        self._resumed.set()
        self._loop.close()


@given("ends of links that wait for an hour for the other one to agree to their end")
def step_long_close(context):
    patched = patch.object(link_module, "CLOSE_TIMEOUT", 3600 * SECOND)
    patched.start()
    context.add_cleanup(patched.stop)


async def _receive_all(link):
    while True:
        await link.receive()


@when("a peer that no longer responds is found silent")
def step_silent_peer(context):
    codec = Codec(Note)
    peer = SuspendedPeer(context, _receive_all, codec)

    async def main():
        with trio.fail_after(TIMEOUT_S):
            me = Peer("entry-1", "entry")
            async with open_link("127.0.0.1", peer.port, codec, SECRET, me) as link:
                await link.send(Note("hello"))
                peer.suspend()
                await link.abort()

    trio.run(main)
    context.ended = True


@then("its link has ended")
def step_ended(context):
    assert context.ended


@when("the leader of a host no longer responds, and another one leads")
def step_silent_leader(context):
    codec = Codec(*TIER_MESSAGE_TYPES, *LEASE_MESSAGE_TYPES)

    async def lead(link):
        await link.receive()
        await link.send(Pulse(True))
        await _receive_all(link)

    leaders = [SuspendedPeer(context, lead, codec) for _ in range(2)]
    places = [Place(f"leader-{one.port}", "127.0.0.1", one.port) for one in leaders]
    me = Place("me", "127.0.0.1", 1)
    state = SimpleNamespace(
        controls=[], on_new_leader=lambda: None, mark_list_fresh=lambda: None, is_started=True
    )
    known = [places[0]]
    client = TierClient(
        lambda: Join(me, "zone", "127.0.0.1:1", 1.0, None, True),
        lambda: Report(True, 0, None, [], 0),
        lambda: known,
        state,
        codec,
        SECRET,
    )

    async def main():
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.run)
                while client.leader != places[0]:
                    await trio.sleep(0.01)
                leaders[0].suspend()
                known[:] = places[1:]
                while client.leader != places[1]:
                    await trio.sleep(0.01)
                context.followed = client.leader
                nursery.cancel_scope.cancel()

    with patch.object(tier_client, "LEADER_SILENCE_TIMEOUT", 300.0):
        trio.run(main)
    context.other = places[1]


@then("the host follows the other one")
def step_follows_other(context):
    assert context.followed == context.other
