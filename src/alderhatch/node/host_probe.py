"""Probes the active hosts as long as there is no leader that reports lost hosts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.forwarding.caller_hosts import HostRecord, caller_endpoint
from ..core.forwarding.probe_schedule import PROBE_INTERVAL, LeaderContact, ProbeSchedule
from ..log import log_event
from ..log_events import LogEvent
from ..task_faults import TaskKind, record_task_fault
from ..tcp_stream import open_tcp
from .leader_search import ANSWER_TIMEOUT
from .node_state import NodeState

STAND_IN_CHECK_INTERVAL: Millis = 100.0
"""How often a host that may have to stand in for active ones checks if the leader is silent."""
STANDBY_ANSWER_TIMEOUT: Millis = 250.0
"""Timeout of probes in a tier with standby hosts, where requests wait for the results. The kernel
of a running host accepts a connection within some milliseconds."""

Reach: TypeAlias = Callable[[HostRecord], Awaitable[None]]
"""Returns once a host has accepted a connection.

Raises:
    OSError: If it refused the connection.
"""


async def connect_once(host: HostRecord) -> None:
    """Open a connection to a host's port for callers and close it again."""
    stream = await open_tcp(*caller_endpoint(host))
    await stream.aclose()


class HostProber:
    """Probes hosts while the leader is silent, periodically and when a request needs the results.

    Args:
        state: Selects the hosts to probe and records the results.
        leader: Returns what this host knows of its leader now.
        reach: Connects to a host.
    """

    def __init__(
        self,
        state: NodeState,
        leader: Callable[[], LeaderContact],
        reach: Reach = connect_once,
    ) -> None:
        self._state = state
        self._leader = leader
        self._reach = reach
        self._clock = LoopClock()
        self._schedule = ProbeSchedule(0.0)
        self._round: _ProbeRound | None = None
        """The probes in progress."""
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Probe periodically until cancelled."""
        self._schedule = ProbeSchedule(self._clock.now())
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                state = self._state
                # Of hundreds of standby hosts only the advertised ones probe early. If all did,
                # each change of the leader would bring hundreds of connections to active hosts.
                is_quick = state.has_standby_hosts and state.is_advertised
                await trio.sleep((STAND_IN_CHECK_INTERVAL if is_quick else PROBE_INTERVAL) / SECOND)
                self._probe_if_due(is_quick)

    async def check_all(self) -> None:
        """Wait until it is known which hosts can be reached.

        Returns at once while a leader is heard, or if hosts were probed a short time ago.
        """
        probes = self._current_round()
        if probes is not None:
            await probes.ended.wait()

    async def check_any(self) -> None:
        """Wait until an active host is reached, or the probes of all have ended.

        Returns at once under the same conditions as ``check_all``.
        """
        probes = self._current_round()
        if probes is not None:
            await probes.decided.wait()

    def _current_round(self) -> _ProbeRound | None:
        if self._nursery is None or not self._state.has_standby_hosts:
            return None
        self._probe_if_due(True)
        return self._round

    def _probe_if_due(self, is_quick: bool) -> None:
        """Start probes if the leader is silent; if it is heard again, return to its last view.

        Args:
            is_quick: Whether one missed pulse counts as silence.
        """
        if not self._is_leader_silent(self._state.has_standby_hosts):
            if self._schedule.take_view_restored():
                self._state.forget_host_probes()
            return
        now = self._clock.now()
        if self._round is not None or not self._schedule.is_due(now):
            return
        if self._is_leader_silent(is_quick):
            assert self._nursery is not None
            self._schedule.record_probe(now)
            self._round = _ProbeRound(self._state, self._reach)
            self._nursery.start_soon(self._run_round, self._round)

    def _is_leader_silent(self, is_quick: bool) -> bool:
        return self._schedule.is_leader_silent(self._leader(), is_quick, self._clock.now())

    async def _run_round(self, probes: _ProbeRound) -> None:
        try:
            await probes.run()
        finally:
            self._round = None
        # The view of a leader that was heard meanwhile is more reliable than these probes.
        if self._is_leader_silent(self._state.has_standby_hosts):
            self._record(probes.reached)
        probes.decided.set()
        probes.ended.set()

    def _record(self, reached: dict[str, bool]) -> None:
        before = self._state.unreachable_hosts
        self._state.record_host_probes(reached)
        if self._state.unreachable_hosts != before:
            log_event(LogEvent.HOSTS_OUT_OF_REACH, hosts=sorted(self._state.unreachable_hosts))


class _ProbeRound:
    """One probe of each host."""

    def __init__(self, state: NodeState, reach: Reach) -> None:
        self._reach = reach
        self.reached: dict[str, bool] = {}
        """Whether each host was reached, by name."""
        self.decided = trio.Event()
        """Set once an active host was reached, or all probes have ended."""
        self.ended = trio.Event()
        """Set once the results are recorded."""
        self._hosts = state.hosts_to_probe()
        self._active = {host.name for host in state.caller_hosts}
        has_standby = state.has_standby_hosts
        self._timeout = STANDBY_ANSWER_TIMEOUT if has_standby else ANSWER_TIMEOUT

    async def run(self) -> None:
        """Probe all hosts at the same time."""
        async with trio.open_nursery() as nursery:
            for host in self._hosts:
                nursery.start_soon(self._probe, host)

    async def _probe(self, host: HostRecord) -> None:
        self.reached[host.name] = False
        with trio.move_on_after(self._timeout / SECOND):
            try:
                await self._reach(host)
            except Exception as exc:
                # Hosts can't be reached, or their record is wrong; the others are probed anyway.
                if not isinstance(exc, OSError):
                    record_task_fault(TaskKind.PROBE, exc)
                return
            self.reached[host.name] = True
            if host.name in self._active:
                self.decided.set()
