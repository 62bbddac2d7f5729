"""The leases granted by the leader. Soft state, rebuilt by each new leader."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from ...clock import MINUTE, SECOND, Millis
from .connection_shares import NO_SHARE, ConnectionShares, Share
from .lease_messages import Grant, Renewal
from .operations import EntryKey

CLOCK_DRIFT_FRACTION = 0.1
"""Fraction of the lease that the leader waits in addition before it treats a lease as expired.

Without it, an entry whose clock runs slower than the leader's could still serve while the leader
already considers its rules replaced and its connections closed.
"""
SHARE_GRACE_MS: Millis = 2 * SECOND
"""Time after its lease in which an entry may finish requests; then it closes its connections."""
RECENT_REMOVAL_WINDOW_MS: Millis = MINUTE


class LeaseState(StrEnum):
    """The leader's knowledge of an entry's lease."""

    LIVE = "live"
    UNKNOWN = "unknown"
    """No renewal has reached this leader; an earlier leader may have granted a lease."""
    RUN_OUT = "run_out"


class LeaseView(NamedTuple):
    """The state of one entry's lease, for dumps and operators."""

    state: LeaseState
    left: Millis
    """The maximum time for which the entry may still serve."""
    version: int | None
    """The version that the entry has confirmed to this leader."""
    share: int | None


@dataclass(slots=True)
class _Holder:
    key: EntryKey
    until: Millis
    """From this time on, by the leader's clock, the entry certainly does not serve."""
    version: int | None = None
    sequence: int = -1
    ending: bool = False


class LeaseTable:
    """Answers renewals and determines which leases have expired.

    Grants may be requested only while the leader's own lease is valid, so that a leader that was
    replaced without noticing cannot extend leases.
    """

    def __init__(
        self,
        lease: Millis,
        registered: Iterable[EntryKey],
        since_removal: Millis | None,
        now: Millis,
    ) -> None:
        """Start the table of a new leader.

        The previous leader may have granted a lease to any registered entry until now. Each entry
        therefore counts as live until it has renewed or a full lease has passed.

        Args:
            lease: How long an entry may serve after it sent its renewal.
            registered: The registered entries.
            since_removal: The time since an entry was last removed; None if never.
            now: The leader's time.
        """
        self.lease = lease
        self._expiry_delay = lease * (1 + CLOCK_DRIFT_FRACTION)
        recent = since_removal is not None and since_removal < RECENT_REMOVAL_WINDOW_MS
        self._shares = ConnectionShares(now + SHARE_GRACE_MS if recent else now)
        self._holders: dict[str, _Holder] = {}
        for key in registered:
            self._holders[key.name] = _Holder(key, now + self._expiry_delay)
            self._shares.add(key.name, None)

    def sync(self, registered: Mapping[str, EntryKey], now: Millis) -> None:
        """Add newly registered entries and drop removed ones."""
        for name, holder in list(self._holders.items()):
            if registered.get(name) != holder.key:
                del self._holders[name]
                self._shares.remove(name, max(now, holder.until) + SHARE_GRACE_MS)
        for name, key in registered.items():
            if name not in self._holders:
                self._holders[name] = _Holder(key, now + self._expiry_delay)
                self._shares.add(name, Share(NO_SHARE))

    def set_plan(self, digest: int | None) -> None:
        """Set the target owner plan; None makes every entry an owner."""
        self._shares.plan = digest

    def renew(self, renewal: Renewal, version: int, now: Millis) -> Grant | None:
        """Answer a renewal.

        Args:
            renewal: The entry's renewal.
            version: The feed version at the leader.
            now: The leader's time, at which the leader's own lease is valid.

        Returns:
            The grant, with a lease of 0 if the entry is not registered; None if the renewal is
            older than one already received and gets no answer.
        """
        holder = self._holders.get(renewal.name)
        key = EntryKey(renewal.name, renewal.incarnation)
        if holder is None or holder.key != key or holder.ending:
            return Grant(renewal.sequence, 0.0, version, renewal.share, "")
        if renewal.sequence <= holder.sequence:
            # A newer renewal overtook this one, which was relayed by another control host. The
            # share that it reports is out of date, and the entry ignores an answer to it.
            return None
        holder.sequence = renewal.sequence
        holder.version = max(renewal.version, holder.version or 0)
        holder.until = now + self._expiry_delay
        in_use = Share(renewal.share, renewal.plans)
        share = self._shares.grant(renewal.name, in_use, renewal.wants_share, now)
        return Grant(renewal.sequence, self.lease, version, share.divisor, "", share.plans)

    def take_expired(self, now: Millis) -> list[EntryKey]:
        """Return the entries whose leases have expired, each once; they get no more grants."""
        found = [h for h in self._holders.values() if not h.ending and now >= h.until]
        for holder in found:
            holder.ending = True
        return [holder.key for holder in found]

    def retry_expired(self) -> None:
        """Let ``take_expired`` return those entries again that could not be removed."""
        for holder in self._holders.values():
            holder.ending = False

    def unconfirmed_entries(self, version: int, now: Millis) -> list[str]:
        """Return the entries that may still serve and have not confirmed a version."""
        return [
            name
            for name, holder in self._holders.items()
            if now < holder.until and (holder.version is None or holder.version < version)
        ]

    def next_end(self, now: Millis) -> Millis | None:
        """Return when the next lease expires without renewals; None if there is none."""
        ends = [h.until for h in self._holders.values() if h.until > now]
        return min(ends, default=None)

    def view(self, name: str, now: Millis) -> LeaseView:
        """Return the state of one entry's lease."""
        holder = self._holders.get(name)
        if holder is None or now >= holder.until:
            return LeaseView(LeaseState.RUN_OUT, 0.0, None, None)
        state = LeaseState.UNKNOWN if holder.version is None else LeaseState.LIVE
        bound = self._shares.bound(name)
        divisor = None if bound is None else bound.divisor
        return LeaseView(state, holder.until - now, holder.version, divisor)

    def live(self, now: Millis) -> int:
        """Return how many entries have renewed with this leader and may serve."""
        return sum(
            1
            for holder in self._holders.values()
            if holder.version is not None and now < holder.until
        )
