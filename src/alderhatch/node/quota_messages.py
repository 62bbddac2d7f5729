"""Messages between a host that runs requests and the owner of their organisations' quotas."""

from __future__ import annotations

from typing import Any, NamedTuple

from ..core.forwarding.quota_owner import Charge, ChargeAnswer, HandedBalance

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
