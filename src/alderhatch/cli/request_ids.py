"""Request IDs with a creation time: UUIDs of version 7 (RFC 9562)."""

from __future__ import annotations

import secrets
from uuid import UUID

from ..clock import Millis

_TIME_SHIFT = 80
_VERSION = 0x7 << 76
_VARIANT = 0b10 << 62
_RANDOM_A_MASK = 0xFFF << 64
_RANDOM_B_MASK = (1 << 62) - 1


def new_request_id(now: Millis) -> str:
    """Return a unique ID.

    Its creation time shows the run ledger whether a resend is older than its retention period.

    Args:
        now: Milliseconds since 1970 UTC.
    """
    random_value = secrets.randbits(_TIME_SHIFT)
    random_bits = random_value & (_RANDOM_A_MASK | _RANDOM_B_MASK)
    return str(UUID(int=int(now) << _TIME_SHIFT | _VERSION | _VARIANT | random_bits))
