"""The messages between entries and control hosts."""

from __future__ import annotations

from typing import NamedTuple

from ...clock import Millis
from .operations import RegisterEntry


class Renewal(NamedTuple):
    """A request to renew an entry's lease, with the version and share in use."""

    sequence: int
    """The number of this process's renewal; only the answer to the latest one is used."""
    name: str
    incarnation: str
    zone: str
    address: str
    port: int
    version: int
    """The feed version in force at the entry."""
    share: int
    """The divisor of the connection share in use; 0 allows no connection."""
    wants_share: bool
    """False once the process is about to exit, so that its share is not renewed."""
    plans: tuple[int, ...] = ()
    """The digests of the owner plans in use along with the divisor."""
    link_address: str = ""
    link_port: int = 0
    """The port for links from other entries; 0 if it accepts none."""

    def registration(self) -> RegisterEntry:
        """Return the operation that registers the process."""
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
    """The leader's answer to one renewal, without the updates."""

    sequence: int
    lease: Millis
    """Counted from the sending of the renewal; 0 means no lease yet, renew again immediately."""
    version: int
    """The lease is valid only once the entry is at this version or a later one."""
    share: int
    problem: str
    """Why there is no lease, if it is refused permanently."""
    plans: tuple[int, ...] = ()
    """The digests of the owner plans of the share."""


class GrantReply(NamedTuple):
    """A grant with the updates that bring the entry to the grant's version."""

    term: int
    """The leader's term; grants of older terms are ignored."""
    grant: Grant
    updates: list[bytes]


class RenewalFailed(NamedTuple):
    """No leader answered, and the control host cannot grant leases itself."""

    sequence: int
    message: str


class Nudge(NamedTuple):
    """Announces a newer version; the entry renews immediately to confirm it."""

    version: int
    updates: list[bytes]
    """The updates since the version last sent to the entry, if they are small.

    They take effect before the renewal that confirms them. A body that crashes servers is resent
    within milliseconds, and each entry without the quarantine may lose two more servers to it.
    """


class Operations(NamedTuple):
    """Operations for the log, sent by an entry or forwarded by another control host."""

    number: int
    operations: list[bytes]


class OperationAnswers(NamedTuple):
    """The answers to operations, in order."""

    number: int
    answers: list[bytes]


class OperationsFailed(NamedTuple):
    """Operations without an answer; the kind tells whether they may have been committed."""

    number: int
    kind: str
    message: str


class RelayedRenewals(NamedTuple):
    """A batch of renewals that a control host forwards to the leader."""

    number: int
    renewals: list[Renewal]


class RelayedGrants(NamedTuple):
    """The leader's answers to relayed renewals, in order."""

    number: int
    term: int
    grants: list[Grant]


class RelayFailed(NamedTuple):
    """The receiving host is not the leader and cannot grant leases."""

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
"""All message types of this protocol."""
