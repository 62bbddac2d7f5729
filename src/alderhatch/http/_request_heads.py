"""The heads of requests as h11 takes them."""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache

import h11

from .messages import HeaderFields

BODY_METHODS = ("POST", "PUT", "PATCH")
"""Methods whose requests state their length also when it is 0."""
REQUEST_HEADS = 2048
"""Request heads kept, for all servers together."""


def request_head(
    method: str, target: str, host: bytes, length: int, headers: Sequence[tuple[str, str]] = ()
) -> h11.Request:
    """Return the head of a request of ours, whose body is JSON if there is any."""
    fields = [(b"Host", host), (b"Content-Length", b"%d" % length)]
    if length:
        fields.append((b"Content-Type", b"application/json"))
    fields += [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]
    return h11.Request(method=method, target=target, headers=fields)


@lru_cache(REQUEST_HEADS)
def usual_head(method: str, target: str, host: bytes, length: int) -> h11.Request:
    """Return the head of a request without further fields; h11 checks each that it makes."""
    return request_head(method, target, host, length)


def forwarded_head(method: str, target: str, fields: HeaderFields, body: bytes) -> h11.Request:
    """Return the head of a request that is passed on, with its body's length."""
    headers = list(fields)
    if body or method in BODY_METHODS:
        headers.append((b"content-length", b"%d" % len(body)))
    return h11.Request(method=method, target=target, headers=headers)
