"""Translates updates from control into events of the core, and effects of the core into calls."""

from __future__ import annotations

import uuid
from functools import partial

import trio

from ..clock import LoopClock, Millis
from ..core.control.entry_lease import EntryIdentity
from ..core.control.operations import ClaimStatus
from ..core.entry_events import (
    BudgetsChanged,
    Claim,
    ClaimDecided,
    ClaimRun,
    LeaseChanged,
    RecordOutcome,
    ReportCrash,
    RulesChanged,
    ServersLeaving,
)
from ..errors import AlderhatchError, RunStatus
from .address_book import EntryAddress
from .control_client import ControlClient
from .control_hook import ControlEffect, EntryHooks
from .owner_client import OwnerAddress

CONTROL_SOURCE = "control"
POLL_INTERVAL: Millis = 50.0
LEAVE_TIMEOUT: Millis = 2000.0
NOT_SERVING: Millis = 0.0
MIN_REQUESTS_VIA_OWNERS = 4
"""Minimum number of this entry's requests that may be in flight at a server through its owners,
regardless of the number of entries; the owners refuse requests that would overload the server."""

_CLAIM_DECISIONS = {
    ClaimStatus.GRANTED: Claim.GRANTED,
    ClaimStatus.STORED: Claim.DONE,
    ClaimStatus.IN_PROGRESS: Claim.IN_PROGRESS,
    ClaimStatus.OUTCOME_UNKNOWN: Claim.OUTCOME_UNKNOWN,
    ClaimStatus.REUSED: Claim.ID_REUSED,
    ClaimStatus.TOO_OLD: Claim.ID_TOO_OLD,
}


class ControlLink:
    """The entry's link to the control hosts.

    Args:
        entry: The entry.
        secret: The secret shared by all processes of the tier.
    """

    def __init__(self, entry: EntryHooks, secret: bytes) -> None:
        self._entry = entry
        self._secret = secret
        self._clock = LoopClock()
        self._client: ControlClient | None = None
        self._nursery: trio.Nursery | None = None
        self._lease: LeaseChanged | None = None
        self._revision = 0
        self._leaving: frozenset[str] = frozenset()
        self._budgets: BudgetsChanged | None = None

    @property
    def client(self) -> ControlClient:
        """The client; available once ``run`` has started."""
        assert self._client is not None
        return self._client

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Maintain the link until cancelled."""
        cfg = self._entry.cfg
        links = (cfg.links.address, self._entry.link_port) if cfg.links is not None else ("", 0)
        identity = EntryIdentity(
            cfg.name, uuid.uuid4().hex, cfg.zone, cfg.callers.address, self._entry.port, *links
        )
        self._client = ControlClient(identity, cfg.controls, self._secret, self._clock)
        # Before the first lease, the core must not treat the entry as one without control.
        self._entry.feed(LeaseChanged(NOT_SERVING, {}, frozenset()))
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self._client.run)
            task_status.started()
            while True:
                self._apply_view()
                await self._client.changed.wait_for(POLL_INTERVAL)

    async def wait_share(self) -> None:
        """Wait for a valid lease with a share of the servers' connections."""
        await self.client.wait_ready()

    def on_servers_changed(self) -> None:
        """Handle a changed shard map, so that new servers get their shares."""
        if self._client is not None:
            self._apply_view()

    def _apply_view(self) -> None:
        """Pass the changes of the view to the core and the entry."""
        view = self.client.view
        if view.revision > self._revision:
            self._revision = view.revision
            self._entry.feed(RulesChanged(view.revision, view.rules))
        budgets = BudgetsChanged(view.settings.hedge_budget, view.settings.retry_budget)
        if view.revision and budgets != self._budgets:
            self._budgets = budgets
            self._entry.feed(budgets)
        if self.client.leaving_server_ids != self._leaving:
            self._leaving = self.client.leaving_server_ids
            self._entry.feed(ServersLeaving(CONTROL_SOURCE, self._leaving))
        self._set_owners()
        self._apply_lease()
        self._entry.set_roster(
            EntryAddress(row.address, row.port, row.zone, row.leaving)
            for row in view.roster.values()
        )
        if self.client.stop_planned:
            self._entry.request_stop()

    def _apply_lease(self) -> None:
        shares = {
            server.server_id: self.client.connection_limit(server)
            for server in self._entry.known_servers()
        }
        requests = self._request_limits(shares)
        quarantined = self.client.view.quarantines
        lease = LeaseChanged(
            self.client.serve_until, requests, quarantined, None if requests is shares else shares
        )
        if lease != self._lease:
            self._lease = lease
            self._entry.feed(lease)
        if self._entry.within_shares():
            self.client.confirm_shares()

    def _set_owners(self) -> None:
        owners = self._entry.owners
        if owners is None:
            return
        rows = self.client.view.roster.values()
        places = {row.name: OwnerAddress(row.link_address, row.link_port) for row in rows}
        servers = {server.server_id: server for server in self._entry.known_servers()}

        def owners_of(server_id: str) -> tuple[str, ...]:
            server = servers.get(server_id)
            return () if server is None else self.client.owners(server)

        owners.set_owners(
            {owner: place for owner, place in places.items() if place.port}, owners_of
        )

    def _request_limits(self, shares: dict[str, int]) -> dict[str, int]:
        """Return the limits of requests in flight per server, including those through owners."""
        owners = self._entry.owners
        if owners is None or not self.client.share:
            return shares
        entries = max(1, len(self.client.view.roster))
        limits = {
            server.server_id: max(MIN_REQUESTS_VIA_OWNERS, server.max_connections // entries)
            for server in self._entry.known_servers()
            if not shares[server.server_id] and owners.can_reach(server.server_id)
        }
        return shares | limits if limits else shares

    def execute(self, effect: ControlEffect) -> None:
        """Start to execute an effect of the core."""
        match effect:
            case ClaimRun():
                assert self._nursery is not None
                self._nursery.start_soon(partial(self._run_claim, effect))
            case RecordOutcome(ran=RunStatus.NOT_RUN, caller=caller, request_id=request_id):
                self.client.release_claim(caller, request_id)
            case RecordOutcome(caller=caller, request_id=request_id, outcome=outcome):
                self.client.record_outcome(caller, request_id, outcome)
            case ReportCrash(fingerprint=fingerprint, server_id=server_id):
                self.client.report_crash(fingerprint, server_id)

    async def _run_claim(self, claim: ClaimRun) -> None:
        try:
            answer = await self.client.claim(claim.caller, claim.request_id, claim.fingerprint)
        except AlderhatchError:
            self._entry.feed(ClaimDecided(claim.query, Claim.UNAVAILABLE))
            return
        decision = _CLAIM_DECISIONS.get(answer.status, Claim.UNAVAILABLE)
        self._entry.feed(ClaimDecided(claim.query, decision, answer.outcome))

    async def leave(self) -> None:
        """Deregister, so that the other entries get this entry's share immediately."""
        await self.client.leave(LEAVE_TIMEOUT)
