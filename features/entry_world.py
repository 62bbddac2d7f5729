"""A test harness that runs a stand-in upstream and entries in a trio loop in another thread."""

from __future__ import annotations

import tempfile
from functools import partial

import orjson
import trio

from alderhatch.core.rule_list import parse_rules
from alderhatch.entry.address_book import EntryAddress
from alderhatch.entry.app import planned_stop
from alderhatch.entry.control_link import ControlLink
from alderhatch.entry.entry_node import EntryNode
from alderhatch.http.client import http_once
from alderhatch.http.exchange import HttpExchangeError
from alderhatch.settings.models import CallerLimits, Endpoint, EntrySettings, UpstreamSettings
from alderhatch.standin.answer_check import check_answer
from alderhatch.standin.standin_platform import StandinPlatform
from alderhatch.standin.standin_server import ServiceTime, UpstreamShape
from alderhatch.standin.standin_upstream import StandinUpstream
from features.support.control_tier import LEASE_MS, SECRET, ControlTier
from features.support.loop_thread import LoopThread

LOOPBACK = "127.0.0.1"
EPHEMERAL_ENDPOINT = Endpoint(address=LOOPBACK, port=0)
CALL_TIMEOUT_S = 60
ZONES = ("austin-hall", "waco-hall")


class EntryWorld:
    """Runs a trio loop in its own thread; ``call`` runs a coroutine function in that loop."""

    def __init__(self):
        self.upstream = None
        self.platform = None
        self.controls = None
        self._folder = None
        self.entries = []
        self.scopes = []
        self.shape = {}
        self.rule = {"deadline_ms": 3000, "retries": 2}
        self.settings = {}
        self.replies = []
        self._loop = LoopThread()
        self._nursery = self._loop.nursery

    def call(self, function, *args):
        async def with_timeout():
            with trio.fail_after(CALL_TIMEOUT_S):
                return await function(*args)

        return self._loop.call(with_timeout)

    def close(self):
        self._loop.close()
        if self._folder is not None:
            self._folder.cleanup()

    async def start_upstream(self, shards, servers):
        shape = self.shape
        shape = UpstreamShape(
            "navigator",
            shards,
            servers,
            shape.get("slots", 4),
            shape.get("connections", 30),
            shape.get("connect_ms", 0.0),
        )
        self.upstream = StandinUpstream(shape, ZONES, service_time=ServiceTime(1.0, 0.0, 0.0))
        await self._nursery.start(self.upstream.serve)

    async def start_controls(self, count):
        self._folder = tempfile.TemporaryDirectory()
        host_names = [f"control-{number + 1}" for number in range(count)]
        lease = self.settings.get("lease_ms", LEASE_MS)
        self.controls = ControlTier(self._nursery, self._folder.name, host_names, 1000, lease)
        for name in host_names:
            await self.controls.start_control(name)
        await self.controls.leader()

    async def change_rules(self, rules):
        body = {"change_id": f"rules-{len(rules)}", "expected_revision": 0, "rules": rules}
        status, answer = await self.controls.change("PUT", "/v1/rules", body)
        assert status == 200, answer

    async def start_platform(self):
        self.platform = StandinPlatform()
        await self._nursery.start(self.platform.serve)

    async def start_entry(self):
        number = len(self.entries)
        seed = Endpoint(address=LOOPBACK, port=self.upstream.servers[0].port)
        upstream = UpstreamSettings(
            name="navigator",
            seeds=(seed,),
            map_poll_ms=self.settings.get("map_poll_ms", 50),
            health_poll_ms=self.settings.get("health_poll_ms", 100),
        )
        platform = None
        if self.platform is not None:
            platform = Endpoint(address=LOOPBACK, port=self.platform.port)
        cfg = EntrySettings(
            name=f"entry-{number + 1}",
            zone=self.settings.get("zone", ZONES[number % len(ZONES)]),
            callers=EPHEMERAL_ENDPOINT,
            operators=EPHEMERAL_ENDPOINT,
            upstreams=(upstream,),
            platform=platform,
            platform_poll_ms=50,
            address_ttl_ms=self.settings.get("address_ttl_ms", 200),
            drain_ms=self.settings.get("drain_ms", 10_000),
            connections_per_server=self.settings.get("connections_per_server", 2),
            progress_timeout_ms=self.settings.get("progress_timeout_ms", 600),
            limits=CallerLimits(**self.settings.get("limits", {})),
            links=EPHEMERAL_ENDPOINT if self.settings.get("links") else None,
        )
        make_control = None
        if self.controls is not None:
            make_control = partial(ControlLink, secret=SECRET)
            cfg = cfg.model_copy(
                update={"controls": self.controls.endpoints(list(self.controls.hosts))}
            )
        entry = EntryNode(cfg, seed=number, make_control=make_control, secret=SECRET)
        scope = trio.CancelScope()
        if self.controls is None:
            entry.change_rules(1, parse_rules([{"name": "only", "then": self.rule}]))
        await self._nursery.start(self._run_entry, entry, scope)
        self.entries.append(entry)
        self.scopes.append(scope)
        self._share_roster()
        return entry

    async def _run_entry(self, entry, scope, task_status=trio.TASK_STATUS_IGNORED):
        with scope:
            await entry.run(task_status)

    def _share_roster(self):
        if self.controls is not None:
            return
        roster = [EntryAddress(LOOPBACK, node.port, node.cfg.zone) for node in self.entries]
        for entry in self.entries:
            entry.set_roster(roster)

    async def end_entry(self, number):
        self.scopes[number].cancel()
        await trio.sleep(0)

    async def replace_entry(self, number):
        await self.end_entry(number)
        entry = await self.start_entry()
        self.entries.pop()
        scope = self.scopes.pop()
        self.entries[number] = entry
        self.scopes[number] = scope
        self._share_roster()

    async def stop_entry(self, number):
        """Stop an entry as control does: mark it as leaving in all rosters, then run its stop."""
        port = self.entries[number].port
        for entry in self.entries:
            entry.set_roster(
                listed._replace(leaving=listed.leaving or listed.port == port)
                for listed in entry.addresses.roster
            )
        await planned_stop(self.entries[number])
        self.scopes[number].cancel()

    async def query(self, entry=0, path="/query", **fields):
        body = {
            "request_id": "query-1",
            "caller": "tests",
            "kind": "route",
            "upstream": "navigator",
            "query": {"topic": ""},
        } | fields
        reply = await http_once(
            LOOPBACK, self.entries[entry].port, "POST", path, orjson.dumps(body), timeout=20_000
        )
        answer = orjson.loads(reply.body)
        self.replies.append((reply.status, answer))
        return reply.status, answer

    async def queries_at_once(self, count, entry=0):
        replies = []

        async def send_query():
            replies.append(await self.query(entry))

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(send_query)
        return replies

    async def run_load(self, task_status=trio.TASK_STATUS_IGNORED, callers=4):
        """Send queries to all entries until the event passed to ``started`` is set."""
        scope = trio.CancelScope()
        counts = {"right": 0, "elsewhere": 0, "wrong": [], "broken": []}

        async def caller(number):
            while not stop.is_set():
                entry = number % len(self.entries)
                try:
                    status, answer = await self.query(entry)
                except HttpExchangeError as exc:
                    counts["broken"].append((entry, str(exc)))
                    continue
                if answer.get("resend") == "other_entry":
                    counts["elsewhere"] += 1
                    await trio.sleep(0.01)
                elif status != 200:
                    counts["wrong"].append((status, answer))
                elif self.check(answer) is None:
                    counts["right"] += 1
                else:
                    counts["wrong"].append(self.check(answer))

        stop = trio.Event()
        with scope:
            async with trio.open_nursery() as nursery:
                for number in range(callers):
                    nursery.start_soon(caller, number)
                task_status.started((stop, counts))
        self._load_ended.set()

    async def start_load(self, callers=4):
        self._load_ended = trio.Event()
        self.stop_load, self.load_counts = await self._nursery.start(
            partial(self.run_load, callers=callers)
        )

    async def end_load(self):
        self.stop_load.set()
        await self._load_ended.wait()
        return self.load_counts

    def check(self, answer, topic=""):
        return check_answer(self.upstream, topic, answer)

    def spawn(self, function, *args):
        """Start a background task that runs until it ends or the harness is closed."""
        self._nursery.start_soon(function, *args)

    async def until(self, condition):
        while not condition():
            await trio.sleep(0.005)

    async def sleep_for(self, seconds):
        await trio.sleep(seconds)

    async def send_raw(self, port, chunks, pause_s=0.0, read=True):
        """Send bytes unchanged and return the bytes received until the peer closes."""
        stream = await trio.open_tcp_stream(LOOPBACK, port)
        received = b""
        async with stream:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_chunks, stream, chunks, pause_s)
                try:
                    while read and (data := await stream.receive_some()):
                        received += data
                except trio.BrokenResourceError:
                    received += b"<reset>"
                nursery.cancel_scope.cancel()
        return received

    async def _send_chunks(self, stream, chunks, pause_s):
        try:
            for chunk in chunks:
                await stream.send_all(chunk)
                await trio.sleep(pause_s)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


def world(context) -> EntryWorld:
    """Return the harness of the scenario, which is closed when the scenario ends."""
    if not hasattr(context, "entry_world"):
        context.entry_world = EntryWorld()
        context.add_cleanup(context.entry_world.close)
    return context.entry_world
