"""Stand-ins for the platform, its servers and its clients, and the processes of a small tier.

Only the standard library is used. Everything listens on loopback addresses of its own; all files
are in one temporary folder, and `Tier.close` ends every process that was started here.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILT = ROOT / "target" / "deps"
ZONES = ("austin-hall", "waco-hall", "temple-hall")
HOST = "pupu76.example"
COULD_NOT_RUN = 2


BEGAN = time.monotonic()


def elapsed():
    """Return the seconds since the start of the case."""
    return time.monotonic() - BEGAN


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1, encoding="ascii", errors="backslashreplace")

    def write(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{elapsed():8.3f} {kind:<10} {text}\n")

    def say(self, text):
        print(text.encode("ascii", "backslashreplace").decode())
        self._file.write(text + "\n")


async def read_head(reader):
    """Return the first line and the header fields of a message; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


def message(first, fields, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in fields), f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


# Servers


class Server:
    """One server of a service. Subclasses change `handle` or `success`."""

    def __init__(self, service, number, zone, record, slots=3, work_s=0.12):
        self.service = service
        self.server_id = f"i-{service}-{number}"
        self.zone = zone
        self.record = record
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.address = ""
        self.port = 0
        self.running = 0
        self.runs = []
        """The id of each request that began to run, in order."""

    async def start(self, address):
        self.address = address
        self._listener = await asyncio.start_server(self._serve, address, 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    def entry(self):
        return {
            "instance-id": self.server_id,
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "max-concurrency": self.slots,
            "state": self.state,
            "warmup-left-ms": 0,
        }

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, fields = head
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                await self.handle(writer, first, fields, body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The node has closed the connection, or the case has ended.
            pass
        finally:
            writer.close()

    async def handle(self, writer, first, fields, body):
        request_id = fields.get("attempt-id", "")
        if fields.get("expect-instance", self.server_id) != self.server_id:
            writer.write(self.refusal(421, request_id))
            return
        await self.run(writer, first, fields, request_id)

    async def run(self, writer, first, fields, request_id):
        """Run a request and write its answer."""
        self.runs.append(request_id)
        self.record.write("run", server=self.server_id, id=request_id, line=repr(first))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        writer.write(self.success(request_id))

    def success(self, request_id):
        fields = [
            ("Attempt-Id", request_id),
            ("Server-Seal", f"{self.server_id}.{request_id}"),
            ("Server-Load", f"{self.running},0,{self.slots}"),
        ]
        return message("HTTP/1.1 200 OK", fields, f"{self.server_id} {request_id}".encode())

    def refusal(self, status, request_id):
        """The answer to a request that this server has not run and will not run."""
        fields = [
            ("Attempt-Id", request_id),
            ("Not-Executed", "1"),
            ("Server-Load", f"{self.running},0,{self.slots}"),
        ]
        return message(f"HTTP/1.1 {status} Refused", fields)


# The platform's list of servers


class ServerList:
    """Answers `GET /instances` with one page of entries."""

    def __init__(self):
        self.servers = []
        self.other_entries = []
        """Entries that were written by others than these servers."""
        self.calls = 0
        self.address = ""
        self.port = 0

    async def start(self, address):
        self.address = address
        listener = await asyncio.start_server(self._serve, address, 0)
        self.port = listener.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            self.calls += 1
            entries = [one.entry() for one in self.servers] + self.other_entries
            page = {"instances": entries, "next-token": None}
            body = json.dumps(page, ensure_ascii=False).encode()
            writer.write(message("HTTP/1.1 200 OK", [("Content-Type", "application/json")], body))
            await writer.drain()
        writer.close()


# Clients and the operator


class Reply:
    def __init__(self, status, fields, body):
        self.status = status
        self.fields = fields
        self.body = body


class Connection:
    """A connection of a client that carries one request after another."""

    def __init__(self, address, port):
        self._address = address
        self._port = port
        self._streams = None

    async def ask(self, method, target, fields, body=b"", timeout=8.0):
        """Send a request and return its reply.

        Raises:
            OSError, asyncio.IncompleteReadError, TimeoutError: If no complete reply came.
        """
        async with asyncio.timeout(timeout):
            if self._streams is None:
                self._streams = await asyncio.open_connection(self._address, self._port)
            reader, writer = self._streams
            writer.write(message(f"{method} {target} HTTP/1.1", fields, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError("closed without an answer")
            first, answered = head
            data = await reader.readexactly(int(answered.get("content-length", "0")))
        if answered.get("connection") == "close":
            self.close()
        return Reply(int(first.split()[1]), answered, data)

    def close(self):
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


async def ask_once(address, port, method, target, fields=(), body=b"", timeout=2.0):
    """Send one request on a new connection; return None if no complete reply came."""
    conn = Connection(address, port)
    try:
        return await conn.ask(method, target, [("Host", HOST), *fields], body, timeout)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return None
    finally:
        conn.close()


class KeptClient:
    """Sends one request after another to one node, on a kept connection."""

    def __init__(self, tier, node, seed, record, servers):
        self._tier = tier
        self._node = node
        self._rng = random.Random(seed)
        self._record = record
        self._servers = servers
        self.sent = 0
        self.served = 0
        self.lost = 0
        """Requests that were passed on to a server from a kept connection, which the node then
        closed without an answer."""

    async def run(self, prefix):
        """Send requests until cancelled."""
        conn = Connection(self._node.address, self._tier.ports["front"])
        is_kept = False
        while True:
            request_id = new_id(self._rng)
            fields = [("Host", HOST), ("Attempt-Id", request_id), ("Time-Budget-Ms", "8000")]
            self.sent += 1
            try:
                reply = await conn.ask("GET", prefix + request_id[:6], fields)
                answer = reply.status
                self.served += reply.status == 200
                is_kept = True
            except TimeoutError:
                conn.close()
                answer = "none"
                is_kept = False
            except (OSError, asyncio.IncompleteReadError):
                conn.close()
                was_run = any(request_id in one.runs for one in self._servers)
                self.lost += was_run and is_kept
                answer = f"closed was-run={was_run} kept={is_kept}"
                is_kept = False
                await asyncio.sleep(0.2)
            self._record.write("asked", node=self._node.name, id=request_id, answer=answer)
            await asyncio.sleep(0.05)


# The tier


def free_ports(address, count):
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((address, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def free_ports_for_tier(address):
    """Return the ports of a node; the port after the last one is free as well."""
    while True:
        ports = free_ports(address, 5)
        if ports[-1] + 1 in ports or ports[-1] >= 65_000:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((address, ports[-1] + 1))
            except OSError:
                continue
        return ports


class Node:
    """One machine of the tier and its process."""

    def __init__(self, index, address, has_disk):
        self.index = index
        self.name = f"frontend-{ZONES[index % 3]}-{index // 3 + 1}"
        self.address = address
        self.zone = ZONES[index % 3]
        self.has_disk = has_disk
        self.process = None
        self.starts = 0
        self.own_ends = 0
        """How often its process has ended by itself."""


class Tier:
    """The processes of a small deployment, started with the command of the deploy file."""

    def __init__(self, record, disks=3, diskless=0):
        if not (BUILT / "alderhatch").is_dir():
            print("target/deps is missing: run the build of deploy/system.toml first")
            sys.exit(COULD_NOT_RUN)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = shlex.split(deploy["roles"]["node"]["run"])
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="alderhatch-review-"))
        block = random.SystemRandom().randrange(20, 250)
        self._subnet = f"127.{block}.{os.getpid() % 250 + 1}"
        self._next_address = 0
        self.list = ServerList()
        self.nodes = [
            Node(index, self._address(), index < disks) for index in range(disks + diskless)
        ]
        front, directory, readiness, control, links = free_ports_for_tier(self.nodes[0].address)
        self.ports = {
            "front": front,
            "directory": directory,
            "readiness": readiness,
            "control": control,
            "links": links,
        }
        self._is_closing = False

    def _address(self):
        self._next_address += 1
        return f"{self._subnet}.{self._next_address}"

    async def start_list(self, servers):
        await self.list.start(self._address())
        for server in servers:
            await server.start(self._address())
        self.list.servers = list(servers)

    def settings(self, node, bootstrap):
        ports = self.ports
        seeds = ",".join(f"{one.address}:{ports['control']}" for one in self.nodes[:3])
        lines = [
            f"node-name={node.name}",
            "role=node",
            "machine-class=frontend",
            "serves=frontend,control_plane,directory",
            f"ip={node.address}",
            f"zone={node.zone}",
            "region=tx-central",
            *(f"zones.{zone}=tx-central" for zone in ZONES),
            *(
                f"bind-addresses.{name}={node.address}:{ports[name]}"
                for name in ("front", "readiness", "control", "directory")
            ),
            f"internal-ports={ports['links']},{ports['links'] + 1}",
            f"seeds={seeds}",
            f"bootstrap={'true' if bootstrap else 'false'}",
            "in-tolerance=true",
            "limits.cpu-share=0.968",
            "limits.cpu-cores=2",
            "limits.memory-mb=300",
            "limits.max-fds=4100",
            "limits.link-mbps=1000.0",
            "limits.disk-mb=64",
            "discovery=cloud_api",
            "entry-mode=directory",
            "heartbeat-ms=1200",
            "contracts=base,drain,config,cost,retry,recover,scatter",
            "fault-tolerance.machines=1",
            "fault-tolerance.zones=0",
            "fault-tolerance.regions=0",
            "bounds.seed-lag-s=3",
            "bounds.reuse-after-s=2",
            "bounds.stable-window-ms=4000",
            "bounds.ack-ms=5000",
            "bounds.sync-s=4",
            "bounds.drain-ms=3000",
            "bounds.grace-s=6",
            "bounds.loss-slack-ms=200",
            "bounds.config-apply-ms=3000",
            "bounds.downgrade-slack-ms=250",
            "bounds.max-skew-ms=12000",
            "bounds.retry-budget-ratio=0.2",
            "bounds.budget-window-s=10",
            "bounds.retry-budget-extra=62",
            "bounds.recovery-s=12",
            "bounds.ttl_max_s=5",
            "config_mode=highest",
            f"cloud-api.address={self.list.address}:{self.list.port}",
            "cloud-api.rate-per-s=55.0",
            "cloud-api.duties=",
            "cloud-api.list-lag-ms=800",
        ]
        if node.has_disk:
            lines.append(f"data-dir={self.folder / node.name / 'data'}")
        return "\n".join(lines) + "\n"

    async def start_node(self, node, bootstrap):
        folder = self.folder / node.name
        (folder / "data").mkdir(parents=True, exist_ok=True)
        path = folder / "settings.conf"
        path.write_text(self.settings(node, bootstrap))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"ALDERHATCH_SETTINGS": str(path), "PYTHONPATH": str(BUILT)}
        with open(folder / "log", "ab") as log:
            node.process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        node.starts += 1
        self.record.write("start", node=node.name, pid=node.process.pid)

    async def start(self):
        for node in self.nodes:
            await self.start_node(node, True)

    async def restart_ended(self, after=0.5):
        """Start each process that ends by itself again, as the platform does, until cancelled."""
        while True:
            for node in self.nodes:
                if node.process is not None and node.process.returncode is not None:
                    node.own_ends += 1
                    self.record.write("own-end", node=node.name, code=node.process.returncode)
                    node.process = None
                    asyncio.get_running_loop().create_task(self._start_later(node, after))
            await asyncio.sleep(0.02)

    async def _start_later(self, node, after):
        await asyncio.sleep(after)
        if not self._is_closing:
            await self.start_node(node, False)

    def own_ends(self):
        return {node.name: node.own_ends for node in self.nodes}

    def say_errors(self):
        """Record the error with which each node ended that ended by itself."""
        for node in self.nodes:
            if node.own_ends:
                log = (self.folder / node.name / "log").read_text(errors="replace")
                lines = (line.strip(" |") for line in log.splitlines())
                errors = {line[:100] for line in lines if "Error: " in line}
                self.record.say(f"{node.name}: {' / '.join(sorted(errors))[:200]}")

    async def put(self, configuration, timeout=20.0):
        """Send a configuration to the nodes in turn until one acknowledges it."""
        body = json.dumps(configuration).encode()
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            for node in self.nodes:
                reply = await self.operate(node, "PUT", body)
                if reply is not None and reply.status == 200:
                    self.record.write("acked", version=configuration["version"], node=node.name)
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("no node acknowledged the configuration")

    async def operate(self, node, method, body=b""):
        address, port = node.address, self.ports["control"]
        for _ in range(3):
            reply = await ask_once(address, port, method, "/-/config", (), body)
            if reply is None or reply.status != 307:
                return reply
            address, _, text = reply.fields["location"].split("/")[2].partition(":")
            port = int(text)
        return reply

    async def wait_until_ready(self, timeout=20.0):
        until = time.monotonic() + timeout
        waiting = list(self.nodes)
        while waiting and time.monotonic() < until:
            await asyncio.sleep(0.1)
            for node in list(waiting):
                port = self.ports["readiness"]
                reply = await ask_once(node.address, port, "GET", "/-/readiness")
                if reply is not None and reply.status == 200:
                    waiting.remove(node)
        if waiting:
            raise RuntimeError(f"not ready: {[node.name for node in waiting]}")

    async def close(self):
        self._is_closing = True
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def service(name, connections):
    return {
        "name": name,
        "health-path": "/health",
        "max-connections": connections,
        "protocol": "h1",
        "tls": False,
    }


def route(name, prefix, target, **more):
    fields = {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "route-type": "safe",
        "timeout-ms": 8000,
        "target-latency-ms": 555,
        "priority": 2,
        "service": target,
        "max-attempts": 2,
    }
    return fields | more


LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 262144,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


def new_id(rng):
    return f"{rng.getrandbits(64):016x}"


def main(case, here):
    """Run a case: a coroutine of the record that returns the exit code; end after 110 s."""
    record = Record(Path(here).resolve().parent / "record.txt")

    async def bounded():
        async with asyncio.timeout(110):
            return await case(record)

    try:
        code = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as exc:
        record.say(f"could not run: {type(exc).__name__}: {exc}")
        code = COULD_NOT_RUN
    record.say({0: "the rule held", 1: "the rule was broken"}.get(code, "the case could not run"))
    sys.exit(code)
