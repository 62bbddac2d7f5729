"""Parses the targets of requests."""

from __future__ import annotations

from urllib.parse import parse_qsl, urlsplit

from ..errors import AlderhatchError, ErrorKind, Failure


def parse_target(target: str) -> tuple[str, dict[str, str]]:
    """Split a request's target into its path and its query parameters.

    A target that begins with two slashes is a path like any other. Read as a URL, its first segment
    would be a host, and the request would run as one for the rest of the path.

    Raises:
        AlderhatchError: With kind ``bad_request``, if the target is invalid.
    """
    try:
        if target.startswith("/"):
            path, _, query = target.partition("?")
        else:
            parts = urlsplit(target)
            path, query = parts.path, parts.query
        return path, dict(parse_qsl(query, keep_blank_values=True))
    except ValueError as exc:
        message = f"invalid request target: {exc}"
        raise AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message)) from exc
