"""The platform's list of running servers."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import orjson

from ..clock import Millis
from ..core.forwarding.server_record import ServerRecord
from ..http.client import exchange_within, open_http
from ..http.connection import HttpConnection
from ..http.exchange import HttpExchangeError, HttpReply
from ..node.server_list import ListUnavailableError

CALL_TIMEOUT: Millis = 700.0
"""For one page; the next reading is due soon after."""
MAX_PAGES = 200


class PlatformServerList:
    """Reads all pages of the list over a connection that is kept.

    Args:
        address: The list's IP address.
        port: Its port.
    """

    def __init__(self, address: str, port: int) -> None:
        self._address = address
        self._port = port
        self._conn: HttpConnection | None = None

    async def read(self) -> list[ServerRecord]:
        """Return all servers that are listed.

        Raises:
            ListUnavailableError: If not every page can be read.
        """
        records: list[ServerRecord] = []
        token = ""
        for _ in range(MAX_PAGES):
            page = _page(await self._call(token))
            records += [one for one in map(read_server, page["instances"]) if one is not None]
            following = page.get("next-token")
            if not isinstance(following, str) or not following:
                return records
            token = following
        raise ListUnavailableError(f"the list has more than {MAX_PAGES} pages")

    async def _call(self, token: str) -> bytes:
        target = f"/instances?page-token={quote(token)}" if token else "/instances"
        try:
            reply = await self._exchange(target)
        except HttpExchangeError as exc:
            raise ListUnavailableError(str(exc)) from exc
        if reply.status != 200:
            raise ListUnavailableError(f"status {reply.status}")
        return reply.body

    async def _exchange(self, target: str) -> HttpReply:
        conn = self._conn
        self._conn = None
        if conn is None or not conn.alive:
            if conn is not None:
                conn.close()
            conn = await open_http(self._address, self._port, CALL_TIMEOUT)
        try:
            reply = await exchange_within(conn, CALL_TIMEOUT, "GET", target)
        finally:
            if conn.usable:
                self._conn = conn
            else:
                conn.close()
        return reply


def _page(body: bytes) -> dict[str, Any]:
    try:
        page = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise ListUnavailableError(f"not JSON: {exc}") from exc
    if not isinstance(page, dict) or not isinstance(page.get("instances"), list):
        raise ListUnavailableError("the list has no entries")
    return page


def read_server(raw: object) -> ServerRecord | None:
    """Return the server that an entry names, or None if the entry can't be used.

    Entries may come from another writer, with fields missing or of another type. Such an entry
    names no server; it must not spoil the others.
    """
    if not isinstance(raw, dict):
        return None
    texts = [raw.get(name) for name in ("instance-id", "service", "address", "zone")]
    named = [text for text in texts if isinstance(text, str) and text]
    if len(named) < len(texts):
        return None
    server_id, upstream, where, zone = named
    address, _, port = where.rpartition(":")
    slots = raw.get("max-concurrency")
    state = raw.get("state")
    if not address or not port.isdecimal() or not 0 < int(port) < 65536:
        return None
    if isinstance(slots, bool) or not isinstance(slots, int) or slots < 1:
        return None
    if state not in ("ready", "draining"):
        return None
    warm_up = raw.get("warmup-left-ms")
    if isinstance(warm_up, bool) or not isinstance(warm_up, (int, float)):
        warm_up = 0
    return ServerRecord(
        server_id, upstream, address, int(port), zone, slots, state == "draining", float(warm_up)
    )
