"""A host's search for the leader: whom it asks next, and how long it waits for each."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import trio

from ..clock import SECOND, Millis
from .tier_messages import Place

DIAL_TIMEOUT: Millis = 400.0
"""Hosts are 3 ms away; one that needs longer is dark or busy, and others wait to be tried."""
HINTED_DIAL_TIMEOUT: Millis = 1600.0
"""For a host that another one names as the leader. When a leader is new, all hosts come to it at
once; were each to give up and come again, it would never have answered them all."""
MAX_SLOWNESS = 8.0
"""By how much a host slows down its search at most while those that it asks don't answer."""


class LeaderSearch:
    """Whom a host asks for the leader, in which order and for how long.

    It asks in rounds, a few hosts at the same time, until one answers that leads.
    """

    def __init__(self) -> None:
        self.left: deque[Place] = deque()
        """Who is to be asked in this round, the next one first."""
        self.progress = trio.Event()
        """Set when a host has answered, or can't."""
        self.leader_found = False
        """Whether a leader was found."""
        self.backoff_factor = 1.0
        """By how much this host asks less often than it would if all answered."""
        self._asked: set[Place] = set()
        self._unanswered = 0
        self._hinted: set[Place] = set()
        self._dialling: dict[Place, trio.CancelScope] = {}

    def begin_round(self, places: Iterable[Place]) -> None:
        """Begin to ask these hosts, but for those whose answers are awaited still."""
        self.left = deque(places)
        self._asked = set(self._dialling)
        self._unanswered = 0

    def end_round(self) -> None:
        """Slow down if most of those that were asked did not answer, else hurry again.

        Hosts that are many and restarted together keep those whom they ask so busy that nobody is
        answered in time; were they all to ask again at once, it would stay so.
        """
        is_slow = 2 * self._unanswered > len(self._asked)
        self.backoff_factor = min(MAX_SLOWNESS, 2 * self.backoff_factor) if is_slow else 1.0

    @property
    def is_round_over(self) -> bool:
        """Whether a leader was found, or nobody is left who could name one soon."""
        awaited = self._dialling.keys() - self._hinted
        return self.leader_found or not (self.left or awaited)

    def add_hint(self, place: Place) -> None:
        """Ask a host next that is said to lead, and wait longer for it."""
        self.left.appendleft(place)
        self._hinted.add(_bare(place))

    def next_place(self) -> Place | None:
        """Return who is to be asked next, or None if nobody is left."""
        while self.left:
            place = self.left.popleft()
            if _bare(place) not in self._asked:
                self._asked.add(_bare(place))
                return place
        return None

    def begin_attempt(self, place: Place) -> trio.CancelScope:
        """Return what bounds the time for one host's answer."""
        is_named = _bare(place) in self._hinted
        timeout = HINTED_DIAL_TIMEOUT if is_named else DIAL_TIMEOUT * self.backoff_factor
        scope = trio.CancelScope(deadline=trio.current_time() + timeout / SECOND)
        self._dialling[_bare(place)] = scope
        return scope

    def select_leader(self, place: Place) -> bool:
        """Leave all others for the host that has just answered; False if one was before it."""
        if self.leader_found:
            return False
        self.leader_found = True
        for other, scope in self._dialling.items():
            if other != _bare(place):
                scope.cancel()
        self._dialling[_bare(place)].deadline = float("inf")
        self.progress.set()
        return True

    def end_attempt(self, place: Place) -> None:
        """Take note that a host has answered, or that it can't be asked."""
        scope = self._dialling.pop(_bare(place))
        self._hinted.discard(_bare(place))
        self._unanswered += scope.cancelled_caught
        self.progress.set()


def _bare(place: Place) -> Place:
    """Return a place without its name: a seed of the settings has no other than its address."""
    return place._replace(name="")
