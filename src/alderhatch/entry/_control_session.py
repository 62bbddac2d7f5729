"""One link of an entry to a control host: renewals, what control pushes, operations."""

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
from ._control_calls import ControlCalls

ANSWER_TIMEOUT: Millis = 800.0
"""Without an answer to a renewal for this long, another control host is tried."""
ANSWER_TIMEOUTS_PER_LEASE = 4.0
"""The same as a part of a short lease, so that there is time left for another control host."""
FAILED_INTERVAL: Millis = 100.0
MAX_FAILURES = 10
"""Renewals in a row for which the control host found no leader, before another host is tried."""
RENEWALS_PER_LEASE = 3.0
DENIED_INTERVAL: Millis = 5 * SECOND


class Hurry:
    """Remembers that a renewal is due at once, also while another one is on its way."""

    def __init__(self) -> None:
        self._wanted = False
        self._last_wanted = False
        self._signal = Signal()
        self.ended = trio.Event()
        """Set when the last renewal has been answered; none follows it."""

    def request(self) -> None:
        """Ask for a renewal at once."""
        self._wanted = True
        self._signal.notify()

    def request_last(self) -> None:
        """Ask for one more renewal, and none after it."""
        self._last_wanted = True
        self.request()

    def clear(self) -> bool:
        """Note that a renewal is being sent; return whether it is the last one."""
        self._wanted = False
        return self._last_wanted

    async def wait_for(self, timeout: Millis) -> None:
        """Wait for a request, but not longer than the timeout."""
        if not self._wanted:
            await self._signal.wait_for(timeout)


class ControlSession:
    """Runs over one link until it is of no more use."""

    def __init__(
        self,
        lease: EntryLease,
        calls: ControlCalls,
        clock: Clock,
        hurry: Hurry,
        on_change: Callable[[], None],
    ) -> None:
        """Prepare; ``run`` uses a link.

        Args:
            lease: The entry's lease, which outlives the link.
            calls: The operations to send.
            clock: The entry's time.
            hurry: Says when a renewal is due at once.
            on_change: Called when the view, the lease or the share has changed.
        """
        self._lease = lease
        self._calls = calls
        self._clock = clock
        self._hurry = hurry
        self._on_change = on_change
        self._answered = trio.Event()
        self._taken: GrantOutcome | None = None
        self._interval: Millis = 0.0
        self._answer_timeout = ANSWER_TIMEOUT
        self._denied = ""
        self._next_confirmation: Millis = 0.0
        self._failures = 0

    async def run(self, link: Link) -> None:
        """Renew over the link; return when it is closed, silent, or finds no leader."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, link, nursery.cancel_scope)
            nursery.start_soon(self._calls.send_over, link)
            with suppress(LinkClosedError):
                await self._renew(link)
            nursery.cancel_scope.cancel()

    async def _renew(self, link: Link) -> None:
        if self._hurry.ended.is_set():
            await trio.sleep_forever()
        while self._failures < MAX_FAILURES:
            self._answered = trio.Event()
            self._taken = None
            is_last = self._hurry.clear()
            version = self._lease.view.version
            await link.send(self._lease.renewal(self._clock.now()))
            with trio.move_on_after(self._answer_timeout / SECOND):
                await self._answered.wait()
            if not self._answered.is_set():
                # The connection may be silent for good while new ones work. Waiting for it would
                # cost the lease, so the next control host is tried while there is time.
                return
            if self._taken is GrantOutcome.WENT_BACK:
                return
            if is_last and self._taken is not None:
                # A renewal that arrived after the goodbye would register the entry again, and
                # callers would be sent to a process that has exited.
                self._hurry.ended.set()
            if self._hurry.ended.is_set():
                await trio.sleep_forever()
            await self._hurry.wait_for(self._pause(has_news=self._lease.view.version != version))

    def _pause(self, has_news: bool) -> Millis:
        """Return how long to wait before the next renewal; news are confirmed at once."""
        if self._taken is not GrantOutcome.RENEWED or not has_news:
            return self._interval
        now = self._clock.now()
        pause = max(0.0, self._next_confirmation - now)
        self._next_confirmation = now + pause + min_renewal_interval(len(self._lease.view.roster))
        return min(pause, self._interval)

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
                self._failures += 1
                self._interval = FAILED_INTERVAL
                self._answered.set()
            case Nudge(version, updates) if version > self._lease.view.version:
                if self._lease.apply_pushed_updates(updates):
                    self._on_change()
                self._hurry.request()
            case OperationAnswers() | OperationsFailed():
                self._calls.take(message)
            case _:
                return

    def _on_grant(self, reply: GrantReply) -> None:
        taken = self._lease.apply_grant(reply, self._clock.now())
        if taken is GrantOutcome.IGNORED:
            return
        self._taken = taken
        match taken:
            case GrantOutcome.RENEWED:
                self._failures = 0
                lease = reply.grant.lease
                self._interval = lease / RENEWALS_PER_LEASE
                self._answer_timeout = min(ANSWER_TIMEOUT, lease / ANSWER_TIMEOUTS_PER_LEASE)
            case GrantOutcome.WENT_BACK:
                log_event(LogEvent.CONTROL_WENT_BACK, version=self._lease.view.version)
            case _:
                self._interval = min_renewal_interval(len(self._lease.view.roster))
                self._note_problem(reply.grant.problem)
        self._answered.set()
        self._on_change()

    def _note_problem(self, problem: str) -> None:
        if not problem:
            return
        self._interval = DENIED_INTERVAL
        if problem != self._denied:
            log_event(LogEvent.LEASE_DENIED, why=problem)
        self._denied = problem
