"""The sockets of a control host: links, operator API, and the announcement of its addresses."""

from __future__ import annotations

from typing import NamedTuple

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..core.control.lease_messages import CONTROL_MESSAGES
from ..core.control.operations import OPERATIONS, AnnounceControl
from ..errors import AlderhatchError
from ..http.messages import HttpLimits
from ..http.server import serve_http
from ..link import Peer, serve_links
from ..log import log_event
from ..log_events import LogEvent
from ..settings.models import ControlSettings
from ..signal import Signal
from .control_host import ControlHost
from .control_log import ControlLog
from .leader_link import LeaderAddress, LeaderLink
from .link_server import LinkServer
from .observed_state import ObservedState
from .operator_api import OperatorApi
from .operator_keys import OperatorKeys
from .operator_requests import OperatorRequests

MAX_LINKS = 1024
OPERATOR_LIMITS = HttpLimits(connections=64, request_timeout=10 * SECOND)
ANNOUNCE_RETRY_INTERVAL: Millis = 200.0


class ControlAddresses(NamedTuple):
    """The ports on which a control host listens."""

    link_port: int
    operator_port: int


class ControlServer:
    """A control host with its servers, without the replicated log itself."""

    def __init__(
        self,
        cfg: ControlSettings,
        log: ControlLog,
        observed: ObservedState,
        secret: bytes,
        keys: OperatorKeys,
        codec: Codec | None = None,
        role_changed: Signal | None = None,
    ) -> None:
        """Initialize the server; ``run`` listens.

        Args:
            cfg: The host's settings.
            log: The replicated log, which applies its commands to ``observed``.
            observed: The state.
            secret: The secret shared by all processes of the tier.
            keys: The operators' keys.
            codec: The codec of the links, including the messages of the log; one for
                ``CONTROL_MESSAGES`` alone if None.
            role_changed: Notified when the log's role, term or leader changes.
        """
        self._cfg = cfg
        self._log = log
        self._observed = observed
        self._secret = secret
        self._codec = codec or Codec(*CONTROL_MESSAGES)
        role_changed = role_changed or Signal()
        leader_link = LeaderLink(cfg.name, self._codec, secret, self._find_leader, role_changed)
        clock = LoopClock()
        self.host = ControlHost(log, observed, leader_link, cfg.lease_ms, clock, role_changed)
        """Answers renewals and operations."""
        api = OperatorApi(self.host, keys, cfg.name, cfg.zone)
        self.operator_requests = OperatorRequests(api.handle)
        """The requests of operators in progress."""

    async def run(
        self,
        task_status: trio.TaskStatus[ControlAddresses] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled.

        Args:
            task_status: Started with the ports once the host listens.
        """
        cfg = self._cfg
        links = await listen(cfg.links.address, cfg.links.port)
        operators = await listen(cfg.operators.address, cfg.operators.port)
        addresses = ControlAddresses(_port(links), _port(operators))
        own_peer = Peer(cfg.name, "control")
        handler = LinkServer(self.host).handle
        async with trio.open_nursery() as nursery:
            await nursery.start(self.host.run)
            await nursery.start(
                serve_links, links, self._codec, self._secret, own_peer, handler, MAX_LINKS
            )
            requests = self.operator_requests
            await nursery.start(
                serve_http, operators, requests.handle, OPERATOR_LIMITS, requests.state
            )
            nursery.start_soon(self._announce, addresses)
            log_event(
                LogEvent.CONTROL_STARTED,
                name=cfg.name,
                links=addresses.link_port,
                operators=addresses.operator_port,
            )
            task_status.started(addresses)

    def _find_leader(self) -> LeaderAddress | None:
        status = self._log.status()
        if status.leader is None or status.leader == self._cfg.name:
            return None
        record = self._observed.state.hosts.controls.get(status.leader)
        if record is not None:
            return LeaderAddress(record.name, record.address, record.port)
        for peer in self._cfg.peers:
            if peer.name == status.leader:
                return LeaderAddress(peer.name, peer.address, peer.port)
        return None

    async def _announce(self, addresses: ControlAddresses) -> None:
        """Write this host's addresses to the log at its start; this also ends a planned stop."""
        cfg = self._cfg
        operation = AnnounceControl(
            cfg.name,
            cfg.zone,
            cfg.links.address,
            addresses.link_port,
            cfg.operators.address,
            addresses.operator_port,
        )
        while True:
            try:
                await self.host.submit_operations([OPERATIONS.encode(operation)])
                return
            except AlderhatchError:
                await trio.sleep(ANNOUNCE_RETRY_INTERVAL / SECOND)


async def listen(address: str, port: int) -> list[trio.SocketListener]:
    """Open listening sockets on one address.

    Args:
        address: An IP address.
        port: A TCP port; 0 lets the kernel choose.
    """
    return await trio.open_tcp_listeners(port, host=address)


def _port(listeners: list[trio.SocketListener]) -> int:
    return int(listeners[0].socket.getsockname()[1])
