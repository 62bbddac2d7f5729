"""Stand-ins for the platform, its servers, its operator and its clients, on loopback only.

The nodes are the project's own program, started with the command of the deploy file. Everything
else runs in one asyncio loop of the script and follows the platform's pages; only the standard
library is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("austin-hall", "waco-hall", "temple-hall")
HOST = "fleet.example"
RESTART_DELAY_S = 0.5
"""The short delay after which the platform starts a process that has ended again."""

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be played, so it shows nothing."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self.began = time.monotonic()

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self.began

    def write(self, text):
        """Write one line and flush it."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Answer:
    """An answer as a client has read it."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the first line and the fields of a message; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers):
    """Return the body of a message that has a length or comes in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readline()


async def call(
    address, port, method, path, body=b"", headers=None, timeout=1.0, host=HOST, source=None
):
    """Send one request on a new connection; None if there is no whole answer in time."""
    writer = None
    local = (source, 0) if source is not None else None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(address, port, local_addr=local)
            fields = {"Host": host, "Content-Length": str(len(body))} | (headers or {})
            lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None
            first, found = head
            return Answer(int(first.split()[1]), found, await read_body(reader, found))
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Server:
    """A server of the platform: answers by the protocol, with one slot a connection."""

    def __init__(self, service, number, zone, address, record):
        self.service = service
        self.number = number
        self.zone = zone
        self.address = address
        self.port = 0
        self.record = record
        self.starts = 0
        self.instance_id = ""
        self.state = "ready"
        self.work_s = 0.02
        self.runs = []
        """Each request that began to run: time, ID, method, path."""
        self.records = b"".join(f"{service[-8:]:>8}{number}{i:07}".encode() for i in range(3))
        self._server = None
        self._writers = set()

    @property
    def is_up(self):
        """Whether its process runs."""
        return self._server is not None

    async def start(self):
        """Start a new incarnation, at the same address as the one before."""
        self.starts += 1
        self.instance_id = f"i-{self.service}-{self.number}-{self.starts}"
        self._server = await asyncio.start_server(self._serve, self.address, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.record.write(f"server {self.instance_id} starts")

    def crash(self):
        """End its process: connections are reset, and new ones are refused."""
        self.record.write(f"server {self.instance_id} crashes")
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self):
        """Return its entry of the platform's list."""
        return {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "max-concurrency": 4,
            "state": self.state,
            "warmup-left-ms": 0,
            "instance-id": self.instance_id,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                await self._answer(writer, head, body)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, writer, head, body):
        method, path, _ = head[0].split(" ", 2)
        fields = head[1]
        request_id = fields.get("attempt-id", "")
        if path == "/health":
            reply = (200, {"Instance-Id": self.instance_id}, b"")
        elif fields.get("expect-instance", self.instance_id) != self.instance_id:
            reply = (421, {"Not-Executed": "1", "Attempt-Id": request_id}, b"")
        elif not request_id:
            reply = (400, {"Not-Executed": "1"}, b"")
        else:
            reply = await self.run(request_id, method, path, fields, body)
        status, headers, content = reply
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(content)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + content)
        await writer.drain()

    async def run(self, request_id, method, path, fields, body):
        """Run a request and return its answer."""
        self.runs.append((self.record.now(), request_id, method, path))
        self.record.write(f"server {self.instance_id} runs {request_id} {method} {path}")
        await asyncio.sleep(self.work_s)
        seal = f"{self.instance_id}.{request_id}"
        return 200, {"Attempt-Id": request_id, "Server-Seal": seal}, self.records


class Tier:
    """Nodes, the platform's list, servers and the operator of a small deployment."""

    def __init__(self, record, disks=3, diskless=1, more_settings=()):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="alderhatch-review-"))
        self.disks = disks
        self.servers = []
        self.processes = {}
        self.first_start = True
        self.more_settings = tuple(more_settings)
        self.page_size = 50
        self.list_delay = lambda caller, token: 0.0
        """Returns how many seconds the platform's list takes to answer a call."""
        base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}."
        self.addresses = [f"{base}{10 + i}" for i in range(disks + diskless)]
        self.list_address = f"{base}200"
        self.server_base = base
        self.list_port = 0
        self.ports = {}
        self._logs = []

    # The platform's list and the servers

    async def start_list(self):
        """Serve the platform's list, and choose free ports for the nodes."""
        server = await asyncio.start_server(self._serve_list, self.list_address, 0)
        self.list_port = server.sockets[0].getsockname()[1]
        names = ("front", "directory", "readiness", "control", "links", "metrics")
        while True:
            ports = [self._free_port() for _ in names[:-1]]
            self.ports = dict(zip(names, [*ports, ports[-1] + 1], strict=True))
            if len(set(self.ports.values())) == len(names):
                return

    def _free_port(self):
        with socket.socket() as sock:
            sock.bind((self.addresses[0], 0))
            return sock.getsockname()[1]

    async def _serve_list(self, reader, writer):
        caller = writer.get_extra_info("peername")
        try:
            while (request := await read_head(reader)) is not None:
                token = request[0].split()[1].partition("page-token=")[2]
                # What the list shows is what it knows when it is asked, however late it answers.
                body = self._page(int(token or 0))
                await asyncio.sleep(self.list_delay(caller, token))
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
                writer.write(head.encode() + b"Content-Type: application/json\r\n\r\n" + body)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def _page(self, begin):
        listed = [one.entry() for one in self.servers if one.state != "gone"]
        end = begin + self.page_size
        token = str(end) if end < len(listed) else None
        return json.dumps({"instances": listed[begin:end], "next-token": token}).encode()

    async def add_servers(self, service, count=2, make=Server):
        """Start the servers of a service, in different zones."""
        for number in range(count):
            address = f"{self.server_base}{100 + len(self.servers)}"
            server = make(service, number, ZONES[number % 3], address, self.record)
            await server.start()
            self.servers.append(server)

    # The nodes

    def settings(self, index):
        """Return the settings file of a node, as the platform writes it now."""
        address = self.addresses[index]
        ports = self.ports
        seeds = ",".join(f"{one}:{ports['control']}" for one in self.addresses[:3])
        lines = [
            f"node-name=frontend-{index}",
            "role=node",
            "machine-class=frontend",
            "serves=frontend,control_plane,directory",
            f"ip={address}",
            f"zone={ZONES[index % 3]}",
            "region=tx-central",
            *(f"zones.{zone}=tx-central" for zone in ZONES),
            f"bind-addresses.front={address}:{ports['front']}",
            f"bind-addresses.readiness={address}:{ports['readiness']}",
            f"bind-addresses.control={address}:{ports['control']}",
            f"bind-addresses.directory={address}:{ports['directory']}",
            f"internal-ports={ports['links']},{ports['metrics']}",
            f"seeds={seeds}",
            f"bootstrap={'true' if self.first_start else 'false'}",
            "in-tolerance=true",
            "limits.cpu-share=0.968",
            "limits.cpu-cores=2",
            "limits.memory-mb=300",
            "limits.max-fds=4100",
            "discovery=cloud_api",
            "entry-mode=directory",
            "contracts=base,drain,config,cost,retry,recover,scatter",
            "fault-tolerance.machines=1",
            "bounds.stable-window-ms=4000",
            "bounds.ack-ms=5000",
            "bounds.sync-s=4",
            "bounds.drain-ms=3000",
            "bounds.grace-s=6",
            "bounds.config-apply-ms=3000",
            "bounds.retry-budget-ratio=0.2",
            "bounds.budget-window-s=10",
            "bounds.retry-budget-extra=62",
            "bounds.recovery-s=12",
            f"cloud-api.address={self.list_address}:{self.list_port}",
            "cloud-api.rate-per-s=55.0",
            "cloud-api.list-lag-ms=800",
            *self.more_settings,
        ]
        if index < self.disks:
            lines.append(f"data-dir={self.folder / f'disk-{index}'}")
        return "\n".join(lines) + "\n"

    async def start_node(self, index):
        """Start one node with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        path = self.folder / f"settings-{index}.conf"
        path.write_text(self.settings(index))
        log = (self.folder / f"node-{index}.log").open("ab")
        self._logs.append(log)
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"ALDERHATCH_SETTINGS": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        command = deploy["roles"]["node"]["run"].split()
        self.processes[index] = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
        )
        self.record.write(f"node {index} starts, bootstrap={str(self.first_start).lower()}")

    async def start_nodes(self):
        """Start all nodes for the first time, within 0.3 s."""
        if not (ROOT / "target" / "deps" / "alderhatch").is_dir():
            raise CannotRunError("the build of the deploy file has not been run")
        for index in range(len(self.addresses)):
            await self.start_node(index)

    async def kill_node(self, index):
        """Send SIGKILL to one node and wait for its end."""
        process = self.processes.pop(index)
        process.send_signal(signal.SIGKILL)
        await process.wait()
        self.record.write(f"node {index} is killed")

    def signal_node(self, index, number):
        """Send a signal to one node."""
        self.record.write(f"node {index} gets {signal.Signals(number).name}")
        self.processes[index].send_signal(number)

    def ended_nodes(self):
        """Return the nodes that have ended by themselves."""
        return [i for i, one in self.processes.items() if one.returncode is not None]

    async def close(self):
        """End all nodes and remove their files."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for log in self._logs:
            log.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # The operator

    async def operate(self, index, method, path="/-/config", body=b""):
        """Send one order, follow up to two redirects, and return the last answer."""
        address, port = self.addresses[index], self.ports["control"]
        answer = None
        for _ in range(3):
            answer = await call(address, port, method, path, body)
            if answer is None or answer.status != 307:
                return answer
            place = answer.headers["location"].split("/")[2]
            address, port = place.split(":")[0], int(place.split(":")[1])
        return answer

    async def operate_once(self, index, method, path="/-/config", body=b""):
        """Send one order to a node and return its own answer."""
        return await call(self.addresses[index], self.ports["control"], method, path, body)

    async def order(self, method, path, body=b"", timeout=5.0, pause=0.1):
        """Send an order to one node after the other until it is acknowledged.

        Returns:
            How long that took, in seconds; None if it was not acknowledged within the timeout.
        """
        began = time.monotonic()
        while time.monotonic() - began < timeout:
            for index in range(len(self.addresses)):
                answer = await self.operate(index, method, path, body)
                if answer is not None and answer.status == 200:
                    took = time.monotonic() - began
                    self.record.write(f"{method} {path} acknowledged by node {index}: {took:.2f} s")
                    return took
                status = answer.status if answer is not None else "no answer"
                self.record.write(f"{method} {path} at node {index}: {status}")
            await asyncio.sleep(pause)
            pause = min(1.0, 1.5 * pause)
        return None

    # Clients

    async def ask(
        self, index, path, request_id, method="GET", body=b"", budget_ms=2000, host=HOST, source=None
    ):
        """Send one client's request to one node."""
        headers = {"Attempt-Id": request_id, "Time-Budget-Ms": str(budget_ms)}
        address, port = self.addresses[index], self.ports["front"]
        timeout = budget_ms / 1000 + 0.5
        return await call(address, port, method, path, body, headers, timeout, host, source)


def route(name, prefix, kind="safe", **more):
    """Return one route of a configuration."""
    fields = {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "route-type": kind,
        "timeout-ms": 2000,
        "target-latency-ms": 500,
        "priority": 1,
        "max-attempts": 2,
    }
    return fields | more


def configuration(version, routes, services, **more):
    """Return a configuration as the operator sends it."""
    cfg = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": one, "health-path": "/health", "max-connections": 28, "protocol": "h1"}
            for one in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }
    return json.dumps(cfg | more).encode()


def play(folder, case):
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    record.write(f"TROUBLE={int(TROUBLE)}")

    async def run():
        async with asyncio.timeout(115):
            return await case(record)

    try:
        is_broken = asyncio.run(run())
    except Exception as exc:
        record.write(f"could not run: {exc!r}")
        return 2
    record.write("the rule was broken" if is_broken else "the rule held")
    return int(is_broken)
