"""Tells which requests to servers are late because their host is opening many connections."""

from __future__ import annotations

from ...clock import SECOND, Millis

MIN_WAITING = 16
"""If so many requests wait at once, this host is the bottleneck and not their servers."""
PROGRESS_TIMEOUT: Millis = 30.0
"""If no waiting request has got a connection for so long, the servers accept none."""
START_SPAN: Millis = 3 * SECOND
"""How long a host counts as just started."""
MAX_WAIT: Millis = 100.0
"""A request that has waited longer counts as delayed by its server."""


class ConnectionWaits:
    """Tells whether a request is late because this host is opening many connections.

    A host that has just started has no connections. Its first query over a hundred shards opens one
    for each; every part is late, and none of the servers is to blame. If each part were hedged, the
    host would open twice as many connections at the moment when it can afford it least, and the
    retry budget would be used up.

    Later, many connections open at once because servers have reset theirs. Then a part that waits
    may as well be asked for at another server.

    Args:
        until: When the host no longer counts as just started.
    """

    def __init__(self, until: Millis = 0.0) -> None:
        self._until = until
        self._began_at: dict[int, Millis] = {}
        """When each attempt began to wait, by its number."""
        self._progress_at: Millis = 0.0
        """When an attempt last got a connection, or began to wait while few were waiting."""
        self._is_crowded = False
        """Whether many have waited at the same time, and not all of them have ended."""

    def begin(self, attempt: int, now: Millis) -> None:
        """Record that an attempt waits for a connection."""
        self._began_at[attempt] = now
        if not self._is_crowded:
            self._progress_at = now
        self._is_crowded = self._is_crowded or len(self._began_at) >= MIN_WAITING

    def end(self, attempt: int, now: Millis) -> bool:
        """Record that an attempt got a connection, or none.

        Returns:
            Whether it waited because this host opens many connections.
        """
        is_delayed_here = self.is_delayed_here(attempt, now)
        if self._began_at.pop(attempt, None) is not None:
            self._progress_at = now
        self._is_crowded = self._is_crowded and bool(self._began_at)
        return is_delayed_here

    def is_delayed_here(self, attempt: int, now: Millis) -> bool:
        """Return whether an attempt still waits because this host opens many connections."""
        began_at = self._began_at.get(attempt)
        if began_at is None or not self._is_crowded or began_at >= self._until:
            return False
        return now - began_at < MAX_WAIT and now - self._progress_at < PROGRESS_TIMEOUT
