"""Model of servers on a virtual clock that forwarded requests run against, without sockets."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

from alderhatch.core.entry_events import AttemptFault, LoadReport
from alderhatch.core.forwarding.effects import Cancel, Finish, Send
from alderhatch.core.forwarding.forward_run import ForwardRun
from alderhatch.core.forwarding.retry_budget import BudgetLimits
from alderhatch.core.forwarding.route import AllShards, OneUpstream, Route
from alderhatch.core.forwarding.run_limits import RunTimes
from alderhatch.core.forwarding.server_record import ServerRecord
from alderhatch.core.forwarding.target_table import TargetTable
from alderhatch.node.forward_runner import CANCEL_GRACE_PERIOD
from alderhatch.platform.settings import POLICY

BUDGET_LIMITS = BudgetLimits(0.2, 62.0, 10_000.0)
NETWORK_DELAY_MS = 0.5


def scatter_route(shards, **changes):
    route = Route(
        "robot-paths",
        "fleet.example",
        "/paths/",
        True,
        AllShards(tuple(shards), 10, 0.89),
        2,
        2000.0,
        145.0,
        1,
    )
    return route._replace(**changes)


def single_route(upstream, **changes):
    route = Route(
        "orders", "fleet.example", "/orders/", True, OneUpstream(upstream), 2, 8000.0, 555.0, 2
    )
    return route._replace(**changes)


class ModelServer:
    """A server with slots and a queue; ``mode`` determines how it handles requests."""

    def __init__(self, server_id, work, rng, slots=2, queue=12):
        self.server_id = server_id
        self.work = work
        self.rng = rng
        self.slots = slots
        self.queue = queue
        self.mode = "healthy"
        self.spread = 0.35
        self.slowdown = 1.0
        self.shed_share = 0.0
        self.paused_until = 0.0
        self.free_at = [0.0] * slots
        self.starts = []
        self.arrivals = 0
        self.runs = 0

    def accept(self, now):
        """Return when the answer leaves and its fault or None; return None for no answer."""
        self.arrivals += 1
        if self.mode == "silent":
            return None
        if self.mode == "lost":
            self.runs += 1
            return now + 1.0, AttemptFault.LOST
        waiting = sum(1 for at in self.starts if at > now)
        if waiting >= self.queue or self.rng.random() < self.shed_share:
            return now + 0.2, AttemptFault.SHED
        if self.mode == "failing":
            self.runs += 1
            return now + 1.0, AttemptFault.FAILED
        self.runs += 1
        begin = max(now, self.paused_until, self.free_at[0])
        end = begin + self.slowdown * self.work * self.rng.lognormvariate(
            -self.spread**2 / 2, self.spread
        )
        heapq.heapreplace(self.free_at, end)
        self.starts = [at for at in self.starts if at > now] + [begin]
        return end, None

    def load(self, now):
        running = sum(1 for at in self.free_at if at > now)
        return LoadReport(running, sum(1 for at in self.starts if at > now))


class ForwardModel:
    """Hosts that forward requests to the same servers; each has its own table."""

    def __init__(self, hosts=1, seed=1, budget_limits=BUDGET_LIMITS):
        self.rng = Random(seed)
        self.now = 0.0
        self.servers = {}
        self.records = []
        self.tables = [
            TargetTable(f"zone-{index % 3}", budget_limits, POLICY, Random(seed + index))
            for index in range(hosts)
        ]
        for table in self.tables:
            table.set_host_share(1 / hosts, hosts)
        self.sends = 0
        self.needless_crossings = 0
        """Requests to another zone although a server of the host's own zone has the shard."""
        self.send_cost = 0.0
        """Processor time of a host for each request to a server, in ms of a whole core."""
        self.answer_cost = 0.0
        """The same for each answer."""
        self.work_by_route = {}
        """The mean time that a server takes for a request, where it differs by route."""
        self.results = {}
        self.runs = {}
        self._open = {}
        self._events = []
        self._order = count()
        self._numbers = count(1)

    def add_upstream(self, name, work, servers=2, slots=2):
        for index in range(servers):
            server_id = f"{name}-{index}"
            self.servers[server_id] = ModelServer(server_id, work, self.rng, slots)
            self.records.append(
                ServerRecord(server_id, name, "127.0.0.1", 80, f"zone-{index}", slots, False)
            )
        for table in self.tables:
            table.set_max_connections({name: 28 * len(self.tables)})
            table.update(self.records, self.now)

    def at(self, when, action):
        heapq.heappush(self._events, (when, next(self._order), action))

    def request(self, route, when=None, host=0, left=None):
        """Schedule the arrival of a caller's request; return its number."""
        number = next(self._numbers)
        self.at(
            self.now if when is None else when,
            lambda: self._at_host(host, 0.0, lambda: self._arrive(number, route, host, left)),
        )
        return number

    def _at_host(self, host, cost, action):
        """Run an action of a host that takes so much processor time; here it takes none."""
        action()

    def _send_at_host(self, number, host, action):
        """Run an action of a host that sends a part of a request."""
        self._at_host(host, self.send_cost, action)

    def _answer_at_host(self, number, host, action):
        """Run an action of a host that handles the answer to a part of a request."""
        self._at_host(host, self.answer_cost, action)

    def _on_started(self, number, host):
        """Handle a request that is about to run."""

    def _on_ended(self, number, host):
        """Handle a request that has its outcome."""

    def _arrive(self, number, route, host, left):
        now = self.now
        deadline = now + min(route.timeout, left or route.timeout)
        times = RunTimes(now, now + route.target_latency - 10.0, deadline)
        match route.destination:
            case AllShards(shards):
                upstreams = shards
            case OneUpstream(upstream):
                upstreams = (upstream,)
        run = ForwardRun(route, upstreams, times, self.tables[host])
        self.runs[number] = run
        self._on_started(number, host)
        self._carry_out(number, host, run.start(now))
        self._plan(number, host)

    def _plan(self, number, host):
        run = self.runs[number]
        if not run.finished:
            due = max(run.next_wake, self.now + 0.01)
            self.at(due, lambda: self._at_host(host, 0.0, lambda: self._wake(number, host)))

    def _wake(self, number, host):
        run = self.runs[number]
        if run.finished or self.now < run.next_wake:
            return
        self._carry_out(number, host, run.on_timer(self.now))
        self._plan(number, host)

    def _carry_out(self, number, host, effects):
        for effect in effects:
            match effect:
                case Send():
                    self._send(number, host, effect)
                case Cancel(attempt):
                    self.at(self.now + CANCEL_GRACE_PERIOD, lambda a=attempt: self._cancel(host, a))
                case Finish(outcome):
                    self.results[number] = (outcome, self.now)
                    self._on_ended(number, host)

    def _send(self, number, host, send):
        server = self.servers[send.target.server_id]
        self._count_crossing(host, send)
        self._open[send.attempt] = send
        self._send_at_host(number, host, lambda: self._transmit(number, host, send, server))

    def _transmit(self, number, host, send, server):
        server.work = self.work_by_route.get(self.runs[number].route.name, server.work)
        taken = server.accept(self.now + NETWORK_DELAY_MS)
        if taken is not None:
            end, fault = taken
            self.at(
                end + NETWORK_DELAY_MS,
                lambda: self._answer_at_host(
                    number, host, lambda: self._end(number, host, send, server, fault)
                ),
            )

    def _count_crossing(self, host, send):
        self.sends += 1
        own = f"zone-{host % 3}"
        near = [one for one in self.records if (one.upstream, one.zone) == (send.upstream, own)]
        if near and send.target.zone != own:
            self.needless_crossings += 1

    def _cancel(self, host, attempt):
        send = self._open.pop(attempt, None)
        if send is None:
            return
        table = self.tables[host]
        sent_at = table.record_end(send.target, attempt)
        if sent_at is not None:
            table.record_abandoned(send.target, sent_at, self.now)

    def _end(self, number, host, send, server, fault):
        if self._open.pop(send.attempt, None) is None:
            return
        table = self.tables[host]
        run = self.runs[number]
        sent_at = table.record_end(send.target, send.attempt)
        if fault is None:
            table.record_answer(send.target, self.now - sent_at, server.load(self.now), self.now)
            effects = run.on_answer(send.attempt, send.upstream, self.now)
        else:
            table.record_failure(send.target, fault, None, self.now)
            effects = run.on_fault(send.attempt, fault, None, self.now)
        self._carry_out(number, host, effects)
        self._plan(number, host)

    def run_until(self, when):
        while self._events and self._events[0][0] <= when:
            at, _, action = heapq.heappop(self._events)
            self.now = max(self.now, at)
            action()
        self.now = when

    def extra(self, upstream, requests):
        """Return how many arrivals an upstream had beyond the first of each request."""
        arrivals = sum(
            one.arrivals for name, one in self.servers.items() if _upstream_of(name) == upstream
        )
        return arrivals - requests


def _upstream_of(server_id):
    return server_id.rpartition("-")[0]
