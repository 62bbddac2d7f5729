"""How many requests go to servers of an upstream that have never answered."""

from __future__ import annotations

from collections.abc import Iterable

from ...clock import SECOND, Millis
from ..server_view import NEVER
from .target import Target

MAX_TRIALS = 2
"""Requests in flight to newcomers while servers that have answered before are there. New servers of
a sound upstream answer within some milliseconds, so a dozen of them are known within a second."""
MIN_TRIAL_PAUSE: Millis = 50.0
MAX_TRIAL_PAUSE: Millis = 5 * SECOND
"""Longest pause after a newcomer that did not answer. With hundreds of them, so many requests of a
host have to be sent to a second server."""


class Newcomers:
    """The servers of one upstream that have never answered this host.

    The list may name servers that refuse connections, accept them and stay silent, or are none. To
    a host they look like new servers: idle and fast. Each request that tries one of them is late or
    fails, although servers that have answered before could serve it. So only a few requests at a
    time try newcomers, and fewer the more of them don't answer.

    Those to which the last connection failed are kept apart: there may be thousands, and no request
    should look at each of them.
    """

    def __init__(self) -> None:
        self._reachable: dict[str, Target] = {}
        self._unreachable: dict[str, Target] = {}
        self._pause: Millis = 0.0
        self._next_trial_at: Millis = NEVER

    def __contains__(self, target: Target) -> bool:
        return target.server_id in self._reachable or target.server_id in self._unreachable

    def __len__(self) -> int:
        return len(self._reachable) + len(self._unreachable)

    @property
    def reachable(self) -> Iterable[Target]:
        """Those to which no connection has failed since one was opened."""
        return self._reachable.values()

    @property
    def unreachable(self) -> Iterable[Target]:
        """The others."""
        return self._unreachable.values()

    def add(self, target: Target) -> None:
        """Add a server that was listed just now."""
        self._reachable[target.server_id] = target

    def remove(self, server_id: str) -> None:
        """Remove a server that is no longer listed, or has answered."""
        self._reachable.pop(server_id, None)
        self._unreachable.pop(server_id, None)

    def record_connection(self, target: Target, is_open: bool) -> None:
        """Record that a connection to one of them was opened, or could not be."""
        if target in self:
            self.remove(target.server_id)
            kept = self._reachable if is_open else self._unreachable
            kept[target.server_id] = target

    def may_try(self, now: Millis) -> bool:
        """Return whether a request may try one of them although proven servers are there."""
        if not self._reachable or now < self._next_trial_at:
            return False
        return sum(one.in_flight for one in self._reachable.values()) < MAX_TRIALS

    def record_answer(self, target: Target) -> bool:
        """Record an answer; return whether it was the first one of this server."""
        if target not in self:
            return False
        self.remove(target.server_id)
        self._pause = 0.0
        self._next_trial_at = NEVER
        return True

    def record_failure(self, target: Target, now: Millis) -> None:
        """Record a failed request; after that of a newcomer there is a pause, longer each time."""
        if target in self:
            self._pause = min(MAX_TRIAL_PAUSE, max(MIN_TRIAL_PAUSE, 2 * self._pause))
            self._next_trial_at = now + self._pause
