"""The stand-in upstream as a separate program, for manual tests and benchmarks."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import NamedTuple

import orjson
import trio

from .fault_script import FaultStep, run_fault_script
from .standin_server import ServiceTime, UpstreamShape
from .standin_upstream import StandinUpstream


class UpstreamOptions(NamedTuple):
    """Options of the program."""

    shape: UpstreamShape
    zones: tuple[str, ...]
    """The availability zones that the servers are distributed over."""
    documents_per_shard: int = 12
    seed: int = 1
    service_time: ServiceTime = ServiceTime()
    base_port: int = 0
    """Port of the first server; the others follow it. 0: the kernel chooses every port."""
    faults: Sequence[FaultStep] = ()


async def run_upstream(
    options: UpstreamOptions,
    task_status: trio.TaskStatus[StandinUpstream] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run all servers of a stand-in upstream on loopback until cancelled.

    Once they listen, the shard map is written to standard output as one line of JSON. It tells the
    parent process the ports.

    Args:
        options: Options of the program.
        task_status: Receives the upstream once all its servers listen.

    Raises:
        OSError: If a port can't be listened on.
    """
    upstream = StandinUpstream(
        options.shape,
        options.zones,
        options.documents_per_shard,
        options.seed,
        options.service_time,
    )
    if options.base_port:
        for number, server in enumerate(upstream.servers):
            server.port = options.base_port + number
    async with trio.open_nursery() as nursery:
        await nursery.start(upstream.serve)
        sys.stdout.write(orjson.dumps(upstream.map_as_json()).decode() + "\n")
        sys.stdout.flush()
        task_status.started(upstream)
        nursery.start_soon(run_fault_script, upstream, options.faults)
