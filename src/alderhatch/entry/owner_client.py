"""A front's side: sends shard requests through the owners of servers that it has no share of."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import partial
from typing import NamedTuple

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..core.entry_events import AttemptFault, SendShard
from ..http.exchange import HttpReply
from ..link import LinkClosedError, Peer, open_link
from ..log import log_event
from ..log_events import LogEvent
from ..loop_tasks import LoopTasks
from .owner_link import OwnerCallError, OwnerLink
from .owner_messages import (
    ENTRY_ROLE,
    MAX_BODY_BYTES,
    MAX_IN_FLIGHT,
    OWNER_MESSAGES,
    Look,
    ShardCall,
)

PATH_COST: Millis = 2.0
"""What the way over a link takes, there and back; the owner gets that much less time."""
DIAL_TIMEOUT: Millis = 500.0
"""An owner that takes longer to accept a link is passed over."""
DIAL_PAUSE: Millis = 1000.0
UNOPENED = 2 * MAX_IN_FLIGHT
"""The load that a link without an answer yet is held to have: any other owner goes first."""


class OwnerAddress(NamedTuple):
    """Where an entry takes links of others."""

    address: str
    port: int


class OwnerTraffic(NamedTuple):
    """What went over links to owners."""

    messages: int
    """Messages sent."""
    sent_bytes: int
    received_bytes: int


_LINK_FAULTS = (
    LinkClosedError,
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class OwnerClient:
    """Keeps a link to each owner that is needed, and picks one of a server's owners for a call.

    Args:
        name: This entry's name.
        secret: The secret shared by our own processes.
        silence: How long an owner with calls of ours may say nothing, in milliseconds.
    """

    def __init__(self, name: str, secret: bytes, silence: Millis) -> None:
        self._me = Peer(name, ENTRY_ROLE)
        self._secret = secret
        self._silence = silence
        self._clock = LoopClock()
        self._codec = Codec(*OWNER_MESSAGES)
        self._owners: Callable[[str], Sequence[str]] = lambda server_id: ()
        self._places: Mapping[str, OwnerAddress] = {}
        self._links: dict[str, OwnerLink] = {}
        self._dialled: dict[str, trio.CancelScope] = {}
        self._dial_after: dict[str, Millis] = {}
        self._tasks = LoopTasks()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Keep the links until cancelled."""
        await self._tasks.run(task_status)

    def set_owners(
        self, places: Mapping[str, OwnerAddress], owners: Callable[[str], Sequence[str]]
    ) -> None:
        """Take where entries take links, and who owns a server by its id."""
        self._places = places
        self._owners = owners
        for name, scope in list(self._dialled.items()):
            if name not in places:
                scope.cancel()

    def can_reach(self, server_id: str) -> bool:
        """Return whether some other entry owns a server."""
        return any(name in self._places for name in self._owners(server_id))

    @property
    def traffic(self) -> OwnerTraffic:
        """What went over the links that are open."""
        links = [(one.messages, one.link) for one in self._links.values() if one.link is not None]
        return OwnerTraffic(
            sum(messages for messages, _ in links),
            sum(link.sent_bytes for _, link in links),
            sum(link.received_bytes for _, link in links),
        )

    @property
    def open_links(self) -> dict[str, int]:
        """The owners that links are open to, with the calls that have no answer yet."""
        return {name: one.in_flight for name, one in self._links.items() if one.link is not None}

    async def exchange(self, send: SendShard, deadline: Millis) -> HttpReply:
        """Send a shard request through an owner of its server.

        Args:
            send: What the core wants sent.
            deadline: The point in time at which its answer is of no use any more.

        Raises:
            OwnerCallError: If there is no response of the server.
        """
        if len(send.request.body) > MAX_BODY_BYTES:
            raise OwnerCallError(AttemptFault.NOT_SENT)

        def make(number: int) -> ShardCall:
            return ShardCall(
                number,
                send.server_id,
                send.upstream,
                send.shard,
                *send.snapshot,
                deadline - self._clock.now() - PATH_COST,
                send.request_id,
                send.request.request_id,
                send.request.kind,
                send.request.idempotent,
                0,
            )

        return await self._call(send.server_id, make, send.request.body)

    async def fetch_path(self, server_id: str, path: str, timeout: Millis) -> HttpReply:
        """Read a path of a server through one of its owners.

        Raises:
            OwnerCallError: If there is no response in time.
        """
        with trio.move_on_after(timeout / SECOND):
            return await self._call(server_id, lambda number: Look(number, server_id, path), b"")
        raise OwnerCallError(AttemptFault.SILENT)

    async def _call(
        self, server_id: str, make: Callable[[int], ShardCall | Look], body: bytes
    ) -> HttpReply:
        fault = AttemptFault.NOT_SENT
        for name in self._by_load(self._owners(server_id)):
            try:
                return await self._link(name).call(make, body)
            except OwnerCallError as exc:
                # Nothing of it ran or is going to, so another owner may have it at once.
                if exc.fault is not AttemptFault.NOT_SENT:
                    raise
                fault = exc.fault
        raise OwnerCallError(fault)

    def _by_load(self, names: Iterable[str]) -> list[str]:
        known = [name for name in names if name in self._places and name != self._me.name]
        return sorted(known, key=self._load)

    def _load(self, name: str) -> int:
        # Each owner is dialled once it is known to be of use. Dialled only when the first one is
        # gone, the second one would cost the queries of that moment the time of a dial.
        link = self._links.get(name) or self._dial(name)
        if link is None or link.link is None:
            return UNOPENED
        return link.in_flight

    def _link(self, name: str) -> OwnerLink:
        link = self._links.get(name) or self._dial(name)
        if link is None:
            raise OwnerCallError(AttemptFault.NOT_SENT)
        return link

    def _dial(self, name: str) -> OwnerLink | None:
        if not self._tasks.running or self._clock.now() < self._dial_after.get(name, 0.0):
            return None
        link = self._links[name] = OwnerLink(self._silence)
        self._tasks.start(partial(self._keep, name, link))
        return link

    async def _keep(self, name: str, link: OwnerLink) -> None:
        """Dial an owner once and use the link until it ends; the next call dials anew."""
        address, port = self._places[name]
        try:
            with trio.move_on_after(DIAL_TIMEOUT / SECOND) as scope:
                self._dialled[name] = scope
                async with open_link(address, port, self._codec, self._secret, self._me) as opened:
                    scope.deadline = math.inf
                    await link.run(opened)
        except* _LINK_FAULTS as group:
            log_event(LogEvent.OWNER_LINK_LOST, owner=name, why=str(group.exceptions[0]))
        finally:
            self._links.pop(name, None)
            self._dialled.pop(name, None)
            self._dial_after[name] = self._clock.now() + DIAL_PAUSE
            link.end()
