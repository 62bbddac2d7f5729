"""The steps by which the membership of the replicated log changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from ..errors import AlderhatchError
from ..log import log_event
from ..log_events import LogEvent

if TYPE_CHECKING:
    from .control_log import ControlLog


class AddMember(NamedTuple):
    """Add a host as a learner."""

    name: str
    address: str
    port: int


class PromoteMember(NamedTuple):
    """Make a learner a voter."""

    name: str


class ReplaceMember(NamedTuple):
    """Remove a lost voter and promote the learner that succeeds it."""

    lost: str
    successor: str


class RemoveMember(NamedTuple):
    """Remove a host from the members."""

    name: str


class HandOver(NamedTuple):
    """Transfer the leadership to another host, because this host is about to stop."""


MembershipStep: TypeAlias = AddMember | PromoteMember | ReplaceMember | RemoveMember | HandOver


async def execute_step(log: ControlLog, step: MembershipStep) -> bool:
    """Execute one step on the leader, log the result and return whether it succeeded."""
    try:
        match step:
            case AddMember(name, address, port):
                await log.add_learner(name, address, port)
            case PromoteMember(name):
                await log.promote(name)
            case ReplaceMember(lost, successor):
                await log.promote(successor, in_place_of=lost)
            case RemoveMember(name):
                await log.remove_member(name)
            case HandOver():
                await log.transfer_leadership()
    except AlderhatchError as exc:
        log_event(LogEvent.MEMBER_CHANGE_FAILED, step=repr(step), why=str(exc))
        return False
    event = LogEvent.MEMBER_CHANGED
    if isinstance(step, HandOver):
        event = LogEvent.LEADERSHIP_HANDED_OVER
    log_event(event, step=repr(step))
    return True
