"""A host's side of quotas: what it may run by itself, and what it charges the owners."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import StrEnum
from math import inf, isfinite
from typing import NamedTuple

from ...clock import SECOND, Millis
from ..token_bucket import TokenBucket
from .organisation import Organisation
from .quota_bounds import NO_RESERVE, BucketLimit, QuotaBounds, slack_share
from .quota_owner import Charge, ChargeAnswer, OrganisationLookup
from .quota_owners import QuotaOwners

ASK_TIMEOUT: Millis = 40.0
"""How long a request waits for its token: many round trips between hosts, and less than a caller
notices."""
IDLE_SPAN: Millis = 60 * SECOND
"""How long a host remembers an organisation that it doesn't use."""
MAX_CHARGES = 500
"""Most organisations in one message, so that a message stays small."""


class TokenSource(StrEnum):
    """What admitted a request."""

    OWN = "own"
    """This host owns the quota."""
    AHEAD = "ahead"
    """The host ran it before the owner confirmed its token."""
    ASKED = "asked"
    """The owner granted the token."""
    RESERVE = "reserve"
    """The host's reserve, as the owner did not answer."""


class QuotaToken(NamedTuple):
    """A token that admits one request."""

    organisation: str
    source: TokenSource
    owner: str = ""
    epoch: Millis = 0.0
    """The epoch of the owner's answer that allowed it."""


class Ask:
    """A request that waits for a token.

    Args:
        organisation: The organisation's name.
        owner: The name of the owner that is asked.
        asked_at: The present time.
        on_done: Called once the owner has answered or can't be reached.
    """

    __slots__ = (
        "answer",
        "asked_at",
        "is_waiting",
        "on_done",
        "organisation",
        "owner",
        "retry_after",
    )

    def __init__(
        self, organisation: str, owner: str, asked_at: Millis, on_done: Callable[[], None]
    ) -> None:
        self.organisation = organisation
        self.owner = owner
        self.asked_at = asked_at
        self.on_done = on_done
        self.is_waiting = True
        self.answer: ChargeAnswer | None = None
        """The owner's answer; None if there is none."""
        self.retry_after: Millis | None = None
        """How long the caller should wait before it retries, if the owner refused the token."""

    def resolve(self, answer: ChargeAnswer | None, retry_after: Millis | None = None) -> None:
        """End the wait."""
        self.is_waiting = False
        self.answer = answer
        self.retry_after = retry_after
        self.on_done()


class ChargeMessage(NamedTuple):
    """The charges of one message to an owner."""

    number: int
    charges: list[Charge]


class _Allowance:
    """What this host may run for one organisation, and what its owner doesn't know yet."""

    __slots__ = (
        "epoch",
        "may_run_ahead",
        "owner",
        "reserve",
        "returned",
        "unanswered",
        "unsent",
        "used_at",
    )

    def __init__(self, owner: str, now: Millis) -> None:
        self.owner = owner
        self.may_run_ahead = False
        """Whether the owner's last answer allowed it."""
        self.epoch: Millis = 0.0
        """The epoch of the owner's last answer; 0 if there is none."""
        self.unsent = 0
        """Requests that ran ahead and are in no message yet."""
        self.unanswered = 0
        """Requests that ran ahead and are in messages without an answer."""
        self.returned = 0
        """Tokens of the present epoch to return; they are in no message yet."""
        self.reserve: TokenBucket | None = None
        """The bucket for requests that the owner doesn't count; None until it is first used."""
        self.used_at = now


class _Sent(NamedTuple):
    charges: list[Charge]
    asks: dict[str, list[Ask]]
    sent_at: Millis


class _Channel:
    """What is to be sent to one owner, and what it hasn't answered."""

    __slots__ = ("asks", "changed", "unanswered")

    def __init__(self) -> None:
        self.asks: list[Ask] = []
        self.changed: dict[str, None] = {}
        """Organisations with something to send, in order."""
        self.unanswered: dict[int, _Sent] = {}


class QuotaAllowances:
    """Decides which requests run without a confirmed token, and counts what to charge the owners.

    Args:
        owners: Which host owns which quota.
        bounds: The bounds of all quotas.
    """

    def __init__(self, owners: QuotaOwners, bounds: QuotaBounds) -> None:
        self._owners = owners
        self._bounds = bounds
        self._allowances: dict[str, _Allowance] = {}
        self._channels: dict[str, _Channel] = {}
        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of organisations in memory."""
        return len(self._allowances)

    # Requests

    def run_ahead(self, organisation: Organisation, owner: str, now: Millis) -> QuotaToken | None:
        """Admit a request before the owner confirms its token, if the host may."""
        allowance = self._allowance(organisation.name, owner, now)
        if not allowance.may_run_ahead or not self._owners.may_run_ahead(now):
            return None
        share = slack_share(organisation, self._bounds, self._owners.sharing_hosts(now))
        if allowance.unsent + allowance.unanswered >= share.ahead:
            return None
        allowance.unsent += 1
        self._channel(owner).changed[organisation.name] = None
        return QuotaToken(organisation.name, TokenSource.AHEAD, owner, allowance.epoch)

    def ask(
        self, organisation: Organisation, owner: str, now: Millis, on_done: Callable[[], None]
    ) -> Ask:
        """Queue a request for a token."""
        self._allowance(organisation.name, owner, now)
        ask = Ask(organisation.name, owner, now, on_done)
        self._channel(owner).asks.append(ask)
        return ask

    def use_reserve(self, organisation: Organisation, now: Millis) -> QuotaToken | None:
        """Admit a request whose owner doesn't answer, if the reserve has a token left."""
        limit = self._reserve_limit(organisation, now)
        if limit == NO_RESERVE:
            return None
        allowance = self._allowance(
            organisation.name, self._owners.owner(organisation.name) or "", now
        )
        if allowance.reserve is None:
            allowance.reserve = TokenBucket(limit.burst, now)
        if allowance.reserve.take(limit.rate, limit.burst, now) > 0.0:
            return None
        return QuotaToken(organisation.name, TokenSource.RESERVE)

    def give_back(self, token: QuotaToken) -> None:
        """Return a token of ``run_ahead``, ``ask`` or ``use_reserve`` whose request has not run."""
        allowance = self._allowances.get(token.organisation)
        if allowance is None:
            return
        if token.source is TokenSource.RESERVE:
            if allowance.reserve is not None:
                allowance.reserve.credit(1.0)
        elif allowance.owner == token.owner and allowance.epoch == token.epoch:
            allowance.returned += 1
            self._channel(allowance.owner).changed[token.organisation] = None

    def reserve_tokens(self, lookup: OrganisationLookup, now: Millis) -> float:
        """Return how many tokens the reserves of all organisations in memory hold together."""
        total = 0.0
        for name, allowance in self._allowances.items():
            organisation = lookup(name)
            if organisation is None:
                continue
            limit = self._reserve_limit(organisation, now)
            tokens = limit.burst
            if allowance.reserve is not None:
                tokens = allowance.reserve.balance(limit.rate, limit.burst, now)
            total += max(0.0, tokens)
        return total

    # Messages

    def owners_to_charge(self) -> list[str]:
        """Return the owners for whom there is something to send."""
        return [name for name, one in self._channels.items() if one.asks or one.changed]

    def has_asks(self, owner: str) -> bool:
        """Return whether requests wait that are in no message yet."""
        channel = self._channels.get(owner)
        return channel is not None and bool(channel.asks)

    def take_message(self, owner: str, now: Millis) -> ChargeMessage | None:
        """Return the next message to an owner; None if there is nothing to send."""
        channel = self._channel(owner)
        asks: dict[str, list[Ask]] = {}
        waiting = [ask for ask in channel.asks if ask.is_waiting]
        channel.asks = []
        for ask in waiting:
            if ask.organisation not in asks and len(asks) >= MAX_CHARGES:
                channel.asks.append(ask)
            else:
                asks.setdefault(ask.organisation, []).append(ask)
        names = list(dict.fromkeys((*asks, *channel.changed)))[:MAX_CHARGES]
        charges = []
        for name in names:
            channel.changed.pop(name, None)
            charge = self._take_charge(name, owner, len(asks.get(name, ())))
            if charge.ran or charge.returned or charge.asked:
                charges.append(charge)
        if not charges:
            return None
        self._last_number += 1
        channel.unanswered[self._last_number] = _Sent(charges, asks, now)
        return ChargeMessage(self._last_number, charges)

    def _take_charge(self, name: str, owner: str, asked: int) -> Charge:
        allowance = self._allowances.get(name)
        if allowance is None or allowance.owner != owner:
            return Charge(name, 0, 0, 0.0, asked)
        charge = Charge(name, allowance.unsent, allowance.returned, allowance.epoch, asked)
        allowance.unanswered += allowance.unsent
        allowance.unsent = 0
        allowance.returned = 0
        return charge

    def messages_to_resend(self, owner: str) -> list[ChargeMessage]:
        """Return the messages that an owner may not have received, after a link was lost.

        They keep their numbers, by which the owner counts each of them once.
        """
        channel = self._channel(owner)
        messages = []
        for number, sent in channel.unanswered.items():
            charges = [charge._replace(asked=0) for charge in sent.charges]
            channel.unanswered[number] = _Sent(charges, {}, sent.sent_at)
            messages.append(ChargeMessage(number, charges))
        return messages

    def on_link_lost(self, owner: str) -> None:
        """Let the requests that wait for an owner go on without its answer."""
        channel = self._channels.get(owner)
        if channel is None:
            return
        waiting = channel.asks
        channel.asks = []
        for sent in channel.unanswered.values():
            waiting = [*waiting, *(ask for asks in sent.asks.values() for ask in asks)]
        for ask in waiting:
            if ask.is_waiting:
                ask.resolve(None)

    def on_answers(
        self, owner: str, number: int, answers: Sequence[ChargeAnswer], now: Millis
    ) -> None:
        """Apply an owner's answers to a message.

        Raises:
            ValueError: If the answers don't match the message; nothing is changed then.
        """
        channel = self._channel(owner)
        sent = channel.unanswered.get(number)
        if sent is None:
            return
        _check_answers(sent.charges, answers)
        del channel.unanswered[number]
        # If this host was suspended, the answer may have waited to be read, and the balance that
        # allowed requests to run ahead may be used up.
        is_fresh = now - sent.sent_at <= ASK_TIMEOUT
        for charge, answer in zip(sent.charges, answers, strict=True):
            allowance = self._allowances.get(charge.organisation)
            if allowance is not None and allowance.owner == owner:
                self._apply(allowance, charge, answer, is_fresh, channel)
            left = self._resolve_asks(sent.asks.get(charge.organisation, ()), answer, now)
            if left and allowance is not None and allowance.owner == owner:
                allowance.returned += left
                channel.changed[charge.organisation] = None

    def _apply(
        self,
        allowance: _Allowance,
        charge: Charge,
        answer: ChargeAnswer,
        is_fresh: bool,
        channel: _Channel,
    ) -> None:
        allowance.unanswered -= charge.ran
        allowance.may_run_ahead = answer.ahead and is_fresh
        if not answer.counted:
            allowance.unsent += charge.ran
            allowance.returned = 0
            if charge.ran:
                channel.changed[charge.organisation] = None
            return
        if answer.epoch != allowance.epoch:
            allowance.epoch = answer.epoch
            allowance.returned = 0

    def _resolve_asks(self, asks: Sequence[Ask], answer: ChargeAnswer, now: Millis) -> int:
        """Resolve the asks of a charge; return how many granted tokens no request waits for."""
        granted = answer.granted
        retry_after = list(answer.retry_after)
        for ask in asks:
            is_late = now - ask.asked_at > ASK_TIMEOUT
            if not ask.is_waiting:
                continue
            if is_late or not answer.counted:
                ask.resolve(None)
            elif granted > 0:
                granted -= 1
                ask.resolve(answer)
            else:
                ask.resolve(answer, retry_after.pop(0) if retry_after else None)
        return granted

    # Changes of owners, memory

    def apply_owners(self) -> None:
        """Adapt to a new list of hosts: charge the new owners, and drop hosts that have left."""
        self._move_unconfirmed()
        self._drop_unlisted_channels()

    def _move_unconfirmed(self) -> None:
        """Charge the new owners for what the former ones have not confirmed."""
        for name, allowance in self._allowances.items():
            # The others are moved with their next request, because computing thousands of owners
            # at once would block the loop.
            if not allowance.unsent and not allowance.unanswered:
                continue
            owner = self._owners.owner(name) or ""
            if owner != allowance.owner:
                self._move(name, allowance, owner)

    def _drop_unlisted_channels(self) -> None:
        known = set(self._owners.hosts)
        for owner in [name for name in self._channels if name not in known]:
            self.on_link_lost(owner)
            del self._channels[owner]

    def forget_idle(self, now: Millis) -> None:
        """Forget organisations without requests for ``IDLE_SPAN``."""
        for name, allowance in list(self._allowances.items()):
            is_used = (
                allowance.unsent or allowance.unanswered or now - allowance.used_at < IDLE_SPAN
            )
            if not is_used:
                del self._allowances[name]

    def _allowance(self, name: str, owner: str, now: Millis) -> _Allowance:
        allowance = self._allowances.get(name)
        if allowance is None:
            allowance = self._allowances[name] = _Allowance(owner, now)
        elif allowance.owner != owner:
            self._move(name, allowance, owner)
        allowance.used_at = now
        return allowance

    def _move(self, name: str, allowance: _Allowance, owner: str) -> None:
        if allowance.unanswered:
            self._withdraw(name, allowance.owner)
        allowance.owner = owner
        allowance.may_run_ahead = False
        allowance.epoch = 0.0
        allowance.returned = 0
        allowance.unsent += allowance.unanswered
        allowance.unanswered = 0
        if allowance.unsent and owner:
            self._channel(owner).changed[name] = None

    def _withdraw(self, name: str, owner: str) -> None:
        """Leave an organisation out of the messages that a former owner hasn't answered.

        Its answers would otherwise count as those of the new owner, or of the same host when it
        becomes the owner again.
        """
        unanswered = self._channel(owner).unanswered
        for number, sent in unanswered.items():
            charges = [
                one._replace(ran=0, returned=0) if one.organisation == name else one
                for one in sent.charges
            ]
            unanswered[number] = sent._replace(charges=charges)

    def _channel(self, owner: str) -> _Channel:
        return self._channels.setdefault(owner, _Channel())

    def _reserve_limit(self, organisation: Organisation, now: Millis) -> BucketLimit:
        hosts = self._owners.sharing_hosts(now)
        return slack_share(organisation, self._bounds, hosts).reserve


def _check_answers(charges: Sequence[Charge], answers: Sequence[ChargeAnswer]) -> None:
    if [one.organisation for one in answers] != [one.organisation for one in charges]:
        raise ValueError("organisation: not those of the message")
    for charge, answer in zip(charges, answers, strict=True):
        if not 0 <= answer.granted <= charge.asked:
            raise ValueError(f"granted: expected 0 to {charge.asked}, got {answer.granted}")
        refused = charge.asked - answer.granted if answer.counted else 0
        if len(answer.retry_after) != refused:
            raise ValueError(f"retry_after: expected {refused} times")
        if not all(0.0 <= time < inf for time in answer.retry_after):
            raise ValueError("retry_after: expected numbers of 0 or more")
        for name in ("balance", "epoch"):
            if not isfinite(getattr(answer, name)):
                raise ValueError(f"{name}: expected a number")
