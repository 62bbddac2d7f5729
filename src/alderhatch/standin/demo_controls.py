"""The control hosts of the demo, run in its event loop."""

from __future__ import annotations

import secrets
import socket
from pathlib import Path

import orjson
import trio

from ..codec import Codec
from ..control.control_server import ControlServer
from ..control.log_messages import PEER_MESSAGE_TYPES
from ..control.log_node import LogNode
from ..control.log_node_config import LogNodeConfig
from ..control.observed_state import ObservedState
from ..control.operator_keys import parse_keys
from ..core.control.lease_messages import CONTROL_MESSAGES
from ..core.rule_list import RuleList
from ..http.client import http_once
from ..http.exchange import HttpExchangeError
from ..settings.models import ControlSettings, Endpoint, NamedEndpoint
from ..storage.data_folder import DataFolder
from ..storage.files import DiskFiles

LOOPBACK = "127.0.0.1"
CONTROL_COUNT = 3
RETRY_INTERVAL_S = 0.05
OPERATOR = "demo"
EPHEMERAL_PORT_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
MIN_PORT = 10_000
DEFAULT_EPHEMERAL_MIN = 32_768


class DemoControls:
    """Three control hosts that use real files and sockets.

    Args:
        folder: Parent of their data folders.
        zones: The availability zones that they are distributed over.
    """

    def __init__(self, folder: Path, zones: tuple[str, ...]) -> None:
        self.secret = secrets.token_bytes(32)
        self._key = secrets.token_hex(16)
        self._folder = folder
        self._zones = zones
        ports = _free_ports(2 * CONTROL_COUNT)
        self._operator_ports = ports[CONTROL_COUNT:]
        self.endpoints = tuple(
            NamedEndpoint(name=f"control-{number + 1}", address=LOOPBACK, port=ports[number])
            for number in range(CONTROL_COUNT)
        )
        """Addresses at which the hosts accept links."""

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the hosts until cancelled."""
        async with trio.open_nursery() as nursery:
            for number in range(CONTROL_COUNT):
                await nursery.start(self._run_host, number)
            task_status.started()

    async def _run_host(
        self, number: int, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        cfg = self._settings(number)
        observed = ObservedState()
        storage = DataFolder(DiskFiles(cfg.data_folder), cfg.name)
        node = LogNode(cfg.name, cfg.peers, storage, observed, self.secret, LogNodeConfig())
        codec = Codec(*CONTROL_MESSAGES, *PEER_MESSAGE_TYPES)
        keys = parse_keys(f"{OPERATOR} change {self._key}\n")
        server = ControlServer(cfg, node, observed, self.secret, keys, codec)
        async with trio.open_nursery() as nursery:
            await nursery.start(node.run)
            await nursery.start(server.run)
            task_status.started()

    def _settings(self, number: int) -> ControlSettings:
        endpoint = self.endpoints[number]
        return ControlSettings(
            name=endpoint.name,
            zone=self._zones[number % len(self._zones)],
            data_folder=self._folder / endpoint.name,
            links=Endpoint(address=LOOPBACK, port=endpoint.port),
            operators=Endpoint(address=LOOPBACK, port=self._operator_ports[number]),
            peers=self.endpoints,
            secret_file=self._folder / "not-used",
            keys_file=self._folder / "not-used",
        )

    async def put_rules(self, rules: RuleList) -> None:
        """Replace the rules through the operator API; retry until there is a leader."""
        change = {"change_id": "demo-rules", "expected_revision": 0, "rules": rules.to_plain()}
        headers = [("Authorization", f"Bearer {self._key}")]
        while True:
            for port in self._operator_ports:
                try:
                    reply = await http_once(
                        LOOPBACK, port, "PUT", "/v1/rules", orjson.dumps(change), headers
                    )
                except HttpExchangeError:
                    continue
                if reply.status == 200:
                    return
            await trio.sleep(RETRY_INTERVAL_S)


def _free_ports(count: int) -> list[int]:
    """Return free ports for hosts that need each other's ports before any of them listens."""
    # The kernel may assign a released ephemeral port to a connection of the demo before the host
    # listens on it, which then fails with "address already in use". Ports below the ephemeral range
    # are never assigned that way.
    ports: list[int] = []
    while len(ports) < count:
        port = MIN_PORT + secrets.randbelow(_min_ephemeral_port() - MIN_PORT)
        if port not in ports and _is_free(port):
            ports.append(port)
    return ports


def _min_ephemeral_port() -> int:
    try:
        range_start = int(EPHEMERAL_PORT_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError):
        return DEFAULT_EPHEMERAL_MIN
    return max(range_start, MIN_PORT + 1)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
