"""A small tier of real processes on loopback, started and ended by a test."""

from __future__ import annotations

import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.request import urlopen

from features.support.tier_processes import own_loopback_address

START_TIMEOUT_S = 60
STOP_TIMEOUT_S = 20
LOOPBACK = "127.0.0.1"
CHANGE_KEY = "change-key-of-the-tests-0123456789"
READ_KEY = "read-key-of-the-tests-0123456789"


def free_ports(count, address=LOOPBACK):
    """Return ports that the kernel chose; control hosts have to know each other's beforehand."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((address, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Tier:
    """Control hosts, entries and one stand-in upstream, each a process of its own."""

    def __init__(self, controls=3, entries=2, zones=("austin-hall", "waco-hall", "temple-hall")):
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.secret = secrets.token_hex(16)
        self.zones = zones
        self.processes = {}
        self.upstream_servers = []
        # On the usual loopback address another test's connection could take a port in the moment
        # between its choice and the start of the process that is to listen on it.
        self.address = own_loopback_address()
        ports = iter(free_ports(2 * (controls + entries), self.address))
        self.controls = {f"control-{n + 1}": (next(ports), next(ports)) for n in range(controls)}
        self.entries = {f"entry-{n + 1}": (next(ports), next(ports)) for n in range(entries)}
        self._private("secret", self.secret)
        self._private("keys", f"anna change {CHANGE_KEY}\nmonitor read {READ_KEY}\n")
        self.change_key = str(self._private("change-key", CHANGE_KEY))
        self.read_key = str(self._private("read-key", READ_KEY))

    def _private(self, name, text):
        path = self.folder / name
        path.write_text(text)
        path.chmod(0o600)
        return path

    @property
    def control_places(self):
        return ",".join(f"{self.address}:{operators}" for _, operators in self.controls.values())

    @property
    def entry_places(self):
        return ",".join(f"{self.address}:{callers}" for callers, _ in self.entries.values())

    def start(self):
        """Start everything and wait until every entry is ready.

        Without control hosts, entries take the rules of the brazos example from a file.
        """
        shutil.copy("examples/brazos/rules.toml", self.folder / "rules.toml")
        self._start_upstream()
        for name in self.controls:
            self.start_control(name)
        for _, operators in self.controls.values():
            self.wait_for(f"http://{self.address}:{operators}/readyz")
        for name in self.entries:
            self.start_entry(name)
        for _, operators in self.entries.values():
            self.wait_for(f"http://{self.address}:{operators}/ready")

    def _start_upstream(self):
        words = ["navigator", "--shards", "4", "--median-ms", "1", "--connect-ms", "0"]
        for zone in self.zones:
            words += ["--zone", zone]
        process = self._spawn("upstream", "upstream", words, stdout=subprocess.PIPE)
        self.upstream_servers = json.loads(process.stdout.readline())["servers"]

    def start_control(self, name):
        number = list(self.controls).index(name)
        links, operators = self.controls[name]
        lines = [
            f'name = "{name}"',
            f'zone = "{self.zones[number % len(self.zones)]}"',
            f'data_folder = "{name}-data"',
            'secret_file = "secret"',
            'keys_file = "keys"',
            "lease_ms = 2000",
            "heartbeat_ms = 50",
            "election_timeout_ms = 400",
            *self._endpoint("links", links),
            *self._endpoint("operators", operators),
        ]
        for peer, (port, _) in self.controls.items():
            lines += ["[[peers]]", f'name = "{peer}"', *self._endpoint(None, port)]
        self._start_program(name, "control", lines)

    def start_entry(self, name):
        number = list(self.entries).index(name)
        callers, operators = self.entries[name]
        lines = [
            f'name = "{name}"',
            f'zone = "{self.zones[number % len(self.zones)]}"',
            'secret_file = "secret"' if self.controls else 'rules_file = "rules.toml"',
            "address_ttl_ms = 500",
            "drain_ms = 5000",
            *self._endpoint("callers", callers),
            *self._endpoint("operators", operators),
        ]
        for control, (links, _) in self.controls.items():
            lines += ["[[controls]]", f'name = "{control}"', *self._endpoint(None, links)]
        lines += ["[[upstreams]]", 'name = "navigator"', "map_poll_ms = 200"]
        port = self.upstream_servers[0]["port"]
        lines.append(f'seeds = [{{ address = "{LOOPBACK}", port = {port} }}]')
        self._start_program(name, "entry", lines)

    def _endpoint(self, table, port):
        lines = [f"[{table}]"] if table else []
        return [*lines, f'address = "{self.address}"', f"port = {port}"]

    def _start_program(self, name, program, lines):
        settings = self.folder / f"{name}.toml"
        settings.write_text("\n".join(lines) + "\n")
        self._spawn(name, program, [str(settings)])

    def _spawn(self, name, program, words, **more):
        with (self.folder / f"{name}.log").open("a") as log:
            command = [sys.executable, "-m", f"alderhatch.cli.{program}", *words]
            env = os.environ | {"PYTHONPATH": "src"}
            process = subprocess.Popen(command, stderr=log, env=env, text=True, **more)
        self.processes[name] = process
        return process

    def wait_for(self, url):
        """Wait until a URL answers with status 200."""
        end = time.monotonic() + START_TIMEOUT_S
        last = None
        while time.monotonic() < end:
            try:
                with urlopen(url, timeout=2) as reply:
                    return reply.read()
            except OSError as exc:
                last = exc
            self._check_alive()
            time.sleep(0.05)
        raise AssertionError(f"{url}: {last}\n{self.logs()}")

    def _check_alive(self):
        for name, process in self.processes.items():
            assert process.poll() is None, f"{name} ended with {process.poll()}\n{self.logs()}"

    @property
    def dump_places(self):
        """Where each process shows its dump."""
        return {
            name: f"{self.address}:{operators}"
            for name, (_, operators) in (self.controls | self.entries).items()
        }

    def log_of(self, name):
        return (self.folder / f"{name}.log").read_text()

    def logs(self):
        return "\n".join(f"{name}:\n{self.log_of(name)[-2000:]}" for name in self.processes)

    def end(self, name, number=signal.SIGTERM):
        """Send one process a signal and wait for its end; return its exit code."""
        process = self.processes.pop(name)
        process.send_signal(number)
        try:
            return process.wait(STOP_TIMEOUT_S)
        finally:
            if process.poll() is None:
                process.kill()
                process.wait()
            if process.stdout is not None:
                process.stdout.close()

    def stop(self):
        """End all processes that this tier started."""
        for name in list(self.processes):
            self.end(name, signal.SIGKILL)
        self._folder.cleanup()
