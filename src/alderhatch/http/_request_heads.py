"""Builds the request heads that h11 sends."""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache

import h11

from .messages import HeaderFields

BODY_METHODS = ("POST", "PUT", "PATCH")
"""Methods whose requests have a Content-Length even if the body is empty."""
HEAD_CACHE_SIZE = 2048
"""Number of cached request heads, over all servers."""


def request_head(
    method: str, target: str, host: bytes, length: int, headers: Sequence[tuple[str, str]] = ()
) -> h11.Request:
    """Return the head of a request that this host creates; a body, if any, is JSON."""
    fields = [(b"Host", host), (b"Content-Length", b"%d" % length)]
    if length:
        fields.append((b"Content-Type", b"application/json"))
    fields += [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]
    return h11.Request(method=method, target=target, headers=fields)


@lru_cache(HEAD_CACHE_SIZE)
def cached_head(method: str, target: str, host: bytes, length: int) -> h11.Request:
    """Return the head of a request without further fields.

    Heads are cached because h11 validates each one that it creates.
    """
    return request_head(method, target, host, length)


def forwarded_head(method: str, target: str, fields: HeaderFields, body: bytes) -> h11.Request:
    """Return the head of a forwarded request, with the length of its body."""
    headers = list(fields)
    if body or method in BODY_METHODS:
        headers.append((b"content-length", b"%d" % len(body)))
    return h11.Request(method=method, target=target, headers=headers)
