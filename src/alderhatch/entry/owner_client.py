"""Sends requests for servers of which this entry has no share through their owners."""

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
from ..task_faults import TaskKind
from .owner_link import OwnerCallError, OwnerLink
from .owner_messages import (
    ENTRY_ROLE,
    MAX_BODY_BYTES,
    MAX_IN_FLIGHT,
    OWNER_MESSAGES,
    Look,
    ShardCall,
)

LINK_ROUND_TRIP: Millis = 2.0
"""The round-trip time allowed for the link; the owner gets that much less time."""
DIAL_TIMEOUT: Millis = 500.0
"""The maximum time for opening a link to an owner."""
REDIAL_DELAY: Millis = 1000.0
"""The minimum time from the end of a link to the next attempt to open it."""
UNOPENED_LINK_LOAD = 2 * MAX_IN_FLIGHT
"""The assumed load of a link that is not open yet, so that owners with open links come first."""


class OwnerAddress(NamedTuple):
    """Where an entry accepts links of other entries."""

    address: str
    port: int


class OwnerTraffic(NamedTuple):
    """The traffic on the open links to owners."""

    messages: int
    """The number of messages sent."""
    sent_bytes: int
    received_bytes: int


_LINK_FAULTS = (
    LinkClosedError,
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class OwnerClient:
    """Keeps links to owners and sends each call through the least loaded owner of its server.

    Args:
        name: This entry's name.
        secret: The secret shared by all processes of the tier.
        silence_timeout: How long an owner with unanswered calls may send nothing, in milliseconds.
    """

    def __init__(self, name: str, secret: bytes, silence_timeout: Millis) -> None:
        self._identity = Peer(name, ENTRY_ROLE)
        self._secret = secret
        self._silence_timeout = silence_timeout
        self._clock = LoopClock()
        self._codec = Codec(*OWNER_MESSAGES)
        self._owners: Callable[[str], Sequence[str]] = lambda server_id: ()
        self._addresses: Mapping[str, OwnerAddress] = {}
        self._links: dict[str, OwnerLink] = {}
        self._dial_scopes: dict[str, trio.CancelScope] = {}
        self._next_dial_at: dict[str, Millis] = {}
        self._tasks = LoopTasks(TaskKind.LINK)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the links until cancelled."""
        await self._tasks.run(task_status)

    def set_owners(
        self, addresses: Mapping[str, OwnerAddress], owners: Callable[[str], Sequence[str]]
    ) -> None:
        """Set the addresses and owners of servers, and end dials of entries without an address.

        Args:
            addresses: Where each entry accepts links, by entry name.
            owners: Returns the names of the entries that own a server, by server ID.
        """
        self._addresses = addresses
        self._owners = owners
        for name, scope in list(self._dial_scopes.items()):
            if name not in addresses:
                scope.cancel()

    def can_reach(self, server_id: str) -> bool:
        """Return whether an entry with a known address owns a server."""
        return any(name in self._addresses for name in self._owners(server_id))

    @property
    def traffic(self) -> OwnerTraffic:
        """The traffic on the links that are open."""
        links = [
            (entry_link.messages, entry_link.link)
            for entry_link in self._links.values()
            if entry_link.link is not None
        ]
        return OwnerTraffic(
            sum(messages for messages, _ in links),
            sum(link.sent_bytes for _, link in links),
            sum(link.received_bytes for _, link in links),
        )

    @property
    def open_links(self) -> dict[str, int]:
        """The number of unanswered calls for each owner with an open link."""
        return {
            name: entry_link.in_flight
            for name, entry_link in self._links.items()
            if entry_link.link is not None
        }

    async def exchange(self, send: SendShard, deadline: Millis) -> HttpReply:
        """Send a shard request through an owner of its server.

        Args:
            send: The shard request.
            deadline: When the answer becomes useless.

        Raises:
            OwnerCallError: If no response of the server arrives.
        """
        if len(send.request.body) > MAX_BODY_BYTES:
            raise OwnerCallError(AttemptFault.NOT_SENT)

        def build_message(number: int) -> ShardCall:
            return ShardCall(
                number,
                send.server_id,
                send.upstream,
                send.shard,
                *send.snapshot,
                deadline - self._clock.now() - LINK_ROUND_TRIP,
                send.request_id,
                send.request.request_id,
                send.request.kind,
                send.request.idempotent,
                0,
            )

        return await self._call(send.server_id, build_message, send.request.body)

    async def fetch_path(self, server_id: str, path: str, timeout: Millis) -> HttpReply:
        """Fetch a path of a server through one of its owners.

        Raises:
            OwnerCallError: If no response arrives in time.
        """
        with trio.move_on_after(timeout / SECOND):
            return await self._call(server_id, lambda number: Look(number, server_id, path), b"")
        raise OwnerCallError(AttemptFault.SILENT)

    async def _call(
        self, server_id: str, build_message: Callable[[int], ShardCall | Look], body: bytes
    ) -> HttpReply:
        fault = AttemptFault.NOT_SENT
        for name in self._sorted_by_load(self._owners(server_id)):
            try:
                return await self._link(name).call(build_message, body)
            except OwnerCallError as exc:
                # After NOT_SENT, the call has not run and never will, so another owner may be
                # tried.
                if exc.fault is not AttemptFault.NOT_SENT:
                    raise
                fault = exc.fault
        raise OwnerCallError(fault)

    def _sorted_by_load(self, names: Iterable[str]) -> list[str]:
        usable = [name for name in names if name in self._addresses and name != self._identity.name]
        return sorted(usable, key=self._load)

    def _load(self, name: str) -> int:
        # Links to all owners of a server are opened at the first call for it. If the second one
        # were dialled only after the loss of the first, queries would wait for the dial.
        link = self._links.get(name) or self._dial(name)
        if link is None or link.link is None:
            return UNOPENED_LINK_LOAD
        return link.in_flight

    def _link(self, name: str) -> OwnerLink:
        link = self._links.get(name) or self._dial(name)
        if link is None:
            raise OwnerCallError(AttemptFault.NOT_SENT)
        return link

    def _dial(self, name: str) -> OwnerLink | None:
        if not self._tasks.running or self._clock.now() < self._next_dial_at.get(name, 0.0):
            return None
        link = self._links[name] = OwnerLink(self._silence_timeout)
        self._tasks.start(partial(self._run_link, name, link))
        return link

    async def _run_link(self, name: str, link: OwnerLink) -> None:
        """Dial an owner once and run the link until it ends; a later call dials again."""
        address, port = self._addresses[name]
        try:
            with trio.move_on_after(DIAL_TIMEOUT / SECOND) as scope:
                self._dial_scopes[name] = scope
                async with open_link(
                    address, port, self._codec, self._secret, self._identity
                ) as opened:
                    scope.deadline = math.inf
                    await link.run(opened)
        except* _LINK_FAULTS as group:
            log_event(LogEvent.OWNER_LINK_LOST, owner=name, why=str(group.exceptions[0]))
        finally:
            self._links.pop(name, None)
            self._dial_scopes.pop(name, None)
            self._next_dial_at[name] = self._clock.now() + REDIAL_DELAY
            link.fail_all()
