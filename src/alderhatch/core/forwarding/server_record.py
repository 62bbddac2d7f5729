"""One entry of the server list."""

from __future__ import annotations

import re
from ipaddress import ip_address
from typing import NamedTuple

from ...clock import HOUR, Millis

MAX_SLOTS = 1_000_000
MAX_PORT = 65_535
MAX_WARM_UP: Millis = 1 * HOUR
MAX_NAME_LENGTH = 256
PORT = re.compile(r"[0-9]{1,5}")
FIELD_TOKEN = re.compile(r"[!-~]{1,256}")
"""Text that a header field can carry, as the ID of a server is sent to it."""
UNREADABLE = "\ufffd"
"""Stands for bytes that aren't text."""


class ServerRecord(NamedTuple):
    """One running server of an upstream."""

    server_id: str
    """Identifies this start of the server; a later start at the same address has a different ID."""
    upstream: str
    address: str
    """An IP address."""
    port: int
    zone: str
    slots: int
    """How many requests it runs concurrently."""
    draining: bool
    """Whether it is about to leave and takes no new work."""
    warm_up: Millis = 0.0
    """How much longer it is slow after its start."""


def is_usable(record: ServerRecord) -> bool:
    """Return whether a record names a server that a request can be written and sent to.

    A record may come from another writer of the platform's list, or as a copy from a host of an
    earlier build.
    """
    return (
        FIELD_TOKEN.fullmatch(record.server_id) is not None
        and is_name(record.upstream)
        and is_name(record.zone)
        and is_ip_address(record.address)
        and 0 < record.port <= MAX_PORT
        and 0 < record.slots <= MAX_SLOTS
        and 0 <= record.warm_up <= MAX_WARM_UP
    )


def parse_endpoint(text: str) -> tuple[str, int]:
    """Return the address and port of text such as ``10.1.0.9:8080``; port 0 if it has none."""
    address, _, port = text.rpartition(":")
    if PORT.fullmatch(port) is None:
        return "", 0
    return address.removeprefix("[").removesuffix("]"), int(port)


def is_name(text: str) -> bool:
    """Return whether text can name an upstream or an availability zone."""
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable() and UNREADABLE not in text


def is_ip_address(text: str) -> bool:
    """Return whether text is an IP address, as a name would have to be looked up."""
    try:
        ip_address(text)
    except ValueError:
        return False
    return True
