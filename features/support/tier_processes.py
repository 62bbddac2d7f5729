"""The real programs on loopback: control hosts and entries as processes, upstreams in a thread."""

from __future__ import annotations

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import trio

from alderhatch.standin.standin_server import ServiceTime, UpstreamShape
from alderhatch.standin.standin_upstream import StandinUpstream

PATIENCE_S = 60
KEY = "operator-key-of-the-tests"
SECRET = "the secret that the processes of the tests share"
ZONES = ("austin-hall", "waco-hall", "temple-hall")
_numbers = itertools.count(1)


def own_loopback_address():
    """An address in 127.0.0.0/8 of this test alone: its ports are free for nobody else to take."""
    number = next(_numbers)
    return f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.{1 + number % 250}"


def free_port(address):
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


def until(check, what):
    """Wait for an event of the real programs, with patience enough for a busy machine."""
    end = time.monotonic() + PATIENCE_S
    while time.monotonic() < end:
        value = check()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"did not come about within {PATIENCE_S} s: {what}")


class Reply:
    def __init__(self, status, body):
        self.status = status
        self.body = body

    def __repr__(self):
        return f"Reply({self.status}, {str(self.body)[:400]})"


def http(address, port, method, path, body=None, key=None, timeout=20):
    """One exchange; None if nothing listens or the connection breaks."""
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
    """A stand-in upstream with a loop of its own in a thread of the test."""

    def __init__(self, shards, servers, median_ms):
        shape = UpstreamShape("navigator", shards, servers, 4, 60, 0.0)
        self.upstream = StandinUpstream(shape, ZONES, service_time=ServiceTime(median_ms, 0.0, 0.0))
        self._ready = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._main,))
        self._thread.start()
        self._ready.wait()

    async def _main(self):
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._token = trio.lowlevel.current_trio_token()
            await nursery.start(self.upstream.serve)
            self._ready.set()
            await trio.sleep_forever()

    @property
    def seed_port(self):
        return self.upstream.servers[0].port

    def runs_of(self, request_id):
        return [item for item in list(self.upstream.runs) if item[0] == request_id]

    def close(self):
        self._token.run_sync_soon(self._nursery.cancel_scope.cancel)
        self._thread.join()


class Program:
    """One process of ours, started by the test and ended by its id."""

    def __init__(self, module, settings, log_path):
        self._command = [sys.executable, "-m", module, str(settings)]
        self._log_path = log_path
        self.process = None

    def start(self):
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(self._command, stdout=log, stderr=log)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def send(self, number):
        os.kill(self.process.pid, number)

    def wait(self):
        return self.process.wait(PATIENCE_S)

    @property
    def alive(self):
        return self.process is not None and self.process.poll() is None

    def log(self):
        return self._log_path.read_text()[-4000:]

    def close(self):
        if not self.alive:
            return
        self.send(signal.SIGCONT)
        self.kill()


class Tier:
    """Control hosts, entries and one upstream."""

    def __init__(self, folder, controls, entries, shards=4, servers=2, median_ms=1.0):
        self.folder = Path(folder)
        self.address = own_loopback_address()
        self.upstream = UpstreamThread(shards, servers, median_ms)
        self.controls = {}
        self.entries = {}
        self.control_ports = {}
        self.entry_ports = {}
        self._changes = itertools.count(1)
        self._write_secrets()
        names = [f"control-{number + 1}" for number in range(controls)]
        ports = {name: (free_port(self.address), free_port(self.address)) for name in names}
        self.control_ports = ports
        for number, name in enumerate(names):
            self.controls[name] = self._control(name, ZONES[number % len(ZONES)])
        for number in range(entries):
            self._add_entry(f"entry-{number + 1}", ZONES[number % len(ZONES)])

    def _write_secrets(self):
        for name, text in (
            ("secret", SECRET + "\n"),
            ("keys", f"anna change {KEY}\n"),
        ):
            path = self.folder / name
            path.write_text(text)
            path.chmod(0o600)

    def _control(self, name, zone):
        links, operators = self.control_ports[name]
        peers = "\n".join(
            f'[[peers]]\nname = "{peer}"\naddress = "{self.address}"\nport = {pair[0]}'
            for peer, pair in self.control_ports.items()
        )
        text = f"""
name = "{name}"
zone = "{zone}"
data_folder = "{self.folder / name}"
secret_file = "{self.folder / 'secret'}"
keys_file = "{self.folder / 'keys'}"
[links]
address = "{self.address}"
port = {links}
[operators]
address = "{self.address}"
port = {operators}
{peers}
"""
        return self._program("alderhatch.cli.control", name, text)

    def _add_entry(self, name, zone):
        callers, operators = free_port(self.address), free_port(self.address)
        self.entry_ports[name] = (callers, operators)
        controls = "\n".join(
            f'[[controls]]\nname = "{peer}"\naddress = "{self.address}"\nport = {pair[0]}'
            for peer, pair in self.control_ports.items()
        )
        text = f"""
name = "{name}"
zone = "{zone}"
secret_file = "{self.folder / 'secret'}"
address_ttl_ms = 300
drain_ms = 20000
[callers]
address = "{self.address}"
port = {callers}
[operators]
address = "{self.address}"
port = {operators}
{controls}
[[upstreams]]
name = "navigator"
map_poll_ms = 100
health_poll_ms = 200
seeds = [{{ address = "127.0.0.1", port = {self.upstream.seed_port} }}]
"""
        self.entries[name] = self._program("alderhatch.cli.entry", name, text)

    def _program(self, module, name, text):
        settings = self.folder / f"{name}.toml"
        settings.write_text(text)
        return Program(module, settings, self.folder / f"{name}.log")

    @property
    def programs(self):
        return {**self.controls, **self.entries}

    def start(self):
        for program in self.programs.values():
            program.start()
        self.leader()
        for name in self.entries:
            until(lambda name=name: self.serves(name), f"{name} serves")

    def serves(self, name):
        reply = self.query(name, "ready")
        return reply is not None and reply.status == 200

    def operator(self, name, method, path, body=None):
        return http(self.address, self.control_ports[name][1], method, path, body, KEY)

    def leader(self, among=None):
        """The name of the host that says it leads, once one of those asked does."""

        def find():
            for name in among or self.controls:
                reply = self.operator(name, "GET", "/v1/hosts")
                if reply is None or reply.status != 200:
                    continue
                for row in reply.body["controls"]:
                    if row["leader"] and row["name"] in (among or self.controls):
                        return row["name"]
            return None

        return until(find, "a leader")

    def revision(self, name):
        reply = self.operator(name, "GET", "/v1/rules")
        return reply.body["revision"] if reply is not None and reply.status == 200 else None

    def rules(self, name):
        """What this very host has applied, whether it leads or not."""
        reply = self.operator(name, "GET", "/v1/rules?stale=true")
        if reply is None or reply.status != 200:
            return None
        return reply.body["revision"], [rule["name"] for rule in reply.body["rules"]]

    def add_rule(self, rule_name, among=None, wait=True):
        """Add a rule, resending it with its change id until it is answered; return the revision."""
        change_id = f"change-{next(self._changes)}"
        path = "/v1/rules?wait=in_force&timeout_ms=20000" if wait else "/v1/rules"
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
                reply = self.operator(name, "POST", path, body)
                if reply is not None and reply.status == 200:
                    return reply
                if reply is not None and reply.body["error"] == "revision_conflict":
                    raise AssertionError(reply)
            return None

        return until(send, f"rule {rule_name} accepted").body

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
        reply = http(self.address, self.entry_ports[entry][0], "GET", "/addresses")
        return reply and {item["port"] for item in reply.body["addresses"]}

    def close(self):
        for program in self.programs.values():
            program.close()
        self.upstream.close()
