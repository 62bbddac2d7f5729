"""What exchanges and messages cost: HTTP by h11, and our links by websockets with CBOR."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import NamedTuple

import orjson
import trio

from alderhatch.codec import Codec
from alderhatch.http.client import open_http
from alderhatch.http.messages import HttpRequest, HttpResponse, json_response
from alderhatch.http.server import serve_http
from alderhatch.link import Link, Peer, open_link, serve_links

from .slope import Slope, fit_slope

LOOPBACK = "127.0.0.1"
SECRET = b"a secret of the benchmark, 32 b."
BATCHES = (1, 20, 100, 400)
"""Shard requests that travel together."""
ROUNDS = 60
WARM_UP = 10


class ShardAsk(NamedTuple):
    """A shard request as it would travel between two entries."""

    request_id: str
    shard: str
    version: int
    epoch: int
    deadline_ms: int
    body: bytes


class ShardAsks(NamedTuple):
    """Shard requests for one server, sent together."""

    asks: list[ShardAsk]


ASK = ShardAsk(
    "austin-hall-entry-1-1234567", "s0123", 41, 7, 240, b'{"topic":"corridor","floor":4}'
)


async def _cpu_per_round(exchange: Callable[[], Awaitable[object]]) -> float:
    """Return the processor time of one round in microseconds, both ends together."""
    for _ in range(WARM_UP):
        await exchange()
    start = time.process_time_ns()
    for _ in range(ROUNDS):
        await exchange()
    return (time.process_time_ns() - start) / 1000 / ROUNDS


async def _http_rounds(size: int) -> float:
    answer = [{"id": ASK.request_id, "shard": ASK.shard, "version": 41, "epoch": 7, "rows": [1, 2]}]
    reply = orjson.dumps(answer * size)
    ask = [ASK._asdict() | {"body": orjson.Fragment(ASK.body)}]
    body = orjson.dumps(ask * size)

    async def handler(req: HttpRequest) -> HttpResponse:
        orjson.loads(req.body)
        return HttpResponse(200, reply) if size else json_response(200, {})

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        port = listeners[0].socket.getsockname()[1]
        await nursery.start(partial(serve_http, listeners, handler))
        conn = await open_http(LOOPBACK, port)

        async def exchange() -> None:
            found = await conn.exchange("POST", "/shards", body)
            orjson.loads(found.body)

        cost = await _cpu_per_round(exchange)
        nursery.cancel_scope.cancel()
    return cost


async def _link_rounds(size: int) -> float:
    codec = Codec(ShardAsks)
    message = ShardAsks([ASK] * size)

    async def echo(link: Link) -> None:
        while True:
            await link.send(await link.receive())

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        port = listeners[0].socket.getsockname()[1]
        owner = Peer("owner", "entry")
        await nursery.start(serve_links, listeners, codec, SECRET, owner, echo, 4)
        async with open_link(LOOPBACK, port, codec, SECRET, Peer("front", "entry")) as link:

            async def exchange() -> None:
                await link.send(message)
                await link.receive()

            cost = await _cpu_per_round(exchange)
        nursery.cancel_scope.cancel()
    return cost


def http_exchange() -> Slope:
    """Return the processor time of one side of an HTTP exchange by the shard requests in it."""
    values = [trio.run(_http_rounds, size) / 2 for size in BATCHES]
    return fit_slope("HTTP exchange, one side", "us", "shard request in it", BATCHES, values)


def link_message() -> Slope:
    """Return the processor time to send and to receive one link message by what is in it."""
    values = [trio.run(_link_rounds, size) / 2 for size in BATCHES]
    return fit_slope(
        "link message, sent and received", "us", "shard request in it", BATCHES, values
    )


def link_bytes() -> Slope:
    """Return the payload bytes of one link message by what is in it."""
    codec = Codec(ShardAsks)
    values = [float(len(codec.encode(ShardAsks([ASK] * size)))) for size in BATCHES]
    return fit_slope("link message", "bytes", "shard request in it", BATCHES, values)
