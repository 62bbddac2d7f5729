"""All decisions of one host about quotas: as the owner of some, and as a client of the others."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from enum import StrEnum
from math import inf
from random import Random
from typing import NamedTuple, TypeAlias

from ...clock import Millis
from .organisation import Organisation
from .quota_allowance import Ask, QuotaAllowances, QuotaToken, TokenSource
from .quota_bounds import QuotaBounds
from .quota_owner import (
    Charge,
    ChargeAnswer,
    HandedBalance,
    OrganisationLookup,
    QuotaOwner,
    Sender,
)
from .quota_owners import QuotaOwners

OWNER_RETRY: Millis = 500.0
"""How long a caller should wait before it retries if the owner of its quota can't be reached. Each
caller is told a random time up to twice as long, so that they don't all retry at once."""
MAX_COUNT = 1_000_000
"""More than any host counts between two messages."""
MAX_EPOCH: Millis = 1e15
"""More than any clock shows."""


class RefusalReason(StrEnum):
    """Why a request got no token."""

    EXHAUSTED = "exhausted"
    """The quota is used up."""
    NO_OWNER = "no_owner"
    """No owner answered in time, and the host's reserve is used up."""


class QuotaRefusal(NamedTuple):
    """A request that got no token."""

    reason: RefusalReason
    retry_after: Millis
    """How long the caller should wait before it retries."""
    owner: str | None
    """The owner of the quota; None if there is none."""
    balance: float | None = None
    """The organisation's tokens at the owner; None if unknown."""


Verdict: TypeAlias = QuotaToken | QuotaRefusal


class QuotaHost:
    """Admits the requests of one host within the quotas that all hosts share.

    Args:
        own_name: This host's name.
        bounds: The bounds of all quotas.
        lookup: Returns the organisation with a name, as the configuration in use declares it.
        rng: Spreads the retries of callers.
    """

    def __init__(
        self,
        own_name: str,
        bounds: QuotaBounds,
        lookup: OrganisationLookup,
        rng: Random,
    ) -> None:
        self._own_name = own_name
        self._lookup = lookup
        self._rng = rng
        self.owners = QuotaOwners(own_name, bounds)
        """Which host owns which quota."""
        self.allowances = QuotaAllowances(self.owners, bounds)
        """What this host may run by itself, and what it charges the owners."""
        self.owner = QuotaOwner(self.owners, bounds, lookup)
        """The balances of the quotas that this host owns."""

    def decide(
        self, organisation: Organisation, now: Millis, on_done: Callable[[], None]
    ) -> Verdict | Ask:
        """Decide about a request, or return what it has to wait for.

        Args:
            organisation: The organisation of the request; it has a quota.
            now: The present time.
            on_done: Called once the returned ``Ask`` needs no more waiting.
        """
        owner = self.owners.owner(organisation.name)
        if owner == self._own_name:
            return self._decide_as_owner(organisation, now)
        if owner is None:
            return self._without_owner(organisation, None, now)
        token = self.allowances.run_ahead(organisation, owner, now)
        return token or self.allowances.ask(organisation, owner, now, on_done)

    def _decide_as_owner(self, organisation: Organisation, now: Millis) -> Verdict:
        answer = self.owner.take(organisation, now)
        if not answer.counted:
            return self._without_owner(organisation, self._own_name, now)
        if answer.granted:
            return QuotaToken(organisation.name, TokenSource.OWN, self._own_name, answer.epoch)
        return self._exhausted(answer, answer.retry_after[0], self._own_name)

    def conclude(self, organisation: Organisation, ask: Ask, now: Millis) -> Verdict:
        """Decide about a request that has waited; later answers to its ask have no effect."""
        ask.is_waiting = False
        owner = self.owners.owner(organisation.name)
        answer = ask.answer
        if answer is None or not answer.counted:
            return self._without_owner(organisation, owner, now)
        if ask.retry_after is None:
            return QuotaToken(organisation.name, TokenSource.ASKED, ask.owner, answer.epoch)
        return self._exhausted(answer, ask.retry_after, ask.owner)

    def _exhausted(self, answer: ChargeAnswer, retry_after: Millis, owner: str) -> QuotaRefusal:
        return QuotaRefusal(RefusalReason.EXHAUSTED, retry_after, owner, answer.balance)

    def _without_owner(self, organisation: Organisation, owner: str | None, now: Millis) -> Verdict:
        token = self.allowances.use_reserve(organisation, now)
        if token is not None:
            return token
        retry_after = OWNER_RETRY * (1.0 + self._rng.random())
        return QuotaRefusal(RefusalReason.NO_OWNER, retry_after, owner)

    def give_back(self, token: QuotaToken) -> None:
        """Return the token of a request that has not run."""
        if token.source is TokenSource.OWN:
            self.owner.give_back(token.organisation, token.epoch)
        else:
            self.allowances.give_back(token)

    def set_hosts(
        self,
        names: Iterable[str],
        active: Collection[str],
        confirmed_at: Millis,
        now: Millis,
        leader_since: Millis = -inf,
    ) -> dict[str, list[HandedBalance]]:
        """Set the hosts, and the time of the last confirmation that has arrived.

        Args:
            names: The hosts that may own quotas, by the leader's last list.
            active: The active hosts.
            confirmed_at: When this host asked the leader for it; -inf if there is none.
            now: The present time.
            leader_since: When this host found the leader.

        Returns:
            The balances to hand over, by the name of the next owner.
        """
        self.owners.confirm(confirmed_at, now)
        self.owners.set_active(active, now)
        if not self.owners.set_hosts(names, now, leader_since):
            return {}
        self.allowances.apply_owners()
        return self.owner.resign(now)

    def owners_to_charge(self, now: Millis) -> list[str]:
        """Return the other hosts to charge; charges to this host itself are counted at once."""
        owners = self.allowances.owners_to_charge()
        if self._own_name in owners:
            self._charge_itself(now)
        return [owner for owner in owners if owner != self._own_name]

    def _charge_itself(self, now: Millis) -> None:
        """Count what this host ran for former owners that had not confirmed it."""
        message = self.allowances.take_message(self._own_name, now)
        if message is not None:
            sender = Sender(self._own_name, 0, message.number)
            answers = [self.owner.answer(sender, charge, now) for charge in message.charges]
            self.allowances.on_answers(self._own_name, message.number, answers, now)

    def answer(self, sender: Sender, charges: Iterable[Charge], now: Millis) -> list[ChargeAnswer]:
        """Count the charges of another host.

        Raises:
            ValueError: If a field is invalid; nothing is counted then.
        """
        charges = list(charges)
        for charge in charges:
            _check_charge(charge)
        return [self.owner.answer(sender, charge, now) for charge in charges]

    def accept(self, balances: Sequence[HandedBalance], now: Millis) -> None:
        """Take over balances of a former owner, as far as this host has granted nothing yet.

        Raises:
            ValueError: If a field is invalid; nothing is changed then.
        """
        for handed in balances:
            if not -MAX_COUNT <= handed.tokens <= MAX_COUNT:
                raise ValueError(f"tokens: expected a number, got {handed.tokens}")
            if self._lookup(handed.organisation) is None:
                raise ValueError("organisation: unknown")
        for handed in balances:
            self.owner.accept(handed, now)

    def forget_idle(self, now: Millis) -> None:
        """Forget organisations that nobody uses."""
        self.owner.forget_idle(now)
        self.allowances.forget_idle(now)


def _check_charge(charge: Charge) -> None:
    for name in ("ran", "returned", "asked"):
        count = getattr(charge, name)
        if not 0 <= count <= MAX_COUNT:
            raise ValueError(f"{name}: expected 0 to {MAX_COUNT}, got {count}")
    if not -MAX_EPOCH <= charge.epoch <= MAX_EPOCH:
        raise ValueError(f"epoch: expected a number, got {charge.epoch}")
