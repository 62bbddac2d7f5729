"""One link from an entry to a control host: lease renewals, pushed updates and operations."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

import trio

from ..clock import SECOND, Clock, Millis
from ..core.control.entry_lease import EntryLease, GrantOutcome
from ..core.control.lease_messages import (
    GrantReply,
    Nudge,
    OperationAnswers,
    OperationsFailed,
    RenewalFailed,
)
from ..core.control.renewal_interval import min_renewal_interval
from ..link import Link, LinkClosedError
from ..log import log_event
from ..log_events import LogEvent
from ..signal import Signal
from ._operation_batcher import OperationBatcher

ANSWER_TIMEOUT: Millis = 800.0
"""If a renewal is not answered within this time, the next control host is tried."""
ANSWER_TIMEOUTS_PER_LEASE = 4.0
"""How many answer timeouts fit into a lease. For a short lease this shortens the answer timeout, so
that there is time left for another control host."""
FAILED_RENEWAL_INTERVAL: Millis = 100.0
"""Delay before the next renewal after one that failed because there was no leader."""
MAX_FAILED_RENEWALS = 10
"""Consecutive renewals without a leader after which the next control host is tried."""
RENEWALS_PER_LEASE = 3.0
DENIED_RENEWAL_INTERVAL: Millis = 5 * SECOND
"""Delay before the next renewal after a grant that reported a problem."""


class RenewalTrigger:
    """Requests immediate lease renewals; a request made during a renewal triggers another one."""

    def __init__(self) -> None:
        self._requested = False
        self._final_requested = False
        self._signal = Signal()
        self.final_answered = trio.Event()
        """Set when the final renewal has been answered; no renewal follows it."""

    def request(self) -> None:
        """Request an immediate renewal."""
        self._requested = True
        self._signal.notify()

    def request_final(self) -> None:
        """Request one more renewal and none after it."""
        self._final_requested = True
        self.request()

    def begin_renewal(self) -> bool:
        """Clear the request because a renewal is being sent; return whether it is the final one."""
        self._requested = False
        return self._final_requested

    async def wait_for(self, timeout: Millis) -> None:
        """Wait for a request, at most for the timeout."""
        if not self._requested:
            await self._signal.wait_for(timeout)


class ControlSession:
    """Renews the lease over one link until the next control host has to be tried."""

    def __init__(
        self,
        lease: EntryLease,
        batcher: OperationBatcher,
        clock: Clock,
        trigger: RenewalTrigger,
        on_change: Callable[[], None],
    ) -> None:
        """Create a session; ``run`` starts it on a link.

        Args:
            lease: The entry's lease, which outlives the link.
            batcher: Provides the operations to send.
            clock: The entry's clock.
            trigger: Requests immediate renewals.
            on_change: Called when the view, the lease or the share has changed.
        """
        self._lease = lease
        self._batcher = batcher
        self._clock = clock
        self._trigger = trigger
        self._on_change = on_change
        self._answered = trio.Event()
        """Set when the latest renewal has been answered."""
        self._outcome: GrantOutcome | None = None
        """The outcome of the latest renewal; None if no grant has answered it."""
        self._interval: Millis = 0.0
        """Delay before the next renewal if there is no reason for an earlier one."""
        self._answer_timeout = ANSWER_TIMEOUT
        self._last_problem = ""
        self._next_confirmation_at: Millis = 0.0
        """When the next early renewal, which confirms updates, may be sent."""
        self._consecutive_failures = 0

    async def run(self, link: Link) -> None:
        """Renew the lease; return once the next control host has to be tried.

        That is the case if the link closes or is silent, if the host finds no leader, or if control
        has lost committed state.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, link, nursery.cancel_scope)
            nursery.start_soon(self._batcher.send_on, link)
            with suppress(LinkClosedError):
                await self._renew(link)
            nursery.cancel_scope.cancel()

    async def _renew(self, link: Link) -> None:
        if self._trigger.final_answered.is_set():
            await trio.sleep_forever()
        while self._consecutive_failures < MAX_FAILED_RENEWALS:
            self._answered = trio.Event()
            self._outcome = None
            is_final = self._trigger.begin_renewal()
            version = self._lease.view.version
            await link.send(self._lease.renewal(self._clock.now()))
            with trio.move_on_after(self._answer_timeout / SECOND):
                await self._answered.wait()
            if not self._answered.is_set():
                # The connection may stay silent while new connections work. The next control host
                # is tried before the lease expires.
                return
            if self._outcome is GrantOutcome.WENT_BACK:
                return
            if is_final and self._outcome is not None:
                # A renewal that arrived after the deregistration would register the entry again,
                # and callers would be sent to a process that has exited.
                self._trigger.final_answered.set()
            if self._trigger.final_answered.is_set():
                await trio.sleep_forever()
            await self._trigger.wait_for(
                self._renewal_delay(has_updates=self._lease.view.version != version)
            )

    def _renewal_delay(self, has_updates: bool) -> Millis:
        """Return the delay before the next renewal; updates are confirmed as early as allowed."""
        if self._outcome is not GrantOutcome.RENEWED or not has_updates:
            return self._interval
        now = self._clock.now()
        delay = max(0.0, self._next_confirmation_at - now)
        self._next_confirmation_at = (
            now + delay + min_renewal_interval(len(self._lease.view.roster))
        )
        return min(delay, self._interval)

    async def _read(self, link: Link, scope: trio.CancelScope) -> None:
        try:
            while True:
                self._on_message(await link.receive())
        except LinkClosedError:
            scope.cancel()

    def _on_message(self, message: object) -> None:
        match message:
            case GrantReply():
                self._on_grant(message)
            case RenewalFailed():
                self._consecutive_failures += 1
                self._interval = FAILED_RENEWAL_INTERVAL
                self._answered.set()
            case Nudge(version, updates) if version > self._lease.view.version:
                if self._lease.apply_pushed_updates(updates):
                    self._on_change()
                self._trigger.request()
            case OperationAnswers() | OperationsFailed():
                self._batcher.on_reply(message)
            case _:
                return

    def _on_grant(self, reply: GrantReply) -> None:
        outcome = self._lease.apply_grant(reply, self._clock.now())
        if outcome is GrantOutcome.IGNORED:
            return
        self._outcome = outcome
        match outcome:
            case GrantOutcome.RENEWED:
                self._consecutive_failures = 0
                lease = reply.grant.lease
                self._interval = lease / RENEWALS_PER_LEASE
                self._answer_timeout = min(ANSWER_TIMEOUT, lease / ANSWER_TIMEOUTS_PER_LEASE)
            case GrantOutcome.WENT_BACK:
                log_event(LogEvent.CONTROL_WENT_BACK, version=self._lease.view.version)
            case _:
                self._interval = min_renewal_interval(len(self._lease.view.roster))
                self._on_problem(reply.grant.problem)
        self._answered.set()
        self._on_change()

    def _on_problem(self, problem: str) -> None:
        """Renew less often if a grant reports a problem, and log each new problem."""
        if not problem:
            return
        self._interval = DENIED_RENEWAL_INTERVAL
        if problem != self._last_problem:
            log_event(LogEvent.LEASE_DENIED, why=problem)
        self._last_problem = problem
