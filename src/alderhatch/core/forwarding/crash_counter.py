"""Which requests have crashed so many servers that no host sends them any more."""

from __future__ import annotations

from ...clock import SECOND, Millis
from ..crash_detector import CRASH_LIMIT, MAX_FINGERPRINTS

QUARANTINE_DURATION: Millis = 600 * SECOND
"""How long such a request is refused everywhere; its caller may have stopped sending it by then."""
CRASH_RETENTION: Millis = 60 * SECOND
"""Crashes further apart than this are not taken for the same request's doing."""


class CrashCounter:
    """Adds up at the leader what hosts report, since one request may come to any of them.

    Each host by itself would let the request crash two servers; a tier of eleven hosts would lose
    twenty-two.
    """

    def __init__(self) -> None:
        self._servers: dict[str, dict[str, Millis]] = {}
        self._until: dict[str, Millis] = {}

    def report(self, fingerprint: str, server_id: str, now: Millis) -> bool:
        """Take one crash; return whether the request is refused everywhere from now on."""
        servers = self._servers.pop(fingerprint, {})
        servers = {name: at for name, at in servers.items() if now - at < CRASH_RETENTION}
        servers[server_id] = now
        self._servers[fingerprint] = servers
        if len(self._servers) > MAX_FINGERPRINTS:
            del self._servers[next(iter(self._servers))]
        if len(servers) < CRASH_LIMIT or self._until.get(fingerprint, 0.0) > now:
            return False
        self._until[fingerprint] = now + QUARANTINE_DURATION
        return True

    def refused(self, now: Millis) -> list[str]:
        """Return the requests that are refused everywhere."""
        self._until = {name: until for name, until in self._until.items() if until > now}
        return sorted(self._until)
