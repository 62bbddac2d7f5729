"""Runs shard requests of other entries over the connections that this entry owns."""

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
from .attempt_runner import INVALID_ANSWER_FAULTS, SHARD_PATH
from .connection_pool import ConnectionPool
from .health_poller import HEALTH_PATH
from .map_poller import MAP_PATH
from .owner_messages import (
    BATCH_BYTES,
    ENTRY_ROLE,
    KEEPALIVE_INTERVAL,
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
from .upstream_protocol import parse_shard_reply, shard_request_body

READABLE_PATHS = (HEALTH_PATH, MAP_PATH)
READ_TIMEOUT: Millis = 1000.0
QUEUE_PER_CONNECTION = 4
"""The maximum number of other entries' shard requests to one server, for each connection in the
share; further ones are shed."""


class OwnerServer:
    """Accepts links of other entries.

    Args:
        name: This entry's name.
        secret: The secret shared by all processes of the tier.
        pool: The connections to the servers.
    """

    def __init__(self, name: str, secret: bytes, pool: ConnectionPool) -> None:
        self._identity = Peer(name, ENTRY_ROLE)
        self._secret = secret
        self.pool = pool
        self.running_by_server: Counter[str] = Counter()
        """The number of other entries' running shard requests, by server ID."""
        self.links: set[Link] = set()
        """The open links."""
        self._requesters: set[_RequesterLink] = set()
        self.closing = False
        """Whether new calls are refused with the fault ``not_sent``."""

    @property
    def running(self) -> int:
        """The number of other entries' running shard requests."""
        return self.running_by_server.total()

    async def serve(
        self,
        listeners: list[trio.SocketListener],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept links until cancelled."""
        await serve_links(
            listeners,
            Codec(*OWNER_MESSAGES),
            self._secret,
            self._identity,
            self._handle,
            task_status=task_status,
        )

    def end_calls(self) -> None:
        """Answer all running calls of other entries; those sent to a server may have run."""
        for requester in self._requesters:
            requester.end_calls()

    async def _handle(self, link: Link) -> None:
        if link.peer.role != ENTRY_ROLE:
            log_event(LogEvent.LINK_ROLE_REFUSED, peer=link.peer.name, role=link.peer.role)
            return
        requester = _RequesterLink(self, link)
        self.links.add(link)
        self._requesters.add(requester)
        try:
            await requester.run()
        except* LinkClosedError:
            # The requesting entry is gone; its calls were cancelled with the nursery.
            pass
        finally:
            self.links.discard(link)
            self._requesters.discard(requester)


class _RequesterLink:
    """The calls of one requesting entry."""

    def __init__(self, owner: OwnerServer, link: Link) -> None:
        self._owner = owner
        self._pool = owner.pool
        self._link = link
        self._clock = LoopClock()
        self._scopes: dict[int, trio.CancelScope] = {}
        self._sent: set[int] = set()
        """Numbers of calls that a server may have received."""
        self._answers: list[ServerReply | Refusal] = []
        self._answers_available = trio.Event()

    async def run(self) -> None:
        """Serve the calls until the link ends; calls that still run then are cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send)
            nursery.start_soon(self._send_keepalives)
            while True:
                message = await self._link.receive()
                if not isinstance(message, OwnerCalls):
                    raise LinkClosedError(
                        "expected OwnerCalls from the requesting entry, got another message"
                    )
                self._handle_calls(message, nursery)

    def end_calls(self) -> None:
        """Answer all running calls."""
        for number, scope in list(self._scopes.items()):
            del self._scopes[number]
            scope.cancel()
            was_sent = number in self._sent
            fault = AttemptFault.OWNER_LOST if was_sent else AttemptFault.NOT_SENT
            self._answer(Refusal(number, fault))

    def _handle_calls(self, message: OwnerCalls, nursery: trio.Nursery) -> None:
        for call in message.calls:
            if call.body >= len(message.bodies) or call.body < 0:
                raise LinkClosedError("calls.body: expected an index into bodies")
            self._start(nursery, call, message.bodies[call.body])
        for look in message.looks:
            self._start(nursery, look, b"")
        for number in message.cancelled:
            scope = self._scopes.pop(number, None)
            if scope is not None:
                scope.cancel()

    def _start(self, nursery: trio.Nursery, call: ShardCall | Look, body: bytes) -> None:
        refusal_fault = self._refusal_fault(call)
        if refusal_fault is not None:
            self._answer(Refusal(call.number, refusal_fault))
            return
        scope = self._scopes[call.number] = trio.CancelScope()
        if isinstance(call, ShardCall):
            self._owner.running_by_server[call.server_id] += 1
        nursery.start_soon(self._run, call, body, scope)

    def _refusal_fault(self, call: ShardCall | Look) -> AttemptFault | None:
        share = self._pool.share_of(call.server_id)
        if self._owner.closing or share == 0:
            return AttemptFault.NOT_SENT
        waiting = self._owner.running_by_server[call.server_id]
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
            self._sent.discard(call.number)
            if isinstance(call, ShardCall):
                self._owner.running_by_server[call.server_id] -= 1

    async def _exchange(self, call: ShardCall | Look, body: bytes) -> ServerReply | Refusal:
        conn: HttpConnection | None = None
        deadline = self._clock.now() + (READ_TIMEOUT if isinstance(call, Look) else call.time_left)
        try:
            wait = max(0.0, deadline - self._clock.now())
            conn = await self._pool.acquire_within(call.server_id, wait)
            reply = await self._send_to_server(conn, call, body, deadline - self._clock.now())
        except HttpExchangeError as exc:
            return Refusal(call.number, ATTEMPT_FAULTS[exc.fault])
        finally:
            if conn is not None:
                self._pool.release(call.server_id, conn)
        if reply is None:
            return Refusal(call.number, AttemptFault.NOT_SENT)
        return ServerReply(call.number, reply.status, reply.header(b"retry-after"), reply.body)

    async def _send_to_server(
        self, conn: HttpConnection, call: ShardCall | Look, body: bytes, remaining: Millis
    ) -> HttpReply | None:
        """Return the server's response, or None if no time was left to send the request."""
        if remaining < 1 or call.number not in self._scopes:
            # Another entry that was told that the call is not sent has sent it elsewhere.
            return None
        self._sent.add(call.number)
        if isinstance(call, Look):
            path = call.path if call.path in READABLE_PATHS else HEALTH_PATH
            return await conn.exchange("GET", path, max_body=MAX_BODY_BYTES)
        send = _send_shard(call, body)
        data = shard_request_body(send, remaining)
        reply = await conn.exchange("POST", SHARD_PATH, data, max_body=MAX_BODY_BYTES)
        event = parse_shard_reply(send, reply)
        if isinstance(event, AttemptFailed) and event.fault in INVALID_ANSWER_FAULTS:
            # The requesting entry makes the same check and refuses the answer. Here the connection
            # is closed, as its next answer may be the one to this request.
            conn.usable = False
        return reply

    def _answer(self, answer: ServerReply | Refusal) -> None:
        self._answers.append(answer)
        self._answers_available.set()

    async def _send(self) -> None:
        while True:
            await self._answers_available.wait()
            await trio.lowlevel.checkpoint()
            self._answers_available = trio.Event()
            while self._answers:
                await self._link.send(self._next_batch())

    def _next_batch(self) -> OwnerAnswers:
        replies: list[ServerReply] = []
        refusals: list[Refusal] = []
        size = 0
        count = 0
        for answer in self._answers:
            if size >= BATCH_BYTES:
                break
            count += 1
            if isinstance(answer, Refusal):
                refusals.append(answer)
            else:
                replies.append(answer)
                size += len(answer.body)
        del self._answers[:count]
        return OwnerAnswers(replies, refusals)

    async def _send_keepalives(self) -> None:
        # A server may take longer to answer than the silence timeout of the requesting entry.
        # Without keepalives, that entry would give up an owner that only waits for servers.
        while True:
            await trio.sleep(KEEPALIVE_INTERVAL / SECOND)
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
