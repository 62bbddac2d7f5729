"""A host's side of quotas: what it may run by itself, and what it tells the owners."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import NamedTuple

from ...clock import SECOND, Millis
from ..token_bucket import TokenBucket
from .organisation import Organisation
from .quota_bounds import NO_RESERVE, BucketLimit, QuotaBounds, host_share
from .quota_owner import Charge, ChargeAnswer, OrganisationLookup
from .quota_owners import QuotaOwners

ASK_TIMEOUT: Millis = 40.0
"""How long a request waits for its token: many round trips between hosts, and less than a caller
notices."""
IDLE_SPAN: Millis = 60 * SECOND
"""How long a host remembers an organisation that it doesn't use."""
MAX_CHARGES = 500
"""Most organisations in one message."""


class TokenSource(StrEnum):
    """What admitted a request."""

    OWN = "own"
    """This host owns the quota."""
    AHEAD = "ahead"
    """The host ran it and charged the owner at the same time."""
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
        """When to return, if the owner refused the token."""

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


class _Use:
    """What this host knows and has run of one organisation."""

    __slots__ = (
        "ahead",
        "epoch",
        "owner",
        "reserve",
        "returned",
        "unanswered",
        "unsent",
        "used_at",
    )

    def __init__(self, owner: str, now: Millis) -> None:
        self.owner = owner
        self.ahead = False
        self.epoch: Millis = 0.0
        self.unsent = 0
        """Requests that ran ahead and are in no message yet."""
        self.unanswered = 0
        """Requests that ran ahead and are in messages without an answer."""
        self.returned = 0
        self.reserve: TokenBucket | None = None
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
    """Decides which requests run without a token, and keeps count of what owners must learn.

    Args:
        owners: Which host owns which quota.
        bounds: The bounds of all quotas.
    """

    def __init__(self, owners: QuotaOwners, bounds: QuotaBounds) -> None:
        self._owners = owners
        self._bounds = bounds
        self._uses: dict[str, _Use] = {}
        self._channels: dict[str, _Channel] = {}
        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of organisations in memory."""
        return len(self._uses)

    # Requests

    def run_ahead(self, organisation: Organisation, owner: str, now: Millis) -> QuotaToken | None:
        """Admit a request before the owner confirms its token, if the host may."""
        use = self._use(organisation.name, owner, now)
        if not use.ahead or not self._owners.may_run_ahead(now):
            return None
        share = host_share(organisation, self._bounds, self._owners.sharing_hosts(now))
        if use.unsent + use.unanswered >= share.ahead:
            return None
        use.unsent += 1
        self._channel(owner).changed[organisation.name] = None
        return QuotaToken(organisation.name, TokenSource.AHEAD, owner, use.epoch)

    def ask(
        self, organisation: Organisation, owner: str, now: Millis, on_done: Callable[[], None]
    ) -> Ask:
        """Queue a request for a token."""
        self._use(organisation.name, owner, now)
        ask = Ask(organisation.name, owner, now, on_done)
        self._channel(owner).asks.append(ask)
        return ask

    def use_reserve(self, organisation: Organisation, now: Millis) -> QuotaToken | None:
        """Admit a request whose owner doesn't answer, if the reserve has a token left."""
        if not self._owners.may_use_reserve(now):
            return None
        limit = self._reserve_limit(organisation, now)
        if limit == NO_RESERVE:
            return None
        use = self._use(organisation.name, self._owners.owner(organisation.name) or "", now)
        if use.reserve is None:
            use.reserve = TokenBucket(limit.burst, now)
        if use.reserve.take(limit.rate, limit.burst, now) > 0.0:
            return None
        return QuotaToken(organisation.name, TokenSource.RESERVE)

    def give_back(self, token: QuotaToken) -> None:
        """Return a token of ``run_ahead``, ``ask`` or ``use_reserve`` whose request has not run."""
        use = self._uses.get(token.organisation)
        if use is None:
            return
        if token.source is TokenSource.RESERVE:
            if use.reserve is not None:
                use.reserve.credit(1.0)
        elif use.owner == token.owner and use.epoch == token.epoch:
            use.returned += 1
            self._channel(use.owner).changed[token.organisation] = None

    def reserve_tokens(self, lookup: OrganisationLookup, now: Millis) -> float:
        """Return how many tokens the reserves of all organisations in memory hold together."""
        total = 0.0
        for name, use in self._uses.items():
            organisation = lookup(name)
            if organisation is None:
                continue
            limit = self._reserve_limit(organisation, now)
            tokens = limit.burst
            if use.reserve is not None:
                tokens = use.reserve.balance(limit.rate, limit.burst, now)
            total += max(0.0, tokens)
        return total

    # Messages

    def owners_to_charge(self) -> list[str]:
        """Return the owners for whom there is something to send."""
        return [name for name, one in self._channels.items() if one.asks or one.changed]

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
        use = self._uses.get(name)
        if use is None or use.owner != owner:
            return Charge(name, 0, 0, 0.0, asked)
        charge = Charge(name, use.unsent, use.returned, use.epoch, asked)
        use.unanswered += use.unsent
        use.unsent = 0
        use.returned = 0
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
        # An answer that waited, as this host was frozen, tells of a balance that is long gone.
        is_fresh = now - sent.sent_at <= ASK_TIMEOUT
        for charge, answer in zip(sent.charges, answers, strict=True):
            use = self._uses.get(charge.organisation)
            if use is not None and use.owner == owner:
                self._apply(use, charge, answer, is_fresh, channel)
            left = self._resolve_asks(sent.asks.get(charge.organisation, ()), answer, now)
            if left and use is not None and use.owner == owner:
                use.returned += left
                channel.changed[charge.organisation] = None

    def _apply(
        self, use: _Use, charge: Charge, answer: ChargeAnswer, is_fresh: bool, channel: _Channel
    ) -> None:
        use.unanswered -= charge.ran
        use.ahead = answer.ahead and is_fresh
        if not answer.counted:
            use.unsent += charge.ran
            use.returned = 0
            if charge.ran:
                channel.changed[charge.organisation] = None
            return
        if answer.epoch != use.epoch:
            use.epoch = answer.epoch
            use.returned = 0

    def _resolve_asks(self, asks: Sequence[Ask], answer: ChargeAnswer, now: Millis) -> int:
        """Tell the requests that wait; return how many granted tokens nobody waits for."""
        granted = answer.granted
        retry_after = list(answer.retry_after)
        for ask in asks:
            is_late = now - ask.asked_at > ASK_TIMEOUT
            if not ask.is_waiting or is_late:
                if ask.is_waiting:
                    ask.resolve(None)
            elif not answer.counted:
                ask.resolve(None)
            elif granted > 0:
                granted -= 1
                ask.resolve(answer)
            else:
                ask.resolve(answer, retry_after.pop(0) if retry_after else None)
        return granted

    # Changes of owners, memory

    def apply_owners(self, now: Millis) -> None:
        """Charge the new owners for what the former ones have not confirmed."""
        for name, use in self._uses.items():
            owner = self._owners.owner(name) or ""
            if owner != use.owner:
                self._move(name, use, owner)
        known = set(self._owners.hosts)
        for owner in [name for name in self._channels if name not in known]:
            self.on_link_lost(owner)
            del self._channels[owner]

    def forget_idle(self, now: Millis) -> None:
        """Forget organisations without requests for ``IDLE_SPAN``."""
        for name, use in list(self._uses.items()):
            is_used = use.unsent or use.unanswered or now - use.used_at < IDLE_SPAN
            if not is_used:
                del self._uses[name]

    def _use(self, name: str, owner: str, now: Millis) -> _Use:
        use = self._uses.get(name)
        if use is None:
            use = self._uses[name] = _Use(owner, now)
        elif use.owner != owner:
            self._move(name, use, owner)
        use.used_at = now
        return use

    def _move(self, name: str, use: _Use, owner: str) -> None:
        if use.unanswered:
            self._withdraw(name, use.owner)
        use.owner = owner
        use.ahead = False
        use.epoch = 0.0
        use.returned = 0
        use.unsent += use.unanswered
        use.unanswered = 0
        if use.unsent and owner:
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
        return host_share(organisation, self._bounds, hosts).reserve


def _check_answers(charges: Sequence[Charge], answers: Sequence[ChargeAnswer]) -> None:
    if [one.organisation for one in answers] != [one.organisation for one in charges]:
        raise ValueError("organisation: not those of the message")
    for charge, answer in zip(charges, answers, strict=True):
        if not 0 <= answer.granted <= charge.asked:
            raise ValueError(f"granted: expected 0 to {charge.asked}, got {answer.granted}")
