"""A seeded soak test of planned stops: in series and overlapping, beside changes and SIGHUP."""

from __future__ import annotations

import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from functools import partial
from random import Random

import orjson

from features.support.planned_stops import Callers, PlannedStops, StopPlan
from features.support.platform_soak import NOT_RUN_STATUSES, takes_signal
from features.support.platform_tier import ZONES
from features.support.tier import until

KILL_MARGIN_S = 0.05
"""A process that has ended by itself so shortly before the kill is not told from a killed one."""
CONFIG_APPLY_S = 2.0
"""How long after a SIGHUP requests still belong to it."""
MAX_OTHER_CUTS = 3
"""Requests that may be cut with nothing planned at their host."""
MAX_CALM_S = 1.2
MIN_STOPS = 3
"""On a busy machine a change may take all the time, and a run without stops shows nothing."""
ROUTES = {
    "/reads/": "reads",
    "/orders/": "reads",
    "/large/": "large",
    "/moved/": "reads",
    "/dropped/": "reads",
}
"""Prefixes of the routes to single servers, and the services that they have at first."""
CALLER_KINDS = (
    Callers(2, "/paths/"),
    Callers(2, "/large/", read_rate=750_000),
    Callers(1, "/large/", read_rate=2_400_000),
    Callers(2, "/reads/", pipelined=3),
    Callers(1, "/orders/", pipelined=2),
    Callers(3, "/large/", read_rate=0),
)
HALF_CLOSING = Callers(1, "/reads/", half_closes=True)


class _ServiceTimes:
    """Draws short times, and a few that are longer than any seen before."""

    def __init__(self, rng, grace_s):
        self._short = rng.choice((0.01, 0.05, 0.12))
        self._slow_fraction = rng.choice((0.0, 0.01, 0.03))
        self._longest = grace_s * rng.choice((0.4, 0.8, 1.1))

    def __call__(self, rng):
        if rng.random() < self._slow_fraction:
            return rng.uniform(0.5, self._longest)
        return rng.uniform(0.5, 1.5) * self._short


def draw_plan(seed):
    """Return the plan of a seed: who calls, how long servers work and how hosts are stopped."""
    rng = Random(f"{seed} stops")
    grace_s = rng.choice((3.0, 6.0))
    callers = [
        Callers(2, "/reads/"),
        Callers(1, "/orders/"),
        Callers(1, "/moved/"),
        Callers(1, "/dropped/"),
        *rng.sample(CALLER_KINDS, 2),
    ]
    if rng.random() < 0.3:
        callers.append(HALF_CLOSING)
    return StopPlan(
        grace_s=grace_s,
        restart_after_s=rng.choice((0.0, 0.5)),
        callers=tuple(callers),
        service_time=_ServiceTimes(rng, grace_s),
        body_bytes=rng.choice((200_000, 3_000_000)),
        shards=4,
    )


class StopSoak(PlannedStops):
    """Runs one seed; ``findings`` lists the violated guarantees.

    Args:
        context: Has ``add_cleanup``.
        seed: Decides callers, servers, stops and changes.
        seconds: How long stops go on.
        busy: How many processes keep a core busy meanwhile.
        sources: A folder with the package that the hosts run; None for that of the tests.
    """

    def __init__(self, context, seed, seconds, busy=0, sources=None):
        super().__init__(context, draw_plan(seed), seed, sources)
        self.seed = seed
        self.seconds = seconds
        self.findings = []
        self.counts = Counter()
        self._add_servers("large", 4)
        self._add_servers("other", 4)
        self._context = context
        self._busy = busy
        self._hups = []
        """Host and time of each SIGHUP."""
        self._stopping = set()
        """Hosts that are told to stop, until they are ready again."""
        self._threads = []
        self._lock = threading.Lock()
        self._moves = 0
        self._actions = (
            self._stop_one,
            self._stop_one,
            self._stop_one,
            self._stop_leader,
            self._stop_zone,
            self._reload,
            self._change,
        )

    def _answer_bytes(self, upstream):
        return self.plan.body_bytes if upstream == "large" else 0

    def configuration(self):
        """Return the next version, in which one route has moved and another is there or not."""
        cfg = orjson.loads(super().configuration())
        gathers = [route for route in cfg["routes"] if "gather" in route]
        pattern = next(route for route in cfg["routes"] if "service" in route)
        services = dict(ROUTES)
        services["/moved/"] = ("reads", "other")[self._moves % 2]
        if self._moves % 3 == 2:
            del services["/dropped/"]
        cfg["routes"] = gathers + [
            pattern
            | {
                "name": prefix.strip("/"),
                "path-prefix": prefix,
                "service": service,
                "route-type": "unsafe" if prefix == "/orders/" else "safe",
            }
            for prefix, service in services.items()
        ]
        cfg["services"] += [{"name": name, "max-connections": 60} for name in ("large", "other")]
        self._moves += 1
        return orjson.dumps(cfg)

    def run(self):
        """Stop hosts under traffic for the given time, and check what became of all requests."""
        self._start_busy_processes()
        self._start_hosts()
        rng = Random(f"{self.seed} actions")
        end = time.monotonic() + self.seconds
        while time.monotonic() < end or len(self._threads) < MIN_STOPS:
            action = rng.choice(self._actions)
            self.counts[action.__name__.strip("_")] += 1
            action(rng)
            time.sleep(rng.random() * MAX_CALM_S)
        for thread in self._threads:
            thread.join()
        self._end_traffic()
        self._check()

    def _start_busy_processes(self):
        for _ in range(self._busy):
            process = subprocess.Popen([sys.executable, "-c", "while True: pass"])
            self._context.add_cleanup(process.wait)
            self._context.add_cleanup(process.kill)

    # What happens

    def _stop_one(self, rng):
        self._stop_in_thread(rng.randrange(len(self.tier.addresses)))

    def _stop_leader(self, rng):
        leader = self.tier.leader()
        if leader is not None:
            self._stop_in_thread(leader)

    def _stop_zone(self, rng):
        zone = rng.randrange(len(ZONES))
        for host in range(zone, len(self.tier.addresses), len(ZONES)):
            self._stop_in_thread(host)

    def _stop_in_thread(self, host):
        with self._lock:
            # Most of the log's members keep running, so that the changes beside are accepted.
            disks = [one for one in self._stopping if one < self.plan.disks]
            if host in self._stopping or (host < self.plan.disks and len(disks) > 1):
                return
            self._stopping.add(host)
        thread = threading.Thread(target=self._end_and_wait, args=(host,))
        self._threads.append(thread)
        thread.start()

    def _end_and_wait(self, host):
        try:
            self._end(host)
            until(partial(self.tier.is_ready, host), f"node {host} is ready")
        except AssertionError as exc:
            self.findings.append(f"stop of node {host}: {exc}")
        finally:
            self._stopping.discard(host)

    def _reload(self, rng):
        host = rng.randrange(len(self.tier.addresses))
        process = self.tier.processes[host]
        if process.poll() is None and takes_signal(process.pid, signal.SIGHUP):
            self._hups.append((host, time.monotonic()))
            process.send_signal(signal.SIGHUP)

    def _change(self, rng):
        self.tier.put(self.configuration())

    # What has to hold

    def _check(self):
        for stop in self.stops:
            took = stop.ended_at - stop.at
            if stop.exit_code != 0:
                self._report(f"node {stop.host} ended with {stop.exit_code} after {took:.2f} s")
        lost = self.lost()
        for one in lost:
            self._report(f"lost at a stop: {self.describe(one)}")
        for one in self.late_closes():
            self._report(f"closed late, not run: {one.request_id}")
        self._check_others({one.request_id for one in lost})
        for one in self.exchanges:
            if one.is_whole:
                self._check_answer(one)
        self._check_orders()
        self.counts["stops"] = len(self.stops)

    def _check_others(self, lost_ids):
        """Check the requests that ran and were cut while their host was not told to stop."""
        others = [
            one
            for one in self.exchanges
            if self.is_cut(one)
            and one.request_id not in lost_ids
            and self.stop_of(one) is None
            and self.work_on(one.request_id)
        ]
        for one in others:
            if self._is_reloading(one):
                self._report(f"cut after SIGHUP: {one.request_id} at node {one.host}")
        if len(others) > MAX_OTHER_CUTS:
            names = [f"{one.request_id} at node {one.host}" for one in others[:MAX_OTHER_CUTS]]
            self._report(f"{len(others)} cut with no stop of their host: {names}")

    def _is_reloading(self, one):
        return any(
            host == one.host and one.sent_at <= at + CONFIG_APPLY_S and one.ended_at >= at
            for host, at in self._hups
        )

    def _check_answer(self, one):
        self.counts[one.status] += 1
        if one.status in NOT_RUN_STATUSES and self.work_on(one.request_id):
            self._report(f"refused with {one.status}, but ran: {one.request_id}")
        is_single = one.path != "/paths/"
        if one.status == 200 and is_single and not one.seal.endswith(f".{one.request_id}"):
            self._report(f"answer to another request: {one.request_id} got {one.seal}")
        if one.status == 404 and one.path != "/dropped/":
            self._report(f"denied: {one.request_id} on {one.path}")

    def _check_orders(self):
        runs = Counter(
            request_id for server in self.tier.servers.values() for request_id in server.runs
        )
        twice = {
            one.request_id
            for one in self.exchanges
            if one.path == "/orders/" and runs[one.request_id] > 1
        }
        if twice:
            self._report(f"orders that ran twice: {sorted(twice)}")

    def _report(self, finding):
        self.findings.append(finding)
