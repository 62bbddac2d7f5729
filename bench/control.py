"""Measures control: changes, claims, leases, and a lost leader, on real processes on loopback.

Run it by ``make bench-control``; it takes under five minutes. The last lines are one a goal.
"""

from __future__ import annotations

import argparse
import logging
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import trio

from alderhatch.log import set_up_logs

from .control_cluster import (
    ControlCluster,
    LeaseClients,
    control_cluster,
    cpu_seconds,
    own_rss,
)
from .letter_size import BYTES_LIMIT, CPU_LIMIT, HOSTS, IN_FORCE_LIMIT_MS, MEMORY_LIMIT
from .slope import fit_slope

CONTROL_HOSTS = 5
ENTRIES = 12
CHANGES = 150
CUT_OFF_TRIALS = 4
KILL_TRIALS = 5
CLAIM_SECONDS = 5.0
CLAIMS_AT_ONCE = 12
LEASE_SECONDS = 8.0
LEASE_SIZES = (12, 100, 250, 410)
IN_FORCE_GOAL_MS = 2000.0
NEW_LEADER_GOAL_MS = 2000.0
HEADER_BYTES = 58
"""IPv4 and TCP headers with time stamps (52), and up to 6 bytes of a masked websocket frame."""
PACKETS_PER_RENEWAL = 4
"""The renewal, its answer, and an acknowledgement for each at most."""


class Goal(NamedTuple):
    """A figure with its limit."""

    name: str
    value: float
    limit: float
    unit: str


class LeaseCost(NamedTuple):
    """What leases cost at one number of entries."""

    entries: int
    node_cpu: float
    """Of a core, for one entry's client."""
    node_bytes: float
    """Payload bytes a second of one entry's client, both ways."""
    leader_cpu: float
    follower_cpu: float
    """Of a core, for the busiest follower."""
    control_rss: int
    """Bytes, of the largest control host."""
    client_rss: int
    """Bytes, of the process with all the clients."""


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which a fraction of the values lies, the larger neighbour's."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def show(name: str, spans: Sequence[float]) -> None:
    """Print the percentiles of spans in milliseconds."""
    p50, p99 = percentile(spans, 0.5), percentile(spans, 0.99)
    print(f"  {name}: p50 {p50:.1f} ms, p99 {p99:.1f} ms, {len(spans)} times", flush=True)


class ChangeMaker:
    """Sends changes of the settings one after the other."""

    def __init__(self, cluster: ControlCluster) -> None:
        self._cluster = cluster
        self._count = 0
        self.revision = 0

    async def make(self, leader: str, wait: bool) -> float:
        """Make one change and return how long it took, in milliseconds."""
        self._count += 1
        settings = {"hedge_budget": (self._count % 900 + 1) / 1000}
        body = {"change_id": f"bench-{self._count}", "expected_revision": self.revision}
        path = "/v1/settings" + ("?wait=in_force&timeout_ms=20000" if wait else "")
        start = time.perf_counter()
        reply = await self._cluster.call(leader, "PUT", path, body | {"settings": settings})
        span = (time.perf_counter() - start) * 1000
        if reply.status != 200 or (wait and not reply.body["in_force"]):
            raise RuntimeError(f"a change failed: {reply}")
        self.revision = reply.body["revision"]
        return span


async def measure_changes(
    cluster: ControlCluster, maker: ChangeMaker
) -> tuple[list[float], list[float]]:
    """Return the times to accepted and to in force."""
    leader = await cluster.leader()
    start = time.perf_counter()
    accepted = [await maker.make(leader, wait=False) for _ in range(CHANGES)]
    rate = CHANGES / (time.perf_counter() - start)
    in_force = [await maker.make(leader, wait=True) for _ in range(CHANGES)]
    print(f"  {rate:.0f} changes a second, one after the other", flush=True)
    show("accepted", accepted)
    show("in force", in_force)
    return accepted, in_force


async def measure_cut_off(
    cluster: ControlCluster, maker: ChangeMaker, entries: LeaseClients
) -> list[float]:
    """Return the times to in force right after two entries were cut off."""
    spans = []
    for _ in range(CUT_OFF_TRIALS):
        leader = await cluster.leader()
        for _ in range(2):
            entries.cut_off(0)
        spans.append(await maker.make(leader, wait=True))
    show("in force with two entries cut off", spans)
    return spans


async def measure_claims(entries: LeaseClients, workers: int) -> list[float]:
    """Return the times of claims, with so many at once on each entry."""
    spans: list[float] = []
    end = time.perf_counter() + CLAIM_SECONDS

    async def claim(entry: int, worker: int) -> None:
        client = entries.clients[entry]
        number = 0
        while time.perf_counter() < end:
            number += 1
            request_id = f"{workers}-{entry}-{worker}-{number}"
            start = time.perf_counter()
            answer = await client.claim("bench", request_id, "body", timeout=20_000)
            spans.append((time.perf_counter() - start) * 1000)
            if answer.status != "granted":
                raise RuntimeError(f"a claim was not granted: {answer}")
            client.record_outcome("bench", request_id, b"done")

    async with trio.open_nursery() as nursery:
        for entry in range(len(entries.clients)):
            for worker in range(workers):
                nursery.start_soon(claim, entry, worker)
    rate = len(spans) / CLAIM_SECONDS
    print(f"  {rate:.0f} claims a second with {workers} at once on each entry", flush=True)
    show("claim granted", spans)
    return spans


async def measure_leases(cluster: ControlCluster, entries: LeaseClients, count: int) -> LeaseCost:
    """Return what leases cost with so many entries while nothing changes."""
    await entries.grow_to(count)
    await trio.sleep(3)
    leader = await cluster.leader()
    clients = entries.clients
    usage = {name: cluster.usage(name) for name in cluster.processes}
    traffic = sum(sum(client.traffic) for client in clients)
    cpu, start = cpu_seconds(), time.perf_counter()
    await trio.sleep(LEASE_SECONDS)
    span = time.perf_counter() - start
    node_cpu = (cpu_seconds() - cpu) / span / count
    node_bytes = (sum(sum(client.traffic) for client in clients) - traffic) / span / count
    if not all(client.may_serve() for client in clients):
        raise RuntimeError("an entry has lost its lease")
    now = {name: cluster.usage(name) for name in cluster.processes}
    cores = {name: (now[name].cpu_s - usage[name].cpu_s) / span for name in usage}
    cost = LeaseCost(
        count,
        node_cpu,
        node_bytes,
        cores[leader],
        max(cpu for name, cpu in cores.items() if name != leader),
        max(one.rss_bytes for one in now.values()),
        own_rss(),
    )
    print(
        f"  {count} entries: {100 * node_cpu:.3f} % of a core and {node_bytes:.0f} B/s a node; "
        f"leader {100 * cost.leader_cpu:.1f} %, busiest follower {100 * cost.follower_cpu:.1f} % "
        f"of a core, largest control host {cost.control_rss / 1e6:.0f} MB",
        flush=True,
    )
    return cost


async def measure_kills(cluster: ControlCluster) -> list[float]:
    """Return the times from the kill of a leader until another grants leases."""
    spans = []
    for _ in range(KILL_TRIALS):
        old = await cluster.leader()
        start = time.perf_counter()
        cluster.kill(old)
        await cluster.leader()
        spans.append((time.perf_counter() - start) * 1000)
        cluster.start(old)
        await _wait_for_member(cluster, old)
    show("new leader after a kill", spans)
    return spans


async def _wait_for_member(cluster: ControlCluster, name: str) -> None:
    with trio.fail_after(30):
        while True:
            reply = await cluster.call(name, "GET", "/v1/status")
            if reply.status == 200 and reply.body["leader"]:
                return
            await trio.sleep(0.05)


def print_slopes(costs: Sequence[LeaseCost]) -> None:
    """Print what one more entry costs, from all the measured sizes."""
    sizes = [float(cost.entries) for cost in costs]
    wanted: list[tuple[str, str, Callable[[LeaseCost], float]]] = [
        ("leader processor time", "% of a core", lambda cost: 100 * cost.leader_cpu),
        ("follower processor time", "% of a core", lambda cost: 100 * cost.follower_cpu),
        ("control host memory", "kB", lambda cost: cost.control_rss / 1000),
        ("clients' memory", "kB", lambda cost: cost.client_rss / 1000),
    ]
    for name, unit, value in wanted:
        line = fit_slope(name, unit, "entry", sizes, [value(cost) for cost in costs])
        print(f"  slope {name}: {line.slope:.4f} {unit} an entry, fit {line.fit:.2f}")


def print_goals(goals: Sequence[Goal]) -> None:
    """Print one line a goal."""
    for goal in goals:
        verdict = "met" if goal.value <= goal.limit else "missed"
        print(f"goal {goal.name} {goal.value:.2f}{goal.unit} {goal.limit:.2f}{goal.unit} {verdict}")


async def run(sizes: Sequence[int]) -> list[Goal]:
    """Run all parts and return the goals with what was measured."""
    async with control_cluster(CONTROL_HOSTS) as cluster, trio.open_nursery() as nursery:
        entries = LeaseClients(cluster, nursery)
        print(f"{CONTROL_HOSTS} control hosts, {ENTRIES} entries", flush=True)
        await entries.grow_to(ENTRIES)
        maker = ChangeMaker(cluster)
        _, in_force = await measure_changes(cluster, maker)
        await measure_claims(entries, 1)
        await measure_claims(entries, CLAIMS_AT_ONCE)
        kills = await measure_kills(cluster)
        cut_off = await measure_cut_off(cluster, maker, entries)
        nursery.cancel_scope.cancel()
    costs = []
    async with control_cluster(CONTROL_HOSTS) as cluster, trio.open_nursery() as nursery:
        entries = LeaseClients(cluster, nursery)
        print("leases while nothing changes", flush=True)
        for count in sizes:
            costs.append(await measure_leases(cluster, entries, count))
        nursery.cancel_scope.cancel()
    if len(costs) > 2:
        print_slopes(costs)
    last = costs[-1]
    wire = last.node_bytes + HEADER_BYTES * PACKETS_PER_RENEWAL
    return [
        Goal("in_force_p99", percentile(in_force, 0.99), IN_FORCE_GOAL_MS, "ms"),
        Goal("in_force_cut_off_max", max(cut_off), IN_FORCE_LIMIT_MS, "ms"),
        Goal("new_leader_max", max(kills), NEW_LEADER_GOAL_MS, "ms"),
        Goal(f"node_cpu_at_{last.entries}", 100 * last.node_cpu, 100 * CPU_LIMIT, "%"),
        Goal(f"node_bytes_per_s_at_{last.entries}", wire, BYTES_LIMIT, "B"),
        Goal(f"control_host_memory_at_{last.entries}", last.control_rss / 1e6, _MEMORY_MB, "MB"),
    ]


_MEMORY_MB = MEMORY_LIMIT / 1e6


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default=",".join(str(size) for size in LEASE_SIZES))
    sizes = [int(size) for size in parser.parse_args().sizes.split(",")]
    if max(sizes) > HOSTS:
        parser.error(f"at most {HOSTS} entries")
    set_up_logs("bench-control", logging.CRITICAL)
    start = time.perf_counter()
    goals = trio.run(run, sizes)
    print(f"took {time.perf_counter() - start:.0f} s")
    print_goals(goals)


if __name__ == "__main__":
    main()
