"""A control server in a process of its own, for the capacity bench.

It is the real server over a log of one host that is kept in memory. So its processor time is that
of leases, feeds and claims; writing to disks and copying between control hosts, which
``make bench-control`` measures, are not in it.
"""

from __future__ import annotations

import sys
from pathlib import Path

import trio

from alderhatch.control.control_server import ControlServer
from alderhatch.control.observed_state import ObservedState
from alderhatch.control.operator_keys import parse_keys
from alderhatch.control.replicated_log import LogStatus
from alderhatch.link import Link
from alderhatch.settings.models import ControlSettings, Endpoint, NamedEndpoint

NAME = "control-1"
LOOPBACK = "127.0.0.1"
SECRET = b"a secret of the benchmark, 32 b."
KEY = "the-key-of-the-benchmark-0123456789"
LEASE_MS = 3000.0


class LogInMemory:
    """A log whose only member always leads."""

    def __init__(self, machine: ObservedState) -> None:
        self._machine = machine
        self._index = 0
        self.bytes = 0

    async def propose(self, command: bytes) -> object:
        """Apply a command at once."""
        self._index += 1
        self.bytes += len(command)
        return self._machine.apply(self._index, command)

    async def read_barrier(self) -> int:
        """Return the last index."""
        return self._index

    def status(self) -> LogStatus:
        """Return that this host leads."""
        index = self._index
        return LogStatus(NAME, "leader", 1, NAME, index, index, index, 0, (NAME,), (), None)

    def holds_lease(self) -> bool:
        """Return true."""
        return True

    def responsive_members(self) -> frozenset[str]:
        """Return the only member."""
        return frozenset((NAME,))

    def caught_up(self, name: str) -> bool:
        """Return whether it is the only member."""
        return name == NAME

    async def add_learner(self, name: str, address: str, port: int) -> None:
        """Do nothing; the bench changes no members."""

    async def promote(self, name: str, in_place_of: str = "") -> None:
        """Do nothing; the bench changes no members."""

    async def remove_member(self, name: str) -> None:
        """Do nothing; the bench changes no members."""

    async def transfer_leadership(self) -> None:
        """Do nothing; there is nobody to hand it to."""

    async def serve_peer(self, link: Link) -> None:
        """Do nothing; there is no peer."""


async def _serve() -> None:
    nowhere = Endpoint(address=LOOPBACK, port=0)
    cfg = ControlSettings(
        name=NAME,
        zone="waco-hall",
        data_folder=Path("unused"),
        links=nowhere,
        operators=nowhere,
        peers=(NamedEndpoint(name=NAME, address=LOOPBACK, port=0),),
        secret_file=Path("unused"),
        keys_file=Path("unused"),
        lease_ms=LEASE_MS,
    )
    observed = ObservedState()
    keys = parse_keys(f"bench change {KEY}\n")
    server = ControlServer(cfg, LogInMemory(observed), observed, SECRET, keys)
    async with trio.open_nursery() as nursery:
        ports = await nursery.start(server.run)
        sys.stdout.write(f"{ports.link_port} {ports.operator_port}\n")
        sys.stdout.flush()


if __name__ == "__main__":
    trio.run(_serve)
