"""A leader and any number of hosts that follow it, in virtual time and without sockets."""

from __future__ import annotations

import math
from types import SimpleNamespace

import trio
from trio.testing import MockClock

from alderhatch.clock import SECOND, LoopClock
from alderhatch.codec import Codec
from alderhatch.core.control.configuration_register import StoredConfiguration, TierDirectives
from alderhatch.core.control.evacuations import NO_EVACUATIONS
from alderhatch.core.forwarding.caller_hosts import choose_caller_hosts
from alderhatch.core.forwarding.server_record import ServerRecord
from alderhatch.link import LinkClosedError
from alderhatch.node.crash_guard import CrashGuard
from alderhatch.node.lease_messages import LEASE_MESSAGE_TYPES
from alderhatch.node.tier_messages import TIER_MESSAGE_TYPES, Join, Place, Redirect, Report
from alderhatch.node.tier_server import TierServer

CODEC = Codec(*TIER_MESSAGE_TYPES, *LEASE_MESSAGE_TYPES)
REPORT_INTERVAL_MS = 500.0
CONNECTIONS = 100
"""Connections that each server accepts from all hosts together."""
MAX_QUEUED = 1000
STRONG_HOST_PROCESSOR = 1.4
WEAK_HOST_PROCESSOR = 0.5


class HostLink:
    """One host's link to the leader, as the leader sees it."""

    def __init__(self):
        self._send, self._receive = trio.open_memory_channel(MAX_QUEUED)
        self.received = []
        """Every message that the leader sent, decoded."""
        self.received_bytes = 0
        self.closed = trio.Event()

    async def receive(self):
        try:
            return await self._receive.receive()
        except trio.EndOfChannel as exc:
            raise LinkClosedError("the host closed the link") from exc

    async def send(self, message):
        await self.send_encoded(CODEC.encode(message))

    async def send_encoded(self, data):
        await trio.lowlevel.checkpoint()
        self.received.append(CODEC.decode(data))
        self.received_bytes += len(data)

    def queue_message(self, message):
        """Queue a message from the host to the leader."""
        self._send.send_nowait(message)

    def close_link(self):
        """Close the host's end of the link."""
        self._send.close()


class Host:
    """One host that follows the leader."""

    def __init__(self, index, strong):
        self.name = f"host-{index:04}"
        self.address = f"10.0.{index // 200}.{index % 200 + 1}"
        self.processor = STRONG_HOST_PROCESSOR if strong else WEAK_HOST_PROCESSOR
        self.zone = f"zone-{index % 3}"
        self.link = HostLink()
        self.serving = False
        self.wants_servers = False

    def join(self):
        """Return the host's first message."""
        place = Place(self.name, self.address, 1)
        return Join(place, self.zone, f"{self.address}:2", self.processor, None, False)

    def report(self):
        """Return the host's periodic report."""
        return Report(self.serving, 1, None, [], 0, self.wants_servers)

    def received(self, kind):
        """Return the received messages of one type."""
        return [one for one in self.link.received if isinstance(one, kind)]


class TierOfHosts:
    """A leader and its hosts.

    Args:
        hosts: How many hosts there are.
        strong: How many of them have the processor time of a strong host.
        previous_host_count: How many hosts followed the last leader.
    """

    def __init__(self, hosts, strong=5, previous_host_count=0):
        self.hosts = [Host(index, index < strong) for index in range(hosts)]
        self.member = SimpleNamespace(controls=list, leads=True)
        self.stored = StoredConfiguration(1, b"packed")
        self.guard = CrashGuard(LoopClock())
        """What the leader's own host knows of requests that crash servers."""
        self.server = TierServer(
            self.member,
            lambda: TierDirectives(self.stored, NO_EVACUATIONS),
            lambda: True,
            lambda: Redirect(None, []),
            lambda name: None,
            lambda leader: None,
            lambda hosts_to_choose, needed: choose_caller_hosts(
                hosts_to_choose, CONNECTIONS, needed
            ),
            lambda: previous_host_count,
            self.guard,
            CODEC,
        )
        self.nursery = None

    def run_script(self, script):
        """Run a coroutine function of this tier in virtual time."""

        async def main():
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(self.server.run)
                await script(self)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    async def join_all(self, within):
        """Let all hosts join, evenly spread over ``within`` milliseconds."""
        for host in self.hosts:
            host.link.queue_message(host.join())
            self.nursery.start_soon(self._serve, host)
            self.nursery.start_soon(self._report, host)
            await trio.sleep(within / len(self.hosts) / SECOND)

    async def _serve(self, host):
        await self.server.serve(host.link)
        host.link.closed.set()

    async def _report(self, host):
        while not host.link.closed.is_set():
            host.link.queue_message(host.report())
            await trio.sleep(REPORT_INTERVAL_MS / SECOND)

    def followers(self):
        """Return how many hosts follow the leader."""
        return sum(not host.link.closed.is_set() for host in self.hosts)


def server_list(servers, named="server"):
    """Return the records of so many servers by ID."""
    records = [
        ServerRecord(f"{named}-{index}", f"shard-{index // 2}", "10.1.0.1", 80, "zone-0", 2, False)
        for index in range(servers)
    ]
    return {record.server_id: record for record in records}


def max_bytes_sent(tier):
    """Return the largest number of bytes that any host was sent."""
    return max((host.link.received_bytes for host in tier.hosts), default=-math.inf)
