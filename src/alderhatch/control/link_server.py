"""Serves the links of entries and of other control hosts."""

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
"""How long a follower may be behind the version that the leader asks an entry to have."""
MAX_CALLS = 256
"""Messages of one link that are being worked on; further ones wait unread."""
MAX_PUSHED_BYTES = 4096
"""News of more than this come with the grant only, which may go out at the same moment."""
NO_ANSWER = Grant(-1, 0.0, 0, 0, "")
"""Stands for a renewal that gets no answer among those that do."""


class _Told:
    """The newest version that an entry was sent or nudged about."""

    def __init__(self, version: int) -> None:
        self.version = version


_OnMessage: TypeAlias = Callable[[Link, object, _Told], Awaitable[None]]


class LinkServer:
    """Handles each link according to the role that its peer has proved."""

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
        room = trio.Semaphore(MAX_CALLS)
        async with trio.open_nursery() as nursery:
            told = _Told(self._host.state.feed.version)
            if link.peer.role == "entry":
                nursery.start_soon(self._nudge, link, told)
            try:
                while True:
                    message = await link.receive()
                    await room.acquire()
                    nursery.start_soon(_quietly, on_message, link, message, told, room)
            except LinkClosedError:
                nursery.cancel_scope.cancel()

    async def _nudge(self, link: Link, told: _Told) -> None:
        """Tell an entry of a newer version than it was sent, at once unless it just was told."""
        next_at = 0.0
        try:
            while True:
                state = self._host.state
                if state.feed.version <= told.version:
                    await self._host.observed.version_changed.wait()
                    continue
                if trio.current_time() < next_at:
                    await trio.sleep_until(next_at)
                    continue
                updates = state.feed.since(told.version) or []
                if sum(map(len, updates)) > MAX_PUSHED_BYTES:
                    updates = []
                told.version = state.feed.version
                gap = min_renewal_interval(len(state.hosts.entries))
                next_at = trio.current_time() + gap / SECOND
                await link.send(Nudge(told.version, updates))
        except LinkClosedError:
            return

    async def _on_entry_message(self, link: Link, message: object, told: _Told) -> None:
        match message:
            case Renewal() if message.name == link.peer.name:
                await self._renew(link, message, told)
            case Operations(number, operations):
                problem = _first_problem(operations, link.peer.name)
                await self._operate(link, number, operations, problem)
            case _:
                log_event(LogEvent.LINK_ROLE_REFUSED, peer=link.peer.name, role="entry")
                await link.aclose()

    async def _renew(self, link: Link, renewal: Renewal, told: _Told) -> None:
        try:
            term, grant = await self._host.renew(renewal)
        except AlderhatchError as exc:
            await link.send(RenewalFailed(renewal.sequence, exc.failure.message))
            return
        if grant is None:
            return
        if not await self._host.observed.wait_for_version(grant.version, APPLY_TIMEOUT):
            await link.send(RenewalFailed(renewal.sequence, "this control host is behind"))
            return
        told.version = max(told.version, self._host.state.feed.version)
        updates = self._host.state.updates_since(renewal.version)
        await link.send(GrantReply(term, grant, updates))

    async def _operate(
        self, link: Link, number: int, operations: list[bytes], problem: str | None
    ) -> None:
        if problem is not None:
            log_event(LogEvent.LINK_ROLE_REFUSED, peer=link.peer.name, why=problem)
            await link.send(OperationsFailed(number, str(ErrorKind.FORBIDDEN), problem))
            return
        try:
            answers = await self._host.submit_operations(operations)
        except AlderhatchError as exc:
            failure = exc.failure
            await link.send(OperationsFailed(number, str(failure.kind), failure.message))
            return
        await link.send(OperationAnswers(number, answers))

    async def _on_relay_message(self, link: Link, message: object, told: _Told) -> None:
        match message:
            case RelayedRenewals(number, renewals):
                await link.send(self._grant_all(number, renewals))
            case Operations(number, operations):
                await self._operate_here(link, number, operations)
            case _:
                log_event(LogEvent.LINK_ROLE_REFUSED, peer=link.peer.name, role="relay")
                await link.aclose()

    def _grant_all(self, number: int, renewals: list[Renewal]) -> RelayedGrants | RelayFailed:
        grants: list[Grant] = []
        term = 0
        try:
            for renewal in renewals:
                term, grant = self._host.renew_locally(renewal)
                grants.append(grant or NO_ANSWER)
        except AlderhatchError as exc:
            return RelayFailed(number, exc.failure.message)
        return RelayedGrants(number, term, grants)

    async def _operate_here(self, link: Link, number: int, operations: list[bytes]) -> None:
        try:
            answers = await self._host.submit_operations_locally(operations)
        except AlderhatchError as exc:
            failure = exc.failure
            await link.send(OperationsFailed(number, str(failure.kind), failure.message))
            return
        await link.send(OperationAnswers(number, answers))


def _first_problem(operations: list[bytes], entry: str) -> str | None:
    """Return why an entry may not ask for these operations, or None if it may."""
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
                return f"{type(operation).__name__} is not for this entry to ask for"
    return None


async def _quietly(
    on_message: _OnMessage, link: Link, message: object, told: _Told, room: trio.Semaphore
) -> None:
    try:
        await on_message(link, message, told)
    except LinkClosedError:
        return
    finally:
        room.release()
