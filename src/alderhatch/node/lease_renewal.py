"""A host's side of its lease on the configuration: asks the leader and logs gains and losses."""

from __future__ import annotations

import trio

from ..clock import LoopClock
from ..errors import AlderhatchError
from ..link import Link, LinkClosedError
from ..log import log_event
from ..log_events import LogEvent
from .lease_messages import LeaseAnswer, LeaseAsk
from .node_state import NodeState


async def ask_for_leases(state: NodeState, link: Link, scope: trio.CancelScope) -> None:
    """Ask the leader for confirmations for as long as a link to it is open.

    A configuration that has just been adopted may be the one that a previous answer confirmed, or
    the first one that declares organisations, so the next ask follows at once.

    Args:
        state: The node's state, whose lease is extended.
        link: The link to a leader that answers asks.
        scope: Cancelled when the link has closed.
    """
    clock = LoopClock()
    try:
        while True:
            if state.needs_lease:
                await link.send(LeaseAsk(state.lease.ask(clock.now())))
                await state.configured.wait_for(state.lease.ask_interval)
            else:
                await state.configured.wait()
    except LinkClosedError:
        scope.cancel()


def apply_lease_answer(state: NodeState, answer: LeaseAnswer, leader: str) -> None:
    """Extend the lease by an answer; an invalid one is logged and changes nothing.

    Args:
        state: The node's state.
        answer: The leader's answer.
        leader: The name of the leader.
    """
    try:
        state.lease.confirm(answer.number, answer.version)
    except AlderhatchError as exc:
        field = f"{LeaseAnswer.__name__}.{exc.failure.field}"
        log_event(LogEvent.LINK_MESSAGE_REFUSED, peer=leader, why=str(exc), field=field)
        return
    state.leased.notify()


async def log_lease_changes(state: NodeState) -> None:
    """Log each loss and gain of the lease once, until cancelled."""
    clock = LoopClock()
    held = False
    while True:
        now = clock.now()
        holds = state.needs_lease and state.lease.holds(now)
        if holds != held and state.needs_lease:
            event = (
                LogEvent.CONFIGURATION_LEASE_GAINED if holds else LogEvent.CONFIGURATION_LEASE_LOST
            )
            age = round(now - state.lease.confirmed_at)
            log_event(event, version=state.stored.version, age_ms=age)
        held = holds
        if holds:
            await state.leased.wait_for(state.lease.ends_at - now)
        else:
            await state.leased.wait()
