"""A cluster of log nodes in one process, with real links over loopback and real folders."""

from __future__ import annotations

import tempfile
from collections import Counter
from pathlib import Path

import cbor2
import trio

from alderhatch.codec import Codec
from alderhatch.control._log_links import PeerAddress
from alderhatch.control.log_messages import PEER_MESSAGE_TYPES
from alderhatch.control.log_node import LogNode
from alderhatch.control.log_node_config import LogNodeConfig
from alderhatch.core.raft.raft_config import RaftConfig
from alderhatch.errors import AlderhatchError, ErrorKind, Failure
from alderhatch.link import Peer, serve_links
from alderhatch.storage.data_folder import DataFolder
from alderhatch.storage.files import DiskFiles

SECRET = b"a secret of the tests, 32 bytes.."
RAFT = RaftConfig(
    heartbeat=40,
    election_timeout=300,
    retry=200,
    compact_entries=50,
    keep_entries=10,
    chunk_bytes=400,
)
CFG = LogNodeConfig(raft=RAFT, request_timeout=4000, redial=30, probe=200, silence=300)


class ListStateMachine:
    """State machine that keeps all commands; the result of a command is its position."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []
        self.index = 0

    def apply(self, index, command):
        assert index > self.index
        self.index = index
        self.commands.append(command)
        return len(self.commands)

    def snapshot(self):
        return cbor2.dumps([self.index, self.commands])

    def restore(self, data):
        self.index, self.commands = cbor2.loads(data)


class LogHost:
    """A host that can be stopped and started again on the same port."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.folder = folder
        self.port = 0
        self.files = DiskFiles
        self.machine = ListStateMachine()
        self.node: LogNode | None = None
        self.scope = trio.CancelScope()
        self.stopped = trio.Event()


class LogCluster:
    """Log hosts that a test starts, stops and sends commands to."""

    def __init__(self, size: int, cfg: LogNodeConfig = CFG) -> None:
        self.cfg = cfg
        self.root = tempfile.TemporaryDirectory()
        path = Path(self.root.name)
        names = [f"control-{number}" for number in range(1, size + 1)]
        self.hosts = {name: LogHost(name, path / name) for name in names}
        self.founders = names
        self.nursery: trio.Nursery | None = None
        self.roles: list[tuple[str, str, int]] = []
        self.resent: Counter[bytes] = Counter()
        """How often each command was proposed again with an unknown outcome."""
        self.lost_outcome_command: bytes | None = None
        """A command whose first outcome does not reach its proposer."""

    async def open_ports(self) -> None:
        for host in self.hosts.values():
            await self.choose_port(host)

    async def choose_port(self, host: LogHost) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host.port = listeners[0].socket.getsockname()[1]
        for listener in listeners:
            await listener.aclose()

    def peers(self) -> list[PeerAddress]:
        return [
            PeerAddress(founder, "127.0.0.1", self.hosts[founder].port) for founder in self.founders
        ]

    async def start(self, name: str) -> None:
        host = self.hosts[name]
        host.machine = ListStateMachine()
        host.scope = trio.CancelScope()
        host.stopped = trio.Event()
        storage = DataFolder(host.files(host.folder), name)
        host.node = LogNode(
            name,
            self.peers(),
            storage,
            host.machine,
            SECRET,
            self.cfg,
            lambda role, term, leader: self.roles.append((name, str(role), term)),
        )
        await self.nursery.start(self._run, host)

    async def _run(self, host, task_status=trio.TASK_STATUS_IGNORED):
        try:
            with host.scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(host.node.run)
                    listeners = await trio.open_tcp_listeners(host.port, host="127.0.0.1")
                    codec = Codec(*PEER_MESSAGE_TYPES)
                    me = Peer(host.name, "control")
                    await nursery.start(
                        serve_links, listeners, codec, SECRET, me, host.node.serve_peer, 64
                    )
                    task_status.started()
        finally:
            host.node = None
            host.stopped.set()

    async def start_all(self) -> None:
        for name in self.hosts:
            await self.start(name)

    async def stop(self, name: str) -> None:
        host = self.hosts[name]
        host.scope.cancel()
        await host.stopped.wait()

    def running(self):
        return [host.node for host in self.hosts.values() if host.node is not None]

    async def leader(self) -> LogNode:
        while True:
            for node in self.running():
                if node.holds_lease():
                    return node
            await trio.sleep(0.01)

    async def propose(self, command: bytes) -> object:
        """Propose a command and retry on errors; it may be committed more than once."""
        while True:
            node = await self.leader()
            try:
                outcome = await node.propose(command)
                self._lose_outcome(command)
                return outcome
            except AlderhatchError as exc:
                kinds = (ErrorKind.NO_LEADER, ErrorKind.CHANGE_UNKNOWN, ErrorKind.STORAGE_FAILED)
                if exc.failure.kind not in kinds:
                    raise
                if exc.failure.kind is not ErrorKind.NO_LEADER:
                    self.resent[command] += 1
                await trio.sleep(0.02)

    def _lose_outcome(self, command: bytes) -> None:
        if command != self.lost_outcome_command:
            return
        self.lost_outcome_command = None
        raise AlderhatchError(Failure(ErrorKind.CHANGE_UNKNOWN, "the outcome was lost"))

    async def settle(self) -> None:
        """Wait until all running members have applied everything that is committed."""
        while True:
            node = await self.leader()
            index = await node.read_barrier()
            members = {*node.status().voters, *node.status().learners}
            lagging = [
                member
                for member in self.running()
                if member.name in members
                and member.status().voters
                and member.status().applied_index < index
            ]
            if not lagging:
                return
            await trio.sleep(0.02)


def run_log_cluster(size, scenario, timeout_seconds=20, cfg=CFG):
    """Start the hosts, run ``scenario(cluster)`` and return the cluster."""
    cluster = LogCluster(size, cfg)

    async def main():
        with trio.fail_after(timeout_seconds):
            await cluster.open_ports()
            async with trio.open_nursery() as nursery:
                cluster.nursery = nursery
                await cluster.start_all()
                await scenario(cluster)
                nursery.cancel_scope.cancel()

    try:
        trio.run(main)
    finally:
        cluster.root.cleanup()
    return cluster
