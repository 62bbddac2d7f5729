"""Keeps the members of the replicated log as ``voter_plan`` wants them while this host leads."""

from __future__ import annotations

import trio

from ..clock import SECOND, LoopClock, Millis
from ..control.log_node import LogNode
from ..control.member_steps import Step, take_step
from .control_member import ControlMember
from .tier_server import TierServer
from .voter_plan import next_step, required_voters, voter_loss_timeout

STEP_INTERVAL: Millis = 100.0
RETRY_INTERVAL: Millis = 1 * SECOND


class VoterReconciler:
    """Takes one step at a time.

    Args:
        member: This host's part in the log.
        server: Knows the live hosts and their disks.
        tolerated: How many hosts with a disk may be lost at once.
        catch_up: How long a host that is new or back has to catch up, in milliseconds.
    """

    def __init__(
        self, member: ControlMember, server: TierServer, tolerated: int, catch_up: Millis
    ) -> None:
        self._member = member
        self._server = server
        self._wanted = required_voters(tolerated)
        self._patience = voter_loss_timeout(catch_up)
        self._clock = LoopClock()
        self._heard_at: dict[str, Millis] = {}

    async def run(self) -> None:
        """Take steps until cancelled."""
        while True:
            log = self._member.log
            if log is None or not log.is_leader:
                self._heard_at.clear()
                await trio.sleep(STEP_INTERVAL / SECOND)
                continue
            step = self._next(log)
            if step is not None and await take_step(log, step):
                # While a lost voter and its successor both have a vote, the next loss would take
                # the majority along; so the step that ends this follows at once.
                continue
            failed = step is not None
            await trio.sleep((RETRY_INTERVAL if failed else STEP_INTERVAL) / SECOND)

    def _next(self, log: LogNode) -> Step | None:
        now = self._clock.now()
        membership = log.membership
        heard = log.responsive_members()
        for member in membership.members:
            if member.name in heard or member.name not in self._heard_at:
                self._heard_at[member.name] = now
        unheard = {name: now - at for name, at in self._heard_at.items()}
        caught_up = frozenset(one.name for one in membership.learners if log.caught_up(one.name))
        hosts = self._server.disk_hosts()
        return next_step(membership, hosts, caught_up, unheard, self._wanted, self._patience)
