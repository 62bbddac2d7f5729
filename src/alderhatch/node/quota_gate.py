"""Admits requests of organisations within their quotas, which hold over all hosts together."""

from __future__ import annotations

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.forwarding.caller_hosts import HostRecord
from ..core.forwarding.organisation import Organisation
from ..core.forwarding.quota_allowance import ASK_TIMEOUT, Ask, QuotaToken
from ..core.forwarding.quota_host import QuotaHost, QuotaRefusal, RefusalReason, Verdict
from ..errors import AlderhatchError, ErrorKind, Failure
from ..log import log_event
from ..log_events import LogEvent
from .leader_confirmations import LeaderConfirmations
from .node_state import NodeState
from .quota_client import QuotaClient
from .quota_log import QuotaLog

UPDATE_INTERVAL: Millis = 100.0
"""How often the hosts and the leader's confirmations are applied, and charges that owners did not
count are sent again."""
UPDATES_PER_FLUSH = 10
"""Refusals are logged once a second."""
FORGET_INTERVAL: Millis = 10 * SECOND


class QuotaGate:
    """Takes a token of an organisation's quota for each request that runs at this host.

    Args:
        state: The node's state, for the hosts.
        quotas: Decides.
        client: Charges the owners.
        confirmations: Tells how recently the leader has confirmed this host.
        log: Logs and counts the decisions.
    """

    def __init__(
        self,
        state: NodeState,
        quotas: QuotaHost,
        client: QuotaClient,
        confirmations: LeaderConfirmations,
        log: QuotaLog,
    ) -> None:
        self._state = state
        self._quotas = quotas
        self._client = client
        self._confirmations = confirmations
        self._log = log
        self._clock = LoopClock()
        self._hosts: list[HostRecord] = []
        """The list that was applied last."""
        self._active_hosts: list[HostRecord] = []

    async def run(self) -> None:
        """Keep the decisions up to date until cancelled."""
        self._quotas.owners.begin(self._clock.now())
        updates = 0
        forgotten_at = self._clock.now()
        while True:
            self.update()
            for owner in self._quotas.owners_to_charge(self._clock.now()):
                self._client.send(owner)
            updates += 1
            now = self._clock.now()
            if updates % UPDATES_PER_FLUSH == 0:
                self._log.flush(now - self._confirmations.confirmed_at(now))
            if now - forgotten_at >= FORGET_INTERVAL:
                forgotten_at = now
                self._quotas.forget_idle(now)
                self._client.forget_lost()
            await trio.sleep(UPDATE_INTERVAL / SECOND)

    def refresh(self) -> None:
        """Apply the leader's last confirmation, and its last list of hosts if it has changed.

        Before a confirmation is used, the list of hosts that the leader sent before it must be in
        use. Otherwise two hosts could grant tokens of the same quota.
        """
        state = self._state
        if state.hosts is not self._hosts or state.caller_hosts is not self._active_hosts:
            self.update()
            return
        now = self._clock.now()
        self._quotas.owners.confirm(self._confirmations.confirmed_at(now), now)

    def update(self) -> None:
        """Apply the leader's last list of hosts and its last confirmation."""
        now = self._clock.now()
        state = self._state
        self._hosts = state.hosts
        self._active_hosts = state.caller_hosts
        hosts = [host.name for host in state.hosts if host.serving]
        active = {host.name for host in state.caller_hosts}
        confirmed_at = self._confirmations.confirmed_at(now)
        before = self._quotas.owners.hosts
        leader_since = state.leader_since
        handed = self._quotas.set_hosts(hosts, active, confirmed_at, now, leader_since)
        for owner, balances in handed.items():
            self._client.hand_over(owner, balances)
        if state.organisations is not None and self._quotas.owners.hosts != before:
            count = sum(len(balances) for balances in handed.values())
            log_event(LogEvent.QUOTA_OWNERS_CHANGED, hosts=len(hosts), handed_over=count)

    async def admit(self, organisation: Organisation, deadline: Millis) -> QuotaToken | None:
        """Take a token for a request that is about to run.

        Args:
            organisation: The organisation of the request.
            deadline: When the caller stops waiting, on the loop's clock.

        Returns:
            The token, to be given back if the request does not run; None if there is no quota.

        Raises:
            AlderhatchError: With kind ``caller_limit`` if the quota is exhausted.
        """
        if not organisation.is_limited:
            return None
        began = self._clock.now()
        self.refresh()
        answered = trio.Event()
        verdict = self._quotas.decide(organisation, began, answered.set)
        if isinstance(verdict, Ask):
            verdict = await self._wait(organisation, verdict, answered, deadline)
        elif isinstance(verdict, QuotaToken):
            self._client.send_soon(verdict)
        if isinstance(verdict, QuotaRefusal):
            self._log.record_refused(organisation, verdict)
            raise AlderhatchError(_failure(organisation, verdict))
        self._log.record_admitted(verdict.source, self._clock.now() - began)
        return verdict

    async def _wait(
        self, organisation: Organisation, ask: Ask, answered: trio.Event, deadline: Millis
    ) -> Verdict:
        self._client.send(ask.owner)
        timeout = min(ASK_TIMEOUT, deadline - self._clock.now())
        try:
            with trio.move_on_after(max(0.0, timeout) / SECOND):
                await answered.wait()
        except trio.Cancelled:
            verdict = self._quotas.conclude(organisation, ask, self._clock.now())
            if isinstance(verdict, QuotaToken):
                self._quotas.give_back(verdict)
            raise
        return self._quotas.conclude(organisation, ask, self._clock.now())

    def give_back(self, token: QuotaToken) -> None:
        """Return the token of a request that has not run."""
        self._quotas.give_back(token)


def _failure(organisation: Organisation, refusal: QuotaRefusal) -> Failure:
    if refusal.reason is RefusalReason.EXHAUSTED:
        message = f"the quota of {organisation.name!r} is used up"
    else:
        message = f"the owner of the quota of {organisation.name!r} can't be reached"
    return Failure(ErrorKind.CALLER_LIMIT, message, None, refusal.retry_after)
