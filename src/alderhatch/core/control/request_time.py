"""The creation time of request IDs that contain it."""

from __future__ import annotations

from uuid import RFC_4122, UUID

from ...clock import Millis

UUID_TIMESTAMP_VERSION = 7
_TIMESTAMP_SHIFT_BITS = 80
"""The first 48 of the 128 bits of a version 7 UUID are milliseconds since 1970."""


def issued_at(request_id: str) -> Millis | None:
    """Return when a request ID was created.

    Args:
        request_id: The caller's ID.

    Returns:
        Milliseconds since 1970 by the caller's clock if the ID is a version 7 UUID (RFC 9562), else
        None.
    """
    try:
        uuid = UUID(request_id)
    except ValueError:
        return None
    if uuid.variant != RFC_4122 or uuid.version != UUID_TIMESTAMP_VERSION:
        return None
    return float(uuid.int >> _TIMESTAMP_SHIFT_BITS)
