"""Hosts of a tier that follow a leader, with the real prober of each, in virtual time."""

from __future__ import annotations

from collections import Counter
from functools import partial
from random import Random

import trio
from trio.testing import MockClock

from alderhatch.clock import SECOND, LoopClock
from alderhatch.core.forwarding.caller_hosts import (
    HostRecord,
    advertised_host_count,
    advertised_hosts,
    choose_caller_hosts,
)
from alderhatch.core.forwarding.probe_schedule import (
    LEADER_SILENCE_TIMEOUT,
    PULSE_INTERVAL,
    LeaderContact,
)
from alderhatch.core.forwarding.retry_budget import BudgetLimits
from alderhatch.core.forwarding.route_table import RouteTable
from alderhatch.core.forwarding.server_record import ServerRecord
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.node.host_probe import HostProber
from alderhatch.node.node_state import NodeState
from alderhatch.node.tier_messages import TierView
from alderhatch.platform.settings import POLICY
from features.support.forward_model import scatter_route
from features.support.tier_hosts import STRONG_HOST_PROCESSOR, WEAK_HOST_PROCESSOR

UPSTREAM = "shard-0"
MAX_CONNECTIONS = 58
USABLE_CONNECTIONS = 52
PROCESSOR_NEEDED = 6.0
SHARDS = [f"shard-{index}" for index in range(135)]
TARGET_LATENCY_MS = 96.0
BUDGET_LIMITS = BudgetLimits(0.2, 182.0, 10_000.0)
ACCEPT_MS = 2.0


class WatchingHosts:
    """A tier whose strong hosts are active, one of them leads, and all others watch.

    Args:
        hosts: How many hosts there are.
        strong: How many of them have the processor time of a strong host.
    """

    def __init__(self, hosts, strong):
        self.rng = Random(1)
        self.records = [
            HostRecord(
                f"host-{index:04}",
                f"zone-{index % 3}",
                f"host-{index:04}:1",
                True,
                STRONG_HOST_PROCESSOR if index < strong else WEAK_HOST_PROCESSOR,
            )
            for index in range(hosts)
        ]
        self.strong = [host.name for host in self.records[:strong]]
        self.weak = [host.name for host in self.records[strong:]]
        self.leader = self.strong[0]
        self.dark = set()
        """Hosts that answer nothing."""
        self.killed = set()
        """Hosts whose ports refuse connections."""
        self.connects = Counter()
        """Probes by the host that they were sent to."""
        self.leader_since = 0.0
        """When the hosts began to follow the leader."""
        self.states = {}
        self.probers = {}
        self.heard_at = {}
        self.probe_phase = {host.name: self.rng.random() for host in self.records}

    def run_script(self, script):
        """Run a coroutine function of this tier in virtual time."""

        async def main():
            self.clock = LoopClock()
            for host in self.records:
                self.states[host.name] = self._make_state(host.name)
            async with trio.open_nursery() as nursery:
                for name, state in self.states.items():
                    reach = partial(self._connect, name)
                    prober = HostProber(state, partial(self._contact, name), reach)
                    self.probers[name] = prober
                    nursery.start_soon(self._run_prober, name, prober)
                await trio.sleep(5.0)
                await script(self)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    async def _run_prober(self, name, prober):
        await trio.sleep(self.probe_phase[name])
        await prober.run()

    def _make_state(self, name):
        zone = next(host.zone for host in self.records if host.name == name)
        pool = ConnectionPool(0, spares=False)
        state = NodeState(name, zone, None, pool, BUDGET_LIMITS, POLICY, self.clock, Random(1))
        state.table.set_max_connections({UPSTREAM: MAX_CONNECTIONS})
        server = ServerRecord("i-1", UPSTREAM, "127.0.0.1", 1, "zone-0", 2, False)
        state.table.update([server], 0.0)
        state.routes = RouteTable([scatter_route(SHARDS, target_latency=TARGET_LATENCY_MS)])
        state.apply_view(self.view())
        return state

    def view(self):
        """Return the view of a leader that hears of all hosts."""
        processor = RouteTable(
            [scatter_route(SHARDS, target_latency=TARGET_LATENCY_MS)]
        ).gather_processor
        chosen = choose_caller_hosts(self.records, USABLE_CONNECTIONS, PROCESSOR_NEEDED, processor)
        listed = advertised_hosts(self.records, len(chosen))
        return TierView(listed, [], PROCESSOR_NEEDED, advertised_host_count(len(self.records)))

    def _contact(self, name):
        now = self.clock.now()
        if self.leader is not None and self._is_open(name, self.leader):
            # The leader's keep-alives reach each host at another moment.
            phase = self.probe_phase[name] * PULSE_INTERVAL
            self.heard_at[name] = now - (now + phase) % PULSE_INTERVAL
        heard_at = self.heard_at.get(name, 0.0)
        is_closed = self.leader is None or self.leader in self.killed
        return LeaderContact(not is_closed and now - heard_at < LEADER_SILENCE_TIMEOUT, heard_at)

    def _is_open(self, name, other):
        return not {name, other} & (self.dark | self.killed)

    async def _connect(self, name, host):
        if host.name in self.killed:
            raise ConnectionRefusedError
        if not self._is_open(name, host.name):
            await trio.sleep_forever()
        self.connects[host.name] += 1
        await trio.sleep(ACCEPT_MS / SECOND)

    async def look_up(self, name):
        """Return the records of the hosts that a host names to a caller now."""
        await self.probers[name].check_all()
        return list(self.states[name].caller_hosts)

    def running(self):
        """Return the names of the hosts that run."""
        return [host.name for host in self.records if host.name not in self.dark | self.killed]

    def follow(self, leader):
        """Let all running hosts follow a leader, which sends its view."""
        self.leader = leader
        for name in self.running():
            self.states[name].apply_view(self.view())
