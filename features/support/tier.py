"""A tier on loopback: control hosts and entries as processes, and a stand-in upstream."""

from __future__ import annotations

import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from http.client import HTTPConnection, HTTPException
from pathlib import Path

from alderhatch.standin.standin_server import ServiceTime, UpstreamShape
from alderhatch.standin.standin_upstream import StandinUpstream
from features.support.loop_thread import LoopThread

WAIT_TIMEOUT_S = 60
CHANGE_KEY = "change-key-of-the-tests-0123456789"
READ_KEY = "read-key-of-the-tests-0123456789"
SECRET = "the secret that the processes of the tests share"
ZONES = ("austin-hall", "waco-hall", "temple-hall")
_numbers = itertools.count(1)


def own_loopback_address():
    """Return an address in 127.0.0.0/8 that only this test uses.

    On 127.0.0.1 a connection of another test could take a port after the port was chosen and before
    the process that is to listen on it starts.
    """
    number = next(_numbers)
    return f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.{1 + number % 250}"


def free_ports(address, count):
    """Return distinct ports chosen by the kernel; all are held until the last one is chosen."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((address, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def until(check, event):
    """Wait until a check returns a true value and return it; the timeout suits a busy machine."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        value = check()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"did not happen within {WAIT_TIMEOUT_S} s: {event}")


class Reply:
    def __init__(self, status, body):
        self.status = status
        self.body = body

    def __repr__(self):
        return f"Reply({self.status}, {str(self.body)[:400]})"


def http(address, port, method, path, body=None, key=None, timeout=20):
    """Send a request and return the reply; None if the connection or the exchange fails."""
    conn = HTTPConnection(address, port, timeout=timeout)
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    try:
        conn.request(method, path, None if body is None else json.dumps(body), headers)
        answer = conn.getresponse()
        return Reply(answer.status, json.loads(answer.read() or b"null"))
    except (OSError, HTTPException, ValueError):
        return None
    finally:
        conn.close()


class UpstreamThread:
    """A stand-in upstream that runs in its own event loop and thread."""

    def __init__(self, shards, servers, median_ms):
        shape = UpstreamShape("navigator", shards, servers, 4, 60, 0.0)
        self.upstream = StandinUpstream(shape, ZONES, service_time=ServiceTime(median_ms, 0.0, 0.0))
        self._loop = LoopThread()
        self._loop.call(self._loop.nursery.start, self.upstream.serve)

    @property
    def seed_port(self):
        return self.upstream.servers[0].port

    def runs_of(self, request_id):
        return [item for item in list(self.upstream.runs) if item[0] == request_id]

    def close(self):
        self._loop.close()


class Program:
    """One process that the test starts and ends."""

    def __init__(self, module, settings, log_path):
        self._command = [sys.executable, "-m", module, str(settings)]
        self._log_path = log_path
        self.process = None

    def duplicate(self):
        """Return a second program with the same settings and a separate log."""
        module, settings = self._command[2:]
        return Program(module, settings, self._log_path.with_suffix(".twin.log"))

    def start(self):
        env = os.environ | {"PYTHONPATH": "src"}
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(self._command, stdout=log, stderr=log, env=env)

    def send(self, signal_number):
        os.kill(self.process.pid, signal_number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def wait(self):
        """Wait for the process to end; return the exit code."""
        return self.process.wait(WAIT_TIMEOUT_S)

    def stop(self):
        """Stop the process by SIGTERM, as service managers do; return the exit code."""
        self.send(signal.SIGTERM)
        return self.wait()

    @property
    def alive(self):
        return self.process is not None and self.process.poll() is None

    def log(self):
        return self._log_path.read_text() if self._log_path.exists() else ""

    def close(self):
        if self.alive:
            self.send(signal.SIGCONT)
            self.kill()


class Tier:
    """Control hosts, entries and one upstream.

    Without control hosts, the entries read the rules of the brazos example from a file.
    """

    def __init__(self, controls, entries, shards=4, servers=2, median_ms=1.0):
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.address = own_loopback_address()
        self.upstream = UpstreamThread(shards, servers, median_ms)
        ports = iter(free_ports(self.address, 2 * (controls + entries)))
        self.control_ports = self._port_pairs("control", controls, ports)
        self.entry_ports = self._port_pairs("entry", entries, ports)
        self._changes = itertools.count(1)
        shutil.copy("examples/brazos/rules.toml", self.folder / "rules.toml")
        self._write_private("secret", SECRET)
        self._write_private("keys", f"anna change {CHANGE_KEY}\nmonitor read {READ_KEY}\n")
        self.change_key = str(self._write_private("change-key", CHANGE_KEY))
        self.controls = {name: self._control_program(name) for name in self.control_ports}
        self.entries = {name: self._entry_program(name) for name in self.entry_ports}

    def _port_pairs(self, role, count, ports):
        names = [f"{role}-{number + 1}" for number in range(count)]
        return {name: (next(ports), next(ports)) for name in names}

    def _write_private(self, name, text):
        path = self.folder / name
        path.write_text(text + "\n")
        path.chmod(0o600)
        return path

    def _control_program(self, name):
        links, operators = self.control_ports[name]
        lines = [
            *self._identity_lines(name, self.control_ports),
            f'data_folder = "{name}-data"',
            'secret_file = "secret"',
            'keys_file = "keys"',
            "lease_ms = 2000",
            *self._endpoint("links", links),
            *self._endpoint("operators", operators),
            *self._control_endpoints("peers"),
        ]
        return self._program("control", name, lines)

    def _entry_program(self, name):
        callers, operators = self.entry_ports[name]
        lines = [
            *self._identity_lines(name, self.entry_ports),
            'secret_file = "secret"' if self.control_ports else 'rules_file = "rules.toml"',
            "address_ttl_ms = 300",
            "drain_ms = 20000",
            *self._endpoint("callers", callers),
            *self._endpoint("operators", operators),
            *self._control_endpoints("controls"),
            "[[upstreams]]",
            'name = "navigator"',
            "map_poll_ms = 100",
            "health_poll_ms = 200",
            f'seeds = [{{ address = "127.0.0.1", port = {self.upstream.seed_port} }}]',
        ]
        return self._program("entry", name, lines)

    def _identity_lines(self, name, names):
        return [f'name = "{name}"', f'zone = "{ZONES[list(names).index(name) % len(ZONES)]}"']

    def _endpoint(self, table, port):
        lines = [f"[{table}]"] if table else []
        return [*lines, f'address = "{self.address}"', f"port = {port}"]

    def _control_endpoints(self, array):
        """Return the settings lines of the link endpoints of all control hosts."""
        lines = []
        for name, (links, _) in self.control_ports.items():
            lines += [f"[[{array}]]", f'name = "{name}"', *self._endpoint(None, links)]
        return lines

    def _program(self, program, name, lines):
        settings = self.folder / f"{name}.toml"
        settings.write_text("\n".join(lines) + "\n")
        return Program(f"alderhatch.cli.{program}", settings, self.folder / f"{name}.log")

    @property
    def programs(self):
        return {**self.controls, **self.entries}

    @property
    def control_addresses(self):
        return ",".join(f"{self.address}:{port}" for _, port in self.control_ports.values())

    @property
    def entry_addresses(self):
        return ",".join(f"{self.address}:{port}" for port, _ in self.entry_ports.values())

    @property
    def operator_addresses(self):
        """Return the operator address of each process."""
        ports = self.control_ports | self.entry_ports
        return {name: f"{self.address}:{operators}" for name, (_, operators) in ports.items()}

    def start(self):
        """Start all programs and wait until there is a leader and every entry is ready."""
        for program in self.programs.values():
            program.start()
        if self.controls:
            self.leader()
        for name, (_, operators) in self.entry_ports.items():
            until(lambda port=operators: self._is_ready(port), f"{name} is ready: {self.logs()}")

    def _is_ready(self, operators):
        reply = http(self.address, operators, "GET", "/ready")
        return reply is not None and reply.status == 200

    def logs(self):
        return "\n".join(f"{name}:\n{self.programs[name].log()[-2000:]}" for name in self.programs)

    def operator(self, name, method, path, body=None):
        return http(self.address, self.control_ports[name][1], method, path, body, CHANGE_KEY)

    def leader(self, among=None):
        """Wait until one of the control hosts reports that it leads; return its name."""

        def find():
            for name in among or self.controls:
                reply = self.operator(name, "GET", "/v1/status")
                if reply is not None and reply.status == 200 and reply.body["grants_leases"]:
                    return name
            return None

        try:
            return until(find, "a leader")
        except AssertionError as exc:
            raise AssertionError(f"{exc}\n{self.logs()}") from exc

    def get_from_leader(self, path):
        """Return the leader's answer; retry at the next leader if leadership was lost."""

        def fetch():
            reply = self.operator(self.leader(), "GET", path)
            return reply is not None and reply.status == 200 and reply.body

        return until(fetch, f"the leader's answer to {path}")

    def revision(self, name):
        reply = self.operator(name, "GET", "/v1/rules")
        return reply.body["revision"] if reply is not None and reply.status == 200 else None

    def rules(self, name):
        """Return the revision and rule names that this host has applied, leader or not."""
        reply = self.operator(name, "GET", "/v1/rules?stale=true")
        if reply is None or reply.status != 200:
            return None
        return reply.body["revision"], [rule["name"] for rule in reply.body["rules"]]

    def add_rule(self, rule_name, among=None):
        """Add a rule, resent with its change ID until it is accepted; return the answer."""
        change_id = f"change-{next(self._changes)}"
        rule = {"name": rule_name, "when": {"kind": rule_name}, "then": {"deadline_ms": 5000}}
        body = None

        def send():
            nonlocal body
            for name in among or self.controls:
                if body is None:
                    revision = self.revision(name)
                    if revision is None:
                        continue
                    body = {
                        "change_id": change_id,
                        "expected_revision": revision,
                        "rule": rule,
                        "position": 1,
                    }
                reply = self.operator(name, "POST", "/v1/rules", body)
                if reply is None:
                    continue
                assert reply.status in (200, 503, 504), reply
                if reply.status == 200:
                    return reply
            return None

        return until(send, f"rule {rule_name} accepted").body

    def serves(self, name):
        reply = self.query(name, "ready")
        return reply is not None and reply.status == 200

    def query(self, entry, kind, **fields):
        body = {
            "request_id": f"q-{next(_numbers)}",
            "caller": "front-desk",
            "kind": kind,
            "upstream": "navigator",
            "query": {"topic": "towels"},
            **fields,
        }
        return http(self.address, self.entry_ports[entry][0], "POST", "/query", body)

    def run(self, entry, request_id, **fields):
        body = {
            "request_id": request_id,
            "caller": "front-desk",
            "kind": "dispatch",
            "upstream": "navigator",
            "key": "room-214",
            "deadline_ms": 10000,
            "query": {"topic": "towels"},
            **fields,
        }
        return http(self.address, self.entry_ports[entry][0], "POST", "/run", body)

    def addresses(self, entry):
        """Return the ports of the entries that an entry advertises to callers."""
        reply = http(self.address, self.entry_ports[entry][0], "GET", "/addresses")
        return reply and {item["port"] for item in reply.body["addresses"]}

    def close(self):
        for program in self.programs.values():
            program.close()
        self.upstream.close()
        self._folder.cleanup()
