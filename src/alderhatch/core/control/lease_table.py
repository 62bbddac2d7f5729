"""The leases that the leader has granted. Soft state: a new leader starts with an empty table."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from ...clock import MINUTE, SECOND, Millis
from .connection_shares import NO_SHARE, ConnectionShares, Share
from .lease_messages import Grant, Renewal
from .operations import EntryKey

DRIFT = 0.1
"""The leader waits this much longer than the lease, as a fraction, before it calls it run out.

Two clocks that run at different rates would otherwise let an entry serve on while the leader
already takes its rules as replaced and its connections as closed.
"""
SHARE_GRACE: Millis = 2 * SECOND
"""After its lease an entry may finish what runs for this long, then it closes its connections."""
REMOVAL_REMEMBERED: Millis = MINUTE


class LeaseState(StrEnum):
    """What the leader knows of an entry's lease."""

    LIVE = "live"
    UNKNOWN = "unknown"
    """This leader has not heard from it; an earlier one may have granted it a lease."""
    RUN_OUT = "run_out"


class LeaseView(NamedTuple):
    """One entry's lease; for dumps and operators."""

    state: LeaseState
    left: Millis
    """How long the entry may serve at most."""
    version: int | None
    """The version that it has confirmed to this leader."""
    share: int | None


@dataclass(slots=True)
class _Holder:
    key: EntryKey
    until: Millis
    """After this time, on the leader's clock, the entry certainly does not serve."""
    version: int | None = None
    sequence: int = -1
    ending: bool = False


class LeaseTable:
    """Decides on renewals, and which leases have run out.

    It may be asked for grants only while the leader's own lease holds, so that a leader which
    was replaced without noticing can't extend anything.
    """

    def __init__(
        self,
        lease: Millis,
        registered: Iterable[EntryKey],
        since_removal: Millis | None,
        now: Millis,
    ) -> None:
        """Start as a new leader.

        Every entry that takes part may have been granted a lease by the leader before, up to this
        moment. So each of them counts as live until a whole lease has passed or it has renewed.

        Args:
            lease: How long an entry may serve after it sent its renewal.
            registered: The entries that take part.
            since_removal: How long ago an entry was last taken out; None if never.
            now: The leader's time.
        """
        self.lease = lease
        self._span = lease * (1 + DRIFT)
        recent = since_removal is not None and since_removal < REMOVAL_REMEMBERED
        self._shares = ConnectionShares(now + SHARE_GRACE if recent else now)
        self._holders: dict[str, _Holder] = {}
        for key in registered:
            self._holders[key.name] = _Holder(key, now + self._span)
            self._shares.add(key.name, None)

    def sync(self, registered: Mapping[str, EntryKey], now: Millis) -> None:
        """Take in the entries that were registered, and drop those that were taken out."""
        for name, holder in list(self._holders.items()):
            if registered.get(name) != holder.key:
                del self._holders[name]
                self._shares.remove(name, max(now, holder.until) + SHARE_GRACE)
        for name, key in registered.items():
            if name not in self._holders:
                self._holders[name] = _Holder(key, now + self._span)
                self._shares.add(name, Share(NO_SHARE))

    def set_plan(self, digest: int | None) -> None:
        """Go by a plan of owners from now on; None makes every entry an owner."""
        self._shares.plan = digest

    def renew(self, renewal: Renewal, version: int, now: Millis) -> Grant | None:
        """Decide on a renewal.

        Args:
            renewal: What the entry sent.
            version: The feed's version at the leader.
            now: The leader's time; a moment at which the leader's own lease holds.

        Returns:
            The grant; one with a lease of 0 if the entry is not registered (yet); None if the
            renewal is older than one already seen, so that it gets no answer.
        """
        holder = self._holders.get(renewal.name)
        key = EntryKey(renewal.name, renewal.incarnation)
        if holder is None or holder.key != key or holder.ending:
            return Grant(renewal.sequence, 0.0, version, renewal.share, "")
        if renewal.sequence <= holder.sequence:
            # It was overtaken on its way through another control host. Its word on the share is
            # out of date, and the entry takes no answer to it any more.
            return None
        holder.sequence = renewal.sequence
        holder.version = max(renewal.version, holder.version or 0)
        holder.until = now + self._span
        obeyed = Share(renewal.share, renewal.plans)
        share = self._shares.grant(renewal.name, obeyed, renewal.wants_share, now)
        return Grant(renewal.sequence, self.lease, version, share.divisor, "", share.plans)

    def take_expired(self, now: Millis) -> list[EntryKey]:
        """Return the entries whose leases have run out, each once; they get no grant any more."""
        found = [h for h in self._holders.values() if not h.ending and now >= h.until]
        for holder in found:
            holder.ending = True
        return [holder.key for holder in found]

    def retry_expired(self) -> None:
        """Let ``take_expired`` give those again that could not be taken out."""
        for holder in self._holders.values():
            holder.ending = False

    def unconfirmed_entries(self, version: int, now: Millis) -> list[str]:
        """Return the entries that may serve and have not confirmed a version."""
        return [
            name
            for name, holder in self._holders.items()
            if now < holder.until and (holder.version is None or holder.version < version)
        ]

    def next_end(self, now: Millis) -> Millis | None:
        """Return when the next lease runs out if nobody renews."""
        ends = [h.until for h in self._holders.values() if h.until > now]
        return min(ends, default=None)

    def view(self, name: str, now: Millis) -> LeaseView:
        """Return what is known of one entry's lease."""
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
