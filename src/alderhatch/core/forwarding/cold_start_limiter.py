"""Limits the requests that each host sends to a server while that server is cold."""

from __future__ import annotations

from collections import deque
from math import floor
from typing import NamedTuple

from ...clock import SECOND, Millis
from ..server_view import NEVER

RATE_WINDOW: Millis = 1250.0
"""The limit holds for any second at the server; requests sent within this time may arrive there
within one second."""
MAX_CONCURRENT_OWNERS = 2
"""A host that is partitioned may continue as the owner while another one has taken over."""
TAKEOVER_DELAY: Millis = 1 * SECOND
"""How long a new owner sends nothing to cold servers, while its predecessor may still do so."""
MAX_LIST_DELAY: Millis = 2 * SECOND
"""The longest delay until the server list shows that a server has become cold."""


class ColdServerLimits(NamedTuple):
    """What all hosts together may send to a cold server in a second."""

    tolerance: float
    """A factor on the rate that the upstream declares."""
    margin: float
    """Requests per second in addition."""

    def allowed(self, rate: float) -> int:
        """Return how many requests the owner of a cold server may send to it in a second.

        Args:
            rate: The requests per second that a cold server can handle, as the upstream declares.
        """
        return max(1, floor(rate * self.tolerance + self.margin) // MAX_CONCURRENT_OWNERS)


class ColdServerLimiter:
    """Limits what one host sends to one server while that server is cold.

    A server that has started, or whose cache was emptied, crashes under the load that it handles
    when it is warm. The limit holds for all hosts together and is often smaller than their number,
    so only one of them, the owner, sends anything.
    """

    __slots__ = ("_sent", "allowed", "maybe_until", "owned_since", "until")

    def __init__(self) -> None:
        self.until: Millis = NEVER
        """The end of the time for which the server is known to be cold."""
        self.maybe_until: Millis = NEVER
        """The end of the time for which it may be cold although the list does not say so."""
        self.allowed: int | None = None
        """What the owner may send in a second; None for no limit."""
        self.owned_since: Millis | None = None
        """Since when this host is the owner; None if another host is."""
        self._sent: deque[Millis] = deque()

    def blocks(self, now: Millis) -> bool:
        """Return whether this host must not send a request to the server now."""
        if now >= self.until or self.allowed is None:
            return False
        if self.owned_since is None or now < self.owned_since + TAKEOVER_DELAY:
            return True
        sent = self._sent
        while sent and sent[0] <= now - RATE_WINDOW:
            sent.popleft()
        return len(sent) >= self.allowed

    def count_request(self, now: Millis) -> None:
        """Count a request to the server."""
        if now < self.until and self.allowed is not None:
            self._sent.append(now)
