"""A tier of strong and weak hosts whose processors take time for each request to a server."""

from __future__ import annotations

from collections import Counter
from random import Random

from alderhatch.clock import SECOND, ManualClock
from alderhatch.core.forwarding.caller_hosts import HostRecord
from alderhatch.core.forwarding.gather_placement import faster_hosts
from alderhatch.core.forwarding.host_demand import CPU_PER_REQUEST, HostDemand
from alderhatch.core.forwarding.outcome import Answered
from alderhatch.core.forwarding.retry_budget import BudgetLimits
from alderhatch.core.forwarding.route_table import RouteTable
from alderhatch.core.forwarding.target_table import TargetTable
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.node.node_state import NodeState
from alderhatch.platform.settings import POLICY
from features.support.forward_model import ForwardModel
from features.support.tier_hosts import STRONG_HOST_PROCESSOR, WEAK_HOST_PROCESSOR

BUDGET_LIMITS = BudgetLimits(0.2, 440.0, 10_000.0)
CONNECTIONS = 122
REPORT_INTERVAL_MS = 500.0
SEND_FRACTION = 0.4
"""The part of a request's processor time that sending takes; its answer takes the rest."""
TRANSFER_MS = 4.0
"""Time to and from the caller, over a new connection."""
HOP_MS = 2.0
"""Time that a request that is handed over, or its answer, takes between the hosts."""
LATE_CREDIT = 0.1


class BusyHosts(ForwardModel):
    """Hosts that answer callers' gathers; which are active follows from the load that they report.

    Args:
        hosts: How many hosts there are.
        strong: How many of them have the processor time of a strong host.
        routes: The routes, all over the same shards.
        shards: How many shards there are, of two servers each.
    """

    def __init__(self, hosts, strong, routes, shards, seed):
        super().__init__(0, seed, BUDGET_LIMITS)
        self.send_cost = SEND_FRACTION * CPU_PER_REQUEST
        self.answer_cost = CPU_PER_REQUEST - self.send_cost
        self.routes = routes
        self.hosts = [
            HostRecord(
                f"host-{index:04}",
                f"zone-{index % 5}",
                f"host-{index:04}:1",
                True,
                STRONG_HOST_PROCESSOR if index < strong else WEAK_HOST_PROCESSOR,
            )
            for index in range(hosts)
        ]
        for name in shards:
            self.add_upstream(name, 0.0)
        self.tables = {}
        self._free_at = Counter()
        self._demand = HostDemand()
        self._leader = self._make_leader(shards)
        self.active = self._choose_active()
        self.asked_at = {}
        self.at(REPORT_INTERVAL_MS, self._report)

    def _make_leader(self, shards):
        state = NodeState(
            "host-0000",
            "zone-0",
            None,
            ConnectionPool(0, spares=False),
            BUDGET_LIMITS,
            POLICY,
            ManualClock(),
            Random(1),
        )
        state.routes = RouteTable(self.routes)
        state.table.set_max_connections(dict.fromkeys(shards, CONNECTIONS))
        return state

    def _choose_active(self):
        chosen = self._leader.choose(self.hosts, self._demand.processor_needed())
        return [self.hosts.index(host) for host in chosen]

    def _report(self):
        """Report the load of all hosts to the leader, which chooses the active hosts anew."""
        self._demand.count(sum(table.take_sends() for table in self.tables.values()), self.now)
        self.active = self._choose_active()
        self.at(self.now + REPORT_INTERVAL_MS, self._report)

    def _arrive(self, number, route, host, left):
        if host not in self.tables:
            self.tables[host] = self._make_table(host)
        super()._arrive(number, route, host, left)

    def _make_table(self, host):
        table = TargetTable(self.hosts[host].zone, BUDGET_LIMITS, POLICY, Random(host))
        table.set_host_share(1 / len(self.active), len(self.active))
        table.set_max_connections(
            dict.fromkeys((one.upstream for one in self.records), CONNECTIONS)
        )
        table.update(self.records, self.now)
        return table

    def _at_host(self, host, cost, action):
        begin = max(self.now, self._free_at[host])
        self._free_at[host] = end = begin + cost / self.hosts[host].processor
        self.at(end, action)

    def ask(self, route, at):
        """Schedule a caller's request at one of the hosts that are active then."""
        self.at(at, lambda: self._ask_now(route))

    def _ask_now(self, route):
        first = self.rng.choice(self.active)
        active = [self.hosts[index] for index in self.active]
        own = self.hosts[first]
        faster = faster_hosts(route, own.name, own.processor, active)
        hop = HOP_MS if faster else 0.0
        host = self.hosts.index(self.rng.choice(faster)) if faster else first
        number = self.request(route, self.now + hop, host)
        self.asked_at[number] = self.now - hop

    def credits(self, route, since):
        """Return what each request of a route earned, by the number of the request."""
        return {
            number: self._credit(number, at)
            for number, at in self.asked_at.items()
            if self.runs[number].route is route and at >= since
        }

    def _credit(self, number, at):
        outcome, ended = self.results.get(number, (None, 0.0))
        if not isinstance(outcome, Answered):
            return 0.0
        coverage = len(outcome.parts) / (len(outcome.parts) + outcome.missing)
        in_time = ended - at + TRANSFER_MS <= self.runs[number].route.target_latency
        return coverage**2 * (1.0 if in_time else LATE_CREDIT)


def traffic(model, shares, rate, seconds):
    """Schedule requests of routes at so many a second, divided by the routes' shares."""
    at = 0.0
    routes = list(shares)
    while at < seconds * SECOND:
        at += model.rng.expovariate(rate / SECOND)
        (route,) = model.rng.choices(routes, [shares[one] for one in routes])
        model.ask(route, at)
