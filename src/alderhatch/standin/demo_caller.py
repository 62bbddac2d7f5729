"""A caller as the pages for callers want it: it asks for addresses and does what answers say."""

from __future__ import annotations

from typing import Any, NamedTuple

import orjson
import trio

from ..clock import SECOND, LoopClock, Millis
from ..errors import Resend
from ..http.client import http_once, open_http
from ..http.connection import HttpConnection

PATIENCE: Millis = 60 * SECOND
"""How long one request is sent again before its last answer is taken for final."""
PAUSE: Millis = 100.0
"""Between two sendings if the answer names no time to come back."""
CALLER = "demo"


class FinalAnswer(NamedTuple):
    """What a request came to."""

    status: int
    body: dict[str, Any]
    micros: int
    """The time from its first sending on, in microseconds."""


class DemoCaller:
    """Connections to every address that the tier named, one of them in use.

    Args:
        conns: The connections.
        first: Which of them is used until an answer says otherwise.
    """

    def __init__(self, conns: list[HttpConnection], first: int) -> None:
        self._conns = conns
        self._used = first % len(conns)

    @classmethod
    async def connect(cls, address: str, port: int, first: int) -> DemoCaller:
        """Ask an entry for the addresses to use and connect to each."""
        reply = await http_once(address, port, "GET", "/addresses")
        items = orjson.loads(reply.body)["addresses"]
        conns = [await open_http(item["address"], item["port"]) for item in items]
        return cls(conns, first)

    def use_next(self) -> None:
        """Go on with the next address."""
        self._used = (self._used + 1) % len(self._conns)

    async def ask(self, path: str, request_id: str, **fields: object) -> FinalAnswer:
        """Send a request, and again wherever and whenever its answers say so.

        Args:
            path: What is asked.
            request_id: The same in every sending.
            fields: The other fields of the body.
        """
        clock = LoopClock()
        start = clock.now()
        body = orjson.dumps({"request_id": request_id, "caller": CALLER} | fields)
        while True:
            reply = await self._conns[self._used].exchange("POST", path, body)
            answer = orjson.loads(reply.body)
            spent = clock.now() - start
            resend = Resend(answer.get("resend", Resend.NEVER))
            if reply.status == 200 or resend is Resend.NEVER or spent > PATIENCE:
                return FinalAnswer(reply.status, answer, int(spent * 1000))
            if resend is Resend.OTHER_ENTRY:
                self.use_next()
            await trio.sleep(answer.get("retry_after_ms", PAUSE) / SECOND)

    async def aclose(self) -> None:
        """Close all connections."""
        for conn in self._conns:
            await conn.aclose()
