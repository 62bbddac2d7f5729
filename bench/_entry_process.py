"""Runs one entry without control hosts over one stand-in upstream, and prints its port."""

from __future__ import annotations

import sys

import trio

from alderhatch.entry.app import run_entry
from alderhatch.entry.entry_node import EntryNode
from alderhatch.settings.models import Endpoint, EntrySettings, UpstreamSettings


async def _run(seed_port: int) -> None:
    nowhere = Endpoint(address="127.0.0.1", port=0)
    seed = Endpoint(address="127.0.0.1", port=seed_port)
    cfg = EntrySettings(
        name="bench-entry",
        zone="austin-hall",
        callers=nowhere,
        operators=nowhere,
        upstreams=(UpstreamSettings(name="navigator", seeds=(seed,)),),
    )
    async with trio.open_nursery() as nursery:
        node: EntryNode = await nursery.start(_start, cfg)
        print(node.port, flush=True)


async def _start(
    cfg: EntrySettings, task_status: trio.TaskStatus[EntryNode] = trio.TASK_STATUS_IGNORED
) -> None:
    await run_entry(cfg, task_status=task_status)


def main() -> None:
    """Run until killed."""
    trio.run(_run, int(sys.argv[1]))


if __name__ == "__main__":
    main()
