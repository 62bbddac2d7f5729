"""Real node processes on loopback, with a stand-in for the platform's server list and servers."""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
import tempfile
from functools import partial
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import NamedTuple

import orjson
import trio

from alderhatch.http.messages import HttpResponse, json_response
from alderhatch.http.server import serve_http
from features.support.loop_thread import LoopThread
from features.support.odd_inputs import to_json
from features.support.tier import free_ports, own_loopback_address, until

ZONES = ("austin-hall", "waco-hall", "temple-hall")
HOST = "fleet.example"
PAGE_SIZE = 3
RECORD_BYTES = 16


class Answer(NamedTuple):
    status: int
    headers: dict
    body: bytes


def call(address, port, method, path, body=None, headers=None, timeout=10.0):
    """Send one request; return None if the connection fails or times out."""
    conn = HTTPConnection(address, port, timeout=timeout)
    try:
        conn.request(method, path, body, headers or {})
        answer = conn.getresponse()
        lower_case_headers = {name.lower(): value for name, value in answer.getheaders()}
        return Answer(answer.status, lower_case_headers, answer.read())
    except (OSError, HTTPException):
        return None
    finally:
        conn.close()


class StandinServer:
    """A stand-in for one server of an upstream."""

    def __init__(self, server_id, upstream, zone):
        self.server_id = server_id
        self.upstream = upstream
        self.zone = zone
        self.address = own_loopback_address()
        self.port = 0
        self.delay = 0.0
        self.runs = []
        self.fields = []
        """The header fields of each request that ran, in the order of ``runs``."""
        self.cancelled = 0
        self.state = "ready"
        self.proxy = None
        """The proxy that the server list names instead of the server; None without a proxy."""

    async def serve(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host=self.address)
        self.port = listeners[0].socket.getsockname()[1]
        await serve_http(listeners, self.handle, task_status=task_status)

    async def handle(self, req):
        if req.headers.get("expect-instance", self.server_id) != self.server_id:
            return HttpResponse(421, b"", headers=(("Instance-Id", self.server_id),))
        request_id = req.headers.get("attempt-id", "")
        if not request_id or not request_id.isascii():
            return HttpResponse(400, b"", headers=(("Not-Executed", "1"),))
        self.runs.append(request_id)
        self.fields.append(list(req.fields))
        try:
            await trio.sleep(self.delay)
        except trio.Cancelled:
            self.cancelled += 1
            raise
        headers = (
            ("Attempt-Id", request_id),
            ("Server-Seal", f"{self.server_id}.{request_id}"),
            ("Server-Load", "1,0,2"),
        )
        return HttpResponse(200, self.records(), "application/octet-stream", headers)

    def records(self):
        return b"".join(f"{self.upstream:>12}{number:04}".encode() for number in range(3))

    def entry(self):
        endpoint = self.proxy or self
        return {
            "service": self.upstream,
            "address": f"{endpoint.address}:{endpoint.port}",
            "zone": self.zone,
            "version": "v1",
            "max-concurrency": 2,
            "state": self.state,
            "warmup-left-ms": 0,
            "instance-id": self.server_id,
        }


class PlatformTier:
    """Node processes, and a thread that runs the server list and the servers."""

    def __init__(self, context, disks=3, diskless=1):
        self.folder = Path(tempfile.mkdtemp(prefix="alderhatch-node-"))
        self.loop = LoopThread()
        context.add_cleanup(self.close)
        self.servers = {}
        self.list_calls = 0
        self.list_address = own_loopback_address()
        self.list_port = self.loop.call(self._start_list_server)
        self.addresses = [own_loopback_address() for _ in range(disks + diskless)]
        self.disks = disks
        self.ports = self._free_ports()
        self.seeds = self.addresses[:disks]
        self.processes = {}
        self.version = 0
        self.first_start = True
        self.policy = ""
        """Policy settings that differ from the defaults of the platform."""
        self.more_settings = []
        """Further lines of each node's settings file."""
        self.extra_settings = []
        """Lines of the settings of all nodes, besides the usual ones."""
        self.sources = None
        """A folder with the package that the nodes run; None for that of the tests."""
        self.other_entries = None
        """Entries of another writer on each page of the server list, as ``OddList``."""

    def _free_ports(self):
        """Return the ports; the metrics port follows the link port and must not be another one."""
        while True:
            ports = free_ports(self.addresses[0], 5)
            if ports[-1] + 1 not in (*ports, 65_536):
                return [*ports, ports[-1] + 1]

    # The platform's server list and servers

    async def _start_list_server(self):
        listeners = await trio.open_tcp_listeners(0, host=self.list_address)
        self.loop.nursery.start_soon(serve_http, listeners, self._serve_list)
        return listeners[0].socket.getsockname()[1]

    async def _serve_list(self, req):
        self.list_calls += 1
        entries = [one.entry() for one in self.servers.values()] + ["not an entry"]
        begin = int(req.query.get("page-token", "0"))
        end = begin + PAGE_SIZE
        next_token = str(end) if end < len(entries) else None
        page = {"instances": entries[begin:end], "next-token": next_token}
        odd = self.other_entries
        if odd is None:
            return json_response(200, page)
        page["instances"][odd.position : odd.position] = odd.entries
        return HttpResponse(200, to_json(page, odd.ascii_only), "application/json")

    def add_servers(self, upstream, count=2):
        for index in range(count):
            server = StandinServer(f"i-{upstream}-{index}", upstream, ZONES[index % 3])
            self.loop.call(partial(self.loop.nursery.start, server.serve))
            self.servers[server.server_id] = server

    # Nodes

    def settings(self, index):
        caller, addresses, readiness, operators, links, metrics = self.ports
        address = self.addresses[index]
        operator_seeds = ",".join(f"{one}:{operators}" for one in self.seeds)
        lines = [
            f"node-name=node-{index}",
            f"ip={address}",
            f"zone={ZONES[index % 3]}",
            *(f"zones.{zone}=tx-central" for zone in ZONES),
            f"bind-addresses.front={address}:{caller}",
            f"bind-addresses.directory={address}:{addresses}",
            f"bind-addresses.readiness={address}:{readiness}",
            f"bind-addresses.control={address}:{operators}",
            f"internal-ports={links},{metrics}",
            f"seeds={operator_seeds}",
            f"bootstrap={'true' if self.first_start else 'false'}",
            "fault-tolerance.machines=1",
            "bounds.grace-s=3",
            "bounds.retry-budget-extra=60",
            f"cloud-api.address={self.list_address}:{self.list_port}",
            "a.key.of.later=1",
            *self.more_settings,
            *self.extra_settings,
        ]
        if index < self.disks:
            lines.append(f"data-dir={self.data_folder(index)}")
        return "\n".join(lines) + "\n"

    def data_folder(self, index):
        return self.folder / f"disk-{index}"

    def settings_path(self, index):
        return self.folder / f"node-{index}.conf"

    def start(self, *indexes):
        for index in indexes or range(len(self.addresses)):
            self.settings_path(index).write_text(self.settings(index))
            log = (self.folder / f"node-{index}.log").open("a")
            env = os.environ | {
                "ALDERHATCH_SETTINGS": str(self.settings_path(index)),
                "ALDERHATCH_POLICY": self.policy,
            }
            if self.sources is not None:
                env["PYTHONPATH"] = str(self.sources)
            command = [sys.executable, "-m", "alderhatch.platform"]
            self.processes[index] = subprocess.Popen(command, env=env, stdout=log, stderr=log)
            log.close()

    def kill(self, *indexes):
        for index in indexes:
            self.processes[index].send_signal(signal.SIGKILL)
        for index in indexes:
            self.processes.pop(index).wait()

    def running(self):
        return sorted(self.processes)

    def check_alive(self, *indexes):
        """Fail with the log of a process that has ended, as waiting for it would take minutes."""
        for index in indexes or self.running():
            process = self.processes.get(index)
            if process is not None and process.poll() not in (
                None,
                0,
                -signal.SIGKILL,
                -signal.SIGTERM,
            ):
                log_tail = self.log_text(index)[-2000:]
                raise AssertionError(f"node {index} ended with {process.returncode}:\n{log_tail}")

    def log_text(self, index):
        return (self.folder / f"node-{index}.log").read_text()

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.loop.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Requests

    def configuration(self, shards, single="kitchen", organisations=None):
        """Return the next version; with organisations, it also has a public route ``/open/``."""
        self.version += 3
        route = {"host": HOST, "timeout-ms": 8000, "target-latency-ms": 4000, "max-attempts": 2}
        gather = route | {
            "name": "paths",
            "path-prefix": "/paths/",
            "route-type": "safe",
            "priority": 1,
            "gather": shards,
            "top-k": 4,
            "min-coverage": 0.5,
        }
        orders = route | {
            "name": "orders",
            "path-prefix": "/orders/",
            "route-type": "unsafe",
            "priority": 2,
            "service": single,
        }
        services = [{"name": name, "max-connections": 28} for name in {*shards, single}]
        cfg = {"version": self.version, "routes": [gather, orders], "services": services}
        if organisations is not None:
            cfg["tenants"] = organisations
            cfg["routes"].append(orders | {"name": "open", "path-prefix": "/open/", "public": True})
        return orjson.dumps(cfg)

    def operate(self, index, method, body=None, path="/-/config"):
        """Send one operator request, following up to two redirects."""
        address, port = self.addresses[index], self.ports[3]
        answer = None
        for _ in range(3):
            answer = call(address, port, method, path, body)
            if answer is None or answer.status != 307:
                return answer
            address, port = answer.headers["location"].split("/")[2].split(":")
            port = int(port)
        return answer

    def put(self, document):
        """Send a configuration to the running nodes in turn until one accepts it."""

        def accepted_response():
            self.check_alive()
            answers = (self.operate(index, "PUT", document) for index in self.running())
            return next((one for one in answers if one is not None and one.status == 200), None)

        return until(accepted_response, "an operator's change is accepted")

    def leader(self):
        """Return the index of the node that answers operators itself, or None."""
        for index in self.running():
            answer = call(self.addresses[index], self.ports[3], "GET", "/-/config")
            if answer is not None and answer.status == 200:
                return index
        return None

    def is_ready(self, index):
        self.check_alive(index)
        answer = call(self.addresses[index], self.ports[2], "GET", "/-/readiness")
        return answer is not None and answer.status == 200

    def metrics(self, index):
        return call(self.addresses[index], self.ports[5], "GET", "/metrics").body.decode()

    def resolve(self, index, zone="elsewhere"):
        path = f"/-/resolve?name={HOST}&region=r&zone={zone}"
        answer = call(self.addresses[index], self.ports[1], "GET", path)
        if answer is None or answer.status != 200:
            return None
        return orjson.loads(answer.body)

    def ask(self, index, path, request_id, method="GET", body=None, timeout=10.0, **more):
        """Send a caller's request; ``more`` has further header fields, with _ in place of -."""
        headers = {"Host": HOST, "Attempt-Id": request_id, "Time-Budget-Ms": "8000"}
        headers |= {name.replace("_", "-"): value for name, value in more.items()}
        return call(self.addresses[index], self.ports[0], method, path, body, headers, timeout)
