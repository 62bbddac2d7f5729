"""Assigns the quota of each organisation to one host, its owner."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from math import inf
from typing import NamedTuple

from ...clock import SECOND, Millis
from ..owners import rendezvous
from .quota_bounds import QuotaBounds

OWNER_LEASE: Millis = 3500.0
"""How long an owner grants tokens after it asked the leader for a confirmation that arrived. It
outlasts the loss of a leader until the next one is found, also of one that is frozen, which is
noticed by its silence alone."""
TAKEOVER_DELAY: Millis = OWNER_LEASE + 500.0
"""How long a new owner waits until the lease of any former one has run out; the difference allows
for a list of hosts that some hosts receive later than others."""
IN_TOUCH_SPAN: Millis = 10 * SECOND
"""How long a host keeps its share of the slack without a confirmation of the leader. A host that
becomes active gets its share only after this time, as the host that it replaces may still use it.
"""
LEADER_SETTLE_TIME: Millis = 1500.0
"""How long after this host found a leader the hosts that its lists leave out still own quotas. Its
first lists name only those that have joined so far; without this, most quotas would move for a
moment and back, and their owners would begin anew after ``TAKEOVER_DELAY``."""
MAX_VIEWS = 64
"""Most lists of hosts in memory; the owner of a quota that is first looked up later counts as
owner since the oldest of them."""
MAX_OWNERSHIPS = 20_000
"""Most quotas whose owners are cached; all of them are computed again once there are more."""


class _View(NamedTuple):
    since: Millis
    names: tuple[str, ...]


class _ActiveCount(NamedTuple):
    since: Millis
    hosts: int


class _Ownership(NamedTuple):
    owner: str
    since: Millis
    views: int
    """How many views were looked at so far."""


class QuotaOwners:
    """The owners of quotas by rendezvous hashing over the leader's list of hosts, and its leases.

    Every host computes the same owners from the same list, without a message. The list has to be
    the leader's alone: an owner's lease shows that it holds the newest list, and nothing else. What
    hosts find out by themselves, such as which of them are active, may differ for long, so that two
    hosts would believe that they own the same quota.

    Args:
        own_name: This host's name.
        bounds: The bounds of all quotas.
    """

    def __init__(self, own_name: str, bounds: QuotaBounds) -> None:
        self.own_name = own_name
        self._bounds = bounds
        self._started_at = inf
        self._views: deque[_View] = deque(maxlen=MAX_VIEWS)
        self._view_count = 0
        self._ownerships: dict[str, _Ownership] = {}
        self._confirmed_at = -inf
        self._out_of_touch_until = -inf
        """When this host was last confirmed after others may have taken over what it owned."""
        self._active_counts: deque[_ActiveCount] = deque(maxlen=MAX_VIEWS)
        self._active_since: Millis | None = None
        """Since when this host has a claim to a share, or will have one; None if it has none."""
        self._active_confirmed_at = -inf
        """The last confirmation while this host was active. A new leader's first lists may leave
        hosts out for a moment; they keep their shares, which nobody else gets so soon."""

    @property
    def hosts(self) -> tuple[str, ...]:
        """The names of the hosts that may own quotas."""
        return self._views[-1].names if self._views else ()

    def set_hosts(self, names: Iterable[str], now: Millis, leader_since: Millis = -inf) -> bool:
        """Set the hosts that may own quotas, by the leader's last list.

        Args:
            names: The hosts on the list.
            now: The present time.
            leader_since: When this host found the leader.

        Returns:
            Whether owners may have changed.
        """
        is_settling = now - leader_since < LEADER_SETTLE_TIME
        ordered = tuple(sorted({*names, *self.hosts} if is_settling else names))
        if ordered == self.hosts:
            return False
        self._views.append(_View(now, ordered))
        self._view_count += 1
        return True

    def set_active(self, names: Collection[str], now: Millis) -> None:
        """Set the active hosts, which run requests and share the slack."""
        if not self._active_counts or self._active_counts[-1].hosts != len(names):
            self._active_counts.append(_ActiveCount(now, len(names)))
        if self.own_name in names:
            if self._active_since is None:
                # Before the first confirmation, the active hosts are those of the checkpoint: this
                # host was active before its restart and gets its share at once.
                self._active_since = now if self._confirmed_at > -inf else -inf
            self._active_confirmed_at = self._confirmed_at
        elif now - self._active_confirmed_at >= IN_TOUCH_SPAN:
            self._active_since = None

    def begin(self, now: Millis) -> None:
        """Record that this process begins to admit requests."""
        self._started_at = now

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
        """Return the name of the owner of an organisation's quota; None if there is none."""
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
        if now - self._active_confirmed_at > IN_TOUCH_SPAN:
            return 0
        # Hosts that were cut off go on using a share, so the others must not use it as well.
        most = 0
        for count in reversed(self._active_counts):
            most = max(most, count.hosts)
            if now - count.since > 2 * IN_TOUCH_SPAN:
                break
        return most

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
        if known is None or known.views < oldest:
            known, start = None, 0
        else:
            start = known.views - oldest
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
