"""What leases, changes and claims cost the control host and each entry."""

from __future__ import annotations

import os
import resource
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import orjson
import trio

from alderhatch.clock import LoopClock
from alderhatch.core.control.entry_lease import EntryIdentity
from alderhatch.core.rule_list import rule_to_plain
from alderhatch.entry.control_client import ControlClient
from alderhatch.http.client import http_once
from alderhatch.settings.models import NamedEndpoint

from .capacity_control_host import KEY, LOOPBACK, NAME, SECRET
from .capacity_entry import make_rules
from .capacity_lease_clients import ClientCounts
from .capacity_state import OUTCOME, RULES
from .slope import Slope, fit_slope

ENTRY_COUNTS = (40, 100, 200)
CLIENTS_PER_PROCESS = 50
"""More of them keep one loop so busy that their leases run out."""
CLAIM_COUNTS = (500, 2000, 4000)
WINDOW_S = 5.0
SETTLE_S = 3.5
CHANGES = 8
CLAIMS_AT_ONCE = 50
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class LeasePoint(NamedTuple):
    """What was measured with one number of entries."""

    entries: int
    control_cpu: float
    """Of one core, at the control host, while only leases are renewed."""
    entry_cpu: float
    """Of one core, for one entry's lease."""
    entry_bytes: float
    """Payload bytes a second that one entry sends and receives for its lease."""
    control_memory: float
    """Resident bytes of the control host."""
    change_ms: float
    """From sending a change to its being in force everywhere, the slowest of several."""
    change_cpu_us: float
    """Processor time at the control host for each change."""
    change_bytes: float
    """Payload bytes that one entry sends and receives for each change."""


class ControlProcess:
    """The control host, as a process of its own."""

    def __init__(self) -> None:
        command = [sys.executable, "-m", "bench.capacity_control_host"]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert self._process.stdout is not None
        links, operators = self._process.stdout.readline().split()
        self.links = int(links)
        self.operators = int(operators)

    @property
    def cpu_s(self) -> float:
        """Processor time so far, in seconds."""
        fields = Path(f"/proc/{self._process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    @property
    def resident(self) -> float:
        """Resident memory in bytes."""
        pages = int(Path(f"/proc/{self._process.pid}/statm").read_text().split()[1])
        return float(pages * resource.getpagesize())

    def stop(self) -> None:
        """End the process."""
        self._process.terminate()
        self._process.wait()
        assert self._process.stdout is not None
        self._process.stdout.close()


@contextmanager
def _control_process() -> Iterator[ControlProcess]:
    control = ControlProcess()
    try:
        yield control
    finally:
        control.stop()


class ClientProcess:
    """Some entries' control clients, as a process of their own."""

    def __init__(self, first: int, count: int, port: int) -> None:
        words = [str(first), str(count), str(port)]
        command = [sys.executable, "-m", "bench.capacity_lease_clients", *words]
        pipe = subprocess.PIPE
        self._process = subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True)

    def wait_ready(self) -> None:
        """Wait until all of its leases are live."""
        assert self._process.stdout is not None
        if self._process.stdout.readline().strip() != "ready":
            raise RuntimeError("the leases of the benchmark did not come about")

    @property
    def counts(self) -> ClientCounts:
        """What its clients have used so far."""
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write("counts\n")
        self._process.stdin.flush()
        return ClientCounts(**orjson.loads(self._process.stdout.readline()))

    def stop(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.communicate()


@contextmanager
def _client_processes(count: int, port: int) -> Iterator[list[ClientProcess]]:
    started: list[ClientProcess] = []
    try:
        for first in range(0, count, CLIENTS_PER_PROCESS):
            number = min(CLIENTS_PER_PROCESS, count - first)
            started.append(ClientProcess(first, number, port))
        for process in started:
            process.wait_ready()
        yield started
    finally:
        for process in started:
            process.stop()


class _Reading(NamedTuple):
    """All counters at one moment."""

    at: float
    control_cpu: float
    client_cpu: float
    client_bytes: int


def _read(control: ControlProcess, clients: list[ClientProcess], entries: int) -> _Reading:
    counts = [process.counts for process in clients]
    live = sum(one.live for one in counts)
    if live != entries:
        # With leases lost, entries open links again and again; what is measured then is this
        # bench's own overload and not what a lease costs.
        raise RuntimeError(f"only {live} of {entries} leases are live; the run says nothing")
    cpu = sum(one.cpu_s for one in counts)
    moved = sum(one.payload_bytes for one in counts)
    return _Reading(time.monotonic(), control.cpu_s, cpu, moved)


def _measure(entries: int, control: ControlProcess, clients: list[ClientProcess]) -> LeasePoint:
    time.sleep(SETTLE_S)
    start = _read(control, clients, entries)
    time.sleep(WINDOW_S)
    idle = _read(control, clients, entries)
    window = idle.at - start.at
    control_cpu = (idle.control_cpu - start.control_cpu) / window
    rate = (idle.client_bytes - start.client_bytes) / window
    spans = [trio.run(_change, control, number) for number in range(CHANGES)]
    end = _read(control, clients, entries)
    window = end.at - idle.at
    change_cpu = (end.control_cpu - idle.control_cpu - control_cpu * window) / CHANGES
    change_bytes = (end.client_bytes - idle.client_bytes - rate * window) / CHANGES
    return LeasePoint(
        entries,
        control_cpu,
        (idle.client_cpu - start.client_cpu) / (idle.at - start.at) / entries,
        rate / entries,
        control.resident,
        max(spans),
        change_cpu * 1e6,
        change_bytes / entries,
    )


async def _put_rules(control: ControlProcess, revision: int) -> None:
    await _send(control, "PUT", "/v1/rules", {"rules": make_rules(RULES).to_plain()}, revision)


async def _change(control: ControlProcess, number: int) -> float:
    """Change one rule; return the milliseconds until it is in force everywhere."""
    rule = rule_to_plain(make_rules(RULES).rules[number])
    rule["when"] = {"kind": [f"changed-{number}"]}
    path = f"/v1/rules/rule-{number}?wait=in_force&timeout_ms=20000"
    clock = LoopClock()
    start = clock.now()
    answer = await _send(control, "PUT", path, {"rule": rule}, number + 1)
    if not answer["in_force"]:
        raise RuntimeError(f"a change was not in force everywhere: {answer}")
    return clock.now() - start


async def _send(
    control: ControlProcess, method: str, path: str, fields: dict[str, Any], revision: int
) -> dict[str, Any]:
    body = fields | {"change_id": f"bench-{revision}", "expected_revision": revision}
    headers = (("Authorization", f"Bearer {KEY}"),)
    reply = await http_once(
        LOOPBACK, control.operators, method, path, orjson.dumps(body), headers, 30_000.0
    )
    if reply.status != 200:
        raise RuntimeError(f"a change of the benchmark failed: {reply.body!r}")
    answer: dict[str, Any] = orjson.loads(reply.body)
    return answer


def lease_points() -> list[LeasePoint]:
    """Measure leases and changes with several numbers of entries."""
    points = []
    for entries in ENTRY_COUNTS:
        with _control_process() as control:
            trio.run(_put_rules, control, 0)
            with _client_processes(entries, control.links) as clients:
                points.append(_measure(entries, control, clients))
    return points


def lease_slopes(points: list[LeasePoint]) -> dict[str, Slope]:
    """Return the slopes by the number of entries."""
    fit = partial(_fit, points)
    return {
        "control_cpu": fit("leases at the control host", "of a core", "control_cpu"),
        "control_memory": fit("memory of the control host", "bytes", "control_memory"),
        "change_ms": fit("a change until it is in force", "ms", "change_ms"),
        "change_cpu_us": fit("a change at the control host", "us", "change_cpu_us"),
        "entry_cpu": fit("a lease at its entry", "of a core", "entry_cpu"),
        "entry_bytes": fit("a lease at its entry", "bytes/s", "entry_bytes"),
        "change_bytes": fit("a change at an entry", "bytes", "change_bytes"),
    }


def _fit(points: list[LeasePoint], name: str, unit: str, field: str) -> Slope:
    sizes = [float(point.entries) for point in points]
    values = [float(getattr(point, field)) for point in points]
    return fit_slope(name, unit, "entry", sizes, values)


async def _claims(count: int, control: ControlProcess) -> float:
    """Return the processor time at the control host for claims and their outcomes."""
    me = EntryIdentity("entry-1", "start-1", "waco-hall", LOOPBACK, 7400)
    where = NamedEndpoint(name=NAME, address=LOOPBACK, port=control.links)
    client = ControlClient(me, [where], SECRET)
    limiter = trio.CapacityLimiter(CLAIMS_AT_ONCE)

    async def one(number: int) -> None:
        async with limiter:
            await client.claim("robot", f"request-{number}", "fingerprint")
            client.record_outcome("robot", f"request-{number}", OUTCOME)

    async with trio.open_nursery() as nursery:
        await nursery.start(client.run)
        while not client.may_serve():
            await client.changed.wait()
        before = control.cpu_s
        async with trio.open_nursery() as claims:
            for number in range(count):
                claims.start_soon(one, number)
        await trio.sleep(1.0)
        spent = control.cpu_s - before
        nursery.cancel_scope.cancel()
    return spent * 1e6


def claim_cost() -> Slope:
    """Return the processor time at the control host by the claims with their outcomes."""
    values = []
    for count in CLAIM_COUNTS:
        with _control_process() as control:
            values.append(trio.run(_claims, count, control))
    return fit_slope("claims and outcomes at the leader", "us", "claim", CLAIM_COUNTS, values)
