from __future__ import annotations

import resource
from math import inf

import cbor2
import trio
from behave import given, then, when

from alderhatch import task_faults
from alderhatch.codec import Codec
from alderhatch.link import LinkClosedError, Peer, open_link, serve_links
from alderhatch.node.hand_over_messages import HAND_OVER_MESSAGE_TYPES, Alive
from features.support.endless_bytes import (
    FILLER,
    KINDS,
    NOISE,
    EndlessKind,
    EndlessStream,
    read_head,
)
from features.support.scripted_servers import LOOPBACK

SECRET = b"secret"
CODEC = Codec(*HAND_OVER_MESSAGE_TYPES)
TIMEOUT_S = 20.0
CLOSE_TIMEOUT_S = 8.0
MAX_MEMORY_GROWTH_MB = 60
UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)
MASKED = 0x80
NO_MASK = bytes(4)
"""A mask that changes no byte."""


def frame(opcode, payload, size=None):
    """Return a frame of a client, with the size that it announces."""
    size = len(payload) if size is None else size
    return bytes([opcode, MASKED | 127]) + size.to_bytes(8, "big") + NO_MASK + payload


BINARY, CONTINUATION, FINAL = 0x02, 0x00, 0x80
FRAMES = {
    "noise": EndlessKind(b"", NOISE),
    "fragments": EndlessKind(frame(BINARY, b"a"), frame(CONTINUATION, b"a" * 2000)),
    "empty fragments": EndlessKind(frame(BINARY, b"a"), frame(CONTINUATION, b"")),
    "a frame of 1 TB": EndlessKind(frame(BINARY | FINAL, b"", 10**12), b"a" * 65_536),
    "messages of 1 MB": EndlessKind(b"", frame(BINARY | FINAL, b"a" * 1_000_000)),
    "unknown messages": EndlessKind(b"", frame(BINARY | FINAL, cbor2.dumps(["Unknown", []]))),
}
HEADS = {
    "noise": EndlessKind(b"", NOISE),
    "header lines": EndlessKind(b"GET / HTTP/1.1\r\n", FILLER),
    "a header line": EndlessKind(b"GET / HTTP/1.1\r\nX-Filler: ", b"a" * 65_536),
}


def peak_memory_mb():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000


@given("a port for links")
def step_port(context):
    context.memory = peak_memory_mb()

    async def echo(link):
        while True:
            await link.send(await link.receive())

    context.handler = echo


def run_beside_port(context, send):
    """Run ``send`` with the port's number, and ask as another peer meanwhile."""
    before = task_faults.counts.copy()
    context.streams = []

    async def ask(port):
        async with open_link(LOOPBACK, port, CODEC, SECRET, Peer("host-1", "host")) as link:
            await link.send(Alive())
            context.answer = await link.receive()

    async def main():
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
                peer = Peer("host-0", "host")
                await nursery.start(serve_links, listeners, CODEC, SECRET, peer, context.handler)
                port = listeners[0].socket.getsockname()[1]
                with trio.move_on_after(CLOSE_TIMEOUT_S):
                    async with trio.open_nursery() as both:
                        both.start_soon(send, port)
                        both.start_soon(ask, port)
                nursery.cancel_scope.cancel()

    trio.run(main)
    assert task_faults.counts == before, task_faults.counts - before


@when("a peer that has not proved who it is sends {what} without end")
def step_unproved(context, what):
    async def send(port):
        stream = await trio.open_tcp_stream(LOOPBACK, port)
        if what not in HEADS:
            await stream.send_all(UPGRADE)
        endless = EndlessStream(stream, inf)
        context.streams.append(endless)
        await endless.send((FRAMES | HEADS)[what], True)

    run_beside_port(context, send)


@when("a host that has proved who it is sends {what} without end")
def step_proved(context, what):
    async def send(port):
        try:
            async with open_link(LOOPBACK, port, CODEC, SECRET, Peer("host-2", "host")) as link:
                endless = EndlessStream(link._conn.stream, inf)
                context.streams.append(endless)
                await endless.send(FRAMES[what], True)
        except LinkClosedError:
            return

    run_beside_port(context, send)


def check_closed(context):
    (stream,) = context.streams
    assert stream.closed.is_set(), stream.sent
    growth = peak_memory_mb() - context.memory
    print(f"{stream.sent / 1e6:.1f} MB sent, memory grew by {growth:.1f} MB")
    assert growth <= MAX_MEMORY_GROWTH_MB, growth


@then("its connection is closed, and memory for a few messages was needed")
def step_closed(context):
    check_closed(context)


@then("another peer got its answer meanwhile")
def step_other_peer(context):
    assert context.answer == Alive()


@given("a host whose port for links answers with {kind} without end, {pace}")
def step_endless_host(context, kind, pace):
    context.memory = peak_memory_mb()

    async def handle(stream):
        await read_head(stream)
        endless = EndlessStream(stream, inf)
        context.streams.append(endless)
        await endless.send(KINDS[kind], pace == "at full speed")

    context.handler = handle


@when("a link to it is opened")
def step_open(context):
    context.streams = []
    context.error = None

    async def main():
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
                nursery.start_soon(trio.serve_listeners, context.handler, listeners)
                port = listeners[0].socket.getsockname()[1]
                try:
                    async with open_link(LOOPBACK, port, CODEC, SECRET, Peer("a", "host")):
                        pass
                except LinkClosedError as exc:
                    context.error = exc
                with trio.move_on_after(CLOSE_TIMEOUT_S):
                    for stream in context.streams:
                        await stream.closed.wait()
                nursery.cancel_scope.cancel()

    trio.run(main)


@then("it is reported as closed, its connection too, and memory for a few messages was needed")
def step_link_closed(context):
    assert isinstance(context.error, LinkClosedError)
    check_closed(context)
