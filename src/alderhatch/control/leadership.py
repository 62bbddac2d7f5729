"""What a control host does while it leads: leases, removals, members, quarantines that end."""

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
from ._member_plan import MemberSteps
from .control_log import ControlLog
from .control_time import ControlTime
from .observed_state import ObservedState
from .proposer import Proposer

CHECK_INTERVAL: Millis = 100.0
"""How often leases that run out are looked for."""
HOUSE_INTERVAL: Millis = 1 * SECOND


class LeadershipDependencies(NamedTuple):
    """What a leadership works with."""

    log: ControlLog
    observed: ObservedState
    proposer: Proposer
    clock: Clock
    time: ControlTime


class InForce(NamedTuple):
    """Whether a version is in force at every entry that may serve."""

    in_force: bool
    waiting_for: list[str]
    """Entries that may serve and have not confirmed it."""


class Leadership:
    """One host's time as leader in one term; its lease table dies with it."""

    def __init__(self, services: LeadershipDependencies, lease: Millis) -> None:
        self._log, self._observed, self._proposer, self._clock, time = services
        self.term = self._log.status().term
        """The term in which this host leads."""
        hosts = self._observed.state.hosts
        since_removal = None
        if hosts.last_removal is not None:
            since_removal = time.now() - hosts.last_removal
        now = self._clock.now()
        self._table = LeaseTable(lease, self._registered().values(), since_removal, now)
        self._set_plan()
        self._time = time
        self._synced = self._observed.state.feed.version
        self._renewed = Signal()
        self._registering: set[EntryKey] = set()
        self._scope: trio.CancelScope | None = None

    async def run(self) -> None:
        """Do the leader's duties until ``stop``."""
        with trio.CancelScope() as self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._remove_run_out)
                nursery.start_soon(self._keep_house)
                nursery.start_soon(MemberSteps(self._log, self._observed).run)

    def stop(self) -> None:
        """Stop the duties; this host leads no more."""
        if self._scope is not None:
            self._scope.cancel()

    def renew(self, renewal: Renewal, start: Callable[[RegisterEntry], None]) -> Grant | None:
        """Decide on a renewal.

        Args:
            renewal: What an entry sent, here or to another control host.
            start: Called to register an entry that does not take part yet.

        Returns:
            The grant, or None if the renewal gets no answer.

        Raises:
            AlderhatchError: ``no_leader`` while this host's own lease does not hold.
        """
        if not self._log.holds_lease():
            raise AlderhatchError(Failure(ErrorKind.NO_LEADER, "the leader's lease has run out"))
        self._sync()
        state = self._observed.state
        grant = self._table.renew(renewal, state.feed.version, self._clock.now())
        self._renewed.notify()
        if grant is None or grant.lease > 0:
            return grant
        if renewal.name in state.hosts.departed:
            return grant._replace(problem=f"{renewal.name} has departed")
        key = EntryKey(renewal.name, renewal.incarnation)
        if key not in self._registering:
            self._registering.add(key)
            start(renewal.registration())
        return grant

    async def register(self, entry: RegisterEntry) -> None:
        """Put an entry's registration on the log; its next renewal gets a lease then."""
        try:
            answer = await self._operate(entry)
            if answer.applied:
                log_event(LogEvent.ENTRY_REGISTERED, entry=entry.name, zone=entry.zone)
        except AlderhatchError:
            return
        finally:
            self._registering.discard(EntryKey(entry.name, entry.incarnation))

    def lease_view(self, name: str) -> LeaseView:
        """Return what is known of one entry's lease."""
        self._sync()
        return self._table.view(name, self._clock.now())

    def live_entry_count(self) -> int:
        """Return how many entries hold a lease of this leader."""
        return self._table.live(self._clock.now())

    def in_force(self, version: int) -> InForce:
        """Return whether a version is in force now."""
        self._sync()
        waiting = self._table.unconfirmed_entries(version, self._clock.now())
        return InForce(not waiting, waiting)

    async def wait_in_force(self, version: int, timeout: Millis) -> InForce:
        """Wait until a version is in force, or the timeout is over.

        Raises:
            AlderhatchError: ``no_leader`` if this host's own lease no longer holds: entries may
                have been granted leases by another leader.
        """
        until = self._clock.now() + timeout
        while True:
            found = self.in_force(version)
            if not self._log.holds_lease() or self._log.status().term != self.term:
                raise AlderhatchError(Failure(ErrorKind.NO_LEADER, "another host may lead"))
            now = self._clock.now()
            if found.in_force or now >= until:
                return found
            ends = self._table.next_end(now) or until
            await self._renewed.wait_for(min(until, ends) - now + 1)

    def _registered(self) -> dict[str, EntryKey]:
        entries = self._observed.state.hosts.entries.values()
        return {entry.name: EntryKey(entry.name, entry.incarnation) for entry in entries}

    def _sync(self) -> None:
        version = self._observed.state.feed.version
        if version != self._synced:
            self._synced = version
            self._table.sync(self._registered(), self._clock.now())
            self._set_plan()

    def _set_plan(self) -> None:
        state = self._observed.state
        plan = owner_plan_of_hosts(state.hosts, state.settings.owners_per_server)
        self._table.set_plan(None if plan is None else plan.digest)

    async def _operate(self, operation: Operation) -> Noted:
        answers = await self._proposer.submit([OPERATIONS.encode(operation)])
        answer = answers[0]
        return answer if isinstance(answer, Noted) else Noted(False)

    async def _remove_run_out(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL / SECOND)
            self._sync()
            # A leader that was replaced hears from nobody and would take every lease as run out.
            if not self._log.holds_lease():
                continue
            gone = self._table.take_expired(self._clock.now())
            if not gone:
                continue
            for key in gone:
                log_event(LogEvent.ENTRY_LEASE_RUN_OUT, entry=key.name)
            try:
                await self._operate(RemoveEntries(gone))
            except AlderhatchError:
                self._table.retry_expired()

    async def _keep_house(self) -> None:
        while True:
            await trio.sleep(HOUSE_INTERVAL / SECOND)
            due = self._observed.state.crashes.next_end
            if due is None or due > self._time.now():
                continue
            try:
                await self._operate(KeepHouse())
            except AlderhatchError:
                continue
