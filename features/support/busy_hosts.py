"""A tier of strong and weak hosts whose processors take time for each request to a server."""

from __future__ import annotations

from collections import deque
from random import Random

from alderhatch.clock import SECOND, ManualClock
from alderhatch.core.forwarding.caller_hosts import HostRecord
from alderhatch.core.forwarding.gather_placement import faster_hosts
from alderhatch.core.forwarding.host_demand import CPU_PER_REQUEST, HostDemand
from alderhatch.core.forwarding.outcome import Answered
from alderhatch.core.forwarding.part_queue import PartQueue
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


class HostProcessor:
    """The one thread of a host, which does one thing after the other.

    Args:
        model: The model that it belongs to.
        speed: Processor time of the host, in seconds per second.
        parts: The queue that determines the order of the parts; None for the order of arrival.
    """

    def __init__(self, model, speed, parts):
        self.model = model
        self.speed = speed
        self.parts = parts
        self.gathers = {}
        """The gathers at this host, by the number of the request."""
        self._jobs = deque()
        self._is_busy = False

    def add(self, cost, action):
        self._jobs.append((cost, action))
        self._resume()

    def add_part(self, number, cost, action, is_send):
        if self.parts is None:
            self.add(cost, action)
            return
        add = self.parts.add_send if is_send else self.parts.add_answer
        add(self.gathers[number], (cost, action))
        self._resume()

    def _resume(self):
        if not self._is_busy:
            self._is_busy = True
            self._run_next()

    def _run_next(self):
        if not self._jobs and self.parts is not None:
            self._jobs.extend(self.parts.take(self.model.now))
        if not self._jobs:
            self._is_busy = False
            return
        cost, action = self._jobs.popleft()
        self.model.at(self.model.now + cost / self.speed, lambda: self._end(action))

    def _end(self, action):
        action()
        self._run_next()


class BusyHosts(ForwardModel):
    """Hosts that answer callers' gathers; which are active follows from the load that they report.

    Args:
        hosts: How many hosts there are.
        strong: How many of them have the processor time of a strong host.
        routes: The routes, all over the same shards.
        shards: The names of the shards.
        servers: How many servers each shard has.
        is_ordered: Whether the hosts order the parts of gathers that meet at them.
        processor: The processor time of a strong host, in seconds per second.
    """

    def __init__(
        self,
        hosts,
        strong,
        routes,
        shards,
        seed,
        servers=2,
        is_ordered=False,
        processor=STRONG_HOST_PROCESSOR,
    ):
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
                processor if index < strong else WEAK_HOST_PROCESSOR,
            )
            for index in range(hosts)
        ]
        for name in shards:
            self.add_upstream(name, 0.0, servers)
        self.tables = {}
        self.organisations = {}
        """The organisation of each request that has one, by the number of the request."""
        self._processors = [
            HostProcessor(
                self, one.processor, PartQueue(one.processor, self.rng) if is_ordered else None
            )
            for one in self.hosts
        ]
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
        self._processors[host].add(cost, action)

    def _send_at_host(self, number, host, action):
        self._processors[host].add_part(number, self.send_cost, action, is_send=True)

    def _answer_at_host(self, number, host, action):
        self._processors[host].add_part(number, self.answer_cost, action, is_send=False)

    def _on_started(self, number, host):
        processor = self._processors[host]
        if processor.parts is not None:
            run = self.runs[number]
            organisation = self.organisations.get(number)
            processor.gathers[number] = processor.parts.start(run, run.route.rank, organisation)

    def _on_ended(self, number, host):
        processor = self._processors[host]
        if processor.parts is not None:
            processor.parts.end(processor.gathers[number])

    def ask(self, route, at, organisation=None):
        """Schedule a caller's request at one of the hosts that are active then."""
        self.at(at, lambda: self._ask_now(route, organisation))

    def _ask_now(self, route, organisation):
        first = self.rng.choice(self.active)
        active = [self.hosts[index] for index in self.active]
        own = self.hosts[first]
        faster = faster_hosts(route, own.name, own.processor, active)
        hop = HOP_MS if faster else 0.0
        host = self.hosts.index(self.rng.choice(faster)) if faster else first
        number = self.request(route, self.now + hop, host)
        self.asked_at[number] = self.now - hop
        self.organisations[number] = organisation

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


def pauses(model, interval, length, until):
    """Let each server pause for a while at regular intervals."""
    for server in model.servers.values():
        at = model.rng.uniform(0.0, interval)
        while at < until:
            model.at(at, lambda server=server: _pause(server, model.now + length))
            at += interval


def _pause(server, until):
    server.paused_until = until


def traffic(model, shares, rate, seconds, organisations=(None,)):
    """Schedule requests of routes at so many a second, divided by the routes' shares.

    The organisations send equal numbers of requests.
    """
    at = 0.0
    routes = list(shares)
    while at < seconds * SECOND:
        at += model.rng.expovariate(rate / SECOND)
        (route,) = model.rng.choices(routes, [shares[one] for one in routes])
        model.ask(route, at, model.rng.choice(organisations))
