"""Adds, promotes and removes members of the log until they match the declared control hosts."""

from __future__ import annotations

import trio

from ..clock import SECOND, Millis
from ..core.control.host_table import ControlRecord
from .control_log import ControlLog
from .member_steps import (
    AddMember,
    HandOver,
    MembershipStep,
    PromoteMember,
    RemoveMember,
    execute_step,
)
from .observed_state import ObservedState
from .replicated_log import LogStatus

STEP_INTERVAL: Millis = 200.0
RETRY_INTERVAL: Millis = 1 * SECOND


def next_step(
    controls: dict[str, ControlRecord], status: LogStatus, caught_up: frozenset[str]
) -> MembershipStep | None:
    """Return the next membership change, or None if there is nothing to do now.

    A replacement is promoted before the host that it replaces is removed: in the opposite order,
    the loss of one more host in between could cost the quorum.

    Args:
        controls: The declared control hosts by name.
        status: The status of the log at this host, with its members.
        caught_up: The learners that respond and have nearly all of the log.
    """
    members = {*status.voters, *status.learners}
    for record in controls.values():
        is_replacement = record.joins_for != "" and record.mark == ""
        if is_replacement and record.name not in members:
            return AddMember(record.name, record.address, record.port)
        if is_replacement and record.name in status.learners:
            return PromoteMember(record.name) if record.name in caught_up else None
    for record in controls.values():
        is_leaving = record.mark in ("departing", "replaced")
        if is_leaving and record.name in members and record.name != status.host:
            return RemoveMember(record.name)
    own = controls.get(status.host)
    if own is not None and own.mark != "" and len(status.voters) > 1:
        return HandOver()
    return None


class MemberReconciler:
    """Changes the members of the log one step at a time while this host is the leader.

    Args:
        log: The log whose members are changed.
        observed: The control state that this host has applied, with the declared control hosts.
    """

    def __init__(self, log: ControlLog, observed: ObservedState) -> None:
        self._log = log
        self._observed = observed

    async def run(self) -> None:
        """Execute steps until cancelled."""
        while True:
            step = self._next_step()
            failed = step is not None and not await execute_step(self._log, step)
            await trio.sleep((RETRY_INTERVAL if failed else STEP_INTERVAL) / SECOND)

    def _next_step(self) -> MembershipStep | None:
        status = self._log.status()
        caught_up_learners = frozenset(
            name for name in status.learners if self._log.caught_up(name)
        )
        return next_step(self._observed.state.hosts.controls, status, caught_up_learners)
