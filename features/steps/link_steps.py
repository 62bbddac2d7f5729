from __future__ import annotations

from functools import partial
from typing import NamedTuple

import trio
from behave import then, when

from alderhatch.codec import Codec
from alderhatch.link import Link, LinkClosedError, Peer, open_link, serve_links

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
