"""The requests to servers that have not been sent yet, as they wait for a connection."""

from __future__ import annotations

from ...clock import Millis

MIN_WAITING = 16
"""With so many requests waiting at once, it is this host that is busy opening connections."""
PROGRESS_TIMEOUT: Millis = 30.0
"""If no waiting request has got a connection for so long, the servers do not accept any."""
MAX_WAIT: Millis = 100.0
"""A request that has waited longer is no longer excused by the others."""


class ConnectionWaits:
    """Tells whether a request is late because this host is opening many connections.

    A host that has just started has no connections. Its first query over a hundred shards opens one
    for each; every part is late, and none of the servers is to blame. If each part were hedged, the
    host would open twice as many connections at the moment when it can afford it least, and the
    retry budget would be used up.
    """

    def __init__(self) -> None:
        self._began_at: dict[int, Millis] = {}
        """When each attempt began to wait, by its number."""
        self._progress_at: Millis = 0.0
        """When one of them began to wait, until there are many, or last got a connection."""
        self._is_crowd = False
        """Whether many have waited at the same time, and not all of them have ended."""

    def begin(self, attempt: int, now: Millis) -> None:
        """Record that an attempt waits for a connection."""
        self._began_at[attempt] = now
        if not self._is_crowd:
            self._progress_at = now
        self._is_crowd = self._is_crowd or len(self._began_at) >= MIN_WAITING

    def end(self, attempt: int, now: Millis) -> bool:
        """Record that an attempt got a connection, or none.

        Returns:
            Whether it waited because of the others.
        """
        is_excused = self.is_excused(attempt, now)
        if self._began_at.pop(attempt, None) is not None:
            self._progress_at = now
        self._is_crowd = self._is_crowd and bool(self._began_at)
        return is_excused

    def is_excused(self, attempt: int, now: Millis) -> bool:
        """Return whether an attempt still waits because this host opens many connections."""
        began_at = self._began_at.get(attempt)
        if began_at is None or not self._is_crowd:
            return False
        return now - began_at < MAX_WAIT and now - self._progress_at < PROGRESS_TIMEOUT
