"""One control host: the state on its log, and whoever asks something of it."""

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

ROLE_INTERVAL: Millis = 250.0
"""How often the host looks whether it leads if nothing tells it."""
LEASE_INTERVAL: Millis = 10.0
"""How often a host that was elected looks whether its lease holds."""


class ControlHost:
    """Answers renewals and operations itself while it leads, and passes them on while it does not.

    It knows no sockets; ``leader_link`` is where they begin.
    """

    def __init__(
        self,
        log: ControlLog,
        observed: ObservedState,
        leader_link: LeaderLink,
        lease: Millis,
        clock: Clock,
        role_changed: Signal,
        wall: Clock | None = None,
    ) -> None:
        """Prepare; ``run`` does the work.

        Args:
            log: The replicated log, which drives ``observed``.
            observed: The state.
            leader_link: The way to the leader while that is another host.
            lease: How long an entry may serve after it sent its renewal.
            clock: Steady time.
            role_changed: Notified when the log's role, term or leader changes.
            wall: Milliseconds since 1970; the host's own if none is given.
        """
        self.log = log
        """The replicated log."""
        self.observed = observed
        """The state with its signal."""
        self.leadership: Leadership | None = None
        """Set while this host leads and has applied all that was accepted before."""
        self.lease = lease
        """How long entries' leases are, in milliseconds."""
        self._leader_link = leader_link
        self._time = CommandClock(clock, wall or WallClock())
        self.proposer = Proposer(log, self._time)
        """Puts operations on the log."""
        self._services = LeadershipDependencies(log, observed, self.proposer, clock, self._time)
        self._role_changed = role_changed
        self._nursery: trio.Nursery | None = None

    @property
    def state(self) -> ControlState:
        """The state as this host has applied it."""
        return self.observed.state

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Work until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.proposer.run)
            nursery.start_soon(self._leader_link.run)
            nursery.start_soon(self._watch_role)
            task_status.started()

    async def renew(self, renewal: Renewal) -> GrantResult:
        """Get the leader's answer to an entry's renewal.

        Raises:
            AlderhatchError: ``no_leader`` if there is none.
        """
        if self.leadership is None:
            return await self._leader_link.renew(renewal)
        return self.renew_locally(renewal)

    def renew_locally(self, renewal: Renewal) -> GrantResult:
        """Decide on a renewal as the leader.

        Raises:
            AlderhatchError: ``no_leader`` if this host does not lead.
        """
        leadership = self._leading()
        grant = leadership.renew(renewal, self._start_registration)
        return GrantResult(leadership.term, grant)

    async def submit_operations(self, operations: list[bytes]) -> list[bytes]:
        """Put encoded operations on the log, here or at the leader; return their answers.

        Raises:
            AlderhatchError: See ``Proposer.submit``.
        """
        if self.leadership is None:
            return await self._leader_link.submit_operations(operations)
        return await self.submit_operations_locally(operations)

    async def submit_operations_locally(self, operations: Sequence[bytes]) -> list[bytes]:
        """Put encoded operations on the log as the leader.

        Raises:
            AlderhatchError: See ``Proposer.submit``.
        """
        self._leading()
        answers = await self.proposer.submit(operations)
        return [ANSWERS_CODEC.encode(answer) for answer in answers]

    def _leading(self) -> Leadership:
        if self.leadership is None:
            raise AlderhatchError(Failure(ErrorKind.NO_LEADER, "this host does not lead"))
        return self.leadership

    def _start_registration(self, entry: RegisterEntry) -> None:
        if self._nursery is not None and self.leadership is not None:
            self._nursery.start_soon(self.leadership.register, entry)

    async def _watch_role(self) -> None:
        try:
            while True:
                await self._follow_role()
                waits_for_lease = self.leadership is None and self.log.status().role == "leader"
                interval = LEASE_INTERVAL if waits_for_lease else ROLE_INTERVAL
                await self._role_changed.wait_for(interval)
        finally:
            self._end_leadership()

    async def _follow_role(self) -> None:
        status = self.log.status()
        leads = status.role == "leader"
        current = self.leadership
        if current is not None and (not leads or status.term != current.term):
            self._end_leadership()
        if leads and self.leadership is None and self.log.holds_lease():
            await self._begin_leadership(status.term)

    async def _begin_leadership(self, term: int) -> None:
        # All that earlier leaders accepted has to be applied here first. A grant given before
        # would hand out an older version, and an entry would be told that it is up to date.
        try:
            await self.log.read_barrier()
        except AlderhatchError:
            return
        if self.log.status().term != term or not self.log.holds_lease():
            return
        self._time.begin_term(self.state.now)
        self.leadership = Leadership(self._services, self.lease)
        log_event(LogEvent.CONTROL_LEADS, term=term, revision=self.state.revision)
        if self._nursery is not None:
            self._nursery.start_soon(self.leadership.run)

    def _end_leadership(self) -> None:
        if self.leadership is None:
            return
        log_event(LogEvent.CONTROL_FOLLOWS, term=self.leadership.term)
        self.leadership.stop()
        self.leadership = None
