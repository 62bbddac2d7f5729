"""An owner's side: runs other entries' shard requests over its own connections."""

from __future__ import annotations

from collections import Counter

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..core.entry_events import AttemptFailed, AttemptFault, SendShard
from ..core.request import Request
from ..core.shard_map import Snapshot
from ..http.connection import HttpConnection
from ..http.exchange import HttpExchangeError, HttpReply
from ..link import Link, LinkClosedError, Peer, serve_links
from ..log import log_event
from ..log_events import LogEvent
from .attempt_faults import ATTEMPT_FAULTS
from .attempt_runner import SHARD_PATH, UNTRUE
from .connection_pool import ConnectionPool
from .health_poller import HEALTH_PATH
from .map_poller import MAP_PATH
from .owner_messages import (
    ALIVE_EVERY,
    BATCH_BYTES,
    ENTRY_ROLE,
    MAX_BODY_BYTES,
    MAX_IN_FLIGHT,
    OWNER_MESSAGES,
    Look,
    OwnerAnswers,
    OwnerCalls,
    Refusal,
    ServerReply,
    ShardCall,
)
from .upstream_protocol import read_reply, shard_request_body

LOOKS = (HEALTH_PATH, MAP_PATH)
LOOK_TIMEOUT: Millis = 1000.0
QUEUE_PER_CONNECTION = 4
"""Shard requests of others for one server, for each connection to it; one more is shed."""


class OwnerServer:
    """Takes links of other entries.

    Args:
        name: This entry's name.
        secret: The secret shared by our own processes.
        pool: The connections.
    """

    def __init__(self, name: str, secret: bytes, pool: ConnectionPool) -> None:
        self._me = Peer(name, ENTRY_ROLE)
        self._secret = secret
        self.pool = pool
        self.on_server: Counter[str] = Counter()
        """Shard requests of others that are under way, by server."""
        self.links: set[Link] = set()
        """The links that are open."""
        self.closing = False
        """Whether new calls are refused, as not run."""

    @property
    def running(self) -> int:
        """How many shard requests of other entries are under way."""
        return self.on_server.total()

    async def serve(
        self,
        listeners: list[trio.SocketListener],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Take links until cancelled."""
        await serve_links(
            listeners,
            Codec(*OWNER_MESSAGES),
            self._secret,
            self._me,
            self._handle,
            task_status=task_status,
        )

    async def _handle(self, link: Link) -> None:
        if link.peer.role != ENTRY_ROLE:
            log_event(LogEvent.LINK_ROLE_REFUSED, peer=link.peer.name, role=link.peer.role)
            return
        self.links.add(link)
        try:
            await _FrontLink(self, link).run()
        except* LinkClosedError:
            # The front is gone; what it wanted was cancelled with its tasks.
            pass
        finally:
            self.links.discard(link)


class _FrontLink:
    """The calls of one front."""

    def __init__(self, owner: OwnerServer, link: Link) -> None:
        self._owner = owner
        self._pool = owner.pool
        self._link = link
        self._clock = LoopClock()
        self._scopes: dict[int, trio.CancelScope] = {}
        self._answers: list[ServerReply | Refusal] = []
        self._work = trio.Event()

    async def run(self) -> None:
        """Serve until the link ends; what still runs for its front then is of use to nobody."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send)
            nursery.start_soon(self._show_life)
            while True:
                message = await self._link.receive()
                if not isinstance(message, OwnerCalls):
                    raise LinkClosedError("a front sent what is no call")
                self._take(message, nursery)

    def _take(self, message: OwnerCalls, nursery: trio.Nursery) -> None:
        for call in message.calls:
            if call.body >= len(message.bodies) or call.body < 0:
                raise LinkClosedError("a call without its query")
            self._start(nursery, call, message.bodies[call.body])
        for look in message.looks:
            self._start(nursery, look, b"")
        for number in message.cancelled:
            scope = self._scopes.pop(number, None)
            if scope is not None:
                scope.cancel()

    def _start(self, nursery: trio.Nursery, call: ShardCall | Look, body: bytes) -> None:
        refused = self._refuse(call)
        if refused is not None:
            self._answer(Refusal(call.number, refused))
            return
        scope = self._scopes[call.number] = trio.CancelScope()
        if isinstance(call, ShardCall):
            self._owner.on_server[call.server_id] += 1
        nursery.start_soon(self._run, call, body, scope)

    def _refuse(self, call: ShardCall | Look) -> AttemptFault | None:
        share = self._pool.share_of(call.server_id)
        if self._owner.closing or share == 0:
            return AttemptFault.NOT_SENT
        waiting = self._owner.on_server[call.server_id]
        if len(self._scopes) >= MAX_IN_FLIGHT or waiting >= QUEUE_PER_CONNECTION * share:
            return AttemptFault.SHED
        return None

    async def _run(self, call: ShardCall | Look, body: bytes, scope: trio.CancelScope) -> None:
        try:
            with scope:
                answer = await self._exchange(call, body)
                if self._scopes.pop(call.number, None) is not None:
                    self._answer(answer)
        finally:
            self._scopes.pop(call.number, None)
            if isinstance(call, ShardCall):
                self._owner.on_server[call.server_id] -= 1

    async def _exchange(self, call: ShardCall | Look, body: bytes) -> ServerReply | Refusal:
        conn: HttpConnection | None = None
        deadline = self._clock.now() + (LOOK_TIMEOUT if isinstance(call, Look) else call.time_left)
        try:
            wait = max(0.0, deadline - self._clock.now())
            conn = await self._pool.acquire_within(call.server_id, wait)
            reply = await self._ask(conn, call, body, deadline - self._clock.now())
        except HttpExchangeError as exc:
            return Refusal(call.number, ATTEMPT_FAULTS[exc.fault])
        finally:
            if conn is not None:
                self._pool.release(call.server_id, conn)
        if reply is None:
            return Refusal(call.number, AttemptFault.NOT_SENT)
        return ServerReply(call.number, reply.status, reply.header(b"retry-after"), reply.body)

    async def _ask(
        self, conn: HttpConnection, call: ShardCall | Look, body: bytes, remaining: Millis
    ) -> HttpReply | None:
        """Return the server's response; None if there was no time left to send anything."""
        if remaining < 1:
            return None
        if isinstance(call, Look):
            path = call.path if call.path in LOOKS else HEALTH_PATH
            return await conn.exchange("GET", path, max_body=MAX_BODY_BYTES)
        send = _send_shard(call, body)
        data = shard_request_body(send, remaining)
        reply = await conn.exchange("POST", SHARD_PATH, data, max_body=MAX_BODY_BYTES)
        event = read_reply(send, reply)
        if isinstance(event, AttemptFailed) and event.fault in UNTRUE:
            # The front refuses it by the same check. Here it is the connection that must go: its
            # next answer may be the one that this request waited for.
            conn.usable = False
        return reply

    def _answer(self, answer: ServerReply | Refusal) -> None:
        self._answers.append(answer)
        self._work.set()

    async def _send(self) -> None:
        while True:
            await self._work.wait()
            await trio.lowlevel.checkpoint()
            self._work = trio.Event()
            while self._answers:
                await self._link.send(self._gather())

    def _gather(self) -> OwnerAnswers:
        replies: list[ServerReply] = []
        refusals: list[Refusal] = []
        size = 0
        taken = 0
        for answer in self._answers:
            if size >= BATCH_BYTES:
                break
            taken += 1
            if isinstance(answer, Refusal):
                refusals.append(answer)
            else:
                replies.append(answer)
                size += len(answer.body)
        del self._answers[:taken]
        return OwnerAnswers(replies, refusals)

    async def _show_life(self) -> None:
        # A server may take longer than a front waits for a sign of life; without these the front
        # would take an owner that waits for servers as one that is gone.
        while True:
            await trio.sleep(ALIVE_EVERY / SECOND)
            if self._scopes:
                await self._link.send(OwnerAnswers([], []))


def _send_shard(call: ShardCall, body: bytes) -> SendShard:
    request = Request(
        call.request_id, "", call.kind, call.upstream, body, idempotent=call.idempotent
    )
    return SendShard(
        call.number,
        call.shard_request_id,
        call.upstream,
        call.server_id,
        call.shard,
        Snapshot(call.version, call.epoch),
        0.0,
        request,
    )
