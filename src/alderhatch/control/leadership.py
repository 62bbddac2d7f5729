"""The duties of the leading control host: leases, removals, membership and quarantine ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import trio

from ..clock import SECOND, Clock, Millis
from ..core.control.lease_messages import Grant, Renewal
from ..core.control.lease_table import LeaseTable, LeaseView
from ..core.control.operations import (
    OPERATIONS,
    EntryKey,
    KeepHouse,
    Noted,
    Operation,
    RegisterEntry,
    RemoveEntries,
)
from ..core.control.roster import owner_plan_of_hosts
from ..errors import AlderhatchError, ErrorKind, Failure
from ..log import log_event
from ..log_events import LogEvent
from ..signal import Signal
from ._member_reconciler import MemberReconciler
from .command_clock import CommandClock
from .control_log import ControlLog
from .observed_state import ObservedState
from .proposer import Proposer

LEASE_CHECK_INTERVAL: Millis = 100.0
"""Interval between checks for expired leases."""
QUARANTINE_CHECK_INTERVAL: Millis = 1 * SECOND


class LeadershipDependencies(NamedTuple):
    """The objects that a ``Leadership`` uses."""

    log: ControlLog
    observed: ObservedState
    proposer: Proposer
    clock: Clock
    time: CommandClock


class InForceStatus(NamedTuple):
    """Whether a version is in force on every entry that may serve."""

    in_force: bool
    waiting_for: list[str]
    """Entries that may serve and have not confirmed the version."""


class Leadership:
    """One host's leadership in one term; its lease table is discarded at the end."""

    def __init__(self, dependencies: LeadershipDependencies, lease: Millis) -> None:
        self._log, self._observed, self._proposer, self._clock, time = dependencies
        self.term = self._log.status().term
        """The term of this leadership."""
        hosts = self._observed.state.hosts
        since_removal = None
        if hosts.last_removal is not None:
            since_removal = time.now() - hosts.last_removal
        now = self._clock.now()
        self._table = LeaseTable(lease, self._registered().values(), since_removal, now)
        self._update_owner_plan()
        self._time = time
        self._synced_version = self._observed.state.feed.version
        self._renewal_received = Signal()
        self._registering: set[EntryKey] = set()
        self._scope: trio.CancelScope | None = None
        self._has_ended = False

    async def run(self) -> None:
        """Carry out the leader's duties until ``stop``."""
        with trio.CancelScope() as self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._remove_expired_entries)
                nursery.start_soon(self._end_quarantines)
                nursery.start_soon(MemberReconciler(self._log, self._observed).run)

    def stop(self) -> None:
        """Stop the duties, because this host is no longer the leader."""
        self._has_ended = True
        self._renewal_received.notify()
        if self._scope is not None:
            self._scope.cancel()

    def renew(
        self, renewal: Renewal, start_registration: Callable[[RegisterEntry], None]
    ) -> Grant | None:
        """Answer a renewal of an entry's lease.

        Args:
            renewal: The renewal that an entry sent to this or another control host.
            start_registration: Called with the registration of an entry that is not registered.

        Returns:
            The grant, or None if the renewal is out of date and gets no answer.

        Raises:
            AlderhatchError: ``no_leader`` if this host does not hold the leader lease.
        """
        if not self._log.holds_lease():
            raise AlderhatchError(Failure(ErrorKind.NO_LEADER, "the leader lease has expired"))
        self._sync_lease_table()
        state = self._observed.state
        grant = self._table.renew(renewal, state.feed.version, self._clock.now())
        self._renewal_received.notify()
        if grant is None or grant.lease > 0:
            return grant
        if renewal.name in state.hosts.departed:
            return grant._replace(problem=f"{renewal.name} has departed")
        key = EntryKey(renewal.name, renewal.incarnation)
        if key not in self._registering:
            self._registering.add(key)
            start_registration(renewal.registration())
        return grant

    async def register(self, entry: RegisterEntry) -> None:
        """Propose an entry's registration to the log; once committed, a renewal gets a lease."""
        try:
            answer = await self._submit(entry)
            if answer.applied:
                log_event(LogEvent.ENTRY_REGISTERED, entry=entry.name, zone=entry.zone)
        except AlderhatchError:
            return
        finally:
            self._registering.discard(EntryKey(entry.name, entry.incarnation))

    def lease_view(self, name: str) -> LeaseView:
        """Return the state of one entry's lease."""
        self._sync_lease_table()
        return self._table.view(name, self._clock.now())

    def live_entry_count(self) -> int:
        """Return how many entries hold a lease from this leader."""
        return self._table.live(self._clock.now())

    def check_in_force(self, version: int) -> InForceStatus:
        """Return whether a version is in force on all entries, and which entries are missing."""
        self._sync_lease_table()
        waiting = self._table.unconfirmed_entries(version, self._clock.now())
        return InForceStatus(not waiting, waiting)

    async def wait_in_force(self, version: int, timeout: Millis) -> InForceStatus:
        """Wait until a version is in force or the timeout expires.

        Raises:
            AlderhatchError: ``no_leader`` if this host no longer holds the leader lease: another
                leader may have granted leases to entries.
        """
        deadline = self._clock.now() + timeout
        while True:
            current = self.check_in_force(version)
            if not self._leads():
                raise AlderhatchError(
                    Failure(
                        ErrorKind.NO_LEADER,
                        "this host's leadership has ended or its leader lease has expired",
                    )
                )
            now = self._clock.now()
            if current.in_force or now >= deadline:
                return current
            next_expiry = self._table.next_end(now) or deadline
            await self._renewal_received.wait_for(min(deadline, next_expiry) - now + 1)

    def _leads(self) -> bool:
        has_term = not self._has_ended and self._log.status().term == self.term
        return has_term and self._log.holds_lease()

    def _registered(self) -> dict[str, EntryKey]:
        entries = self._observed.state.hosts.entries.values()
        return {entry.name: EntryKey(entry.name, entry.incarnation) for entry in entries}

    def _sync_lease_table(self) -> None:
        version = self._observed.state.feed.version
        if version != self._synced_version:
            self._synced_version = version
            self._table.sync(self._registered(), self._clock.now())
            self._update_owner_plan()

    def _update_owner_plan(self) -> None:
        state = self._observed.state
        plan = owner_plan_of_hosts(state.hosts, state.settings.owners_per_server)
        self._table.set_plan(None if plan is None else plan.digest)

    async def _submit(self, operation: Operation) -> Noted:
        answers = await self._proposer.submit([OPERATIONS.encode(operation)])
        answer = answers[0]
        return answer if isinstance(answer, Noted) else Noted(False)

    async def _remove_expired_entries(self) -> None:
        while True:
            await trio.sleep(LEASE_CHECK_INTERVAL / SECOND)
            self._sync_lease_table()
            # A replaced leader receives no renewals and would treat every lease as expired.
            if not self._log.holds_lease():
                continue
            expired = self._table.take_expired(self._clock.now())
            if not expired:
                continue
            for key in expired:
                log_event(LogEvent.ENTRY_LEASE_RUN_OUT, entry=key.name)
            try:
                await self._submit(RemoveEntries(expired))
            except AlderhatchError:
                self._table.retry_expired()

    async def _end_quarantines(self) -> None:
        while True:
            await trio.sleep(QUARANTINE_CHECK_INTERVAL / SECOND)
            quarantine_end = self._observed.state.crashes.next_end
            if quarantine_end is None or quarantine_end > self._time.now():
                continue
            try:
                await self._submit(KeepHouse())
            except AlderhatchError:
                continue
