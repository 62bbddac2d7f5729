"""Some entries' control clients in a process of its own, for the capacity bench.

Each line on standard input is answered with one line of JSON: the processor time and the payload
bytes so far, and how many of the leases are live.
"""

from __future__ import annotations

import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import orjson
import trio

import alderhatch.entry.control_client as client_module
from alderhatch.core.control.entry_lease import EntryIdentity
from alderhatch.entry.control_client import ControlClient
from alderhatch.link import Link, open_link
from alderhatch.settings.models import NamedEndpoint

from .capacity_control_host import LOOPBACK, NAME, SECRET

READY_TIMEOUT_S = 60.0


class ClientCounts(NamedTuple):
    """What the clients of one process have used so far."""

    cpu_s: float
    payload_bytes: int
    """Sent and received over all links."""
    live: int
    """Leases that are live now."""


class LeaseClients:
    """The control clients of several entries."""

    def __init__(self, first: int, count: int, port: int) -> None:
        where = NamedEndpoint(name=NAME, address=LOOPBACK, port=port)
        identities = [
            EntryIdentity(f"entry-{number}", f"start-{number}", "waco-hall", LOOPBACK, 7400)
            for number in range(first, first + count)
        ]
        self._clients = [ControlClient(me, [where], SECRET) for me in identities]
        self._links: list[Link] = []

    @property
    def counts(self) -> ClientCounts:
        """What was used so far."""
        moved = sum(link.sent_bytes + link.received_bytes for link in self._links)
        live = sum(client.may_serve() for client in self._clients)
        return ClientCounts(time.process_time(), moved, live)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Keep all leases until cancelled; started once all of them are live."""
        # The client keeps its link to itself; the bench has to see the link to count its bytes.
        client_module.__dict__["open_link"] = self._open_counted
        async with trio.open_nursery() as nursery:
            for client in self._clients:
                await nursery.start(client.run)
                nursery.start_soon(_settle, client)
            with trio.fail_after(READY_TIMEOUT_S):
                for client in self._clients:
                    await client.wait_ready()
            task_status.started()

    @asynccontextmanager
    async def _open_counted(self, *args: Any) -> AsyncIterator[Link]:
        async with open_link(*args) as link:
            self._links.append(link)
            yield link


async def _settle(client: ControlClient) -> None:
    while True:
        await client.changed.wait()
        client.confirm_shares()


async def _serve(first: int, count: int, port: int) -> None:
    clients = LeaseClients(first, count, port)
    async with trio.open_nursery() as nursery:
        await nursery.start(clients.run)
        sys.stdout.write("ready\n")
        sys.stdout.flush()
        while await trio.to_thread.run_sync(sys.stdin.readline):
            sys.stdout.write(orjson.dumps(clients.counts._asdict()).decode() + "\n")
            sys.stdout.flush()
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(_serve, int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]))
