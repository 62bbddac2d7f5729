"""Client of the platform's list of running servers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import trio

from ..clock import SECOND, Millis
from ..core.forwarding.server_record import (
    MAX_WARM_UP,
    ServerRecord,
    is_name,
    is_usable,
    parse_endpoint,
)
from ..http.client import exchange_within, open_http
from ..http.connection import HttpConnection
from ..http.exchange import HttpExchangeError, HttpReply
from ..lenient_json import load_readable
from ..node.server_list import ListUnavailableError

PAGE_TIMEOUT: Millis = 700.0
"""Longest time for one page. The list is read again shortly afterwards."""
READ_TIMEOUT: Millis = 15 * SECOND
"""Longest time for all pages. A list of many slow pages would be outdated when it is complete."""
MAX_PAGES = 200
MAX_LIST_BYTES = 16 * 1024 * 1024
"""Size limit of all pages together, which is far more than thousands of servers take."""


class PlatformServerList:
    """Reads all pages of the list over a persistent connection.

    Args:
        address: IP address of the list's service.
        port: TCP port of the list's service.
    """

    def __init__(self, address: str, port: int) -> None:
        self._address = address
        self._port = port
        self._conn: HttpConnection | None = None

    async def read(self) -> list[ServerRecord]:
        """Return all servers of the list, without entries that can't be parsed.

        Raises:
            ListUnavailableError: If any page can't be read.
        """
        try:
            with trio.fail_after(READ_TIMEOUT / SECOND):
                return await self._read_pages()
        except trio.TooSlowError as exc:
            raise ListUnavailableError(f"the list took more than {READ_TIMEOUT} ms") from exc

    async def _read_pages(self) -> list[ServerRecord]:
        records: list[ServerRecord] = []
        size = 0
        token = ""
        tokens: set[str] = set()
        for _ in range(MAX_PAGES):
            body = await self._fetch_page(token)
            size += len(body)
            if size > MAX_LIST_BYTES:
                raise ListUnavailableError(f"the list has more than {MAX_LIST_BYTES} bytes")
            page = _parse_page(body)
            records += [
                server for server in map(parse_server, page["instances"]) if server is not None
            ]
            next_token = page.get("next-token")
            if not isinstance(next_token, str) or not next_token:
                return records
            token = _text(page, "next-token")
            if not token:
                raise ListUnavailableError("next-token: can't be read")
            if token in tokens:
                raise ListUnavailableError("next-token: comes twice, so the list has no end")
            tokens.add(token)
        raise ListUnavailableError(f"the list has more than {MAX_PAGES} pages")

    async def _fetch_page(self, token: str) -> bytes:
        target = f"/instances?page-token={quote(token)}" if token else "/instances"
        try:
            reply = await self._exchange(target)
        except HttpExchangeError as exc:
            raise ListUnavailableError(str(exc)) from exc
        if reply.status != 200:
            raise ListUnavailableError(f"expected status 200, got {reply.status}")
        return reply.body

    async def _exchange(self, target: str) -> HttpReply:
        conn = self._conn
        self._conn = None
        if conn is None or not conn.alive:
            if conn is not None:
                conn.close()
            conn = await open_http(self._address, self._port, PAGE_TIMEOUT)
        try:
            reply = await exchange_within(conn, PAGE_TIMEOUT, "GET", target)
        finally:
            if conn.usable:
                self._conn = conn
            else:
                conn.close()
        return reply


def _parse_page(body: bytes) -> dict[str, Any]:
    try:
        page = load_readable(body)
    except ValueError as exc:
        raise ListUnavailableError(f"not JSON: {exc}") from exc
    if not isinstance(page, dict) or not isinstance(page.get("instances"), list):
        raise ListUnavailableError("expected an object with a list in 'instances'")
    return page


def parse_server(raw: object) -> ServerRecord | None:
    """Return the server of a list entry, or None if the entry is invalid.

    Entries may come from other writers, with fields missing or of another type, or with text that
    can't be read. An invalid entry is ignored and must not affect the others.
    """
    if not isinstance(raw, dict):
        return None
    state = raw.get("state")
    if state not in ("ready", "draining"):
        return None
    address, port = parse_endpoint(_text(raw, "address"))
    record = ServerRecord(
        _text(raw, "instance-id"),
        _text(raw, "service"),
        address,
        port,
        _text(raw, "zone"),
        _slots(raw),
        state == "draining",
        _warm_up(raw),
    )
    return record if is_usable(record) else None


def _text(raw: Mapping[str, Any], name: str) -> str:
    """Return the text of a field; empty if it is none, or can't be read."""
    value = raw.get(name)
    return value if isinstance(value, str) and is_name(value) else ""


def _slots(raw: Mapping[str, Any]) -> int:
    """Return how many requests a server runs; 0 if that can't be read."""
    slots = raw.get("max-concurrency")
    return slots if isinstance(slots, int) and not isinstance(slots, bool) else 0


def _warm_up(raw: Mapping[str, Any]) -> Millis:
    warm_up = raw.get("warmup-left-ms")
    if isinstance(warm_up, bool) or not isinstance(warm_up, (int, float)):
        return 0.0
    return float(warm_up) if 0 <= warm_up <= MAX_WARM_UP else 0.0
