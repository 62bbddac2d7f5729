"""A control host: answers renewals and operations as the leader or relays them to it."""

from __future__ import annotations

from collections.abc import Sequence

import trio

from ..clock import Clock, Millis, WallClock
from ..core.control.control_state import ControlState
from ..core.control.lease_messages import Renewal
from ..core.control.operations import ANSWERS_CODEC, RegisterEntry
from ..errors import AlderhatchError, ErrorKind, Failure
from ..log import log_event
from ..log_events import LogEvent
from ..signal import Signal
from .command_clock import CommandClock
from .control_log import ControlLog
from .leader_link import GrantResult, LeaderLink
from .leadership import Leadership, LeadershipDependencies
from .observed_state import ObservedState
from .proposer import Proposer

ROLE_CHECK_INTERVAL: Millis = 250.0
"""Longest time between two checks of the role if no change is notified."""
LEASE_CHECK_INTERVAL: Millis = 10.0
"""Interval at which a newly elected host checks for its leader lease."""


class ControlHost:
    """Answers renewals and operations while it is the leader, and otherwise relays them.

    It uses no sockets itself; ``leader_link`` connects to the leader.
    """

    def __init__(
        self,
        log: ControlLog,
        observed: ObservedState,
        leader_link: LeaderLink,
        lease: Millis,
        clock: Clock,
        role_changed: Signal,
        wall_clock: Clock | None = None,
    ) -> None:
        """Initialize the host; ``run`` does the work.

        Args:
            log: The replicated log, which applies its commands to ``observed``.
            observed: The state.
            leader_link: The link to the leader while that is another host.
            lease: How long an entry may serve after it sent its renewal.
            clock: A monotonic clock.
            role_changed: Notified when the log's role, term or leader changes.
            wall_clock: Milliseconds since 1970; the clock of the system if None.
        """
        self.log = log
        """The replicated log."""
        self.observed = observed
        """The state, with a signal for new versions."""
        self.leadership: Leadership | None = None
        """Set while this host is the leader and has applied all commands accepted before."""
        self.lease = lease
        """The duration of the leases of entries, in milliseconds."""
        self._leader_link = leader_link
        self._command_clock = CommandClock(clock, wall_clock or WallClock())
        self.proposer = Proposer(log, self._command_clock)
        """Appends operations to the log."""
        self._dependencies = LeadershipDependencies(
            log, observed, self.proposer, clock, self._command_clock
        )
        self._role_changed = role_changed
        self._nursery: trio.Nursery | None = None

    @property
    def state(self) -> ControlState:
        """The state that this host has applied."""
        return self.observed.state

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.proposer.run)
            nursery.start_soon(self._leader_link.run)
            nursery.start_soon(self._watch_role)
            task_status.started()

    async def renew(self, renewal: Renewal) -> GrantResult:
        """Return the leader's answer to the renewal of an entry.

        Raises:
            AlderhatchError: ``no_leader`` if there is no leader.
        """
        if self.leadership is None:
            return await self._leader_link.renew(renewal)
        return self.renew_locally(renewal)

    def renew_locally(self, renewal: Renewal) -> GrantResult:
        """Answer a renewal as the leader.

        Raises:
            AlderhatchError: ``no_leader`` if this host is not the leader.
        """
        leadership = self._require_leadership()
        grant = leadership.renew(renewal, self._start_registration)
        return GrantResult(leadership.term, grant)

    async def submit_operations(self, operations: list[bytes]) -> list[bytes]:
        """Append encoded operations to the log, here or through the leader; return the answers.

        Raises:
            AlderhatchError: See ``Proposer.submit``.
        """
        if self.leadership is None:
            return await self._leader_link.submit_operations(operations)
        return await self.submit_operations_locally(operations)

    async def submit_operations_locally(self, operations: Sequence[bytes]) -> list[bytes]:
        """Append encoded operations to the log as the leader; return the encoded answers.

        Raises:
            AlderhatchError: See ``Proposer.submit``.
        """
        self._require_leadership()
        answers = await self.proposer.submit(operations)
        return [ANSWERS_CODEC.encode(answer) for answer in answers]

    def _require_leadership(self) -> Leadership:
        if self.leadership is None:
            raise AlderhatchError(
                Failure(ErrorKind.NO_LEADER, "this control host is not the leader")
            )
        return self.leadership

    def _start_registration(self, entry: RegisterEntry) -> None:
        if self._nursery is not None and self.leadership is not None:
            self._nursery.start_soon(self.leadership.register, entry)

    async def _watch_role(self) -> None:
        try:
            while True:
                await self._update_leadership()
                waits_for_lease = self.leadership is None and self.log.status().role == "leader"
                interval = LEASE_CHECK_INTERVAL if waits_for_lease else ROLE_CHECK_INTERVAL
                await self._role_changed.wait_for(interval)
        finally:
            self._end_leadership()

    async def _update_leadership(self) -> None:
        status = self.log.status()
        is_leader = status.role == "leader"
        current = self.leadership
        if current is not None and (not is_leader or status.term != current.term):
            self._end_leadership()
        if is_leader and self.leadership is None and self.log.holds_lease():
            await self._begin_leadership(status.term)

    async def _begin_leadership(self, term: int) -> None:
        # Everything that earlier leaders accepted has to be applied here first. Otherwise a grant
        # would carry an older version, and tell an entry that its outdated version is current.
        try:
            await self.log.read_barrier()
        except AlderhatchError:
            return
        if self.log.status().term != term or not self.log.holds_lease():
            return
        self._command_clock.begin_term(self.state.now)
        self.leadership = Leadership(self._dependencies, self.lease)
        log_event(LogEvent.CONTROL_LEADS, term=term, revision=self.state.revision)
        if self._nursery is not None:
            self._nursery.start_soon(self.leadership.run)

    def _end_leadership(self) -> None:
        if self.leadership is None:
            return
        log_event(LogEvent.CONTROL_FOLLOWS, term=self.leadership.term)
        self.leadership.stop()
        self.leadership = None
