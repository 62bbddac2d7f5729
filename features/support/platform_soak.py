"""A seeded soak: real nodes under signals and a harmful network, with the promises checked."""

from __future__ import annotations

import shutil
import signal
import threading
import time
from collections import Counter
from contextlib import ExitStack
from functools import partial
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from random import Random
from types import SimpleNamespace

import orjson

from features.support.loopback_proxy import LoopbackProxy
from features.support.platform_tier import HOST, RECORD, PlatformTier
from features.support.tier import until

SHARDS = ["shard-a", "shard-b", "shard-c", "shard-d"]
TOP_K = 4
NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that nothing ran and nothing will."""
CALLERS = 4
READ_LAG_S = 3.0
"""How long after an acknowledgement a read may still show an older configuration."""
GRACE_S = 3.0
MODES = ("delay", "silent", "one_way", "reset")


class Caller(threading.Thread):
    """Asks again and again, on a connection that it keeps until it breaks."""

    def __init__(self, soak, number):
        super().__init__()
        self._soak = soak
        self._rng = Random(f"{soak.seed} caller {number}")
        self._number = number

    def run(self):
        asked = 0
        while not self._soak.over:
            index = self._rng.choice(self._soak.all_hosts)
            conn = HTTPConnection(self._soak.tier.addresses[index], self._soak.tier.ports[0])
            conn.timeout = 10.0
            for _ in range(self._rng.randrange(1, 30)):
                asked += 1
                if self._soak.over or not self._ask(conn, index, f"c{self._number}-{asked:08}"):
                    break
                time.sleep(self._rng.random() * 0.04)
            conn.close()
            time.sleep(0.02)

    def _ask(self, conn, index, request_id):
        is_order = self._rng.random() < 0.4
        method, path, body = ("POST", "/orders/1", b"x") if is_order else ("GET", "/paths/1", None)
        headers = {"Host": HOST, "Attempt-Id": request_id, "Time-Budget-Ms": "4000"}
        began = time.monotonic()
        answer = None
        try:
            conn.request(method, path, body, headers)
            answer = conn.getresponse()
            data = answer.read()
        except (OSError, HTTPException):
            self._soak.cut(index, request_id, began, time.monotonic())
            return False
        self._soak.answered(request_id, is_order, answer, data)
        return not answer.will_close


class PlatformSoak:
    """Runs one seed; ``findings`` holds what broke a promise."""

    def __init__(self, context, seed, seconds):
        self.seed = seed
        self.seconds = seconds
        self.findings = []
        self.counts = Counter()
        self.over = False
        self._rng = Random(seed)
        self._troubled = []
        """Host, beginning and end of each spell in which its connections may break."""
        self.tier = tier = PlatformTier(context)
        for name in SHARDS:
            tier.add_servers(name)
        tier.add_servers("kitchen", 3)
        for server in tier.servers.values():
            server.proxy = LoopbackProxy(server.address, server.port)
            tier.loop.call(partial(tier.loop.nursery.start, server.proxy.serve))
        self.all_hosts = list(range(len(tier.addresses)))
        self._sent = {}
        """Documents by their numbers."""
        self._acknowledged = [(0.0, 0)]
        """When each number was acknowledged."""

    def run(self):
        tier = self.tier
        tier.start()
        self._change()
        tier.first_start = False
        self._wait_until_well()
        callers = [Caller(self, number) for number in range(CALLERS)]
        helpers = [threading.Thread(target=self._operate)]
        for thread in [*callers, *helpers]:
            thread.start()
        try:
            end = time.monotonic() + self.seconds
            while time.monotonic() < end:
                self._one_fault()
        finally:
            self.over = True
            for thread in [*callers, *helpers]:
                thread.join()
        self._check_end()

    # Faults

    def _one_fault(self):
        rng = self._rng
        fault = rng.choice(
            (self._kill, self._kill, self._pause, self._stop, self._hang_up, self._harm, self._harm)
        )
        self.counts[fault.__name__.strip("_")] += 1
        fault()
        time.sleep(rng.random() * 0.8)

    def _kill(self):
        # Series and overlaps: one host, or all of them at once.
        count = self._rng.choice((1, 1, 2, len(self.all_hosts)))
        hosts = self._rng.sample(self.all_hosts, count)
        began = time.monotonic()
        self.tier.kill(*hosts)
        time.sleep(self._rng.random() * 1.2)
        self.tier.start(*hosts)
        self._trouble(hosts, began)

    def _pause(self):
        host = self._rng.choice(self.all_hosts)
        process = self.tier.processes[host]
        began = time.monotonic()
        process.send_signal(signal.SIGSTOP)
        time.sleep(0.3 + self._rng.random() * 2.0)
        process.send_signal(signal.SIGCONT)
        self._trouble([host], began)

    def _stop(self):
        host = self._rng.choice(self.all_hosts)
        process = self.tier.processes[host]
        was_ready = self.tier.is_ready(host)
        began = time.monotonic()
        process.terminate()
        code = process.wait(timeout=30)
        # A process that has no port open yet, and not even a handler for the signal, loses nothing.
        if code != 0 and (was_ready or code != -signal.SIGTERM):
            self._find(f"node {host} ended with {code} after SIGTERM")
        if time.monotonic() - began > GRACE_S + 1.0:
            self._find(f"node {host} took {time.monotonic() - began:.1f} s to stop")
        self.tier.start(host)
        self._trouble([host], began + GRACE_S - 0.5)

    def _hang_up(self):
        process = self.tier.processes[self._rng.choice(self.all_hosts)]
        # Nobody can catch a signal while the interpreter itself starts.
        until(lambda: _takes_signal(process.pid, signal.SIGHUP), "the process takes SIGHUP")
        process.send_signal(signal.SIGHUP)

    def _harm(self):
        proxies = self._rng.sample([one.proxy for one in self.tier.servers.values()], 2)
        mode = self._rng.choice(MODES)
        for proxy in proxies:
            self.tier.loop.call(proxy.set_mode, mode)
        time.sleep(0.2 + self._rng.random() * 1.5)
        for proxy in proxies:
            self.tier.loop.call(proxy.set_mode, "pass")

    def _trouble(self, hosts, began):
        self._troubled += [(host, began - 0.1, time.monotonic() + 0.1) for host in hosts]

    # The operator

    def _change(self):
        document = self.tier.configuration(SHARDS)
        version = self.tier.version
        self._sent[version] = document
        self.tier.put(document)
        self._acknowledged.append((time.monotonic(), version))

    def _operate(self):
        rng = Random(f"{self.seed} operator")
        try:
            while not self.over:
                self._change()
                self._read(rng.choice(self.all_hosts))
                time.sleep(rng.random())
        except AssertionError as exc:
            self._find(f"operator: {exc}")

    def _read(self, index):
        began = time.monotonic()
        answer = self.tier.operate(index, "GET")
        if answer is not None and answer.status == 200:
            self.counts["read"] += 1
            self._check_read(answer.body, began - READ_LAG_S)

    def _check_read(self, document, acknowledged_before):
        version = orjson.loads(document)["version"]
        least = max(one for at, one in self._acknowledged if at <= acknowledged_before)
        if version < least:
            self._find(f"configuration {version} was read after {least} was acknowledged")
        if document != self._sent.get(version):
            self._find(f"configuration {version} is not what was sent")

    # What callers see

    def answered(self, request_id, is_order, answer, body):
        self.counts[answer.status] += 1
        if answer.status in NOT_RUN:
            self._check_not_run(request_id, answer.status)
        elif answer.status == 200 and is_order:
            if answer.getheader("Server-Seal", "").rpartition(".")[2] != request_id:
                self._find(f"{request_id}: the answer to another order")
        elif answer.status == 200:
            self._check_parts(request_id, answer, body)

    def _check_not_run(self, request_id, status):
        if self._runs(request_id):
            self._find(f"{request_id}: {status}, but it ran")

    def _check_parts(self, request_id, answer, body):
        seals = [one.strip() for one in answer.getheader("Part-Seals", "").split(",")]
        missing = int(answer.getheader("Missing-Parts", "0"))
        servers = [self.tier.servers[one.rpartition(".")[0]] for one in seals]
        shards = {one.upstream for one in servers}
        whole = b"".join(one.records() for one in servers)
        records = [whole[at : at + RECORD] for at in range(0, len(whole), RECORD)]
        if any(not one.endswith(f".{request_id}") for one in seals):
            self._find(f"{request_id}: a part of another query: {seals}")
        if len(shards) != len(seals) or len(seals) + missing != len(SHARDS):
            self._find(f"{request_id}: parts {sorted(shards)}, {missing} missing")
        if body != b"".join(sorted(records, reverse=True)[:TOP_K]):
            self._find(f"{request_id}: not the greatest records of {sorted(shards)}")

    def cut(self, index, request_id, began, ended):
        self.counts["cut"] += 1
        # A request that the host had not read may be cut; one that it has passed on may not,
        # unless the host itself was in trouble. Spells are noted at their end: wait for it.
        threading.Timer(4.0, self._judge_cut, (index, request_id, began, ended)).start()

    def _judge_cut(self, index, request_id, began, ended):
        if ended - began >= 9.9 or not self._runs(request_id):
            return
        if not any(h == index and a <= ended and began <= b for h, a, b in self._troubled):
            self._find(f"{request_id}: node {index} passed it on and cut the connection")

    def _runs(self, request_id):
        return sum(one.runs.count(request_id) for one in self.tier.servers.values())

    # The end

    def _wait_until_well(self):
        for index in self.all_hosts:
            until(lambda index=index: self.tier.is_ready(index), f"node {index} is ready")

    def _check_end(self):
        self._wait_until_well()
        newest = max(self._acknowledged)[1]
        answer = until(
            lambda: (found := self.tier.operate(0, "GET")) and found.status == 200 and found,
            "the configuration can be read",
        )
        self._check_read(answer.body, time.monotonic())
        for index in self.all_hosts:
            until(partial(self._is_whole, index), f"node {index} gives whole answers")
        orders = Counter(
            request_id
            for name, server in self.tier.servers.items()
            if name.startswith("i-kitchen")
            for request_id in server.runs
        )
        twice = [request_id for request_id, runs in orders.items() if runs > 1]
        if twice:
            self._find(f"orders that ran twice: {twice}")
        time.sleep(4.5)
        self.counts["configurations"] = newest

    def _is_whole(self, index):
        answer = self.tier.ask(index, "/paths/1", f"end-{time.monotonic_ns()}")
        return answer is not None and answer.headers.get("missing-parts") == "0"

    def _find(self, what):
        self.findings.append(what)


def _takes_signal(pid, number):
    """Return whether a process ignores or catches a signal."""
    status = Path(f"/proc/{pid}/status").read_text()
    masks = dict(line.split(":", 1) for line in status.splitlines())
    return any(int(masks[name], 16) >> (number - 1) & 1 for name in ("SigIgn", "SigCgt"))


def run_seed(seed, seconds):
    """Run one seed outside of behave; print what was done and found; return 1 for a finding."""
    with ExitStack() as stack:
        # The part of behave's context that a soak needs.
        context = SimpleNamespace(add_cleanup=stack.callback)
        soak = PlatformSoak(context, seed, seconds)
        try:
            soak.run()
        except AssertionError as exc:
            soak.findings.append(str(exc))
        if soak.findings:
            kept = shutil.copytree(soak.tier.folder, f"{soak.tier.folder}-seed-{seed}")
            print(f"logs kept in {kept}")
    done = ", ".join(f"{key} {count}" for key, count in sorted(soak.counts.items(), key=str))
    print("; ".join([done, *soak.findings]))
    return 1 if soak.findings else 0
