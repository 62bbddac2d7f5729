"""An entry's side of its lease: whether it may serve, with which view and which share."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from ...clock import Millis
from ...errors import AlderhatchError
from ..owners import OwnerAssignment
from ..shard_map import Server
from .connection_shares import NO_SHARE, Share, connections_per_entry, owned_connections
from .entry_view import EntryView
from .lease_messages import GrantReply, Renewal
from .lease_table import SHARE_GRACE
from .roster import owner_plan_of_roster

NO_VERSION = -1
"""Asks for the whole view."""


class EntryIdentity(NamedTuple):
    """One process of an entry as control knows it."""

    name: str
    incarnation: str
    """New for each start of the process."""
    zone: str
    address: str
    port: int
    link_address: str = ""
    link_port: int = 0
    """Where it takes links of other entries; 0 if it takes none."""


class GrantOutcome(StrEnum):
    """What became of a grant."""

    RENEWED = "renewed"
    PENDING = "pending"
    """The entry is not registered yet; it asks again at once."""
    IGNORED = "ignored"
    """It answers an older renewal, or comes from a leader that was replaced."""
    BEHIND = "behind"
    """The updates do not lead to the version asked for; the next renewal gets the whole view."""
    WENT_BACK = "went_back"
    """The control hosts are at an older version than this entry: they have lost accepted state."""


class EntryLease:
    """Counts the lease from the moment at which its renewal was sent.

    The leader counts from when the renewal arrived, which is later, so that the entry has stopped
    taking requests whenever the leader calls the lease run out.
    """

    def __init__(self, me: EntryIdentity) -> None:
        self._me = me
        self._sequence = 0
        self._sent_at: Millis | None = None
        self._reported_share = Share(NO_SHARE)
        self._reported_version = 0
        self._term = 0
        self._whole_wanted = False
        self._held = Share(NO_SHARE)
        self._wanted = Share(NO_SHARE)
        self._plans: dict[int, OwnerAssignment] = {}
        self._leaving = False
        self.view = EntryView()
        """Rules, settings, roster and quarantines in force here."""
        self.serve_until: Millis = 0.0
        """No new request is taken at or after this time."""

    @property
    def share(self) -> int:
        """The divisor that this entry obeys."""
        return self._held.divisor

    @property
    def plans(self) -> tuple[int, ...]:
        """The plans of owners that it obeys along with the divisor."""
        return self._held.plans

    def connection_limit(self, server: Server) -> int:
        """Return how many connections to keep to a server.

        While the share shrinks this already is the smaller number; what is over it has to be
        closed.
        """
        return min(self._allowed(self._held, server), self._allowed(self._wanted, server))

    def open_connection_limit(self, server: Server) -> int:
        """Return how many connections to a server there may be until the share has settled."""
        return self._allowed(self._held, server)

    def owners(self, server: Server) -> tuple[str, ...]:
        """Return the entries that may hold connections to a server, the surest first.

        While one plan takes the place of another, the owners by both plans hold connections; those
        of one of them may have closed theirs or not opened them yet.
        """
        where = (server.server_id, server.zone, server.max_connections)
        plans = [self._plans[digest] for digest in self._wanted.plans]
        if len(plans) == 1:
            return plans[0].owners(*where)
        counts = Counter(name for plan in plans for name in plan.owners(*where))
        return tuple(name for name, _ in counts.most_common())

    def _allowed(self, share: Share, server: Server) -> int:
        limit = connections_per_entry(server.max_connections, share.divisor)
        for digest in share.plans:
            plan = self._plans[digest]
            owners = plan.owners(server.server_id, server.zone, server.max_connections)
            allowed = owned_connections(server.max_connections, len(owners))
            each = allowed if self._me.name in owners else 0
            limit = min(limit, each)
        return limit

    @property
    def is_leaving(self) -> bool:
        """Whether the share was given up for good."""
        return self._leaving

    def may_serve(self, now: Millis) -> bool:
        """Return whether the lease is live."""
        return now < self.serve_until

    def renewal(self, now: Millis) -> Renewal:
        """Return a renewal to send now; answers to earlier ones are ignored from here on."""
        self.release_share_if_expired(now)
        self._sequence += 1
        self._sent_at = now
        self._reported_share = self._held
        self._reported_version = self.view.version
        version = NO_VERSION if self._whole_wanted else self.view.version
        return Renewal(
            sequence=self._sequence,
            version=version,
            share=self._held.divisor,
            wants_share=not self._leaving,
            plans=self._held.plans,
            **self._me._asdict(),
        )

    def apply_grant(self, reply: GrantReply, now: Millis) -> GrantOutcome:
        """Take in the answer to a renewal."""
        self.release_share_if_expired(now)
        grant = reply.grant
        if grant.sequence != self._sequence or self._sent_at is None or reply.term < self._term:
            return GrantOutcome.IGNORED
        sent_at, self._sent_at = self._sent_at, None
        self._term = reply.term
        # Pushed news may have overtaken the grant on its way, which is no fault of control's.
        if grant.version < self._reported_version:
            return GrantOutcome.WENT_BACK
        if not self._advance(reply):
            return GrantOutcome.BEHIND
        if grant.lease <= 0:
            return GrantOutcome.PENDING
        self.serve_until = max(self.serve_until, sent_at + grant.lease)
        if self._held == self._reported_share:
            # A share that was given up between renewal and answer is not part of the leader's
            # sum any more. Taking it up again here could exceed the servers' limits.
            self._take_share(Share(grant.share, grant.plans))
        return GrantOutcome.RENEWED

    def apply_pushed_updates(self, updates: Sequence[bytes]) -> bool:
        """Take in news that come without a grant; they neither extend the lease nor confirm it.

        Returns:
            Whether the view has moved on. News that don't follow on it come with the next grant.
        """
        before = self.view
        try:
            for data in updates:
                self.view = self.view.advanced(data)
        except AlderhatchError:
            self.view = before
        return self.view is not before

    def give_up_share(self) -> None:
        """Give up the share for good; all connections are closed, and the process is to exit."""
        self._leaving = True
        self._give_up_share()

    def share_settled(self) -> bool:
        """Note that all connections over the wanted share are closed.

        Returns:
            Whether the share is smaller now, so that a renewal at once lets others have theirs.
        """
        if self._held.nothing or self._wanted == self._held:
            return False
        self._held = self._wanted
        return True

    def release_share_if_expired(self, now: Millis) -> bool:
        """Give up the share once the lease has been over for the grace time.

        Returns:
            Whether that is news; all connections have to be closed then.
        """
        if self._held.nothing or now < self.serve_until + SHARE_GRACE:
            return False
        self._give_up_share()
        return True

    def _give_up_share(self) -> None:
        self._held = self._wanted = Share(NO_SHARE)

    def _advance(self, reply: GrantReply) -> bool:
        view = self.view
        try:
            for data in reply.updates:
                view = view.advanced(data)
        except AlderhatchError:
            self._whole_wanted = True
            return False
        self.view = view
        self._whole_wanted = view.version < reply.grant.version
        return not self._whole_wanted

    def _take_share(self, granted: Share) -> None:
        if self._leaving or not self._knows_plans(granted):
            return
        self._wanted = granted
        if self._held.nothing or granted.contains(self._held):
            self._held = granted

    def _knows_plans(self, granted: Share) -> bool:
        """Take in the present plan; return whether all of a share's plans are known."""
        if all(digest in self._plans for digest in granted.plans):
            return True
        plan = owner_plan_of_roster(self.view.roster.values(), self.view.settings.owners_per_server)
        kept = {*self._held.plans, *self._wanted.plans, *granted.plans}
        if plan is not None:
            self._plans[plan.digest] = plan
        # A relaying host may be ahead of the leader's grant. Whom the plan names can't be known
        # here then; the next renewal brings one that fits the view.
        known = all(digest in self._plans for digest in granted.plans)
        self._plans = {digest: plan for digest, plan in self._plans.items() if digest in kept}
        return known
