"""Charges the owners of quotas for the requests that run at this host."""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import suppress
from typing import Any

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..core.forwarding.caller_hosts import HostRecord
from ..core.forwarding.quota_allowance import QuotaAllowances, QuotaToken, TokenSource
from ..core.forwarding.quota_owner import HandedBalance
from ..link import Link, LinkClosedError, Peer, open_link
from ..log import log_event
from ..log_events import LogEvent
from ..loop_tasks import LoopTasks
from ..signal import Signal
from ..task_faults import TaskKind
from .node_state import NodeState
from .quota_messages import (
    QUOTA_ROLE,
    HandedBalances,
    QuotaAnswers,
    QuotaCharges,
    log_refused_message,
)

BATCH_DELAY: Millis = 1.0
"""How long charges of requests that arrive together wait for each other."""
OPEN_TIMEOUT: Millis = 500.0
"""How long opening a link may take."""
SILENCE_TIMEOUT: Millis = 1000.0
"""An owner that answers nothing for so long is lost or suspended."""
IDLE_TIMEOUT: Millis = 60 * SECOND
"""A link without messages is closed after this time."""
REOPEN_DELAY: Millis = 200.0
"""How long after the loss of a link a new one to the same owner may be opened."""


class _QuotaLink:
    """A link to one owner."""

    def __init__(
        self,
        host: HostRecord,
        allowances: QuotaAllowances,
        start: int,
        open_args: tuple[Codec, bytes, Peer],
    ) -> None:
        self.host = host
        self.is_open = True
        """Whether the link is open or being opened."""
        self.closed_at: Millis = 0.0
        self.changed = Signal()
        """Notified when there is something to send."""
        self.handed: list[HandedBalance] = []
        """Balances to hand over."""
        self._allowances = allowances
        self._start = start
        self._open_args = open_args
        self._clock = LoopClock()
        self._has_more = True
        self._unanswered_since: Millis | None = None

    def wake(self) -> None:
        """Send all pending messages."""
        self._has_more = True
        self.changed.notify()

    async def run(self) -> None:
        """Run the link until it is lost or idle."""
        address = self.host.caller_address.rpartition(":")[0]
        why = ""
        try:
            scope = trio.CancelScope(deadline=trio.current_time() + OPEN_TIMEOUT / SECOND)
            with scope:
                async with open_link(address, self.host.link_port, *self._open_args) as link:
                    scope.deadline = float("inf")
                    why = await self._run_open(link)
            if scope.cancelled_caught:
                why = "link not opened before the timeout"
        except LinkClosedError as exc:
            why = str(exc)
        finally:
            self.is_open = False
            self.closed_at = self._clock.now()
            self._allowances.on_link_lost(self.host.name)
        if why:
            log_event(LogEvent.QUOTA_LINK_LOST, owner=self.host.name, why=why)

    async def _run_open(self, link: Link) -> str:
        why = "closed by the other host"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive, link, nursery.cancel_scope)
            # The nursery would turn the error into an exception group.
            with suppress(LinkClosedError):
                why = await self._send(link)
            nursery.cancel_scope.cancel()
        return why

    async def _send(self, link: Link) -> str:
        """Send messages; return why the link ended, or an empty string if it was idle."""
        for message in self._allowances.messages_to_resend(self.host.name):
            await self._send_message(link, QuotaCharges(self._start, *message))
        while True:
            if not self._has_more:
                is_idle = not await self.changed.wait_for(self._wait_time())
                if self._is_silent():
                    await link.abort()
                    return "no answer before the timeout"
                if is_idle and self._unanswered_since is None:
                    return ""
            self._has_more = False
            await trio.sleep(BATCH_DELAY / SECOND)
            if self.handed:
                handed, self.handed = self.handed, []
                await link.send(HandedBalances(handed))
            charges = self._allowances.take_message(self.host.name, self._clock.now())
            if charges is not None:
                await self._send_message(link, QuotaCharges(self._start, *charges))
                # It may have been set while the message was sent.
                self._has_more = self._has_more or self._allowances.has_asks(self.host.name)

    def _wait_time(self) -> Millis:
        return IDLE_TIMEOUT if self._unanswered_since is None else SILENCE_TIMEOUT

    def _is_silent(self) -> bool:
        since = self._unanswered_since
        return since is not None and self._clock.now() - since >= SILENCE_TIMEOUT

    async def _send_message(self, link: Link, message: tuple[Any, ...]) -> None:
        if self._unanswered_since is None:
            self._unanswered_since = self._clock.now()
        await link.send(message)

    async def _receive(self, link: Link, scope: trio.CancelScope) -> None:
        try:
            while True:
                message = await link.receive()
                self._unanswered_since = None
                if not isinstance(message, QuotaAnswers):
                    raise ValueError("type: unexpected message")
                now = self._clock.now()
                self._allowances.on_answers(self.host.name, message.number, message.answers, now)
        except LinkClosedError:
            scope.cancel()
        except ValueError as exc:
            log_refused_message(link.peer.name, message, exc)
            scope.cancel()


class QuotaClient:
    """Sends charges to owners over links that are opened on demand and kept.

    Args:
        state: The node's state, for the addresses of the hosts.
        allowances: Provides the charges to send, and applies the answers.
        start: Differs between the processes that run at this host one after the other.
        codec: Encodes the messages between hosts.
        secret: The secret that the hosts share.
    """

    def __init__(
        self,
        state: NodeState,
        allowances: QuotaAllowances,
        start: int,
        codec: Codec,
        secret: bytes,
    ) -> None:
        self._state = state
        self._allowances = allowances
        self._start = start
        self._open_args = (codec, secret, Peer(state.name, QUOTA_ROLE))
        self._clock = LoopClock()
        self._tasks = LoopTasks(TaskKind.LINK)
        self._links: dict[str, _QuotaLink] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the links until cancelled."""
        await self._tasks.run(task_status)

    def send(self, owner: str) -> None:
        """Send pending charges to an owner; if it can't be reached, requests go on without it."""
        link = self._link_to(owner)
        if link is None:
            self._allowances.on_link_lost(owner)
        else:
            link.wake()

    def send_soon(self, token: QuotaToken) -> None:
        """Charge the owner of a token that it has not confirmed yet."""
        if token.source is TokenSource.AHEAD:
            self.send(token.owner)

    def hand_over(self, owner: str, balances: Sequence[HandedBalance]) -> None:
        """Hand balances over to the next owner; they are lost if it can't be reached."""
        link = self._link_to(owner)
        if link is not None:
            link.handed.extend(balances)
            link.wake()

    def _link_to(self, owner: str) -> _QuotaLink | None:
        link = self._links.get(owner)
        if link is not None and link.is_open:
            return link
        if link is not None and self._clock.now() - link.closed_at < REOPEN_DELAY:
            return None
        host = next((one for one in self._state.hosts if one.name == owner), None)
        if host is None or not self._tasks.running:
            return None
        link = self._links[owner] = _QuotaLink(host, self._allowances, self._start, self._open_args)
        self._tasks.start(link.run)
        return link

    def forget_lost(self) -> None:
        """Forget closed links to hosts that are no longer listed."""
        names = {host.name for host in self._state.hosts}
        self._links = {
            name: link for name, link in self._links.items() if link.is_open or name in names
        }
