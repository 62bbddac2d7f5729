"""Control hosts as processes, and entries' control clients, for the benchmark of control."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from socket import SO_REUSEADDR, SOL_SOCKET, socket
from typing import Any, NamedTuple

import orjson
import trio

from alderhatch.core.control.entry_lease import EntryIdentity
from alderhatch.entry.control_client import ControlClient
from alderhatch.http.client import http_once
from alderhatch.http.exchange import HttpExchangeError
from alderhatch.settings.models import NamedEndpoint

LOOPBACK = "127.0.0.1"
SECRET = "the secret of the benchmark of control"
KEY = "the-key-of-the-benchmark"
START_TIMEOUT_S = 30
START_PAUSE_S = 0.02
"""All clients share one loop here; started at once, they would hold each other up."""
_HELD: list[socket] = []
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """What a process has used so far."""

    cpu_s: float
    rss_bytes: int


class Reply(NamedTuple):
    """An answer of the operator API."""

    status: int
    body: dict[str, Any]


def held_ports(count: int) -> list[int]:
    """Return ports that the kernel chose, kept from others until this process ends.

    A socket that is bound and does not listen keeps the kernel from giving the port away, and, as
    both set SO_REUSEADDR, lets a listener bind to it.
    """
    sockets = [socket() for _ in range(count)]
    for one in sockets:
        one.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        one.bind((LOOPBACK, 0))
    _HELD.extend(sockets)
    return [int(one.getsockname()[1]) for one in sockets]


class ControlCluster:
    """Control hosts as processes of their own, with their files in one folder."""

    def __init__(self, folder: Path, count: int) -> None:
        self._folder = folder
        ports = held_ports(2 * count)
        self.names = [f"control-{number + 1}" for number in range(count)]
        """The hosts' names."""
        self._links = dict(zip(self.names, ports[:count], strict=True))
        self._operators = dict(zip(self.names, ports[count:], strict=True))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        """The processes that run."""
        self._write_private("secret", SECRET)
        self._write_private("keys", f"bench change {KEY}\n")

    @property
    def endpoints(self) -> tuple[NamedEndpoint, ...]:
        """Where the hosts accept links."""
        return tuple(
            NamedEndpoint(name=name, address=LOOPBACK, port=port)
            for name, port in self._links.items()
        )

    def start(self, name: str) -> None:
        """Start one host."""
        settings = self._folder / f"{name}.toml"
        settings.write_text("\n".join(self._settings(name)))
        command = [sys.executable, "-m", "alderhatch.cli.control", str(settings)]
        log = (self._folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(command, stderr=log)
        log.close()

    def kill(self, name: str) -> None:
        """End one host as a power cut would."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def usage(self, name: str) -> Usage:
        """Return what a host has used so far."""
        pid = self.processes[name].pid
        stat = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        cpu_s = (int(stat[11]) + int(stat[12])) / _TICKS_PER_S
        return Usage(cpu_s, pages * os.sysconf("SC_PAGE_SIZE"))

    async def call(self, name: str, method: str, path: str, body: object = None) -> Reply:
        """Make one request of the operator API; status 0 if there is no answer."""
        data = b"" if body is None else orjson.dumps(body)
        headers = [("Authorization", f"Bearer {KEY}")]
        port = self._operators[name]
        try:
            reply = await http_once(LOOPBACK, port, method, path, data, headers, timeout=30_000)
        except HttpExchangeError:
            return Reply(0, {})
        return Reply(reply.status, orjson.loads(reply.body))

    async def leader(self) -> str:
        """Wait until a host grants leases, and return its name."""
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                for name in list(self.processes):
                    reply = await self.call(name, "GET", "/v1/status")
                    if reply.status == 200 and reply.body["grants_leases"]:
                        return name
                await trio.sleep(0.01)

    def _write_private(self, name: str, text: str) -> None:
        path = self._folder / name
        path.write_text(text)
        path.chmod(0o600)

    def _settings(self, name: str) -> list[str]:
        lines = [f'name = "{name}"', 'zone = "austin-hall"', f'data_folder = "{name}-data"']
        lines += ['secret_file = "secret"', 'keys_file = "keys"']
        lines += _endpoint("[links]", self._links[name])
        lines += _endpoint("[operators]", self._operators[name])
        for peer, port in self._links.items():
            lines += [*_endpoint("[[peers]]", port), f'name = "{peer}"']
        return [*lines, ""]


def _endpoint(table: str, port: int) -> list[str]:
    return [table, f'address = "{LOOPBACK}"', f"port = {port}"]


@asynccontextmanager
async def control_cluster(count: int) -> AsyncIterator[ControlCluster]:
    """Run control hosts for the length of an ``async with`` block, and end them after it."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ControlCluster(Path(folder), count)
        try:
            for name in cluster.names:
                cluster.start(name)
            await cluster.leader()
            yield cluster
        finally:
            for name in list(cluster.processes):
                cluster.kill(name)


class LeaseClients:
    """Stand-in entries that hold leases and have no callers."""

    def __init__(self, cluster: ControlCluster, nursery: trio.Nursery) -> None:
        self._cluster = cluster
        self._nursery = nursery
        self._scopes: list[trio.CancelScope] = []
        self.clients: list[ControlClient] = []
        """The clients that run."""

    async def grow_to(self, count: int) -> None:
        """Start clients until there are so many, and wait until all of them may serve."""
        while len(self.clients) < count:
            await trio.sleep(START_PAUSE_S)
            number = len(self.clients)
            zone = ("austin-hall", "waco-hall", "temple-hall")[number % 3]
            identity = EntryIdentity(f"entry-{number}", "run-1", zone, LOOPBACK, 8080)
            client = ControlClient(identity, self._cluster.endpoints, SECRET.encode())
            scope = trio.CancelScope()
            self.clients.append(client)
            self._scopes.append(scope)
            self._nursery.start_soon(self._run, client, scope)
        with trio.fail_after(120):
            for client in self.clients:
                await client.wait_ready()

    def cut_off(self, index: int) -> None:
        """End one client without a goodbye."""
        self._scopes.pop(index).cancel()
        self.clients.pop(index)

    async def _run(self, client: ControlClient, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(client.run)
                while True:
                    await client.changed.wait()
                    client.confirm_shares()


def cpu_seconds() -> float:
    """Return the processor time of this process so far."""
    return time.process_time()


def own_rss() -> int:
    """Return this process's resident memory in bytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
