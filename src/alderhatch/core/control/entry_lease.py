"""The entry's side of its lease: whether it may serve, its view and its connection share."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from ...clock import Millis
from ...errors import AlderhatchError
from ..owners import OwnerPlan
from ..shard_map import Server
from .connection_shares import NO_SHARE, Share, connections_per_entry, connections_per_owner
from .entry_view import EntryView
from .lease_messages import GrantReply, Renewal
from .lease_table import SHARE_GRACE_MS
from .roster import owner_plan_of_roster

NO_VERSION = -1
"""The version in a renewal that requests the whole view."""


class EntryIdentity(NamedTuple):
    """An entry process as known to control."""

    name: str
    incarnation: str
    """Unique for each start of the process."""
    zone: str
    address: str
    port: int
    link_address: str = ""
    link_port: int = 0
    """The port for links from other entries; 0 if it accepts none."""


class GrantOutcome(StrEnum):
    """The result of applying a grant."""

    RENEWED = "renewed"
    PENDING = "pending"
    """The entry is not registered yet; it sends another renewal immediately."""
    IGNORED = "ignored"
    """The grant answers an older renewal or comes from a former leader."""
    BEHIND = "behind"
    """The updates do not reach the grant's version; the next renewal requests the whole view."""
    WENT_BACK = "went_back"
    """Control has an older version than this entry, so it has lost committed state."""


class EntryLease:
    """An entry's lease, counted from the time at which the renewal was sent.

    The leader counts from the arrival of the renewal, which is later. Therefore the entry has
    stopped accepting requests before the leader treats the lease as expired.
    """

    def __init__(self, identity: EntryIdentity) -> None:
        self._identity = identity
        self._sequence = 0
        self._sent_at: Millis | None = None
        self._reported_share = Share(NO_SHARE)
        self._reported_version = 0
        self._term = 0
        self._whole_view_needed = False
        self._held_share = Share(NO_SHARE)
        self._target_share = Share(NO_SHARE)
        self._plans: dict[int, OwnerPlan] = {}
        self._leaving = False
        self.view = EntryView()
        """The rules, settings, roster and quarantines in force at this entry."""
        self.serve_until: Millis = 0.0
        """No new request is accepted at or after this time."""

    @property
    def share(self) -> int:
        """The divisor in use."""
        return self._held_share.divisor

    @property
    def plans(self) -> tuple[int, ...]:
        """The digests of the owner plans in use along with the divisor."""
        return self._held_share.plans

    def connection_limit(self, server: Server) -> int:
        """Return the number of connections to a server to aim for.

        While the share shrinks, this is already the smaller number; excess connections have to be
        closed.
        """
        return min(
            self._allowed(self._held_share, server), self._allowed(self._target_share, server)
        )

    def open_connection_limit(self, server: Server) -> int:
        """Return the maximum of open connections to a server until the share change is complete."""
        return self._allowed(self._held_share, server)

    def owners(self, server: Server) -> tuple[str, ...]:
        """Return the entries that may hold connections to a server, the most reliable first.

        While one plan replaces another, the owners in both plans hold connections. Owners in only
        one plan may already have closed theirs or not opened them yet.
        """
        server_args = (server.server_id, server.zone, server.max_connections)
        plans = [self._plans[digest] for digest in self._target_share.plans]
        if len(plans) == 1:
            return plans[0].owners(*server_args)
        counts = Counter(name for plan in plans for name in plan.owners(*server_args))
        return tuple(name for name, _ in counts.most_common())

    def _allowed(self, share: Share, server: Server) -> int:
        limit = connections_per_entry(server.max_connections, share.divisor)
        for digest in share.plans:
            plan = self._plans[digest]
            owners = plan.owners(server.server_id, server.zone, server.max_connections)
            allowed = connections_per_owner(server.max_connections, len(owners))
            each = allowed if self._identity.name in owners else 0
            limit = min(limit, each)
        return limit

    @property
    def is_leaving(self) -> bool:
        """Whether the share was given up permanently."""
        return self._leaving

    def may_serve(self, now: Millis) -> bool:
        """Return whether the lease is valid."""
        return now < self.serve_until

    def renewal(self, now: Millis) -> Renewal:
        """Return a renewal to send now; from then on answers to earlier renewals are ignored."""
        self.release_share_if_expired(now)
        self._sequence += 1
        self._sent_at = now
        self._reported_share = self._held_share
        self._reported_version = self.view.version
        version = NO_VERSION if self._whole_view_needed else self.view.version
        return Renewal(
            sequence=self._sequence,
            version=version,
            share=self._held_share.divisor,
            wants_share=not self._leaving,
            plans=self._held_share.plans,
            **self._identity._asdict(),
        )

    def apply_grant(self, reply: GrantReply, now: Millis) -> GrantOutcome:
        """Apply the answer to a renewal."""
        self.release_share_if_expired(now)
        grant = reply.grant
        if grant.sequence != self._sequence or self._sent_at is None or reply.term < self._term:
            return GrantOutcome.IGNORED
        sent_at, self._sent_at = self._sent_at, None
        self._term = reply.term
        # Compared with the version at the renewal, as pushed updates can overtake the grant.
        if grant.version < self._reported_version:
            return GrantOutcome.WENT_BACK
        if not self._apply_updates(reply):
            return GrantOutcome.BEHIND
        if grant.lease <= 0:
            return GrantOutcome.PENDING
        self.serve_until = max(self.serve_until, sent_at + grant.lease)
        if self._held_share == self._reported_share:
            # A share given up between the renewal and its answer no longer counts in the leader's
            # sum. Using it again could exceed the servers' limits.
            self._accept_share(Share(grant.share, grant.plans))
        return GrantOutcome.RENEWED

    def apply_pushed_updates(self, updates: Sequence[bytes]) -> bool:
        """Apply updates that arrive without a grant; they do not extend the lease.

        Returns:
            Whether the view has advanced. Updates that do not continue it are dropped and come
            again with the next grant.
        """
        before = self.view
        try:
            for data in updates:
                self.view = self.view.advanced(data)
        except AlderhatchError:
            self.view = before
        return self.view is not before

    def give_up_share(self) -> None:
        """Give up the share permanently because the process exits.

        The caller closes all connections.
        """
        self._leaving = True
        self._clear_share()

    def share_settled(self) -> bool:
        """Switch to the target share once all connections above it are closed.

        Returns:
            Whether the share in use has changed; an immediate renewal then frees the difference
            for other entries.
        """
        if self._held_share.is_empty or self._target_share == self._held_share:
            return False
        self._held_share = self._target_share
        return True

    def release_share_if_expired(self, now: Millis) -> bool:
        """Give up the share if the lease has been expired for the grace period.

        Returns:
            Whether the share was given up now; all connections have to be closed then.
        """
        if self._held_share.is_empty or now < self.serve_until + SHARE_GRACE_MS:
            return False
        self._clear_share()
        return True

    def _clear_share(self) -> None:
        self._held_share = self._target_share = Share(NO_SHARE)

    def _apply_updates(self, reply: GrantReply) -> bool:
        view = self.view
        try:
            for data in reply.updates:
                view = view.advanced(data)
        except AlderhatchError:
            self._whole_view_needed = True
            return False
        self.view = view
        self._whole_view_needed = view.version < reply.grant.version
        return not self._whole_view_needed

    def _accept_share(self, granted: Share) -> None:
        if self._leaving or not self._resolve_plans(granted):
            return
        self._target_share = granted
        if self._held_share.is_empty or granted.contains(self._held_share):
            self._held_share = granted

    def _resolve_plans(self, granted: Share) -> bool:
        """Compute the current plan; return whether all plans of a share are known."""
        if all(digest in self._plans for digest in granted.plans):
            return True
        plan = owner_plan_of_roster(self.view.roster.values(), self.view.settings.owners_per_server)
        kept = {*self._held_share.plans, *self._target_share.plans, *granted.plans}
        if plan is not None:
            self._plans[plan.digest] = plan
        # A relaying host may be ahead of the leader's grant. The plan then cannot be derived from
        # the view; the next renewal returns a share that matches the view.
        known = all(digest in self._plans for digest in granted.plans)
        self._plans = {digest: plan for digest, plan in self._plans.items() if digest in kept}
        return known
