"""Messages between a host that runs requests and the owner of their organisations' quotas."""

from __future__ import annotations

from typing import Any, NamedTuple

from ..core.forwarding.quota_owner import Charge, ChargeAnswer, HandedBalance
from ..log import log_event
from ..log_events import LogEvent

QUOTA_ROLE = "quota"


class QuotaCharges(NamedTuple):
    """What a host has run and wants to run since its last message."""

    start: int
    """Differs between the processes that run at a host one after the other."""
    number: int
    """Increases with each message; the same when a message is sent again."""
    charges: list[Charge]


class QuotaAnswers(NamedTuple):
    """The owner's answers to the charges of a message, in their order."""

    number: int
    answers: list[ChargeAnswer]


class HandedBalances(NamedTuple):
    """The balances of a former owner that gives some quotas up."""

    balances: list[HandedBalance]


QUOTA_MESSAGE_TYPES: tuple[type[Any], ...] = (QuotaCharges, QuotaAnswers, HandedBalances)


def log_refused_message(peer: str, message: object, exc: ValueError) -> None:
    """Log that a message of another host was refused.

    Args:
        peer: The name of the other host.
        message: The message.
        exc: Why it was refused; its text begins with the field and a colon.
    """
    field = f"{type(message).__name__}.{str(exc).partition(':')[0]}"
    log_event(LogEvent.LINK_MESSAGE_REFUSED, peer=peer, why=str(exc), field=field)
