"""Writes the heads of responses."""

from __future__ import annotations

import h11

from .messages import HttpResponse


def response_head(response: HttpResponse, close: bool) -> h11.Response:
    """Return the head of a response.

    Raises:
        h11.LocalProtocolError: If the status or a field is invalid.
        ValueError: If a field can't be encoded.
    """
    headers = [(b"Content-Length", b"%d" % len(response.body)), *response.fields]
    if response.content_type is not None:
        headers.append((b"Content-Type", response.content_type.encode("ascii")))
    headers += [(name.encode("ascii"), value.encode("ascii")) for name, value in response.headers]
    if close:
        headers.append((b"Connection", b"close"))
    return h11.Response(status_code=response.status, headers=headers)
