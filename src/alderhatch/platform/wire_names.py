"""The platform's header fields, in lower case."""

from __future__ import annotations

REQUEST_ID = b"attempt-id"
"""ID of one attempt of a caller. Servers echo it."""
TIME_LEFT = b"time-budget-ms"
"""Time for which the sender waits for the answer, in milliseconds."""
SEAL = b"server-seal"
"""A server's signature of its answer."""
EXPECTED_SERVER = b"expect-instance"
"""ID of the server that a request is meant for. Any other server refuses it."""
LOAD = b"server-load"
"""Numbers of running requests, waiting requests and slots of the server, separated by commas."""
NOT_RUN = b"not-executed"
"""Present if the server has not run the request."""
RETRY_AFTER = b"retry-after"
"""Seconds, which may be fractional."""
SEALS_OF_PARTS = b"part-seals"
"""Signatures of the shards' answers in a merged answer."""
MISSING_SHARDS = b"missing-parts"
"""Number of shards that are missing from a merged answer."""
ENCODING = b"content-encoding"
KEY = b"api-key"
"""The caller's key, where the configuration declares organisations."""
ORGANISATION = b"tenant"
"""Name of the organisation of a request, set by the node."""

HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Fields that apply to a single connection or to the framing of a message on it."""
REPLACED_FIELDS = frozenset((TIME_LEFT, EXPECTED_SERVER))
"""Fields that the node sets itself on requests to servers."""
IDENTITY_FIELDS = frozenset((KEY, ORGANISATION))
"""Fields about the caller's identity, which the node replaces where there are organisations."""
