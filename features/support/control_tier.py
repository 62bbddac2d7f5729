"""Control hosts with real files and sockets, and control clients of entries, in one event loop."""

from __future__ import annotations

import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import orjson
import trio

from alderhatch.codec import Codec
from alderhatch.control.control_server import ControlServer
from alderhatch.control.log_messages import PEER_MESSAGE_TYPES
from alderhatch.control.log_node import LogNode
from alderhatch.control.log_node_config import LogNodeConfig
from alderhatch.control.observed_state import ObservedState
from alderhatch.control.operator_keys import parse_keys
from alderhatch.core.control.entry_lease import EntryIdentity
from alderhatch.core.control.lease_messages import CONTROL_MESSAGES
from alderhatch.core.control.operations import OPERATIONS
from alderhatch.core.raft.raft_config import RaftConfig
from alderhatch.entry.control_client import ControlClient
from alderhatch.errors import AlderhatchError
from alderhatch.http.client import http_once
from alderhatch.http.exchange import HttpExchangeError
from alderhatch.settings.models import ControlSettings, Endpoint, NamedEndpoint
from alderhatch.signal import Signal
from alderhatch.storage.data_folder import DataFolder
from alderhatch.storage.files import DiskFiles
from features.support.held_ports import held_ports

LOOPBACK = "127.0.0.1"
SECRET = b"the secret that these tests share"
KEYS = "anna change annas-key-of-the-tests\nbjorn change bjorns-key-of-the-tests\n"
KEYS += "monitor read monitors-key-of-the-tests\n"
KEYS_BY_OPERATOR = {row.split()[0]: row.split()[2] for row in KEYS.splitlines()}
LEASE_MS = 2000.0


class Host:
    """One control host with its settings and its cancel scope."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.scope = None
        self.server = None
        self.stopped = trio.Event()


class ControlTier:
    def __init__(self, nursery, folder, names, compact_entries, lease):
        self.nursery = nursery
        self.lease = lease
        self.folder = Path(folder)
        self.ports = {}
        self.hosts = {}
        self.clients = {}
        self.raft = RaftConfig(
            heartbeat=40.0, election_timeout=300.0, compact_entries=compact_entries
        )
        for name in names:
            self.ports[name] = held_ports(2)
        self.initial_peers = self.endpoints(names)

    def endpoints(self, names):
        return tuple(
            NamedEndpoint(name=name, address=LOOPBACK, port=self.ports[name][0]) for name in names
        )

    # Control hosts

    async def start_control(self, name):
        if name not in self.ports:
            self.ports[name] = held_ports(2)
        links, operators = self.ports[name]
        cfg = ControlSettings(
            name=name,
            zone="austin-hall",
            data_folder=self.folder / name,
            links=Endpoint(address=LOOPBACK, port=links),
            operators=Endpoint(address=LOOPBACK, port=operators),
            peers=self.initial_peers,
            secret_file=self.folder / "secret",
            keys_file=self.folder / "keys",
            lease_ms=self.lease,
        )
        self.hosts[name] = Host(cfg)
        await self.nursery.start(self._run_host, self.hosts[name])

    async def _run_host(self, host, task_status):
        observed = ObservedState()
        storage = DataFolder(DiskFiles(host.cfg.data_folder), host.cfg.name)
        cfg = LogNodeConfig(raft=self.raft, redial=50.0)
        role_changed = Signal()
        node = LogNode(
            host.cfg.name,
            host.cfg.peers,
            storage,
            observed,
            SECRET,
            cfg,
            on_role=lambda *_: role_changed.notify(),
        )
        codec = Codec(*CONTROL_MESSAGES, *PEER_MESSAGE_TYPES)
        keys = parse_keys(KEYS)
        host.server = ControlServer(host.cfg, node, observed, SECRET, keys, codec, role_changed)
        try:
            with trio.CancelScope() as host.scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(node.run)
                    await nursery.start(host.server.run)
                    task_status.started()
        finally:
            host.stopped.set()

    async def kill_control(self, name):
        host = self.hosts.pop(name)
        host.scope.cancel()
        await host.stopped.wait()

    async def repair(self, lost, name, revision):
        """Replace a control host whose disk is lost; return when all hosts are voters."""
        await self.start_control(name)
        replacement = {"name": name, "zone": "austin-hall", "address": LOOPBACK}
        replacement["port"] = self.ports[name][0]
        body = {"change_id": name, "expected_revision": revision, "replacement": replacement}
        status, answer = await self.change("POST", f"/v1/hosts/{lost}/repair", body)
        assert status == 200, answer
        await self.until(lambda: self._all_vote())

    def _all_vote(self):
        logs = [host.server.host.log for host in self.hosts.values()]
        return all(set(log.status().voters) == set(self.hosts) for log in logs)

    async def leader(self):
        with trio.fail_after(30):
            while True:
                for name, host in self.hosts.items():
                    leadership = host.server.host.leadership
                    if leadership is not None and host.server.host.log.holds_lease():
                        return name
                await trio.sleep(0.01)

    async def follower(self):
        leader = await self.leader()
        return next(name for name in self.hosts if name != leader)

    def state(self, name):
        return self.hosts[name].server.host.state

    async def until(self, condition):
        with trio.fail_after(30):
            while not condition():
                await trio.sleep(0.01)

    # Operators

    async def call(self, name, method, path, body=None, who="anna", raw=None, key=None):
        data = raw if raw is not None else b"" if body is None else orjson.dumps(body)
        key = KEYS_BY_OPERATOR.get(who) if key is None else key
        headers = [("Authorization", f"Bearer {key}")] if key else []
        port = self.ports[name][1]
        reply = await http_once(LOOPBACK, port, method, path, data, headers, timeout=20_000.0)
        return reply.status, orjson.loads(reply.body)

    async def change(self, method, path, body, who="anna", at=None):
        """Send a request to a host, then to the leader that it names, until it has an answer."""
        name = at or await self.leader()
        with trio.fail_after(30):
            while True:
                try:
                    status, answer = await self.call(name, method, path, body, who)
                except HttpExchangeError:
                    status, answer = 0, {}
                if status not in (0, 503, 504):
                    return status, answer
                leader_endpoint = answer.get("leader")
                name = leader_endpoint["name"] if leader_endpoint else await self.leader()
                await trio.sleep(0.02)

    async def read(self, path):
        """Return the leader's answer; under load the leader may change between two requests."""
        status, answer = await self.change("GET", path, None)
        assert status == 200, answer
        return answer

    async def propose(self, operation):
        """Submit an operation to the log through the leader."""
        with trio.fail_after(30):
            while True:
                proposer = self.hosts[await self.leader()].server.host.proposer
                try:
                    return await proposer.submit([OPERATIONS.encode(operation)])
                except AlderhatchError:
                    await trio.sleep(0.02)

    # Entries

    async def start_entry(self, name, zone="austin-hall", controls=None, incarnation="run-1"):
        controls = self.endpoints(list(self.hosts)) if controls is None else controls
        identity = EntryIdentity(name, incarnation, zone, LOOPBACK, 8080)
        client = ControlClient(identity, controls, SECRET)
        scope = trio.CancelScope()
        self.clients[name] = client
        client.test_scope = scope
        self.nursery.start_soon(self._run_client, client, scope)
        with trio.fail_after(30):
            await client.wait_ready()
        return client

    async def _run_client(self, client, scope):
        with scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(client.run)
                while True:
                    client.confirm_shares()
                    await trio.sleep(0.01)

    def kill_entry(self, name):
        self.clients.pop(name).test_scope.cancel()


@asynccontextmanager
async def control_tier(count=3, compact_entries=1000, lease=LEASE_MS):
    """Run a tier of control hosts during an ``async with`` block."""
    names = [f"control-{number + 1}" for number in range(count)]
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            tier = ControlTier(nursery, folder, names, compact_entries, lease)
            for name in names:
                await tier.start_control(name)
            await tier.leader()
            await tier.until(lambda: len(tier.state(names[0]).hosts.controls) == count)
            yield tier
            nursery.cancel_scope.cancel()


class TcpProxy:
    """A TCP proxy that can stop forwarding without closing its connections.

    While ``silent`` is set, connections that were opened before stop forwarding; those that are
    opened in this time still forward.
    """

    def __init__(self, port):
        self.port = port
        self.silent = False
        self.listen_port = 0

    async def run(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        self.listen_port = listeners[0].socket.getsockname()[1]
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    async def _serve(self, stream):
        opened_silent = self.silent
        try:
            other = await trio.open_tcp_stream(LOOPBACK, self.port)
        except OSError:
            return
        async with other:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, stream, other, opened_silent)
                nursery.start_soon(self._copy, other, stream, opened_silent)

    async def _copy(self, source, target, opened_silent):
        try:
            while True:
                data = await source.receive_some(65_536)
                if not data:
                    return
                if self.silent and not opened_silent:
                    await trio.sleep_forever()
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
