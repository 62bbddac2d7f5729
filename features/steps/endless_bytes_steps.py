from __future__ import annotations

from functools import partial

import trio
from behave import given, then, when

from alderhatch import task_faults
from alderhatch.core.forwarding.outcome import Answered, Failed
from alderhatch.http.client import open_http
from alderhatch.http.exchange import ExchangeFault, HttpExchangeError
from features.support.endless_bytes import (
    IDENTITY,
    KINDS,
    EndlessServer,
    EndlessStream,
    read_head,
    sound_script,
)
from features.support.forward_model import single_route
from features.support.scripted_servers import LOOPBACK, RunnerScene, ScriptedServer

READS = single_route("kitchen")
ORDERS = READS._replace(idempotent=False)
SAFE_DEADLINE_MS = 3000.0
CLOSE_TIMEOUT_S = 3.0
"""How long after an outcome a connection may stay open; a cancelled attempt ends a bit later."""
KB = 1000
MB = 1024 * 1024
RECORD = b"r" * 16
READ_TIMEOUT_S = 10.0


@given("a server that answers with {kind} without end, {pace}")
def step_endless(context, kind, pace):
    context.endless = EndlessServer("i-0", "kitchen", KINDS[kind], pace == "at full speed")
    context.servers = [context.endless]


@given("beside a sound server, one that answers with {kind} without end, {pace}")
def step_endless_and_sound(context, kind, pace):
    step_endless(context, kind, pace)
    context.sound = ScriptedServer("i-1", "kitchen", sound_script)
    context.servers.append(context.sound)


def run_scene(context, scene):
    """Run a scene, wait until the endless connections are closed, and check that no task failed."""
    before = task_faults.counts.copy()

    async def whole_scene(runner_scene):
        await scene(runner_scene)
        with trio.move_on_after(CLOSE_TIMEOUT_S):
            for stream in context.endless.streams:
                await stream.closed.wait()
        context.open_streams = sum(not one.closed.is_set() for one in context.endless.streams)

    RunnerScene(context.servers, [READS]).run(whole_scene)
    assert task_faults.counts == before, task_faults.counts - before


@when("8 requests that may be sent twice are forwarded to their upstream")
def step_forward_reads(context):
    context.outcomes = []

    async def scene(runner_scene):
        for number in range(8):
            outcome = await runner_scene.forward(READS, f"r{number}", timeout=SAFE_DEADLINE_MS)
            context.outcomes.append(outcome)

    run_scene(context, scene)


@then("the sound server has answered all of them, and the other one got at most {count:d}")
def step_all_answered(context, count):
    step_sound_answered(context)
    assert 1 <= len(context.endless.arrivals) <= count, context.endless.arrivals


@then("the sound server has answered all of them")
def step_sound_answered(context):
    assert all(isinstance(one, Answered) for one in context.outcomes), context.outcomes
    assert set(context.sound.runs) == {f"r{number}" for number in range(8)}


@then("each connection of the endless server was closed after at most {size:d} kB")
def step_closed(context, size):
    assert context.open_streams == 0
    sent = [one.sent for one in context.endless.streams]
    assert sent, "no request arrived"
    assert max(sent) <= size * KB, sent


@when("a request that may be sent only once is forwarded, with a deadline of {deadline:d} ms")
def step_forward_order(context, deadline):
    context.deadline = deadline

    async def scene(runner_scene):
        began = runner_scene.now()
        context.outcome = await runner_scene.forward(ORDERS, "order", timeout=float(deadline))
        context.took = runner_scene.now() - began

    run_scene(context, scene)


@then("it fails with {reason}, {when} its deadline")
def step_fails(context, reason, when):
    assert isinstance(context.outcome, Failed), context.outcome
    assert context.outcome.reason == reason, context.outcome
    assert (context.took < context.deadline) == (when == "before"), context.took
    assert len(context.endless.arrivals) == 1


@when("a request that may be sent only once is forwarded, beside a task that runs whenever it may")
def step_beside(context):
    context.turns = 0

    async def take_turns():
        while True:
            await trio.lowlevel.checkpoint()
            context.turns += 1

    async def scene(runner_scene):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(take_turns)
            await runner_scene.forward(ORDERS, "order", timeout=SAFE_DEADLINE_MS)
            nursery.cancel_scope.cancel()

    run_scene(context, scene)


@then("that task has run at least once in 100 chunks")
def step_turns(context):
    chunks = min(one.sent for one in context.endless.streams) // len(context.endless.kind.piece)
    assert chunks >= 2000, chunks
    assert context.turns >= 2000 // 100, context.turns


# Sound answers

SOUND_HEAD = b"HTTP/1.1 200 OK\r\n" + IDENTITY % b"order"
CHUNKED_HEAD = SOUND_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SOUND_ANSWERS = {
    "4 MB to the close": SOUND_HEAD + b"\r\n" + b"r" * 4 * MB,
    "4 MB of announced length": SOUND_HEAD + b"Content-Length: 4194304\r\n\r\n" + b"r" * 4 * MB,
    "4 MB in chunks of 256 bytes": CHUNKED_HEAD
    + (b"100\r\n" + RECORD * 16 + b"\r\n") * (4 * MB // 256)
    + b"0\r\n\r\n",
    "32 kB in chunks of 16 bytes": CHUNKED_HEAD
    + (b"10\r\n" + RECORD + b"\r\n") * 2048
    + b"0\r\n\r\n",
    "400 kB in chunks of 100 bytes": CHUNKED_HEAD
    + (b"64\r\n" + b"r" * 100 + b"\r\n") * 4096
    + b"0\r\n\r\n",
    "128 kB in chunks of 16 bytes": CHUNKED_HEAD
    + (b"10\r\n" + RECORD + b"\r\n") * 8192
    + b"0\r\n\r\n",
    "2 kB in chunks of 1 byte": CHUNKED_HEAD + b"1\r\nr\r\n" * 2048 + b"0\r\n\r\n",
    "60 1xx answers before 16 bytes": b"HTTP/1.1 102 Processing\r\n\r\n" * 60
    + SOUND_HEAD
    + b"Content-Length: 16\r\n\r\n"
    + RECORD,
    "16 bytes with long chunk extensions": CHUNKED_HEAD
    + (b"1;a=" + b"a" * 2000 + b"\r\nr\r\n") * 16
    + b"0\r\n\r\n",
    "4 MB announced to HEAD and none": SOUND_HEAD + b"Content-Length: 99194304\r\n\r\n",
}


EXCESSIVE_ANSWERS = {
    "4 MB and a byte to the close": SOUND_HEAD + b"\r\n" + b"r" * (4 * MB + 1),
    "4 MB and a byte of chunks": CHUNKED_HEAD
    + (b"1000\r\n" + b"r" * 4096 + b"\r\n") * (4 * MB // 4096)
    + b"1\r\nr\r\n0\r\n\r\n",
    "4 MB and a byte of announced length": SOUND_HEAD + b"Content-Length: 4194305\r\n\r\n",
    "8300 chunks of 1 byte": CHUNKED_HEAD + b"1\r\nr\r\n" * 8300 + b"0\r\n\r\n",
    "257 1xx answers": b"HTTP/1.1 102 Processing\r\n\r\n" * 257,
    "9 MB of chunk extensions": CHUNKED_HEAD + (b"1;a=" + b"a" * 9000 + b"\r\nr\r\n") * 1000,
    "a head of 20 kB": SOUND_HEAD + b"X-Filler: " + b"a" * 20_000,
    "bytes of another protocol": b"SSH-2.0-OpenSSH",
}


async def send_answer(answer, stream):
    """Send an answer; one of which nothing more is read may be followed by anything."""
    try:
        await read_head(stream)
        await stream.send_all(answer)
        if answer in EXCESSIVE_ANSWERS.values():
            await trio.sleep_forever()
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
    finally:
        await trio.aclose_forcefully(stream)


@given("a server that answers with {what}, which is sound")
def step_sound_answer(context, what):
    context.method = "HEAD" if "HEAD" in what else "GET"
    context.answer = SOUND_ANSWERS[what]


@when("its answer is read")
def step_read_answer(context):
    async def main():
        with trio.fail_after(READ_TIMEOUT_S):
            await read_answer()

    async def read_answer():
        async with trio.open_nursery() as nursery:
            handler = partial(send_answer, context.answer)
            listeners = await nursery.start(partial(trio.serve_tcp, handler, 0, host=LOOPBACK))
            conn = await open_http(LOOPBACK, listeners[0].socket.getsockname()[1])
            context.reply = await conn.forward(context.method, "/x", [(b"host", b"a")])
            conn.close()
            nursery.cancel_scope.cancel()

    context.reply = None
    trio.run(main)


@given("a server that answers with {what}, which is too much")
def step_excessive_answer(context, what):
    context.method = "GET"
    context.answer = EXCESSIVE_ANSWERS[what]


@when("it is tried to read its answer")
def step_try_to_read(context):
    context.error = None
    try:
        step_read_answer(context)
    except* HttpExchangeError as group:
        (context.error,) = group.exceptions


@then("the answer is refused because it {why}")
def step_refused(context, why):
    assert context.error is not None, context.reply and len(context.reply.body)
    assert context.error.fault is ExchangeFault.GARBAGE, context.error.fault
    assert why in str(context.error), context.error


@then("it is complete, with a body of {size:d} bytes")
def step_complete(context, size):
    assert context.reply.status == 200
    assert len(context.reply.body) == size, len(context.reply.body)


# Bytes before any request


class ForwardServer(EndlessServer):
    """Sends its bytes on each connection without waiting for a request."""

    async def _handle(self, stream):
        endless = EndlessStream(stream)
        self.streams.append(endless)
        await endless.send(self.kind, self.is_fast)


@given("a server that sends {kind} on each connection before any request, {pace}, and a sound one")
def step_speaks_first(context, kind, pace):
    step_endless_and_sound(context, kind, pace)
    is_fast = pace == "at full speed"
    context.endless = ForwardServer("i-0", "kitchen", KINDS[kind], is_fast)
    context.servers[0] = context.endless


@then("at most {count:d} connections were opened to the server that speaks first")
def step_opened(context, count):
    assert context.open_streams == 0
    assert len(context.endless.streams) <= count, len(context.endless.streams)
