"""Client of the platform's list of running servers."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from ipaddress import ip_address
from typing import Any
from urllib.parse import quote

import orjson

from ..clock import HOUR, Millis
from ..core.forwarding.server_record import ServerRecord
from ..http.client import exchange_within, open_http
from ..http.connection import HttpConnection
from ..http.exchange import HttpExchangeError, HttpReply
from ..node.server_list import ListUnavailableError

PAGE_TIMEOUT: Millis = 700.0
"""Longest time for one page. The list is read again shortly afterwards."""
MAX_PAGES = 200
MAX_SLOTS = 1_000_000
MAX_WARM_UP: Millis = 1 * HOUR
"""Longer times, and those that aren't numbers, count as none."""
MAX_INTEGER_DIGITS = 18
FIELD_TOKEN = re.compile(r"[!-~]{1,256}")
"""Text that a header field can carry, as the ID of a server is sent to it."""
PORT = re.compile(r"[0-9]{1,5}")
UNREADABLE = "\ufffd"
"""Stands for bytes that aren't text."""


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
        records: list[ServerRecord] = []
        token = ""
        for _ in range(MAX_PAGES):
            page = _parse_page(await self._fetch_page(token))
            records += [
                server for server in map(parse_server, page["instances"]) if server is not None
            ]
            next_token = page.get("next-token")
            if not isinstance(next_token, str) or not next_token:
                return records
            token = _text(page, "next-token")
            if not token:
                raise ListUnavailableError("next-token: can't be read")
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
        page = _load_json(body)
    except (ValueError, RecursionError) as exc:
        raise ListUnavailableError(f"not JSON: {exc}") from exc
    if not isinstance(page, dict) or not isinstance(page.get("instances"), list):
        raise ListUnavailableError("expected an object with a list in 'instances'")
    return page


def _load_json(body: bytes) -> object:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        # A text or number of a single entry may be what can't be read. With the whole page refused,
        # hosts would go on sending to servers that other entries name as leaving.
        text = body.decode("utf-8", "replace")
        return json.loads(text, strict=False, parse_int=_integer, parse_constant=lambda name: None)


def _integer(digits: str) -> int | None:
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else None


def parse_server(raw: object) -> ServerRecord | None:
    """Return the server of a list entry, or None if the entry is invalid.

    Entries may come from other writers, with fields missing or of another type, or with text that
    can't be read. An invalid entry is ignored and must not affect the others.
    """
    if not isinstance(raw, dict):
        return None
    server_id = _text(raw, "instance-id")
    upstream = _text(raw, "service")
    zone = _text(raw, "zone")
    endpoint = _endpoint(_text(raw, "address"))
    slots = _slots(raw)
    state = raw.get("state")
    if not upstream or not zone or endpoint is None or slots is None:
        return None
    if FIELD_TOKEN.fullmatch(server_id) is None or state not in ("ready", "draining"):
        return None
    address, port = endpoint
    is_draining = state == "draining"
    return ServerRecord(server_id, upstream, address, port, zone, slots, is_draining, _warm_up(raw))


def _text(raw: Mapping[str, Any], name: str) -> str:
    """Return the text of a field; empty if it is none, or can't be read."""
    value = raw.get(name)
    if not isinstance(value, str) or not value.isprintable() or UNREADABLE in value:
        return ""
    return value


def _endpoint(text: str) -> tuple[str, int] | None:
    """Return the IP address and port of a text such as ``10.1.0.9:8080``; None if it has none."""
    address, _, port = text.rpartition(":")
    if PORT.fullmatch(port) is None or not 0 < int(port) < 65536:
        return None
    try:
        return str(ip_address(address.removeprefix("[").removesuffix("]"))), int(port)
    except ValueError:
        # A name would have to be looked up, and other text ends the attempt to connect.
        return None


def _slots(raw: Mapping[str, Any]) -> int | None:
    slots = raw.get("max-concurrency")
    if isinstance(slots, bool) or not isinstance(slots, int) or not 0 < slots <= MAX_SLOTS:
        return None
    return slots


def _warm_up(raw: Mapping[str, Any]) -> Millis:
    warm_up = raw.get("warmup-left-ms")
    if isinstance(warm_up, bool) or not isinstance(warm_up, (int, float)):
        return 0.0
    return float(warm_up) if 0 <= warm_up <= MAX_WARM_UP else 0.0
