"""Server for the links of entries and of other control hosts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import trio

from ..clock import SECOND, Millis
from ..core.control.lease_messages import (
    Grant,
    GrantReply,
    Nudge,
    OperationAnswers,
    Operations,
    OperationsFailed,
    RelayedGrants,
    RelayedRenewals,
    RelayFailed,
    Renewal,
    RenewalFailed,
)
from ..core.control.operations import (
    OPERATIONS,
    Claim,
    RecordOutcome,
    ReleaseClaim,
    RemoveEntries,
    ReportCrash,
)
from ..core.control.renewal_interval import min_renewal_interval
from ..errors import AlderhatchError, ErrorKind
from ..link import Link, LinkClosedError
from ..log import log_event
from ..log_events import LogEvent
from .control_host import ControlHost

APPLY_TIMEOUT: Millis = 1 * SECOND
"""How long a follower waits to apply the version of a grant before it refuses the renewal."""
MAX_MESSAGES_IN_PROGRESS = 256
"""Messages of one link that are handled at the same time; further ones stay unread."""
MAX_PUSHED_BYTES = 4096
"""Larger updates are sent with the next grant only, which may go out at the same moment."""
NO_GRANT = Grant(-1, 0.0, 0, 0, "")
"""Placeholder in a batch of grants for a renewal that gets no answer."""


class _SentVersion:
    """The newest version that an entry was sent or notified of."""

    def __init__(self, version: int) -> None:
        self.version = version


_OnMessage: TypeAlias = Callable[[Link, object, _SentVersion], Awaitable[None]]


class LinkServer:
    """Serves each link according to the authenticated role of its peer."""

    def __init__(self, host: ControlHost) -> None:
        self._host = host

    async def handle(self, link: Link) -> None:
        """Serve one link until it closes."""
        match link.peer.role:
            case "entry":
                await self._serve(link, self._on_entry_message)
            case "relay":
                await self._serve(link, self._on_relay_message)
            case "control":
                await self._host.log.serve_peer(link)
            case role:
                log_event(LogEvent.LINK_ROLE_REFUSED, peer=link.peer.name, role=role)

    async def _serve(self, link: Link, on_message: _OnMessage) -> None:
        slots = trio.Semaphore(MAX_MESSAGES_IN_PROGRESS)
        async with trio.open_nursery() as nursery:
            sent = _SentVersion(self._host.state.feed.version)
            if link.peer.role == "entry":
                nursery.start_soon(self._push_updates, link, sent)
            try:
                while True:
                    message = await link.receive()
                    await slots.acquire()
                    nursery.start_soon(_handle_message, on_message, link, message, sent, slots)
            except LinkClosedError:
                nursery.cancel_scope.cancel()

    async def _push_updates(self, link: Link, sent: _SentVersion) -> None:
        """Notify an entry of new versions, at most once per minimum renewal interval."""
        next_push_at = 0.0
        try:
            while True:
                state = self._host.state
                if state.feed.version <= sent.version:
                    await self._host.observed.version_changed.wait()
                    continue
                if trio.current_time() < next_push_at:
                    await trio.sleep_until(next_push_at)
                    continue
                updates = state.feed.since(sent.version) or []
                if sum(map(len, updates)) > MAX_PUSHED_BYTES:
                    updates = []
                sent.version = state.feed.version
                interval = min_renewal_interval(len(state.hosts.entries))
                next_push_at = trio.current_time() + interval / SECOND
                await link.send(Nudge(sent.version, updates))
        except LinkClosedError:
            return

    async def _on_entry_message(self, link: Link, message: object, sent: _SentVersion) -> None:
        match message:
            case Renewal() if message.name == link.peer.name:
                await self._renew(link, message, sent)
            case Operations(number, operations):
                refusal_reason = _find_refusal_reason(operations, link.peer.name)
                await self._submit(link, number, operations, refusal_reason)
            case _:
                log_event(LogEvent.LINK_ROLE_REFUSED, peer=link.peer.name, role="entry")
                await link.aclose()

    async def _renew(self, link: Link, renewal: Renewal, sent: _SentVersion) -> None:
        try:
            term, grant = await self._host.renew(renewal)
        except AlderhatchError as exc:
            await link.send(RenewalFailed(renewal.sequence, exc.failure.message))
            return
        if grant is None:
            return
        if not await self._host.observed.wait_for_version(grant.version, APPLY_TIMEOUT):
            await link.send(
                RenewalFailed(
                    renewal.sequence, "this control host has not applied the granted version yet"
                )
            )
            return
        sent.version = max(sent.version, self._host.state.feed.version)
        updates = self._host.state.updates_since(renewal.version)
        await link.send(GrantReply(term, grant, updates))

    async def _submit(
        self, link: Link, number: int, operations: list[bytes], refusal_reason: str | None
    ) -> None:
        if refusal_reason is not None:
            log_event(LogEvent.LINK_ROLE_REFUSED, peer=link.peer.name, why=refusal_reason)
            await link.send(OperationsFailed(number, str(ErrorKind.FORBIDDEN), refusal_reason))
            return
        try:
            answers = await self._host.submit_operations(operations)
        except AlderhatchError as exc:
            failure = exc.failure
            await link.send(OperationsFailed(number, str(failure.kind), failure.message))
            return
        await link.send(OperationAnswers(number, answers))

    async def _on_relay_message(self, link: Link, message: object, sent: _SentVersion) -> None:
        match message:
            case RelayedRenewals(number, renewals):
                await link.send(self._grant_relayed(number, renewals))
            case Operations(number, operations):
                await self._submit_locally(link, number, operations)
            case _:
                log_event(LogEvent.LINK_ROLE_REFUSED, peer=link.peer.name, role="relay")
                await link.aclose()

    def _grant_relayed(self, number: int, renewals: list[Renewal]) -> RelayedGrants | RelayFailed:
        grants: list[Grant] = []
        term = 0
        try:
            for renewal in renewals:
                term, grant = self._host.renew_locally(renewal)
                grants.append(grant or NO_GRANT)
        except AlderhatchError as exc:
            return RelayFailed(number, exc.failure.message)
        return RelayedGrants(number, term, grants)

    async def _submit_locally(self, link: Link, number: int, operations: list[bytes]) -> None:
        try:
            answers = await self._host.submit_operations_locally(operations)
        except AlderhatchError as exc:
            failure = exc.failure
            await link.send(OperationsFailed(number, str(failure.kind), failure.message))
            return
        await link.send(OperationAnswers(number, answers))


def _find_refusal_reason(operations: list[bytes], entry: str) -> str | None:
    """Return why an entry may not submit these operations, or None if it may."""
    for data in operations:
        try:
            operation = OPERATIONS.decode(data)
        except AlderhatchError as exc:
            return exc.failure.message
        match operation:
            case Claim(entry=owner) | ReportCrash(entry=owner) if owner == entry:
                continue
            case RecordOutcome() | ReleaseClaim():
                continue
            case RemoveEntries(entries) if all(key.name == entry for key in entries):
                continue
            case _:
                return f"operation {type(operation).__name__} is not permitted for this entry"
    return None


async def _handle_message(
    on_message: _OnMessage, link: Link, message: object, sent: _SentVersion, slots: trio.Semaphore
) -> None:
    try:
        await on_message(link, message, sent)
    except LinkClosedError:
        return
    finally:
        slots.release()
