"""How many requests a server that is cold may get, and from which host."""

from __future__ import annotations

from collections import deque
from math import floor
from typing import NamedTuple

from ...clock import SECOND, Millis
from ..server_view import NEVER

WINDOW: Millis = 1250.0
"""The bound holds for any second at the server; requests sent within this time may arrive there
within one."""
OWNERS_AT_ONCE = 2
"""A host that is cut off may go on as the owner while another one has become it."""
TAKE_OVER: Millis = 1 * SECOND
"""How long a host that becomes the owner leaves cold servers to the one before."""
LIST_BEHIND: Millis = 2 * SECOND
"""How late the list's word that a server has become cold may come."""


class ColdServerLimits(NamedTuple):
    """What all hosts together may send to a cold server in a second."""

    tolerance: float
    """For each request a second that its upstream declares."""
    margin: float
    """Requests besides."""

    def allowed(self, rate: float) -> int:
        """Return how many requests the owner of a cold server may send to it in a second.

        Args:
            rate: What the upstream declares that a cold server bears in a second.
        """
        return max(1, floor(rate * self.tolerance + self.margin) // OWNERS_AT_ONCE)


class ColdServerLimiter:
    """Bounds what one host sends to one server while that is cold.

    A server that has started, or whose cache was emptied, crashes under the load that it bears when
    it is warm. The bound holds for all hosts together and is often smaller than their number, so
    only one of them, the owner, sends anything.
    """

    __slots__ = ("_sent", "allowed", "may_until", "owned_from", "until")

    def __init__(self) -> None:
        self.until: Millis = NEVER
        """Until when the server is cold."""
        self.may_until: Millis = NEVER
        """Until when it may be cold although nobody says so."""
        self.allowed: int | None = None
        """What the owner may send in a second; None for no limit."""
        self.owned_from: Millis | None = None
        """Since when this host owns it; None if another one does."""
        self._sent: deque[Millis] = deque()

    def closed(self, now: Millis) -> bool:
        """Return whether the server must not get a request from this host now."""
        if now >= self.until or self.allowed is None:
            return False
        if self.owned_from is None or now < self.owned_from + TAKE_OVER:
            return True
        sent = self._sent
        while sent and sent[0] <= now - WINDOW:
            sent.popleft()
        return len(sent) >= self.allowed

    def count(self, now: Millis) -> None:
        """Count a request to the server."""
        if now < self.until and self.allowed is not None:
            self._sent.append(now)
