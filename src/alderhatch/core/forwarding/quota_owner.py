"""The owner's side of quotas: one exact token bucket for each organisation."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import NamedTuple, TypeAlias

from ...clock import SECOND, Millis
from ..token_bucket import ROUNDING_TOLERANCE, TokenBucket
from .organisation import Organisation
from .quota_bounds import BucketLimit, QuotaBounds, bucket_limit
from .quota_owners import TAKEOVER_DELAY, QuotaOwners

LOW_BALANCE = 0.25
"""Below this fraction of the burst, all hosts ask before they run a request. Otherwise requests
that run ahead would use up the tokens, and only those that ask would be refused."""
FORGET_DELAY: Millis = 60 * SECOND
"""How long the balance of an idle organisation stays in memory, to be handed to the next owner."""
HANDED_SPAN: Millis = 1 * SECOND
"""How long before a host learns that it is the owner a balance may arrive and still be used."""
MAX_HANDED = 10_000
"""Most balances in memory that are not in use yet; further ones are lost."""
RETRY_OFFSETS = 8
"""Over how many points in time retries are spread if no token is due for them within a window."""

OrganisationLookup: TypeAlias = Callable[[str], Organisation | None]


class Sender(NamedTuple):
    """A process that sends charges, and the number of its message."""

    host: str
    start: int
    """Differs between the processes that run at a host one after the other."""
    number: int
    """Increases with each message; the same when a message is sent again."""


class Charge(NamedTuple):
    """What a host has run and wants to run for one organisation since its last message."""

    organisation: str
    ran: int
    """Requests that ran without a token."""
    returned: int
    """Tokens of requests that have not run after all."""
    epoch: Millis
    """The epoch of the answer that granted the returned tokens."""
    asked: int
    """Requests that wait for a token."""


class ChargeAnswer(NamedTuple):
    """The owner's answer to a charge."""

    organisation: str
    counted: bool
    """False if the host is not the owner or must not grant now; nothing was counted then."""
    granted: int = 0
    """How many of the requests that wait get a token."""
    retry_after: list[Millis] = []  # noqa: RUF012 - never changed
    """For each of the others, how long until a token is due for it."""
    balance: float = 0.0
    ahead: bool = False
    """Whether the host may run requests ahead of its next charge."""
    epoch: Millis = 0.0
    """Identifies this period of ownership at this host."""


class HandedBalance(NamedTuple):
    """The balance of an organisation, from its former owner to the next one."""

    organisation: str
    tokens: float


class _Account:
    """The balance of one quota, and what the owner has counted and granted."""

    __slots__ = (
        "ahead_at",
        "bucket",
        "epoch",
        "late_retries",
        "limit",
        "next_due_at",
        "seen",
        "used_at",
    )

    def __init__(self, tokens: float, ahead_at: Millis, now: Millis) -> None:
        self.bucket = TokenBucket(tokens, now)
        self.limit = BucketLimit(0.0, 0.0)
        self.epoch = now
        self.ahead_at = ahead_at
        """From when on hosts may run requests ahead."""
        self.next_due_at: Millis = 0.0
        """When the caller of the next refused request should retry, at the earliest."""
        self.late_retries = 0
        """How many callers were told to retry although no token is due for them within a window."""
        self.used_at = now
        self.seen: dict[str, Sender] = {}
        """The last counted message of each host."""

    def balance(self, now: Millis) -> float:
        return self.bucket.balance(self.limit.rate, self.limit.burst, now)

    def schedule_retry(self, now: Millis, horizon: Millis) -> Millis:
        """Reserve the next time for the retry of a refused request; return how long until then.

        Each request gets a later time than the one before. If all were told the same time, they
        would retry together, and all but one would be refused again.

        Args:
            now: The present time.
            horizon: The longest time that a request is told to wait.
        """
        interval = SECOND / self.limit.rate if self.limit.rate > 0.0 else inf
        first_due = now + max(0.0, 1.0 - self.balance(now)) * interval
        due = max(first_due, self.next_due_at)
        if due - now > horizon:
            # More callers wait than tokens arrive within the horizon, so their retries share what
            # time there is, spread over at most half of it.
            self.late_retries += 1
            offset = self.late_retries % RETRY_OFFSETS / RETRY_OFFSETS
            due = min(first_due, now + horizon / 2) + offset * min(interval, horizon / 2)
        self.next_due_at = due + interval
        return due - now


class QuotaOwner:
    """Grants tokens of the quotas that this host owns.

    Args:
        owners: Which host owns which quota.
        bounds: The bounds of all quotas.
        lookup: Returns the organisation with a name, as the configuration in use declares it.
    """

    def __init__(
        self, owners: QuotaOwners, bounds: QuotaBounds, lookup: OrganisationLookup
    ) -> None:
        self._owners = owners
        self._bounds = bounds
        self._lookup = lookup
        self._accounts: dict[str, _Account] = {}
        self._handed: dict[str, tuple[HandedBalance, Millis]] = {}

    def __len__(self) -> int:
        """Return the number of organisations whose balance is in memory."""
        return len(self._accounts)

    def answer(self, sender: Sender, charge: Charge, now: Millis) -> ChargeAnswer:
        """Count a charge of another host once, however often it is received."""
        organisation = self._lookup(charge.organisation)
        if organisation is not None and not organisation.is_limited:
            return ChargeAnswer(organisation.name, True, charge.asked)
        account = self._account(organisation, now) if organisation is not None else None
        if account is None:
            return ChargeAnswer(charge.organisation, False)
        last = account.seen.get(sender.host)
        if last is None or last.start != sender.start or last.number < sender.number:
            account.seen[sender.host] = sender
            account.bucket.debit(charge.ran)
            if charge.epoch == account.epoch:
                account.bucket.credit(charge.returned)
            return self._answer(account, charge, now)
        return self._answer(account, charge._replace(asked=0), now)

    def take(self, organisation: Organisation, now: Millis) -> ChargeAnswer:
        """Take a token for a request of this host."""
        account = self._account(organisation, now)
        if account is None:
            return ChargeAnswer(organisation.name, False)
        return self._answer(account, Charge(organisation.name, 0, 0, 0.0, 1), now)

    def give_back(self, organisation: str, epoch: Millis) -> None:
        """Return a token that ``take`` granted in an epoch."""
        account = self._accounts.get(organisation)
        if account is not None and account.epoch == epoch:
            account.bucket.credit(1.0)

    def _answer(self, account: _Account, charge: Charge, now: Millis) -> ChargeAnswer:
        account.used_at = now
        granted = max(0, min(charge.asked, int(account.balance(now) + ROUNDING_TOLERANCE)))
        account.bucket.debit(granted)
        retry_after = [
            account.schedule_retry(now, self._bounds.window) for _ in range(charge.asked - granted)
        ]
        balance = account.balance(now)
        is_low = balance < max(1.0, LOW_BALANCE * account.limit.burst)
        ahead = now >= account.ahead_at and not is_low
        return ChargeAnswer(
            charge.organisation, True, granted, retry_after, balance, ahead, account.epoch
        )

    def _account(self, organisation: Organisation, now: Millis) -> _Account | None:
        """Return the account of a quota that this host owns; None if it must not grant tokens."""
        name = organisation.name
        since = self._owners.owned_since(name)
        if since is None or not self._owners.has_lease(now):
            return None
        account = self._accounts.get(name)
        if account is not None and account.epoch < since:
            account = None
        limit = bucket_limit(organisation, self._bounds.window)
        if account is None:
            account = self._open_account(name, limit, since, now)
            if account is None:
                return None
            self._accounts[name] = account
        account.limit = limit
        return account

    def _open_account(
        self, name: str, limit: BucketLimit, since: Millis, now: Millis
    ) -> _Account | None:
        handed, received_at = self._handed.pop(name, (None, 0.0))
        if handed is not None and received_at >= since - HANDED_SPAN:
            return _Account(min(limit.burst, handed.tokens), now + self._bounds.window, now)
        ready_at = since + TAKEOVER_DELAY
        if now < ready_at:
            return None
        # The former owner may have granted the whole burst just before, and no other host knows
        # what it granted to itself. So the bucket is empty when the ownership begins.
        tokens = min(limit.burst, (now - ready_at) * limit.rate / SECOND)
        return _Account(tokens, ready_at + self._bounds.window, now)

    def accept(self, handed: HandedBalance, now: Millis) -> bool:
        """Take over a balance from the former owner.

        Returns:
            Whether it can be used: this host has not granted tokens of this quota yet.
        """
        if handed.organisation in self._accounts or len(self._handed) >= MAX_HANDED:
            return False
        self._handed[handed.organisation] = (handed, now)
        return True

    def resign(self, now: Millis) -> dict[str, list[HandedBalance]]:
        """Give up the quotas that other hosts own now.

        Returns:
            The balances to hand over, by the name of the next owner.
        """
        handed: dict[str, list[HandedBalance]] = {}
        has_lease = self._owners.has_lease(now)
        for name, account in list(self._accounts.items()):
            since = self._owners.owned_since(name)
            if since is not None and account.epoch >= since:
                continue
            del self._accounts[name]
            next_owner = self._owners.owner(name)
            # Without a lease, the next owner may be granting tokens already.
            if has_lease and since is None and next_owner is not None:
                balance = HandedBalance(name, account.balance(now))
                handed.setdefault(next_owner, []).append(balance)
        if has_lease:
            self._pass_on_unused(handed)
        return handed

    def _pass_on_unused(self, handed: dict[str, list[HandedBalance]]) -> None:
        """Add balances that this host was handed and never used, for the hosts that own them now.

        A new leader's first lists may name other owners for a moment. Without this, a balance would
        be lost whose organisation sent no request in that moment.
        """
        for name, (balance, _) in list(self._handed.items()):
            next_owner = self._owners.owner(name)
            if next_owner is not None and self._owners.owned_since(name) is None:
                del self._handed[name]
                handed.setdefault(next_owner, []).append(balance)

    def forget_idle(self, now: Millis) -> None:
        """Forget organisations that are idle with a full bucket, or no longer declared."""
        for name, account in list(self._accounts.items()):
            organisation = self._lookup(name)
            if organisation is None or not organisation.is_limited:
                del self._accounts[name]
                continue
            is_full = account.balance(now) >= account.limit.burst - ROUNDING_TOLERANCE
            if is_full and now - account.used_at >= FORGET_DELAY:
                del self._accounts[name]
        self._handed = {
            name: kept for name, kept in self._handed.items() if now - kept[1] <= TAKEOVER_DELAY
        }
