"""The link over which a control host relays requests to the leader."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import trio

from ..clock import SECOND, Millis
from ..codec import Codec
from ..core.control.lease_messages import (
    Grant,
    OperationAnswers,
    Operations,
    OperationsFailed,
    RelayedGrants,
    RelayedRenewals,
    RelayFailed,
    Renewal,
)
from ..errors import AlderhatchError, ErrorKind, Failure
from ..link import Link, LinkClosedError, Peer, open_link
from ..signal import Signal

LEADER_CHECK_INTERVAL: Millis = 250.0
"""Longest time between two checks for a new leader if no role change is notified."""
REDIAL_INTERVAL: Millis = 20.0
RENEWAL_BATCH_DELAY: Millis = 10.0
"""How long renewals are collected before they are relayed in one batch."""
ANSWER_TIMEOUT: Millis = 1500.0
"""A link is closed if relayed renewals get no answer within this time."""
MAX_BATCH_RENEWALS = 512
MAX_WAITING_RENEWALS = 4096


class LeaderAddress(NamedTuple):
    """The address on which the leader accepts links."""

    name: str
    address: str
    port: int


class GrantResult(NamedTuple):
    """The leader's answer to one relayed renewal."""

    term: int
    grant: Grant | None


@dataclass(slots=True, eq=False)
class _Call:
    done: trio.Event = field(default_factory=trio.Event)
    reply: Any = None


class LeaderLink:
    """A link to the leader, reopened when it breaks or another host becomes the leader.

    Nothing is sent twice: a renewal states the entry's connection share. If it reached an old
    leader and were repeated to a new one, that statement might no longer be true.
    """

    def __init__(
        self,
        me: str,
        codec: Codec,
        secret: bytes,
        find_leader: Callable[[], LeaderAddress | None],
        role_changed: Signal,
    ) -> None:
        """Create the link; ``run`` opens it.

        Args:
            me: This host's name.
            codec: The codec of the link's messages.
            secret: The secret that the project's processes share.
            find_leader: Returns the leader, or None if it is unknown or this host.
            role_changed: Notified when the leader may have changed.
        """
        self._own_peer = Peer(me, "relay")
        self._codec = codec
        self._secret = secret
        self._find_leader = find_leader
        self._role_changed = role_changed
        self._link: Link | None = None
        self._calls: dict[int, _Call] = {}
        self._last_number = 0
        self._renewals: list[tuple[Renewal, _Call]] = []
        self._renewals_added = Signal()

    async def run(self) -> None:
        """Maintain a link to the current leader until cancelled."""
        while True:
            leader = self._find_leader()
            if leader is None:
                await self._role_changed.wait_for(LEADER_CHECK_INTERVAL)
                continue
            await self._run_link(leader)
            await trio.sleep(REDIAL_INTERVAL / SECOND)

    async def renew(self, renewal: Renewal) -> GrantResult:
        """Relay a renewal and return the leader's answer.

        Raises:
            AlderhatchError: ``no_leader`` if no leader answered.
        """
        if self._link is None or len(self._renewals) >= MAX_WAITING_RENEWALS:
            raise _no_leader_error("no link to the leader, or too many renewals are waiting")
        call = _Call()
        self._renewals.append((renewal, call))
        self._renewals_added.notify()
        await call.done.wait()
        if call.reply is None:
            raise _no_leader_error("the leader did not answer the renewal")
        result: GrantResult = call.reply
        return result

    async def submit_operations(self, operations: list[bytes]) -> list[bytes]:
        """Relay operations for the log and return their encoded answers.

        Raises:
            AlderhatchError: ``no_leader`` if the operations will certainly not be committed,
                ``change_unknown`` if they may or may not be, or the leader's own error.
        """
        link = self._link
        if link is None:
            raise _no_leader_error("no link to the leader")
        call, number = self._new_call()
        try:
            await link.send(Operations(number, operations))
            await call.done.wait()
        except LinkClosedError:
            call.reply = None
        finally:
            self._calls.pop(number, None)
        match call.reply:
            case OperationAnswers(answers=answers):
                return answers
            case OperationsFailed(kind=kind, message=message):
                raise AlderhatchError(Failure(ErrorKind(kind), message))
            case _:
                message = "the link to the leader closed before the answer arrived"
                raise AlderhatchError(Failure(ErrorKind.CHANGE_UNKNOWN, message))

    def _new_call(self) -> tuple[_Call, int]:
        self._last_number += 1
        call = _Call()
        self._calls[self._last_number] = call
        return call, self._last_number

    async def _run_link(self, leader: LeaderAddress) -> None:
        try:
            async with open_link(
                leader.address, leader.port, self._codec, self._secret, self._own_peer
            ) as link:
                self._link = link
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._receive_replies, link, nursery.cancel_scope)
                    nursery.start_soon(self._relay_renewals, link, nursery.cancel_scope)
                    await self._wait_while_leader(leader)
                    nursery.cancel_scope.cancel()
        except LinkClosedError:
            return
        finally:
            self._link = None
            self._fail_calls()

    async def _wait_while_leader(self, leader: LeaderAddress) -> None:
        while self._find_leader() == leader:
            await self._role_changed.wait_for(LEADER_CHECK_INTERVAL)

    def _fail_calls(self) -> None:
        for _, call in self._renewals:
            call.done.set()
        self._renewals.clear()
        for call in self._calls.values():
            call.done.set()
        self._calls.clear()

    async def _receive_replies(self, link: Link, scope: trio.CancelScope) -> None:
        try:
            while True:
                reply = await link.receive()
                call = self._calls.pop(getattr(reply, "number", -1), None)
                if call is not None:
                    call.reply = reply
                    call.done.set()
        except LinkClosedError:
            scope.cancel()

    async def _relay_renewals(self, link: Link, scope: trio.CancelScope) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                while not self._renewals:
                    await self._renewals_added.wait()
                await trio.sleep(RENEWAL_BATCH_DELAY / SECOND)
                batch = self._renewals[:MAX_BATCH_RENEWALS]
                del self._renewals[:MAX_BATCH_RENEWALS]
                nursery.start_soon(self._relay_batch, link, batch, scope)

    async def _relay_batch(
        self, link: Link, batch: list[tuple[Renewal, _Call]], scope: trio.CancelScope
    ) -> None:
        call, number = self._new_call()
        try:
            with trio.move_on_after(ANSWER_TIMEOUT / SECOND):
                await link.send(RelayedRenewals(number, [renewal for renewal, _ in batch]))
                await call.done.wait()
            if not call.done.is_set():
                # A connection can stop delivering permanently although the leader is up. If it were
                # kept open, every entry that renews over this host would lose its lease.
                scope.cancel()
        except LinkClosedError:
            scope.cancel()
        finally:
            self._calls.pop(number, None)
            _deliver_grants(batch, call.reply)


def _deliver_grants(batch: list[tuple[Renewal, _Call]], reply: object) -> None:
    grants: dict[tuple[str, int], Grant] = {}
    term = 0
    match reply:
        case RelayedGrants(term=term, grants=found) if len(found) == len(batch):
            pairs = zip(batch, found, strict=True)
            grants = {(relayed.name, relayed.sequence): grant for (relayed, _), grant in pairs}
        case RelayFailed() | _:
            pass
    for renewal, call in batch:
        grant = grants.get((renewal.name, renewal.sequence))
        if grant is not None:
            call.reply = GrantResult(term, grant if grant.sequence >= 0 else None)
        call.done.set()


def _no_leader_error(message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.NO_LEADER, message))
