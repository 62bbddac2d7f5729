from __future__ import annotations

import tempfile
from pathlib import Path
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

import trio
from behave import given, then, when
from trio.testing import MockClock

from alderhatch import task_faults
from alderhatch.codec import Codec
from alderhatch.control._log_links import LinkHandlers, LogLinks, PeerAddress
from alderhatch.control.log_messages import PeerHello
from alderhatch.control.log_node_config import LogNodeConfig
from alderhatch.core.entry_events import AttemptFault, SendShard
from alderhatch.core.forwarding.server_record import ServerRecord
from alderhatch.core.outcome_codec import decode_outcome
from alderhatch.core.shard_map import Server, Snapshot
from alderhatch.entry import connection_pool
from alderhatch.entry.attempt_runner import AttemptRunner
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.entry.server_connections import ServerConnections
from alderhatch.errors import AlderhatchError
from alderhatch.http.client import http_once, open_http
from alderhatch.http.exchange import ExchangeFault, HttpExchangeError
from alderhatch.http.messages import HttpResponse
from alderhatch.http.server import serve_http
from alderhatch.link import LinkClosedError, Peer, open_link, serve_links
from alderhatch.log_events import LogEvent
from alderhatch.loop_tasks import keep_running
from alderhatch.node.hand_over_messages import HAND_OVER_MESSAGE_TYPES, Alive
from alderhatch.node.host_probe import _ProbeRound
from alderhatch.node.server_list import ServerListReader
from alderhatch.platform import settings_watch
from alderhatch.signal import Signal
from alderhatch.storage._records import SegmentHead, decode_head, decode_records
from alderhatch.task_faults import TaskKind
from features.support.scripted_servers import LOOPBACK, ScriptedServer, reply_bytes

TIMEOUT_S = 20.0
NO_ADDRESS = "\ufffd\ufffd"
CODEC = Codec(*HAND_OVER_MESSAGE_TYPES)
SECRET = b"secret"


def run_scene(scene):
    """Run an async function that gets a nursery, and end what it has started there."""

    async def main():
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                await scene(nursery)
                nursery.cancel_scope.cancel()

    trio.run(main)


def remember_count(context, kind):
    context.kind = kind
    context.count_before = task_faults.counts[kind]


def new_errors(context):
    return task_faults.counts[context.kind] - context.count_before


@given("a handler whose response raises an error when it is written")
def step_handler(context):
    remember_count(context, TaskKind.CONNECTION)
    context.responses = {"/bad": HttpResponse(200, b"x", fields=[(b"x", None)])}


@when("a client sends a request")
def step_request(context):
    async def handler(req):
        return context.responses.get(req.path, HttpResponse(200, b"plain"))

    async def scene(nursery):
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        nursery.start_soon(serve_http, listeners, handler)
        port = listeners[0].socket.getsockname()[1]
        try:
            await http_once(LOOPBACK, port, "GET", "/bad")
        except HttpExchangeError as exc:
            context.fault = exc.fault
        context.other = await http_once(LOOPBACK, port, "GET", "/plain")

    context.fault = None
    run_scene(scene)


@then("its connection is closed, another client is answered, and the error is counted")
def step_connection_closed(context):
    assert context.fault is ExchangeFault.LOST, context.fault
    assert (context.other.status, context.other.body) == (200, b"plain")
    assert new_errors(context) == 1


@given("a pool of two servers, and an error when the first is connected to")
def step_pool(context):
    remember_count(context, TaskKind.OPENING)


@when("a connection to each is awaited")
def step_connect(context):
    async def open_or_fail(address, port, *more):
        if port == 1:
            raise KeyError("a mistake")
        return await open_http(address, port, *more)

    async def scene(nursery):
        server = ScriptedServer("i-1", "kitchen", lambda *_: reply_bytes(200))
        await nursery.start(server.serve)
        pool = ConnectionPool(2, 1000.0, spares=False)
        await nursery.start(pool.run)
        servers = [
            Server(f"i-{index}", LOOPBACK, port, "zone", 2, 28)
            for index, port in enumerate((1, server.port))
        ]
        pool.update_servers("kitchen", servers, [])
        try:
            await pool.acquire("i-0")
        except HttpExchangeError as exc:
            context.fault = exc.fault
        context.conn = await pool.acquire("i-1")

    with patch.object(connection_pool, "open_http", open_or_fail):
        run_scene(scene)


@then("the first counts as unreachable, the second is connected to, and the error is counted")
def step_connected(context):
    assert context.fault is ExchangeFault.NOT_SENT
    assert context.conn is not None
    assert new_errors(context) >= 1


NO_ENDPOINTS = {
    "text that is no address": (NO_ADDRESS, 80),
    "an address of 300 letters": ("a" * 300, 80),
    "an address with a NUL": ("127.0.0.1\x00", 80),
    "a port of 70000": (LOOPBACK, 70_000),
    "a negative port": (LOOPBACK, -1),
    "a port of 30 digits": (LOOPBACK, 10**30),
}


@when("a connection to {what} is opened")
def step_no_address(context, what):
    async def scene(nursery):
        try:
            await open_http(*NO_ENDPOINTS[what])
        except HttpExchangeError as exc:
            context.fault = exc.fault

    context.fault = None
    run_scene(scene)


@then("it has failed as one to which nothing was sent")
def step_not_sent(context):
    assert context.fault is ExchangeFault.NOT_SENT, context.fault


@given("a server of a shard whose answer raises an error in the entry")
def step_shard_server(context):
    remember_count(context, TaskKind.ATTEMPT)


@when("a shard request is sent to it")
def step_shard_request(context):
    class FailingConnection:
        usable = True

        async def exchange(self, *_):
            raise OverflowError("a mistake")

    conn = context.conn = FailingConnection()
    context.events = []
    context.released = []
    pool = SimpleNamespace(
        acquire_idle=lambda server_id: conn,
        release=lambda server_id, one: context.released.append(one.usable),
    )
    body = SimpleNamespace(request_id="r0", kind="route", idempotent=True, body=b"{}")
    send = SendShard(1, "x1", "kitchen", "i-0", "s0", Snapshot(1, 1), float("inf"), body)

    async def scene(nursery):
        runner = AttemptRunner(pool, context.events.append)
        await nursery.start(runner.run)
        runner.start(send)
        while not context.events:
            await trio.sleep(0.01)

    with patch("alderhatch.entry.attempt_runner.shard_request_body", lambda *_: b"{}"):
        run_scene(scene)


@then("the attempt has failed, its connection is given up, and the error is counted")
def step_attempt_failed(context):
    (event,) = context.events
    assert event.fault is AttemptFault.GARBAGE, event
    assert context.released == [False]
    assert new_errors(context) == 1


@given("a port for links whose handler {ends} for one peer")
def step_links(context, ends):
    remember_count(context, TaskKind.LINK)
    closed = LinkClosedError("closed")
    context.error = {
        "raises an error": KeyError("a mistake"),
        "closes": closed,
        "closes in a nursery": ExceptionGroup("nursery", [closed]),
        "closes in a nursery and raises an error": ExceptionGroup("n", [closed, KeyError("b")]),
    }[ends]


@when("that peer and another one open links")
def step_open_links(context):
    async def handle(link):
        message = await link.receive()
        if link.peer.name == "bad":
            raise context.error
        await link.send(message)

    async def ask(port, name):
        async with open_link(LOOPBACK, port, CODEC, SECRET, Peer(name, "host")) as link:
            await link.send(Alive())
            try:
                return await link.receive()
            except LinkClosedError:
                return None

    async def scene(nursery):
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        port = listeners[0].socket.getsockname()[1]
        await nursery.start(serve_links, listeners, CODEC, SECRET, Peer("host-0", "host"), handle)
        context.answers = [await ask(port, name) for name in ("bad", "other")]

    run_scene(scene)


@then("the other one is answered, and {count:d} errors are counted")
def step_link_errors(context, count):
    assert context.answers == [None, Alive()], context.answers
    assert new_errors(context) == count


@given("a server list of which the first read raises an error")
def step_list(context):
    remember_count(context, TaskKind.LIST)


class FailingOnceList:
    """A source of the list that can't be read the first time."""

    def __init__(self):
        self.reads = 0

    async def read(self):
        self.reads += 1
        if self.reads == 1:
            raise OverflowError("a mistake")
        return [ServerRecord("i-0", "kitchen", LOOPBACK, 80, "zone-0", 2, False)]


@when("the leader reads it")
def step_read(context):
    read = trio.Event()
    context.listed = []
    server = SimpleNamespace(
        leads=True, role_changed=Signal(), update_server_list=context.listed.append
    )
    state = SimpleNamespace(
        records={},
        host_endpoints=set,
        list_age=lambda: float("inf"),
        apply_servers=lambda *_: None,
        mark_list_fresh=read.set,
        stored=SimpleNamespace(version=0),
    )

    async def scene(nursery):
        reader = ServerListReader(FailingOnceList(), state, server, Random(1))
        with patch.object(ServerListReader, "_with_stable_warm_up", lambda self, record: record):
            nursery.start_soon(reader.run)
            await read.wait()

    run_scene(scene)


@then("it has the servers of the second read, and the error is counted")
def step_listed(context):
    assert [list(records) for records in context.listed] == [["i-0"]], context.listed
    assert new_errors(context) == 1


@given("a view of two hosts, one of which has text for an address")
def step_view(context):
    remember_count(context, TaskKind.PROBE)
    context.addresses = {"text": NO_ADDRESS, "good": LOOPBACK}


@given("a view of two hosts, and an error of another kind when the one is probed")
def step_odd_view(context):
    remember_count(context, TaskKind.PROBE)
    context.addresses = {"text": None, "good": LOOPBACK}


@when("each of them is probed")
def step_probe(context):
    hosts = [SimpleNamespace(name=name) for name in context.addresses]
    state = SimpleNamespace(
        hosts_to_probe=lambda: hosts, caller_hosts=hosts, has_standby_hosts=True
    )

    async def scene(nursery):
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        port = listeners[0].socket.getsockname()[1]

        async def reach(host):
            if context.addresses[host.name] is None:
                raise OverflowError("a mistake")
            stream = await trio.open_tcp_stream(context.addresses[host.name], port)
            await stream.aclose()

        probes = _ProbeRound(state, reach)
        await probes.run()
        context.reached = probes.reached

    run_scene(scene)


@then("the one is not reached, and the other is")
def step_probed(context):
    assert context.reached == {"text": False, "good": True}, context.reached


@then("the one is not reached, the other is, and the error is counted")
def step_probed_with_error(context):
    step_probed(context)
    assert new_errors(context) == 1


@given("a background task that raises an error twice")
def step_background(context):
    remember_count(context, TaskKind.BACKGROUND)
    context.runs = 0


@when("it is kept running")
def step_keep_running(context):
    async def task():
        context.runs += 1
        if context.runs < 3:
            raise OverflowError("a mistake")

    trio.run(keep_running, task, clock=MockClock(autojump_threshold=0))


@then("it runs a third time, and the errors are counted")
def step_third_run(context):
    assert (context.runs, new_errors(context)) == (3, 2), context.runs


@given("a pool of a server whose connections raise an error in each sweep")
def step_failing_sweep(context):
    remember_count(context, TaskKind.BACKGROUND)


@when("a connection to another server is awaited some sweeps later")
def step_swept(context):
    drop_old = ServerConnections.drop_old
    context.swept = []

    def fail_for_one(self, before, now):
        if self.server.server_id == "i-0":
            raise OverflowError("a mistake")
        context.swept.append(self.server.server_id)
        drop_old(self, before, now)

    async def scene(nursery):
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        nursery.start_soon(trio.serve_listeners, lambda _: trio.sleep_forever(), listeners)
        port = listeners[0].socket.getsockname()[1]
        servers = [Server(f"i-{number}", LOOPBACK, port, "z", 2, 10) for number in range(2)]
        pool = ConnectionPool(2)
        with patch.object(ServerConnections, "drop_old", fail_for_one):
            await nursery.start(pool.run)
            pool.update_servers("kitchen", servers, ())
            await trio.sleep(0.5)
            context.conn = await pool.acquire("i-1")

    run_scene(scene)


@then("that one is connected to and looked after, and the errors are counted")
def step_sweep_counted(context):
    assert context.conn is not None
    assert len(context.swept) >= 2, context.swept
    assert new_errors(context) >= 2


SETTINGS_FILES = {
    "bytes that aren't text": b"\xff\xfe",
    "no line": b"",
    "a port of 400 digits": b"node-name=n\ninternal-ports=" + b"9" * 400,
    "nothing that is there": None,
}


@given("a node whose settings file holds {what}")
def step_settings(context, what):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name) / "settings.conf"
    if SETTINGS_FILES[what] is not None:
        context.path.write_bytes(SETTINGS_FILES[what])
    context.node = SimpleNamespace(seeds=("seed",))


@when("the node reads its settings again")
def step_read_settings(context):
    context.logged = []
    with patch.object(settings_watch, "log_event", lambda event, **_: context.logged.append(event)):
        settings_watch._apply_seeds(context.node, context.path)


@then("its seeds stay as they were, and why is logged")
def step_seeds(context):
    assert context.node.seeds == ("seed",)
    assert context.logged == [LogEvent.SETTINGS_REFUSED], context.logged


@given("a member of the log whose link to a peer {ends}")
def step_log_member(context, ends):
    context.ends = ends


@when("the member maintains its links")
def step_maintain(context):
    context.dials = 0
    port = 70_000 if context.ends == "can't be opened to its port" else 1

    async def scene(nursery):
        dialled = trio.Event()

        async def dial(links, remote):
            context.dials += 1
            if context.dials == 3:
                dialled.set()
            if context.ends == "raises an error":
                raise OverflowError("a mistake")
            await run_dialled_link(links, remote)

        run_dialled_link = LogLinks._run_dialled_link
        handlers = LinkHandlers(lambda *_: None, lambda _: None, lambda _: False)
        own = Peer("me", "control")
        links = LogLinks(own, SECRET, LogNodeConfig(), lambda: PeerHello("m", ""), handlers)
        links.add_peer(PeerAddress("other", LOOPBACK, port))
        with patch.object(LogLinks, "_run_dialled_link", dial):
            nursery.start_soon(links.run)
            await dialled.wait()

    run_scene(scene)


@then("it goes on to dial that peer")
def step_dials(context):
    assert context.dials >= 3


@given("a library that raises such an error for any bytes")
def step_library(context):
    patcher = patch("cbor2.loads", side_effect=OverflowError("a mistake"))
    patcher.start()
    context.add_cleanup(patcher.stop)


@when("{what} is decoded")
def step_decode(context, what):
    decode = {
        "a message of another process": CODEC.decode,
        "records of the journal": decode_records,
        "the head of a file": lambda data: decode_head(data, SegmentHead),
        "a kept outcome": decode_outcome,
    }[what]
    try:
        context.decoded = decode(b"\x80")
    except (AlderhatchError, ValueError) as exc:
        context.decoded = exc


@then("it counts as invalid, and no other error is raised")
def step_invalid(context):
    assert context.decoded is None or isinstance(context.decoded, (AlderhatchError, ValueError))
