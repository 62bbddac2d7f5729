"""The links of one control host to the other control hosts.

Each host dials every other host. Requests are sent over the dialled link, and replies come back
over the same link, so that the sender of a request detects a link that no longer delivers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..core.raft.message_values import invalid_field
from ..core.raft.messages import REPLY_TYPES, Message, TimeoutNow
from ..link import Link, LinkClosedError, Peer, open_link
from ..log import log_event
from ..log_events import LogEvent
from ..task_faults import TaskKind, record_task_fault
from .log_messages import PEER_MESSAGE_TYPES, PeerHello, PeerHelloReply
from .log_node_config import LogNodeConfig

PEER_ROLE = "control"
_QUEUE_LENGTH = 512
_MAX_MISSED_PROBES = 5
"""Probe intervals without any message after which an accepted link is closed."""


class PeerAddress(NamedTuple):
    """The address on which a control host accepts links."""

    name: str
    address: str
    """An IP address."""
    port: int


class LinkHandlers(NamedTuple):
    """Callbacks of ``LogLinks``."""

    on_message: Callable[[str, Message], None]
    """Called with the sender's member ID and a message from a member of the same cluster."""
    on_connected: Callable[[str], None]
    """Called with the peer's member ID when a link to it was opened, unless the peer is in another
    cluster."""
    join: Callable[[str], bool]
    """Returns whether this host belongs to the cluster with this ID; a host without a cluster joins
    it."""


class Outbox:
    """A bounded queue of messages to be sent over one link.

    The bound keeps a peer that doesn't read from using up this host's memory. Messages that don't
    fit are dropped; Raft sends them again.
    """

    def __init__(self, link: Link) -> None:
        self.link = link
        """The link over which the messages are sent."""
        self._send, self._receive = trio.open_memory_channel[tuple[Any, ...]](_QUEUE_LENGTH)

    def put(self, message: tuple[Any, ...]) -> None:
        """Add a message; it is dropped if the queue is full."""
        try:
            self._send.send_nowait(message)
        except trio.WouldBlock:
            return

    async def get(self) -> tuple[Any, ...]:
        """Remove and return the next message; waits for one if the queue is empty."""
        return await self._receive.receive()


class RemotePeer:
    """A peer and the link that this host dials to it."""

    def __init__(self, peer_address: PeerAddress) -> None:
        self.peer_address = peer_address
        self.member_id = ""
        """The member ID that the peer last reported; empty if none yet."""
        self.cluster_id: str | None = None
        """The cluster ID that the peer last reported; empty if it belongs to no cluster, None if it
        was never reached."""
        self.outbox: Outbox | None = None
        """Queue of the open link; None without a link and while the peer is in another cluster."""
        self.scope = trio.CancelScope()
        """Cancelled to close the link and stop dialling."""
        self.awaiting_reply_since: Millis | None = None
        """Since when a reply has been awaited; None if none is awaited."""


class LogLinks:
    """Keeps the links to the peers, sends messages and passes received ones to the handlers."""

    def __init__(
        self,
        own_peer: Peer,
        secret: bytes,
        cfg: LogNodeConfig,
        hello: Callable[[], PeerHello],
        handlers: LinkHandlers,
    ) -> None:
        self._own_peer = own_peer
        self._secret = secret
        self._cfg = cfg
        self._hello = hello
        self._handlers = handlers
        self._codec = Codec(*PEER_MESSAGE_TYPES)
        self._clock = LoopClock()
        self._nursery: trio.Nursery | None = None
        self._accepted: dict[str, Outbox] = {}
        self._reported_foreign: set[str] = set()
        self.peers: dict[str, RemotePeer] = {}
        """The peers by host name."""
        self.changed = trio.Event()
        """Set, and replaced by a new event, when a peer is reached or reports other IDs."""

    # Peers

    def add_peer(self, peer_address: PeerAddress) -> None:
        """Start dialling a peer; a known peer with a new address is dialled there instead."""
        if peer_address.name == self._own_peer.name:
            return
        existing = self.peers.get(peer_address.name)
        if existing is not None and existing.peer_address == peer_address:
            return
        if existing is not None:
            existing.scope.cancel()
        remote = RemotePeer(peer_address)
        self.peers[peer_address.name] = remote
        if self._nursery is not None:
            self._nursery.start_soon(self._maintain_link, remote)

    def remove_peer(self, name: str) -> None:
        """Close the link to a peer and stop dialling it."""
        remote = self.peers.pop(name, None)
        if remote is not None:
            remote.scope.cancel()

    async def run(self) -> None:
        """Maintain a link to every peer until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for remote in self.peers.values():
                nursery.start_soon(self._maintain_link, remote)
            await trio.sleep_forever()

    # Sending

    def send(self, to: str, message: Message) -> None:
        """Send a message to the member with this ID; it is dropped if there is no link."""
        if isinstance(message, REPLY_TYPES):
            outbox = self._accepted.get(to)
            if outbox is not None:
                outbox.put(message)
            return
        for remote in self.peers.values():
            if remote.member_id == to and remote.outbox is not None:
                remote.outbox.put(message)

    def send_hellos(self) -> None:
        """Send this host's IDs to every peer; called when this host has joined a cluster.

        A peer ignores requests from a sender whose last hello named no cluster. The next hello is
        sent only by the next probe of the link. Without this one, this host could become leader
        only after that probe, whether by an election or by a leadership transfer: a transfer in
        the first second would leave the log without a leader for about a second.
        """
        for remote in self.peers.values():
            if remote.outbox is not None:
                remote.outbox.put(self._hello())

    # Dialled links

    async def _maintain_link(self, remote: RemotePeer) -> None:
        pause = self._cfg.redial
        with remote.scope:
            while True:
                try:
                    await self._run_dialled_link(remote)
                except LinkClosedError:
                    pass
                except Exception as exc:
                    # The log would end, and with it the process, for one peer's link.
                    record_task_fault(TaskKind.LINK, exc)
                finally:
                    was_connected = remote.outbox is not None
                    remote.outbox = None
                pause = self._cfg.redial if was_connected else min(2 * pause, self._cfg.max_redial)
                await trio.sleep(pause / SECOND)

    async def _run_dialled_link(self, remote: RemotePeer) -> None:
        peer_address = remote.peer_address
        async with open_link(
            peer_address.address, peer_address.port, self._codec, self._secret, self._own_peer
        ) as link:
            if link.peer != Peer(peer_address.name, PEER_ROLE):
                log_event(
                    LogEvent.LOG_PEER_REFUSED, peer=link.peer.name, expected=peer_address.name
                )
                return
            remote.awaiting_reply_since = None
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._close_when_silent, remote, link, nursery.cancel_scope)
                nursery.start_soon(self._probe, remote, link)
                await self._read_dialled(remote, link, nursery)

    async def _read_dialled(self, remote: RemotePeer, link: Link, nursery: trio.Nursery) -> None:
        try:
            while True:
                message = await link.receive()
                remote.awaiting_reply_since = None
                if isinstance(message, PeerHelloReply):
                    self._on_hello_reply(remote, message, link, nursery)
                elif remote.member_id and isinstance(message, REPLY_TYPES):
                    if _is_refused(message, link):
                        break
                    self._handlers.on_message(remote.member_id, message)
        except LinkClosedError:
            pass
        nursery.cancel_scope.cancel()

    def _on_hello_reply(
        self, remote: RemotePeer, reply: PeerHelloReply, link: Link, nursery: trio.Nursery
    ) -> None:
        is_changed = (remote.member_id, remote.cluster_id) != (reply.member_id, reply.cluster_id)
        remote.member_id = reply.member_id
        remote.cluster_id = reply.cluster_id
        if self._report_if_foreign(reply.cluster_id, link):
            remote.outbox = None
        elif remote.outbox is None:
            remote.outbox = Outbox(link)
            nursery.start_soon(self._send_dialled, remote, remote.outbox)
            self._handlers.on_connected(reply.member_id)
        elif not is_changed:
            return
        self.changed.set()
        self.changed = trio.Event()

    async def _send_dialled(self, remote: RemotePeer, outbox: Outbox) -> None:
        while True:
            message = await outbox.get()
            if not isinstance(message, TimeoutNow):
                self._expect_reply(remote)
            if not await self._send(outbox.link, message):
                return

    async def _probe(self, remote: RemotePeer, link: Link) -> None:
        """Send a hello at every probe interval; a link without any reply is closed as silent."""
        while True:
            self._expect_reply(remote)
            if not await self._send(link, self._hello()):
                return
            await trio.sleep(self._cfg.probe / SECOND)

    def _expect_reply(self, remote: RemotePeer) -> None:
        if remote.awaiting_reply_since is None:
            remote.awaiting_reply_since = self._clock.now()

    async def _close_when_silent(
        self, remote: RemotePeer, link: Link, scope: trio.CancelScope
    ) -> None:
        # A device between the hosts may have dropped its state of the connection: packets are lost
        # and neither end gets an error. Until the kernel gives up the connection, the peer would
        # seem to be down, although a new connection would work at once.
        while True:
            await trio.sleep(self._cfg.silence / 4 / SECOND)
            since = remote.awaiting_reply_since
            if since is not None and self._clock.now() - since >= self._cfg.silence:
                log_event(LogEvent.LOG_LINK_SILENT, peer=remote.peer_address.name)
                await link.abort()
                scope.cancel()
                return

    async def _send(self, link: Link, message: tuple[Any, ...]) -> bool:
        try:
            await link.send(message)
        except LinkClosedError:
            return False
        return True

    # Accepted links

    async def serve(self, link: Link) -> None:
        """Serve a link that a peer has dialled until it closes."""
        outbox = Outbox(link)
        sender = cluster_id = ""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_accepted, outbox)
            while True:
                message = await self._receive_accepted(link)
                if message is None:
                    break
                if isinstance(message, PeerHello):
                    sender, cluster_id = message.member_id, message.cluster_id
                    self._on_hello(message, outbox)
                elif cluster_id and self._is_request(message) and self._handlers.join(cluster_id):
                    if _is_refused(message, link):
                        break
                    self._handlers.on_message(sender, message)
            nursery.cancel_scope.cancel()
        if self._accepted.get(sender) is outbox:
            del self._accepted[sender]

    def _on_hello(self, hello: PeerHello, outbox: Outbox) -> None:
        own = self._hello()
        self._accepted[hello.member_id] = outbox
        outbox.put(PeerHelloReply(own.member_id, own.cluster_id))
        self._report_if_foreign(hello.cluster_id, outbox.link)

    def _report_if_foreign(self, cluster_id: str, link: Link) -> bool:
        """Return whether a peer belongs to another cluster; log that once for each peer."""
        own = self._hello().cluster_id
        if "" in (cluster_id, own) or cluster_id == own:
            return False
        if link.peer.name not in self._reported_foreign:
            self._reported_foreign.add(link.peer.name)
            log_event(
                LogEvent.LOG_PEER_REFUSED,
                peer=link.peer.name,
                cluster=cluster_id,
                own_cluster=own,
            )
        return True

    def _is_request(self, message: Any) -> bool:
        return not isinstance(message, (PeerHelloReply, *REPLY_TYPES))

    async def _receive_accepted(self, link: Link) -> Any:
        with trio.move_on_after(_MAX_MISSED_PROBES * self._cfg.probe / SECOND):
            try:
                return await link.receive()
            except LinkClosedError:
                return None
        return None

    async def _send_accepted(self, outbox: Outbox) -> None:
        while True:
            if not await self._send(outbox.link, await outbox.get()):
                return


def _is_refused(message: Message, link: Link) -> bool:
    """Log a message with a figure that no sound member sends; return whether it is one."""
    field = invalid_field(message)
    if field is not None:
        why = f"{type(message).__name__}.{field}: no sound member sends it"
        log_event(LogEvent.LINK_MESSAGE_REFUSED, peer=link.peer.name, why=why, field=field)
    return field is not None
