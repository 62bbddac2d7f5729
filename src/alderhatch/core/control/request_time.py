"""When a request id was made, where the id itself says so."""

from __future__ import annotations

from uuid import RFC_4122, UUID

from ...clock import Millis

UUID_WITH_TIME = 7
_TIME_SHIFT = 80
"""The first 48 of a version 7 UUID's 128 bits are milliseconds since 1970."""


def issued_at(request_id: str) -> Millis | None:
    """Return when a request id was made.

    Args:
        request_id: The caller's id.

    Returns:
        Milliseconds since 1970 by the caller's clock if the id is a UUID of version 7 (RFC 9562),
        else None.
    """
    try:
        uuid = UUID(request_id)
    except ValueError:
        return None
    if uuid.variant != RFC_4122 or uuid.version != UUID_WITH_TIME:
        return None
    return float(uuid.int >> _TIME_SHIFT)
