"""An entry's side of its lease: whether it may serve, with which view and which share."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from ...clock import Millis
from ...errors import AlderhatchError
from .connection_shares import NO_SHARE
from .entry_view import EntryView
from .lease_messages import GrantReply, Renewal
from .lease_table import SHARE_GRACE

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


class Taken(StrEnum):
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
        self._reported_share = NO_SHARE
        self._reported_version = 0
        self._term = 0
        self._whole_wanted = False
        self._wanted_share = NO_SHARE
        self._leaving = False
        self.view = EntryView()
        """Rules, settings, roster and quarantines in force here."""
        self.share = NO_SHARE
        """The divisor that this entry obeys."""
        self.serve_until: Millis = 0.0
        """No new request is taken at or after this time."""

    @property
    def wanted_share(self) -> int:
        """The divisor to shrink to; connections over it have to be closed."""
        return self._wanted_share

    @property
    def is_leaving(self) -> bool:
        """Whether the share was given up for good."""
        return self._leaving

    def may_serve(self, now: Millis) -> bool:
        """Return whether the lease is live."""
        return now < self.serve_until

    def renewal(self, now: Millis) -> Renewal:
        """Return a renewal to send now; answers to earlier ones are ignored from here on."""
        self.drop_share_if_over(now)
        self._sequence += 1
        self._sent_at = now
        self._reported_share = self.share
        self._reported_version = self.view.version
        version = NO_VERSION if self._whole_wanted else self.view.version
        return Renewal(self._sequence, *self._me, version, self.share, not self._leaving)

    def take(self, reply: GrantReply, now: Millis) -> Taken:
        """Take in the answer to a renewal."""
        self.drop_share_if_over(now)
        grant = reply.grant
        if grant.sequence != self._sequence or self._sent_at is None or reply.term < self._term:
            return Taken.IGNORED
        sent_at, self._sent_at = self._sent_at, None
        self._term = reply.term
        # Pushed news may have overtaken the grant on its way, which is no fault of control's.
        if grant.version < self._reported_version:
            return Taken.WENT_BACK
        if not self._advance(reply):
            return Taken.BEHIND
        if grant.lease <= 0:
            return Taken.PENDING
        self.serve_until = max(self.serve_until, sent_at + grant.lease)
        if self.share == self._reported_share:
            # A share that was given up between renewal and answer is not part of the leader's
            # sum any more. Taking it up again here could exceed the servers' limits.
            self._take_share(grant.share)
        return Taken.RENEWED

    def take_pushed(self, updates: Sequence[bytes]) -> bool:
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

    def leave(self) -> None:
        """Give up the share for good; all connections are closed, and the process is to exit."""
        self._leaving = True
        self.share = NO_SHARE
        self._wanted_share = NO_SHARE

    def share_settled(self) -> bool:
        """Note that all connections over the wanted share are closed.

        Returns:
            Whether the share is smaller now, so that a renewal at once lets others have theirs.
        """
        if self.share == NO_SHARE or self._wanted_share <= self.share:
            return False
        self.share = self._wanted_share
        return True

    def drop_share_if_over(self, now: Millis) -> bool:
        """Give up the share once the lease has been over for the grace time.

        Returns:
            Whether that is news; all connections have to be closed then.
        """
        if self.share == NO_SHARE or now < self.serve_until + SHARE_GRACE:
            return False
        self.share = NO_SHARE
        self._wanted_share = NO_SHARE
        return True

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

    def _take_share(self, share: int) -> None:
        if self._leaving:
            return
        self._wanted_share = share
        if self.share == NO_SHARE or share < self.share:
            self.share = share
