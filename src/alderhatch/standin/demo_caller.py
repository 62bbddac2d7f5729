"""A caller that follows the caller API: it fetches the addresses and obeys resend advice."""

from __future__ import annotations

from typing import Any, NamedTuple

import orjson
import trio

from ..clock import SECOND, LoopClock, Millis
from ..errors import Resend
from ..http.client import http_once, open_http
from ..http.connection import HttpConnection

RESEND_TIMEOUT: Millis = 60 * SECOND
"""Time for which a request is resent before its last answer counts as final."""
DEFAULT_RESEND_DELAY: Millis = 100.0
"""Delay before a resend if the answer has no ``retry_after_ms``."""
CALLER = "demo"


class FinalAnswer(NamedTuple):
    """The last answer to a request, after any resends."""

    status: int
    body: dict[str, Any]
    micros: int
    """Time since the request was first sent, in microseconds."""


class DemoCaller:
    """Holds a connection to every advertised address and uses one of them.

    Args:
        conns: The connections.
        first: Index of the connection to start with, modulo their number.
    """

    def __init__(self, conns: list[HttpConnection], first: int) -> None:
        self._conns = conns
        self._current = first % len(conns)

    @classmethod
    async def connect(cls, address: str, port: int, first: int) -> DemoCaller:
        """Fetch the advertised addresses from an entry and connect to each."""
        reply = await http_once(address, port, "GET", "/addresses")
        items = orjson.loads(reply.body)["addresses"]
        conns = [await open_http(item["address"], item["port"]) for item in items]
        return cls(conns, first)

    def use_next(self) -> None:
        """Switch to the next address."""
        self._current = (self._current + 1) % len(self._conns)

    async def send(self, path: str, request_id: str, **fields: object) -> FinalAnswer:
        """Send a request and resend it as its answers advise.

        Args:
            path: Path of the request.
            request_id: The request ID, the same in every resend.
            fields: Other fields of the body.
        """
        clock = LoopClock()
        start = clock.now()
        body = orjson.dumps({"request_id": request_id, "caller": CALLER} | fields)
        while True:
            reply = await self._conns[self._current].exchange("POST", path, body)
            answer = orjson.loads(reply.body)
            elapsed = clock.now() - start
            resend = Resend(answer.get("resend", Resend.NEVER))
            if reply.status == 200 or resend is Resend.NEVER or elapsed > RESEND_TIMEOUT:
                return FinalAnswer(reply.status, answer, int(elapsed * 1000))
            if resend is Resend.OTHER_ENTRY:
                self.use_next()
            await trio.sleep(answer.get("retry_after_ms", DEFAULT_RESEND_DELAY) / SECOND)

    async def aclose(self) -> None:
        """Close all connections."""
        for conn in self._conns:
            await conn.aclose()
