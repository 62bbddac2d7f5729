"""Measures what a slow disk does to the replicated log, with each host in a process of its own.

Syncs take a given time, on the loop or in a worker thread, on all hosts or on the first one only.
``python -m bench.control_log_stall`` takes about two minutes.
"""

from __future__ import annotations

import multiprocessing
import os
import socket
import statistics
import sys
import tempfile
import time
from contextlib import suppress
from multiprocessing.connection import Connection
from pathlib import Path
from typing import NamedTuple

import trio

from alderhatch.clock import SECOND
from alderhatch.codec import Codec
from alderhatch.control.log_messages import PEER_MESSAGE_TYPES
from alderhatch.control.log_node import LogNode
from alderhatch.control.log_node_config import LogNodeConfig
from alderhatch.core.raft.effects import Role
from alderhatch.errors import AlderhatchError
from alderhatch.link import Peer, serve_links
from alderhatch.settings.models import NamedEndpoint
from alderhatch.storage.data_folder import DataFolder
from alderhatch.storage.files import DiskAppendFile, DiskFiles

from .control_log import COMMAND, CountingMachine, percentile

HOSTS = 3
SPAN_S = 12.0
PAUSE_S = 0.05


class SlowFile(DiskAppendFile):
    """A file whose sync takes longer than the disk's."""

    delay_s = 0.0

    def sync(self) -> None:
        """Sync, then wait."""
        super().sync()
        time.sleep(self.delay_s)


class SlowFiles(DiskFiles):
    """A folder on a slow disk."""

    def _open(self, name: str, flags: int) -> SlowFile:
        file = super()._open(name, flags)
        return SlowFile(file._fd)


class HostPlan(NamedTuple):
    """What one process runs."""

    name: str
    folder: str
    ports: dict[str, int]
    secret: bytes
    delay_ms: float
    in_thread: bool


class HostReport(NamedTuple):
    """What one process saw."""

    elections: int
    """How often it became the leader."""
    latencies: list[float]
    """Milliseconds to the commit of each command that it led."""


def run_host(plan: HostPlan, pipe: Connection) -> None:
    """Run one host for a while, proposing one command after another while it leads."""
    SlowFile.delay_s = plan.delay_ms / SECOND
    pipe.send(trio.run(_host, plan))


async def _host(plan: HostPlan) -> HostReport:
    elections = 0
    latencies: list[float] = []

    def on_role(role: Role, term: int, leader: str | None) -> None:
        nonlocal elections
        elections += role is Role.LEADER

    peers = [
        NamedEndpoint(name=name, address="127.0.0.1", port=port)
        for name, port in plan.ports.items()
    ]
    storage = DataFolder(SlowFiles(Path(plan.folder)), plan.name)
    cfg = LogNodeConfig(sync_in_thread=plan.in_thread)
    node = LogNode(plan.name, peers, storage, CountingMachine(), plan.secret, cfg, on_role)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(plan.ports[plan.name], host="127.0.0.1")
        codec = Codec(*PEER_MESSAGE_TYPES)
        me = Peer(plan.name, "control")
        serve = [listeners, codec, plan.secret, me, node.serve_peer, 64]
        await nursery.start(serve_links, *serve)
        await nursery.start(node.run)
        with trio.move_on_after(SPAN_S):
            while True:
                if node.is_leader:
                    start = time.perf_counter()
                    with suppress(AlderhatchError):
                        await node.propose(COMMAND)
                        latencies.append((time.perf_counter() - start) * SECOND)
                await trio.sleep(PAUSE_S)
        nursery.cancel_scope.cancel()
    return HostReport(elections, latencies)


def _free_ports(names: list[str]) -> dict[str, int]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in names]
    ports = {name: one.getsockname()[1] for name, one in zip(names, sockets, strict=True)}
    for one in sockets:
        one.close()
    return ports


def measure(delays_ms: list[float], in_thread: bool) -> list[HostReport]:
    """Run the hosts once.

    Args:
        delays_ms: How long a sync takes on each host, besides the disk's own time.
        in_thread: Whether worker threads wait for the disk.
    """
    names = [f"control-{number}" for number in range(1, len(delays_ms) + 1)]
    ports = _free_ports(names)
    secret = os.urandom(32)
    context = multiprocessing.get_context("spawn")
    pipes = []
    processes = []
    with tempfile.TemporaryDirectory() as root:
        for name, delay_ms in zip(names, delays_ms, strict=True):
            plan = HostPlan(name, f"{root}/{name}", ports, secret, delay_ms, in_thread)
            ours, theirs = context.Pipe()
            process = context.Process(target=run_host, args=(plan, theirs))
            process.start()
            pipes.append(ours)
            processes.append(process)
        reports: list[HostReport] = [pipe.recv() for pipe in pipes]
        for process in processes:
            process.join(5)
    return reports


def main() -> int:
    """Measure and print one line a run."""
    for delay_ms in (0.0, 5.0, 50.0, 300.0, 1000.0):
        for label, delays in (
            ("all disks", [delay_ms] * HOSTS),
            ("one disk", [delay_ms] + [0.0] * (HOSTS - 1)),
        ):
            if delay_ms == 0.0 and label == "one disk":
                continue
            for in_thread in (False, True):
                reports = measure(delays, in_thread)
                spans = [one for report in reports for one in report.latencies] or [float("inf")]
                elections = sum(report.elections for report in reports)
                where = "in a thread" if in_thread else "on the loop"
                print(
                    f"sync +{delay_ms:.0f} ms on {label}, {where}: {elections} elections, "
                    f"{len(spans)} commits in {SPAN_S:.0f} s, p50 {statistics.median(spans):.1f} "
                    f"ms, p99 {percentile(spans, 0.99):.1f} ms, longest {max(spans):.1f} ms",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
