"""The single steps by which the members of the replicated log change."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from ..errors import AlderhatchError
from ..log import log_event
from ..log_events import LogEvent

if TYPE_CHECKING:
    from .control_log import ControlLog


class AddMember(NamedTuple):
    """Let a replacement receive the log."""

    name: str
    address: str
    port: int


class PromoteMember(NamedTuple):
    """Give a replacement its vote."""

    name: str


class ReplaceMember(NamedTuple):
    """Take the vote from a host that is lost, and give it to its successor."""

    lost: str
    successor: str


class RemoveMember(NamedTuple):
    """Take out a host that departs or was replaced."""

    name: str


class HandOver(NamedTuple):
    """Let another host lead, because this one is to stop."""


MembershipStep: TypeAlias = AddMember | PromoteMember | ReplaceMember | RemoveMember | HandOver


async def execute_step(log: ControlLog, step: MembershipStep) -> bool:
    """Take one step at the leader; return whether it is done, and log it either way."""
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
