"""What a host that does not lead passes on to the one that does."""

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

LOOK_INTERVAL: Millis = 250.0
"""How often a new leader is looked for if nothing tells of one."""
REDIAL_INTERVAL: Millis = 20.0
GATHER: Millis = 10.0
"""How long renewals are gathered before they are passed on together."""
ANSWER_TIMEOUT: Millis = 1500.0
"""A link on which nothing is answered for this long is taken as dead."""
MAX_BATCH = 512
MAX_WAITING = 4096


class LeaderAddress(NamedTuple):
    """Where the leader accepts links."""

    name: str
    address: str
    port: int


class GrantResult(NamedTuple):
    """The leader's answer to one renewal."""

    term: int
    grant: Grant | None


@dataclass(slots=True, eq=False)
class _Call:
    done: trio.Event = field(default_factory=trio.Event)
    reply: Any = None


class LeaderLink:
    """One link to the leader, opened again when it breaks or another host leads.

    Nothing is ever sent twice: a renewal that reached an old leader and is repeated to a new one
    would give its word on the entry's share when that may no longer be true.
    """

    def __init__(
        self,
        me: str,
        codec: Codec,
        secret: bytes,
        find_leader: Callable[[], LeaderAddress | None],
        role_changed: Signal,
    ) -> None:
        """Prepare; ``run`` opens the link.

        Args:
            me: This host's name.
            codec: The messages of the links.
            secret: The secret shared by our own processes.
            find_leader: Returns the leader, or None if none is known or this host leads.
            role_changed: Notified when another host may lead.
        """
        self._me = Peer(me, "relay")
        self._codec = codec
        self._secret = secret
        self._find_leader = find_leader
        self._role_changed = role_changed
        self._link: Link | None = None
        self._calls: dict[int, _Call] = {}
        self._number = 0
        self._renewals: list[tuple[Renewal, _Call]] = []
        self._gathered = Signal()

    async def run(self) -> None:
        """Keep a link to whichever host leads, until cancelled."""
        while True:
            leader = self._find_leader()
            if leader is None:
                await self._role_changed.wait_for(LOOK_INTERVAL)
                continue
            await self._use(leader)
            await trio.sleep(REDIAL_INTERVAL / SECOND)

    async def renew(self, renewal: Renewal) -> GrantResult:
        """Pass on a renewal.

        Raises:
            AlderhatchError: ``no_leader`` if no leader answered.
        """
        if self._link is None or len(self._renewals) >= MAX_WAITING:
            raise _no_leader("no link to a leader")
        call = _Call()
        self._renewals.append((renewal, call))
        self._gathered.notify()
        await call.done.wait()
        if call.reply is None:
            raise _no_leader("the leader did not answer")
        granted: GrantResult = call.reply
        return granted

    async def operate(self, operations: list[bytes]) -> list[bytes]:
        """Pass on operations for the log and return their encoded answers.

        Raises:
            AlderhatchError: ``no_leader`` if they were certainly not taken, ``change_unknown`` if
                they may be, or what the leader refused them with.
        """
        link = self._link
        if link is None:
            raise _no_leader("no link to a leader")
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
                message = "the link to the leader broke before the answer came"
                raise AlderhatchError(Failure(ErrorKind.CHANGE_UNKNOWN, message))

    def _new_call(self) -> tuple[_Call, int]:
        self._number += 1
        call = _Call()
        self._calls[self._number] = call
        return call, self._number

    async def _use(self, leader: LeaderAddress) -> None:
        try:
            async with open_link(
                leader.address, leader.port, self._codec, self._secret, self._me
            ) as link:
                self._link = link
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._read, link, nursery.cancel_scope)
                    nursery.start_soon(self._flush, link, nursery.cancel_scope)
                    await self._stay_with(leader)
                    nursery.cancel_scope.cancel()
        except LinkClosedError:
            return
        finally:
            self._link = None
            self._drop_calls()

    async def _stay_with(self, leader: LeaderAddress) -> None:
        while self._find_leader() == leader:
            await self._role_changed.wait_for(LOOK_INTERVAL)

    def _drop_calls(self) -> None:
        for _, call in self._renewals:
            call.done.set()
        self._renewals.clear()
        for call in self._calls.values():
            call.done.set()
        self._calls.clear()

    async def _read(self, link: Link, scope: trio.CancelScope) -> None:
        try:
            while True:
                reply = await link.receive()
                call = self._calls.pop(getattr(reply, "number", -1), None)
                if call is not None:
                    call.reply = reply
                    call.done.set()
        except LinkClosedError:
            scope.cancel()

    async def _flush(self, link: Link, scope: trio.CancelScope) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                while not self._renewals:
                    await self._gathered.wait()
                await trio.sleep(GATHER / SECOND)
                batch = self._renewals[:MAX_BATCH]
                del self._renewals[:MAX_BATCH]
                nursery.start_soon(self._relay, link, batch, scope)

    async def _relay(
        self, link: Link, batch: list[tuple[Renewal, _Call]], scope: trio.CancelScope
    ) -> None:
        call, number = self._new_call()
        try:
            with trio.move_on_after(ANSWER_TIMEOUT / SECOND):
                await link.send(RelayedRenewals(number, [renewal for renewal, _ in batch]))
                await call.done.wait()
            if not call.done.is_set():
                # The connection can go silent for good although the leader is well. Kept open, it
                # would cost every entry of this host its lease.
                scope.cancel()
        except LinkClosedError:
            scope.cancel()
        finally:
            self._calls.pop(number, None)
            _hand_out(batch, call.reply)


def _hand_out(batch: list[tuple[Renewal, _Call]], reply: object) -> None:
    grants: dict[tuple[str, int], Grant] = {}
    term = 0
    match reply:
        case RelayedGrants(term=term, grants=found) if len(found) == len(batch):
            pairs = zip(batch, found, strict=True)
            grants = {(r.name, r.sequence): grant for (r, _), grant in pairs}
        case RelayFailed() | _:
            pass
    for renewal, call in batch:
        grant = grants.get((renewal.name, renewal.sequence))
        if grant is not None:
            call.reply = GrantResult(term, grant if grant.sequence >= 0 else None)
        call.done.set()


def _no_leader(message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.NO_LEADER, message))
