"""The entry round its core: caller requests in, shard requests out, one loop."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.entry_core import EntryCore
from ..core.entry_events import (
    AttemptFailed,
    AttemptFault,
    CallerGone,
    CancelAttempt,
    EntryEvent,
    Finish,
    Outcome,
    QueryArrived,
    RulesChanged,
    SendShard,
    ShardAnswered,
    ShardMapFetched,
    WakeAt,
    Woke,
)
from ..core.request import Request
from ..core.rule_list import RuleList
from ..core.shard_map import Server, ShardMap
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.client import HttpExchangeError, http_once
from ..http.messages import HttpLimits, HttpRequest, HttpResponse, json_response
from ..http.server import serve_http
from ..log import log_event
from ..log_events import LogEvent
from ..settings.models import EntrySettings, UpstreamSettings
from .caller_api import outcome_response, parse_request
from .connection_pool import ConnectionPool
from .upstream_protocol import (
    ProtocolError,
    parse_fault,
    parse_shard_answer,
    parse_shard_map,
    shard_request_body,
)


class EntryAddress:
    """One address that callers may use."""

    def __init__(self, address: str, port: int, zone: str) -> None:
        self.address = address
        self.port = port
        self.zone = zone


class EntryNode:
    """One entry process.

    Args:
        cfg: Its settings.
        seed: Fixes the core's random choices.
    """

    def __init__(self, cfg: EntrySettings, seed: int = 0) -> None:
        self._cfg = cfg
        self._clock = LoopClock()
        self.core = EntryCore(cfg.name, Random(f"{cfg.name}/{seed}"))
        self._pool = ConnectionPool()
        self._servers: dict[str, Server] = {}
        self._waiting: dict[int, Callable[[Outcome], None]] = {}
        self._attempts: dict[int, trio.CancelScope] = {}
        self._next_query = 0
        self._wake_at: Millis | None = None
        self._wake_changed = trio.Event()
        self._nursery: trio.Nursery | None = None
        self.roster: list[EntryAddress] = []
        """The addresses that callers are told of."""
        self.port = 0
        """The port that callers connect to, once it listens."""

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        callers = self._cfg.callers
        listeners = await trio.open_tcp_listeners(callers.port, host=callers.address)
        self.port = listeners[0].socket.getsockname()[1]
        limits = HttpLimits(
            self._cfg.limits.connections,
            self._cfg.limits.head_bytes,
            self._cfg.limits.body_bytes,
            self._cfg.limits.request_timeout_ms,
            self._cfg.limits.idle_timeout_ms,
        )
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for upstream in self._cfg.upstreams:
                await self._fetch_map(upstream)
                nursery.start_soon(self._poll_map, upstream)
            nursery.start_soon(self._timer)
            await nursery.start(partial(serve_http, listeners, self.handle, limits))
            log_event(LogEvent.ENTRY_STARTED, port=self.port)
            task_status.started()

    def change_rules(self, revision: int, rules: RuleList) -> None:
        """Put a newer list of rules in force."""
        self._feed(RulesChanged(revision, rules))

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one HTTP request of a caller."""
        match (req.method, req.path):
            case ("POST", "/query"):
                return await self._query(parse_request(req, idempotent=True))
            case ("GET", "/addresses"):
                return self._addresses(req.query.get("zone", ""))
        raise AlderhatchError(Failure(ErrorKind.NOT_FOUND, f"nothing at {req.method} {req.path}"))

    def _addresses(self, zone: str) -> HttpResponse:
        ordered = sorted(self.roster, key=lambda item: item.zone != zone)
        addresses = [
            {"address": item.address, "port": item.port, "zone": item.zone} for item in ordered
        ]
        return json_response(200, {"addresses": addresses, "ttl_ms": self._cfg.address_ttl_ms})

    async def _query(self, request: Request) -> HttpResponse:
        self._next_query += 1
        query = self._next_query
        done = trio.Event()
        outcomes: list[Outcome] = []

        def finish(outcome: Outcome) -> None:
            outcomes.append(outcome)
            done.set()

        self._waiting[query] = finish
        try:
            self._feed(QueryArrived(query, request))
            await done.wait()
        finally:
            if self._waiting.pop(query, None) is not None:
                self._feed(CallerGone(query))
        return outcome_response(request.request_id, outcomes[0])

    def _feed(self, event: EntryEvent) -> None:
        for effect in self.core.step(event, self._clock.now()):
            match effect:
                case SendShard():
                    self._send(effect)
                case CancelAttempt(attempt=attempt):
                    scope = self._attempts.pop(attempt, None)
                    if scope is not None:
                        scope.cancel()
                case WakeAt(at=at):
                    self._wake_at = at
                    self._wake_changed.set()
                case Finish(query=query, outcome=outcome):
                    waiting = self._waiting.pop(query, None)
                    if waiting is not None:
                        waiting(outcome)

    def _send(self, send: SendShard) -> None:
        scope = trio.CancelScope()
        self._attempts[send.attempt] = scope
        assert self._nursery is not None
        self._nursery.start_soon(self._attempt, send, scope)

    async def _attempt(self, send: SendShard, scope: trio.CancelScope) -> None:
        server = self._servers[send.server_id]
        with scope:
            event = await self._exchange(send, server)
        if self._attempts.pop(send.attempt, None) is not None:
            self._feed(event)

    async def _exchange(self, send: SendShard, server: Server) -> EntryEvent:
        conn = None
        try:
            conn = await self._pool.take(server)
            body = shard_request_body(send, send.deadline - self._clock.now())
            reply = await conn.exchange("POST", "/shard", body)
        except HttpExchangeError as exc:
            fault = AttemptFault.LOST if exc.sent else AttemptFault.NOT_SENT
            return AttemptFailed(send.attempt, fault)
        finally:
            if conn is not None:
                with trio.CancelScope(shield=True):
                    await self._pool.give_back(server, conn)
        if reply.status != 200:
            return AttemptFailed(send.attempt, parse_fault(reply.body))
        try:
            answer = parse_shard_answer(reply.body)
        except ProtocolError:
            return AttemptFailed(send.attempt, AttemptFault.GARBAGE)
        if answer.request_id != send.request_id:
            return AttemptFailed(send.attempt, AttemptFault.WRONG_ANSWER)
        return ShardAnswered(send.attempt, answer)

    async def _timer(self) -> None:
        while True:
            self._wake_changed = trio.Event()
            if self._wake_at is None:
                await self._wake_changed.wait()
                continue
            with trio.move_on_at(self._wake_at / SECOND):
                await self._wake_changed.wait()
                continue
            self._wake_at = None
            self._feed(Woke())

    async def _poll_map(self, upstream: UpstreamSettings) -> None:
        while True:
            await trio.sleep(upstream.map_poll_ms / SECOND)
            await self._fetch_map(upstream)

    async def _fetch_map(self, upstream: UpstreamSettings) -> None:
        for seed in upstream.seeds:
            try:
                reply = await http_once(seed.address, seed.port, "GET", "/shard-map")
                shard_map = parse_shard_map(reply.body)
            except (HttpExchangeError, ProtocolError) as exc:
                log_event(LogEvent.SHARD_MAP_REFUSED, upstream=upstream.name, why=str(exc))
                continue
            self._adopt(shard_map)
            return

    def _adopt(self, shard_map: ShardMap) -> None:
        self._servers |= shard_map.by_server_id
        self._feed(ShardMapFetched(shard_map))
