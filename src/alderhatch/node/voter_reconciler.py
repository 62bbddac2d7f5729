"""Applies the membership changes that ``voter_plan`` decides on while this host leads the log."""

from __future__ import annotations

import trio

from ..clock import SECOND, LoopClock, Millis
from ..control.log_node import LogNode
from ..control.member_steps import MembershipStep, execute_step
from .control_member import ControlMember
from .tier_server import TierServer
from .voter_plan import next_step, required_voters, voter_loss_timeout

STEP_INTERVAL: Millis = 100.0
RETRY_INTERVAL: Millis = 1 * SECOND


class VoterReconciler:
    """Brings the voters of the log to the required number, one step at a time.

    Args:
        member: This host's member of the log.
        server: Knows the live hosts and their disks.
        tolerated: How many hosts with a disk may be lost at once.
        catch_up: How long a new or returning host has to catch up, in milliseconds.
    """

    def __init__(
        self, member: ControlMember, server: TierServer, tolerated: int, catch_up: Millis
    ) -> None:
        self._member = member
        self._server = server
        self._required = required_voters(tolerated)
        self._loss_timeout = voter_loss_timeout(catch_up)
        self._clock = LoopClock()
        self._last_heard_at: dict[str, Millis] = {}

    async def run(self) -> None:
        """Take steps until cancelled."""
        while True:
            log = self._member.log
            if log is None or not log.is_leader:
                self._last_heard_at.clear()
                await trio.sleep(STEP_INTERVAL / SECOND)
                continue
            step = self._next_step(log)
            if step is not None and await execute_step(log, step):
                # While a lost voter and its successor both have a vote, the next loss would cost
                # the majority. The step that ends this state must follow at once.
                continue
            step_failed = step is not None
            await trio.sleep((RETRY_INTERVAL if step_failed else STEP_INTERVAL) / SECOND)

    def _next_step(self, log: LogNode) -> MembershipStep | None:
        now = self._clock.now()
        membership = log.membership
        responsive = log.responsive_members()
        for member in membership.members:
            if member.name in responsive or member.name not in self._last_heard_at:
                self._last_heard_at[member.name] = now
        silence = {name: now - at for name, at in self._last_heard_at.items()}
        caught_up = frozenset(
            learner.name for learner in membership.learners if log.caught_up(learner.name)
        )
        hosts = self._server.disk_hosts()
        return next_step(membership, hosts, caught_up, silence, self._required, self._loss_timeout)
