"""The platform's header fields, in lower case."""

from __future__ import annotations

REQUEST_ID = b"attempt-id"
"""Names one try of a caller; servers echo it."""
TIME_LEFT = b"time-budget-ms"
"""How many milliseconds whoever sent the request waits for the answer."""
SEAL = b"server-seal"
"""A server's signature of its answer."""
EXPECTED_SERVER = b"expect-instance"
"""The server that a request is meant for; any other refuses it."""
LOAD = b"server-load"
"""Running requests, waiting requests and slots of the server, with commas between."""
NOT_RUN = b"not-executed"
"""On an answer of a server that has not run the request."""
RETRY_AFTER = b"retry-after"
"""Seconds, also fractions of one."""
SEALS_OF_PARTS = b"part-seals"
"""The signatures of the shards' answers that a merged answer is made of."""
MISSING_SHARDS = b"missing-parts"
"""How many shards a merged answer lacks."""
ENCODING = b"content-encoding"

CONNECTION_FIELDS = frozenset(
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
"""Fields that concern one connection, or the framing of one message on it."""
OWN_FIELDS = frozenset((TIME_LEFT, EXPECTED_SERVER))
"""Fields that the product sets itself on requests to servers."""
