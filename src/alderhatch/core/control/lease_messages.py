"""What entries and control hosts say to each other."""

from __future__ import annotations

from typing import NamedTuple

from ...clock import Millis
from .operations import RegisterEntry


class Renewal(NamedTuple):
    """An entry asks for its lease to be renewed, and says what it has in force."""

    sequence: int
    """Counts the renewals of this process. Only the answer to the last one is of use."""
    name: str
    incarnation: str
    zone: str
    address: str
    port: int
    version: int
    """The feed's version that the entry has in force."""
    share: int
    """The divisor of the connection shares that it obeys; 0 is no connection."""
    wants_share: bool
    """False once it is about to exit, so that its share is free as soon as it has gone."""
    plans: tuple[int, ...] = ()
    """The digests of the plans of owners that it obeys along with the divisor."""
    link_address: str = ""
    link_port: int = 0
    """Where it takes links of other entries; 0 if it takes none."""

    def registration(self) -> RegisterEntry:
        """Return what puts the process that asks on the log."""
        return RegisterEntry(
            self.name,
            self.incarnation,
            self.zone,
            self.address,
            self.port,
            self.link_address,
            self.link_port,
        )


class Grant(NamedTuple):
    """The leader's answer to one renewal, without the state that goes with it."""

    sequence: int
    lease: Millis
    """Counted from when the renewal was sent; 0 is no lease yet, ask again at once."""
    version: int
    """The entry has to be at this version, or a later one, before the lease counts."""
    share: int
    problem: str
    """Why there is no lease, if that is for good."""
    plans: tuple[int, ...] = ()
    """The plans of owners that go with the share."""


class GrantReply(NamedTuple):
    """A grant on its way to the entry, with what brings it to the version asked for."""

    term: int
    """The leader's term; a grant of an older one is ignored."""
    grant: Grant
    updates: list[bytes]


class RenewalFailed(NamedTuple):
    """No leader answered; the control host itself can't grant anything."""

    sequence: int
    message: str


class Nudge(NamedTuple):
    """There is a newer version; the entry renews at once rather than at its next turn."""

    version: int
    updates: list[bytes]
    """What leads there from the version that the entry was sent last, if it is little.

    It is in use before the renewal that confirms it. A body that crashes servers is resent within
    milliseconds, and each entry that does not know of its quarantine yet may lose two more.
    """


class Operations(NamedTuple):
    """Operations for the log, from an entry or passed on by another control host."""

    number: int
    operations: list[bytes]


class OperationAnswers(NamedTuple):
    """The answers to operations, in their order."""

    number: int
    answers: list[bytes]


class OperationsFailed(NamedTuple):
    """Operations that got no answer; the kind says whether they may be in the log."""

    number: int
    kind: str
    message: str


class RelayedRenewals(NamedTuple):
    """Renewals that a control host passes on to the leader together."""

    number: int
    renewals: list[Renewal]


class RelayedGrants(NamedTuple):
    """The leader's answers to relayed renewals, in their order."""

    number: int
    term: int
    grants: list[Grant]


class RelayFailed(NamedTuple):
    """The host that was taken for the leader can't grant anything."""

    number: int
    message: str


CONTROL_MESSAGES = (
    Renewal,
    Grant,
    GrantReply,
    RenewalFailed,
    Nudge,
    Operations,
    OperationAnswers,
    OperationsFailed,
    RelayedRenewals,
    RelayedGrants,
    RelayFailed,
)
"""The messages of this protocol, for the codec of the links."""
