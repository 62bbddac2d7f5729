"""A host's search for the leader: which host to query next, and how long to wait for its answer."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import trio

from ..clock import SECOND, Millis
from .tier_messages import Place

ANSWER_TIMEOUT: Millis = 400.0
"""The latency between hosts is 3 ms; a host that needs longer than this is down or busy."""
HINTED_ANSWER_TIMEOUT: Millis = 1600.0
"""For a host that another host named as the leader. All hosts connect to a new leader at once; if
they gave up early and connected again, it would never answer them all."""
MAX_BACKOFF_FACTOR = 8.0
"""Limit of the factor by which a search slows down while the queried hosts don't answer."""


class LeaderSearch:
    """Decides which hosts to query for the leader, in which order and with which timeout.

    Hosts are queried in rounds, a few at the same time, until one answers that it is the leader. A
    host is known by its place, the address and port where it accepts links.
    """

    def __init__(self) -> None:
        self.pending: deque[Place] = deque()
        """The hosts still to be queried in this round, the next one first."""
        self.progress = trio.Event()
        """Set when a query has ended, with or without an answer."""
        self.leader_found = False
        """Whether the leader has answered."""
        self.backoff_factor = 1.0
        """Factor on timeouts and pauses; 1 unless most hosts of the last round did not answer."""
        self._queried: set[Place] = set()
        self._unanswered_count = 0
        self._hinted_places: set[Place] = set()
        self._pending_queries: dict[Place, trio.CancelScope] = {}

    def begin_round(self, places: Iterable[Place]) -> None:
        """Start a round over these hosts, except those whose answers are still pending."""
        self.pending = deque(places)
        self._queried = set(self._pending_queries)
        self._unanswered_count = 0

    def end_round(self) -> None:
        """Back off if most of the queried hosts did not answer, else reset the factor.

        When many hosts restart together, they keep the hosts that they query too busy to answer in
        time. If all of them retried at once, the hosts would stay too busy.
        """
        is_slow = 2 * self._unanswered_count > len(self._queried)
        self.backoff_factor = min(MAX_BACKOFF_FACTOR, 2 * self.backoff_factor) if is_slow else 1.0

    @property
    def is_round_over(self) -> bool:
        """Whether a leader was found, or no host is left that could name one soon."""
        awaited = self._pending_queries.keys() - self._hinted_places
        return self.leader_found or not (self.pending or awaited)

    def add_hint(self, place: Place) -> None:
        """Query next the host that another host named as the leader, with a longer timeout."""
        self.pending.appendleft(place)
        self._hinted_places.add(_without_name(place))

    def next_place(self) -> Place | None:
        """Return the host to query next, or None if no host is left."""
        while self.pending:
            place = self.pending.popleft()
            if _without_name(place) not in self._queried:
                self._queried.add(_without_name(place))
                return place
        return None

    def begin_query(self, place: Place) -> trio.CancelScope:
        """Return the cancel scope that limits the time for one host's answer."""
        is_hinted = _without_name(place) in self._hinted_places
        timeout = HINTED_ANSWER_TIMEOUT if is_hinted else ANSWER_TIMEOUT * self.backoff_factor
        scope = trio.CancelScope(deadline=trio.current_time() + timeout / SECOND)
        self._pending_queries[_without_name(place)] = scope
        return scope

    def select_leader(self, place: Place) -> bool:
        """Take the host that has just answered as the leader and cancel all other queries.

        Returns:
            False if another host was taken as the leader before.
        """
        if self.leader_found:
            return False
        self.leader_found = True
        for other, scope in self._pending_queries.items():
            if other != _without_name(place):
                scope.cancel()
        self._pending_queries[_without_name(place)].deadline = float("inf")
        self.progress.set()
        return True

    def end_query(self, place: Place) -> None:
        """Record that the query of a host has ended, with or without an answer."""
        scope = self._pending_queries.pop(_without_name(place))
        self._hinted_places.discard(_without_name(place))
        self._unanswered_count += scope.cancelled_caught
        self.progress.set()


def _without_name(place: Place) -> Place:
    """Return a place with an empty name: the settings list hosts by address and port only."""
    return place._replace(name="")
