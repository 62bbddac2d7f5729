"""A seeded soak test: real nodes under signals and a faulty network, with guarantees checked."""

from __future__ import annotations

import shutil
import signal
import threading
import time
from collections import Counter
from contextlib import ExitStack, contextmanager
from functools import partial
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from random import Random
from types import SimpleNamespace

import orjson

from features.support.loopback_proxy import LoopbackProxy
from features.support.platform_tier import HOST, RECORD_BYTES, PlatformTier
from features.support.tier import until

SHARDS = ["shard-a", "shard-b", "shard-c", "shard-d"]
TOP_K = 4
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses which guarantee that the request did not run and will not run."""
CALLER_COUNT = 4
READ_LAG_S = 3.0
"""How long after an acknowledgement a read may still show an older configuration."""
STOP_TIME_S = 3.0
FAULT_MODES = ("delay", "silent", "one_way", "reset")


class Caller(threading.Thread):
    """Sends requests in a loop, on a connection that it keeps until it breaks."""

    def __init__(self, soak, number):
        super().__init__()
        self._soak = soak
        self._rng = Random(f"{soak.seed} caller {number}")
        self._number = number

    def run(self):
        request_count = 0
        while not self._soak.stopped:
            index = self._rng.choice(self._soak.all_hosts)
            conn = HTTPConnection(self._soak.tier.addresses[index], self._soak.tier.ports[0])
            conn.timeout = 10.0
            for _ in range(self._rng.randrange(1, 30)):
                request_count += 1
                if self._soak.stopped or not self._send_request(
                    conn, index, f"c{self._number}-{request_count:08}"
                ):
                    break
                time.sleep(self._rng.random() * 0.04)
            conn.close()
            time.sleep(0.02)

    def _send_request(self, conn, index, request_id):
        is_order = self._rng.random() < 0.4
        method, path, body = ("POST", "/orders/1", b"x") if is_order else ("GET", "/paths/1", None)
        headers = {"Host": HOST, "Attempt-Id": request_id, "Time-Budget-Ms": "4000"}
        started_at = time.monotonic()
        answer = None
        try:
            conn.request(method, path, body, headers)
            answer = conn.getresponse()
            data = answer.read()
        except (OSError, HTTPException):
            self._soak.record_cut(index, request_id, started_at, time.monotonic())
            return False
        self._soak.record_answer(request_id, is_order, answer, data)
        return not answer.will_close


class PlatformSoak:
    """Runs one seed; ``findings`` lists the violated guarantees."""

    max_calm_s = 0.8
    """Longest time between two faults."""

    def __init__(self, context, seed, seconds):
        self.seed = seed
        self.seconds = seconds
        self.findings = []
        self.counts = Counter()
        self.stopped = False
        self._rng = Random(seed)
        self._disruptions = []
        """Host, start and end of each period in which its connections may break."""
        self.tier = PlatformTier(context)
        self._add_servers()
        self.all_hosts = list(range(len(self.tier.addresses)))
        self._faults = (
            self._kill,
            self._kill,
            self._pause,
            self._stop,
            self._reload,
            self._disturb_network,
            self._disturb_network,
        )
        self._sent_documents = {}
        """Configurations by version."""
        self._acknowledged = [(0.0, 0)]
        """When each version was acknowledged, and the version."""

    def _add_servers(self):
        tier = self.tier
        for name in SHARDS:
            tier.add_servers(name)
        tier.add_servers("kitchen", 3)
        for server in tier.servers.values():
            server.proxy = LoopbackProxy(server.address, server.port)
            tier.loop.call(partial(tier.loop.nursery.start, server.proxy.serve))

    def _callers(self):
        return [Caller(self, number) for number in range(CALLER_COUNT)]

    def run(self):
        with self.traffic():
            end = time.monotonic() + self.seconds
            while time.monotonic() < end:
                self._inject_fault()
        self._check_end()

    @contextmanager
    def traffic(self):
        """Start the hosts, and let callers and an operator use them for the duration of a block."""
        tier = self.tier
        tier.start()
        self._change()
        tier.first_start = False
        self._wait_until_ready()
        callers = self._callers()
        operators = [threading.Thread(target=self._operate)]
        for thread in [*callers, *operators]:
            thread.start()
        try:
            yield
        finally:
            self.stopped = True
            for thread in [*callers, *operators]:
                thread.join()

    # Faults

    def _inject_fault(self):
        rng = self._rng
        fault = rng.choice(self._faults)
        self.counts[fault.__name__.strip("_")] += 1
        fault()
        time.sleep(rng.random() * self.max_calm_s)

    def _kill(self):
        # One host, two hosts or all hosts at once.
        count = self._rng.choice((1, 1, 2, len(self.all_hosts)))
        hosts = self._rng.sample(self.all_hosts, count)
        started_at = time.monotonic()
        self.tier.kill(*hosts)
        time.sleep(self._rng.random() * 1.2)
        self.tier.start(*hosts)
        self._record_disruption(hosts, started_at)

    def _pause(self):
        host = self._rng.choice(self.all_hosts)
        process = self.tier.processes[host]
        started_at = time.monotonic()
        process.send_signal(signal.SIGSTOP)
        time.sleep(0.3 + self._rng.random() * 2.0)
        process.send_signal(signal.SIGCONT)
        self._record_disruption([host], started_at)

    def _stop(self):
        host = self._rng.choice(self.all_hosts)
        process = self.tier.processes[host]
        was_ready = self.tier.is_ready(host)
        started_at = time.monotonic()
        process.terminate()
        code = process.wait(timeout=30)
        # Before it installs its signal handler, a process has no open ports and loses no requests.
        if code != 0 and (was_ready or code != -signal.SIGTERM):
            self._report(f"node {host} ended with {code} after SIGTERM")
        if time.monotonic() - started_at > STOP_TIME_S + 1.0:
            self._report(f"node {host} took {time.monotonic() - started_at:.1f} s to stop")
        self.tier.start(host)
        self._record_disruption([host], started_at + STOP_TIME_S - 0.5)

    def _reload(self):
        process = self.tier.processes[self._rng.choice(self.all_hosts)]
        # A process can't catch a signal while its interpreter starts.
        until(lambda: takes_signal(process.pid, signal.SIGHUP), "the process handles SIGHUP")
        process.send_signal(signal.SIGHUP)

    def _disturb_network(self):
        proxies = self._rng.sample([one.proxy for one in self.tier.servers.values()], 2)
        mode = self._rng.choice(FAULT_MODES)
        for proxy in proxies:
            self.tier.loop.call(proxy.set_mode, mode)
        time.sleep(0.2 + self._rng.random() * 1.5)
        for proxy in proxies:
            self.tier.loop.call(proxy.set_mode, "pass")

    def _record_disruption(self, hosts, started_at):
        self._disruptions += [(host, started_at - 0.1, time.monotonic() + 0.1) for host in hosts]

    # The operator

    def _change(self):
        document = self.tier.configuration(SHARDS)
        version = self.tier.version
        self._sent_documents[version] = document
        self.tier.put(document)
        self._acknowledged.append((time.monotonic(), version))

    def _operate(self):
        rng = Random(f"{self.seed} operator")
        try:
            while not self.stopped:
                self._change()
                self._read(rng.choice(self.all_hosts))
                time.sleep(rng.random())
        except AssertionError as exc:
            self._report(f"operator: {exc}")

    def _read(self, index):
        started_at = time.monotonic()
        answer = self.tier.operate(index, "GET")
        if answer is not None and answer.status == 200:
            self.counts["read"] += 1
            self._check_read(answer.body, started_at - READ_LAG_S)

    def _check_read(self, document, acknowledged_before):
        version = orjson.loads(document)["version"]
        newest_acknowledged = max(
            one for at, one in self._acknowledged if at <= acknowledged_before
        )
        if version < newest_acknowledged:
            self._report(
                f"configuration {version} was read after {newest_acknowledged} was acknowledged"
            )
        if document != self._sent_documents.get(version):
            self._report(f"configuration {version} differs from the document that was sent")

    # Callers

    def record_answer(self, request_id, is_order, answer, body):
        self.counts[answer.status] += 1
        if answer.status in NOT_RUN_STATUSES:
            self._check_not_run(request_id, answer.status)
        elif answer.status == 200 and is_order:
            if answer.getheader("Server-Seal", "").rpartition(".")[2] != request_id:
                self._report(f"{request_id}: got the answer to another order")
        elif answer.status == 200:
            self._check_parts(request_id, answer, body)

    def _check_not_run(self, request_id, status):
        if self._runs(request_id):
            self._report(f"{request_id}: refused with {status}, but it ran")

    def _check_parts(self, request_id, answer, body):
        seals = [one.strip() for one in answer.getheader("Part-Seals", "").split(",")]
        missing = int(answer.getheader("Missing-Parts", "0"))
        servers = [self._server(one.rpartition(".")[0]) for one in seals]
        if None in servers:
            self._report(f"{request_id}: got a part without the signature of a server: {seals}")
            return
        shards = {one.upstream for one in servers}
        all_records = b"".join(one.records() for one in servers)
        records = [
            all_records[at : at + RECORD_BYTES] for at in range(0, len(all_records), RECORD_BYTES)
        ]
        if any(not one.endswith(f".{request_id}") for one in seals):
            self._report(f"{request_id}: got a part of another query: {seals}")
        if len(shards) != len(seals) or len(seals) + missing != len(SHARDS):
            self._report(f"{request_id}: got parts of {sorted(shards)}, {missing} missing")
        if body != b"".join(sorted(records, reverse=True)[:TOP_K]):
            self._report(f"{request_id}: expected the greatest records of {sorted(shards)}")

    def _server(self, server_id):
        return self.tier.servers.get(server_id)

    def record_cut(self, index, request_id, started_at, ended):
        self.counts["cut"] += 1
        # The connection may break before the host has read the request. Once the request was sent
        # to a server it may not, unless the host was disrupted. Disruptions are recorded at their
        # end, so the check is delayed.
        threading.Timer(4.0, self._check_cut, (index, request_id, started_at, ended)).start()

    def _check_cut(self, index, request_id, started_at, ended):
        if ended - started_at >= 9.9 or not self._runs(request_id):
            return
        if not any(h == index and a <= ended and started_at <= b for h, a, b in self._disruptions):
            self._report(
                f"{request_id}: node {index} sent it to a server and then closed the connection"
            )

    def _runs(self, request_id):
        return sum(one.runs.count(request_id) for one in self.tier.servers.values())

    # The end

    def _wait_until_ready(self):
        for index in self.all_hosts:
            until(lambda index=index: self.tier.is_ready(index), f"node {index} is ready")

    def _check_end(self):
        self._wait_until_ready()
        newest = max(self._acknowledged)[1]
        answer = until(
            lambda: (found := self.tier.operate(0, "GET")) and found.status == 200 and found,
            "the configuration can be read",
        )
        self._check_read(answer.body, time.monotonic())
        for index in self.all_hosts:
            until(partial(self._has_all_parts, index), f"node {index} answers with all parts")
        orders = Counter(
            request_id
            for name, server in self.tier.servers.items()
            if name.startswith("i-kitchen")
            for request_id in server.runs
        )
        run_twice = [request_id for request_id, runs in orders.items() if runs > 1]
        if run_twice:
            self._report(f"orders that ran twice: {run_twice}")
        time.sleep(4.5)
        self.counts["configurations"] = newest

    def _has_all_parts(self, index):
        answer = self.tier.ask(index, "/paths/1", f"end-{time.monotonic_ns()}")
        return answer is not None and answer.headers.get("missing-parts") == "0"

    def _report(self, finding):
        self.findings.append(finding)


def takes_signal(pid, number):
    """Return whether a process ignores or handles a signal."""
    status = Path(f"/proc/{pid}/status").read_text()
    masks = dict(line.split(":", 1) for line in status.splitlines())
    return any(int(masks[name], 16) >> (number - 1) & 1 for name in ("SigIgn", "SigCgt"))


def run_seed(seed, seconds, kind=PlatformSoak):
    """Run one seed outside of behave and print the counts and findings; return 1 for a finding."""
    with ExitStack() as stack:
        # The part of behave's context that the soak test uses.
        context = SimpleNamespace(add_cleanup=stack.callback)
        soak = kind(context, seed, seconds)
        try:
            soak.run()
        except AssertionError as exc:
            soak.findings.append(str(exc))
        if soak.findings:
            folder_copy = shutil.copytree(soak.tier.folder, f"{soak.tier.folder}-seed-{seed}")
            print(f"logs kept in {folder_copy}")
    summary = ", ".join(f"{key} {count}" for key, count in sorted(soak.counts.items(), key=str))
    print("; ".join([summary, *soak.findings]))
    return 1 if soak.findings else 0
