"""The links between control hosts, as one host sees them.

Each host dials every other one. Questions go out over the link that was dialled, and answers come
back over the same link, so that whoever asked notices when a link has gone silent.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..core.raft.messages import REPLY_TYPES, Message, TimeoutNow
from ..link import Link, LinkClosedError, Peer, open_link
from ..log import log_event
from ..log_events import LogEvent
from .log_messages import PEER_MESSAGE_TYPES, PeerHello, PeerHelloReply
from .log_node_config import LogNodeConfig

PEER_ROLE = "control"
_QUEUE_LENGTH = 512
_SILENT_PROBES = 5
"""An accepted link is closed after so many intervals without even a probe."""


class PeerAddress(NamedTuple):
    """Where a control host accepts links."""

    name: str
    address: str
    """An IP address."""
    port: int


class LinkHandlers(NamedTuple):
    """What the links call when something happens."""

    on_message: Callable[[str, Message], None]
    """A message of a member of the same cluster."""
    on_connected: Callable[[str], None]
    """A link to a member was opened."""
    join: Callable[[str], bool]
    """Asks whether this host is in a cluster, or joins it now if it is in none."""


class Outbox:
    """Messages that wait to be sent over one link.

    A link whose other end doesn't read must not use up this host's memory; what doesn't fit is
    dropped, and the log sends it again.
    """

    def __init__(self, link: Link) -> None:
        self.link = link
        """The link that the messages go over."""
        self._send, self._receive = trio.open_memory_channel[tuple[Any, ...]](_QUEUE_LENGTH)

    def put(self, message: tuple[Any, ...]) -> None:
        """Add a message, or drop it if there are too many."""
        try:
            self._send.send_nowait(message)
        except trio.WouldBlock:
            return

    async def get(self) -> tuple[Any, ...]:
        """Wait for the next message."""
        return await self._receive.receive()


class Remote:
    """One peer and the link that this host dialled to it."""

    def __init__(self, where: PeerAddress) -> None:
        self.where = where
        self.member_id = ""
        """Who was met there last."""
        self.cluster_id: str | None = None
        """Its cluster as of the last answer; None if it was never reached."""
        self.outbox: Outbox | None = None
        """Takes messages while the link is open."""
        self.scope = trio.CancelScope()
        self.unanswered_since: Millis | None = None


class LogLinks:
    """Dials the peers, sends, and hands over what comes in."""

    def __init__(
        self,
        me: Peer,
        secret: bytes,
        cfg: LogNodeConfig,
        hello: Callable[[], PeerHello],
        handlers: LinkHandlers,
    ) -> None:
        self._me = me
        self._secret = secret
        self._cfg = cfg
        self._hello = hello
        self._handlers = handlers
        self._codec = Codec(*PEER_MESSAGE_TYPES)
        self._clock = LoopClock()
        self._nursery: trio.Nursery | None = None
        self._accepted: dict[str, Outbox] = {}
        self._told_foreign: set[str] = set()
        self.remotes: dict[str, Remote] = {}
        """The peers by their hosts' names."""
        self.changed = trio.Event()
        """Set, and replaced, when a peer was reached."""

    # Who is there

    def know(self, where: PeerAddress) -> None:
        """Dial a peer from now on; a known one that has moved is dialled at its new address."""
        if where.name == self._me.name:
            return
        known = self.remotes.get(where.name)
        if known is not None and known.where == where:
            return
        if known is not None:
            known.scope.cancel()
        remote = Remote(where)
        self.remotes[where.name] = remote
        if self._nursery is not None:
            self._nursery.start_soon(self._keep_dialling, remote)

    def forget(self, name: str) -> None:
        """Dial a peer no more."""
        remote = self.remotes.pop(name, None)
        if remote is not None:
            remote.scope.cancel()

    async def run(self) -> None:
        """Keep a link to every peer until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for remote in self.remotes.values():
                nursery.start_soon(self._keep_dialling, remote)
            await trio.sleep_forever()

    # Sending

    def send(self, to: str, message: Message) -> None:
        """Send a message to a member, or drop it if there is no link."""
        if isinstance(message, REPLY_TYPES):
            outbox = self._accepted.get(to)
            if outbox is not None:
                outbox.put(message)
            return
        for remote in self.remotes.values():
            if remote.member_id == to and remote.outbox is not None:
                remote.outbox.put(message)

    def greet_all(self) -> None:
        """Tell every peer anew who this host is, because it has joined a cluster.

        A peer takes no questions over a link whose other end is in no cluster as far as it knows.
        Without this, a host that was just founded could neither be elected nor take over before
        its next probe; a hand-over in the first second ended in a second without a leader.
        """
        for remote in self.remotes.values():
            if remote.outbox is not None:
                remote.outbox.put(self._hello())

    # Dialled links

    async def _keep_dialling(self, remote: Remote) -> None:
        pause = self._cfg.redial
        with remote.scope:
            while True:
                try:
                    await self._use_dialled(remote)
                except LinkClosedError:
                    pass
                finally:
                    was_open = remote.outbox is not None
                    remote.outbox = None
                pause = self._cfg.redial if was_open else min(2 * pause, self._cfg.max_redial)
                await trio.sleep(pause / SECOND)

    async def _use_dialled(self, remote: Remote) -> None:
        where = remote.where
        async with open_link(
            where.address, where.port, self._codec, self._secret, self._me
        ) as link:
            if link.peer != Peer(where.name, PEER_ROLE):
                log_event(LogEvent.LOG_PEER_REFUSED, peer=link.peer.name, expected=where.name)
                return
            remote.unanswered_since = None
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, remote, nursery.cancel_scope)
                nursery.start_soon(self._probe, remote, link)
                await self._read_dialled(remote, link, nursery)

    async def _read_dialled(self, remote: Remote, link: Link, nursery: trio.Nursery) -> None:
        try:
            while True:
                message = await link.receive()
                remote.unanswered_since = None
                if isinstance(message, PeerHelloReply):
                    self._met(remote, message, link, nursery)
                elif remote.member_id and isinstance(message, REPLY_TYPES):
                    self._handlers.on_message(remote.member_id, message)
        except LinkClosedError:
            nursery.cancel_scope.cancel()

    def _met(
        self, remote: Remote, reply: PeerHelloReply, link: Link, nursery: trio.Nursery
    ) -> None:
        is_news = (remote.member_id, remote.cluster_id) != (reply.member_id, reply.cluster_id)
        remote.member_id = reply.member_id
        remote.cluster_id = reply.cluster_id
        if self._is_foreign(reply.cluster_id, link):
            remote.outbox = None
        elif remote.outbox is None:
            remote.outbox = Outbox(link)
            nursery.start_soon(self._send_dialled, remote, remote.outbox)
            self._handlers.on_connected(reply.member_id)
        elif not is_news:
            return
        self.changed.set()
        self.changed = trio.Event()

    async def _send_dialled(self, remote: Remote, outbox: Outbox) -> None:
        while True:
            message = await outbox.get()
            if not isinstance(message, TimeoutNow):
                self._expect_answer(remote)
            if not await self._send(outbox.link, message):
                return

    async def _probe(self, remote: Remote, link: Link) -> None:
        while True:
            self._expect_answer(remote)
            if not await self._send(link, self._hello()):
                return
            await trio.sleep(self._cfg.probe / SECOND)

    def _expect_answer(self, remote: Remote) -> None:
        if remote.unanswered_since is None:
            remote.unanswered_since = self._clock.now()

    async def _watch(self, remote: Remote, scope: trio.CancelScope) -> None:
        # Something between the hosts may have lost track of the connection: nothing arrives, and
        # neither end gets an error. The peer would look dead for as long as the kernel keeps
        # trying, although a new connection works at once.
        while True:
            await trio.sleep(self._cfg.silence / 4 / SECOND)
            since = remote.unanswered_since
            if since is not None and self._clock.now() - since >= self._cfg.silence:
                log_event(LogEvent.LOG_LINK_SILENT, peer=remote.where.name)
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
        """Answer a peer over the link that it dialled, until the link is gone."""
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
                    self._greet(message, outbox)
                elif cluster_id and self._is_question(message) and self._handlers.join(cluster_id):
                    self._handlers.on_message(sender, message)
            nursery.cancel_scope.cancel()
        if self._accepted.get(sender) is outbox:
            del self._accepted[sender]

    def _greet(self, hello: PeerHello, outbox: Outbox) -> None:
        own = self._hello()
        self._accepted[hello.member_id] = outbox
        outbox.put(PeerHelloReply(own.member_id, own.cluster_id))
        self._is_foreign(hello.cluster_id, outbox.link)

    def _is_foreign(self, cluster_id: str, link: Link) -> bool:
        own = self._hello().cluster_id
        if "" in (cluster_id, own) or cluster_id == own:
            return False
        if link.peer.name not in self._told_foreign:
            self._told_foreign.add(link.peer.name)
            log_event(
                LogEvent.LOG_PEER_REFUSED,
                peer=link.peer.name,
                cluster=cluster_id,
                own_cluster=own,
            )
        return True

    def _is_question(self, message: Any) -> bool:
        return not isinstance(message, (PeerHelloReply, *REPLY_TYPES))

    async def _receive_accepted(self, link: Link) -> Any:
        with trio.move_on_after(_SILENT_PROBES * self._cfg.probe / SECOND):
            try:
                return await link.receive()
            except LinkClosedError:
                return None
        return None

    async def _send_accepted(self, outbox: Outbox) -> None:
        while True:
            if not await self._send(outbox.link, await outbox.get()):
                return
