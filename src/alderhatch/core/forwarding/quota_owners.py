"""Assigns the quota of each organisation to one active host, its owner."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from ...clock import SECOND, Millis
from ..owners import rendezvous
from .quota_bounds import QuotaBounds

OWNER_LEASE: Millis = 2500.0
"""How long an owner grants tokens after it asked the leader for a confirmation that arrived. It
outlasts the loss of a leader until the next one is found."""
TAKEOVER_DELAY: Millis = OWNER_LEASE + 500.0
"""How long a new owner waits until the lease of any former one has run out; the difference allows
for a list of hosts that some hosts receive later than others."""
IN_TOUCH_SPAN: Millis = 10 * SECOND
"""How long a host that hears no leader keeps its share of the slack. A host that became active has
none for as long: the host that it replaces may still use it."""
MAX_VIEWS = 64
MAX_OWNERSHIPS = 20_000


class _View(NamedTuple):
    since: Millis
    names: tuple[str, ...]


class _Ownership(NamedTuple):
    owner: str
    since: Millis
    views: int
    """How many views were looked at so far."""


class QuotaOwners:
    """The owners of quotas by rendezvous hashing over the active hosts, now and recently.

    Every host computes the same owners from the same hosts, without a message.

    Args:
        own_name: This host's name.
        bounds: The bounds of all quotas.
        started_at: When this process began.
    """

    def __init__(self, own_name: str, bounds: QuotaBounds, started_at: Millis) -> None:
        self.own_name = own_name
        self._bounds = bounds
        self._started_at = started_at
        self._views: deque[_View] = deque(maxlen=MAX_VIEWS)
        self._view_count = 0
        self._ownerships: dict[str, _Ownership] = {}
        self._confirmed_at = -inf
        self._out_of_touch_until = -inf
        """When this host was last confirmed after others may have taken over what it owned."""
        self._active_since: Millis | None = None

    @property
    def hosts(self) -> tuple[str, ...]:
        """The names of the active hosts."""
        return self._views[-1].names if self._views else ()

    def set_hosts(self, names: Iterable[str], now: Millis) -> bool:
        """Set the names of the active hosts; return whether owners may have changed."""
        ordered = tuple(sorted(names))
        if ordered == self.hosts:
            return False
        self._views.append(_View(now, ordered))
        self._view_count += 1
        if self.own_name not in ordered:
            self._active_since = None
        elif self._active_since is None:
            # What a host knows before it hears its first leader was kept from before its start.
            self._active_since = now if self._confirmed_at > -inf else -inf
        return True

    def confirm(self, confirmed_at: Millis, now: Millis) -> None:
        """Record when this host asked the leader for the last confirmation that has arrived.

        Args:
            confirmed_at: When it asked; -inf if nothing was confirmed yet.
            now: The present time.
        """
        if confirmed_at > self._confirmed_at:
            if confirmed_at - self._confirmed_at > TAKEOVER_DELAY:
                # Another host may have been the owner meanwhile, unnoticed by this one. With its
                # old balances, this host would grant tokens that the other one has granted.
                self._out_of_touch_until = now
            self._confirmed_at = confirmed_at

    def owner(self, organisation: str) -> str | None:
        """Return the name of the owner of an organisation's quota; None if no host is active."""
        return self._ownership(organisation).owner if self.hosts else None

    def owned_since(self, organisation: str) -> Millis | None:
        """Return since when this host owns a quota; None if another host does."""
        if not self.hosts:
            return None
        ownership = self._ownership(organisation)
        if ownership.owner != self.own_name:
            return None
        return max(ownership.since, self._out_of_touch_until)

    def has_lease(self, now: Millis) -> bool:
        """Return whether this host may grant tokens of the quotas that it owns."""
        return now - self._confirmed_at <= OWNER_LEASE

    def sharing_hosts(self, now: Millis) -> int:
        """Return how many hosts share the slack of each quota; 0 if this host has no share."""
        since = self._active_since
        if since is None or now - since < IN_TOUCH_SPAN:
            return 0
        if now - self._confirmed_at > IN_TOUCH_SPAN:
            return 0
        # Hosts that were cut off go on using a share, so the others must not use it as well.
        recent = [view for view in self._views if now - view.since <= 2 * IN_TOUCH_SPAN]
        before = len(self._views) - len(recent)
        if before > 0:
            recent.append(self._views[before - 1])
        return max((len(view.names) for view in recent), default=0)

    def may_use_reserve(self, now: Millis) -> bool:
        """Return whether this process has run for long enough to use a reserve.

        The process that ran at this host before may have used up its own within the same window.
        """
        return now - self._started_at >= self._bounds.window / 2

    def may_run_ahead(self, now: Millis) -> bool:
        """Return whether this process has run for a whole window.

        The owner never learns what the process before ran ahead, so only one of them may.
        """
        return now - self._started_at >= self._bounds.window

    def _ownership(self, organisation: str) -> _Ownership:
        known = self._ownerships.get(organisation)
        if known is not None and known.views == self._view_count:
            return known
        oldest = self._view_count - len(self._views)
        start = 0 if known is None else max(0, known.views - oldest)
        if known is None or known.views < oldest:
            known, start = None, 0
        for index in range(start, len(self._views)):
            view = self._views[index]
            owner = rendezvous(organisation, view.names)[0] if view.names else ""
            if known is None or known.owner != owner:
                known = _Ownership(owner, view.since, 0)
        assert known is not None
        known = known._replace(views=self._view_count)
        if len(self._ownerships) >= MAX_OWNERSHIPS:
            self._ownerships.clear()
        self._ownerships[organisation] = known
        return known
