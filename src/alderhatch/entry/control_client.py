"""An entry's connection to control: its lease, what is in force, and the run ledger."""

from __future__ import annotations

import uuid
from collections.abc import Sequence
from typing import NamedTuple

import trio

from ..clock import SECOND, Clock, LoopClock, Millis
from ..codec import Codec
from ..core.control.entry_lease import EntryIdentity, EntryLease
from ..core.control.entry_view import EntryView
from ..core.control.feed import ControlPlace
from ..core.control.lease_messages import CONTROL_MESSAGES
from ..core.control.lease_table import SHARE_GRACE_MS
from ..core.control.operations import (
    OPERATIONS,
    Claim,
    ClaimAnswer,
    ClaimStatus,
    EntryKey,
    RecordOutcome,
    ReleaseClaim,
    RemoveEntries,
    ReportCrash,
)
from ..core.shard_map import Server
from ..errors import AlderhatchError, ErrorKind, Failure
from ..link import Link, LinkClosedError, Peer, open_link
from ..log import log_event
from ..log_events import LogEvent
from ..settings.models import NamedEndpoint
from ..signal import Signal
from ._control_calls import ControlCalls
from ._control_places import ControlPlaces
from ._control_session import ControlSession, Hurry
from ._owed_operations import OwedOperations

OPEN_TIMEOUT: Millis = 700.0
"""A control host that takes longer to accept a link is passed over."""
MAX_OPEN_TIMEOUT: Millis = 5.6 * SECOND
"""The timeout doubles up to this while no link opens.

When all entries connect at once, a busy control host accepts none of them in the short time, and
entries that gave up and came back for ever would keep it busy for good.
"""
NEXT_HOST_INTERVAL: Millis = 50.0
CLAIM_TIMEOUT: Millis = 2 * SECOND
CLAIM_RETRY: Millis = 50.0
WATCH_INTERVAL: Millis = 1 * SECOND
MAX_NAME_LENGTH = 256


class Traffic(NamedTuple):
    """Payload bytes of an entry's links to control."""

    sent: int
    received: int


class ControlClient:
    """Keeps the lease alive through one control host at a time.

    ``view`` is what is in force here; it only ever moves forward. ``changed`` is notified when the
    view, the lease or the share of connections has changed.
    """

    def __init__(
        self,
        me: EntryIdentity,
        controls: Sequence[NamedEndpoint],
        secret: bytes,
        clock: Clock | None = None,
    ) -> None:
        """Prepare; ``run`` connects.

        Args:
            me: This process of the entry.
            controls: Where control hosts accept links at the start; control tells of others.
            secret: The secret shared by our own processes.
            clock: Steady time; the loop's if none is given.
        """
        self._me = me
        self._secret = secret
        self._clock = clock or LoopClock()
        self._codec = Codec(*CONTROL_MESSAGES)
        self._lease = EntryLease(me)
        self._calls = ControlCalls()
        self._owed = OwedOperations(self._calls)
        self._hurry = Hurry()
        self._tokens: dict[tuple[str, str], str] = {}
        # Entries begin at different control hosts, so that no host serves all of them.
        self._places = ControlPlaces(controls, first=sum(me.name.encode()))
        self._served = False
        self._open_timeout = OPEN_TIMEOUT
        self.changed = Signal()
        """Notified when anything that this object shows has changed."""
        self.control_host: str | None = None
        """The control host that the open link leads to."""
        self._link: Link | None = None
        self._closed_bytes = Traffic(0, 0)

    # What is in force

    @property
    def view(self) -> EntryView:
        """Rules, settings, roster, quarantines and leaving servers in force here."""
        return self._lease.view

    @property
    def serve_until(self) -> Millis:
        """The point in time from which on no new request is taken, unless the lease is renewed."""
        return self._lease.serve_until

    @property
    def share(self) -> int:
        """The divisor of the connection shares that this entry obeys; 0 is no connection."""
        return self._lease.share

    @property
    def stop_planned(self) -> bool:
        """Whether an operator has planned that this entry stops or departs."""
        row = self.view.roster.get(self._me.name)
        return row is not None and row.leaving

    @property
    def leaving_server_ids(self) -> frozenset[str]:
        """The ids of servers that get no new work."""
        return frozenset(one.server for one in self.view.leaving)

    def may_serve(self) -> bool:
        """Return whether the lease is live at this moment."""
        return self._lease.may_serve(self._clock.now())

    def connection_limit(self, server: Server) -> int:
        """Return how many connections to keep to one server.

        While the share shrinks this already is the smaller number. Close what is over it, then
        call ``confirm_shares``.
        """
        return self._lease.connection_limit(server)

    def owners(self, server: Server) -> tuple[str, ...]:
        """Return the entries that may hold connections to a server, the surest first."""
        return self._lease.owners(server)

    def confirm_shares(self) -> None:
        """Tell control that no server has more connections than ``connection_limit``."""
        if self._lease.share_settled():
            self._hurry.request()

    @property
    def traffic(self) -> Traffic:
        """The payload bytes of all links so far, without the frames and headers round them."""
        link = self._link
        if link is None:
            return self._closed_bytes
        sent, received = self._closed_bytes
        return Traffic(sent + link.sent_bytes, received + link.received_bytes)

    # Work

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Keep the lease alive until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._owed.run)
            nursery.start_soon(self._watch)
            task_status.started()
            while True:
                over = trio.Event()
                # The next link is opened while the last one closes, which can take a second when
                # the other end is frozen; the lease would not outlast that.
                nursery.start_soon(self._use_next, over)
                await over.wait()
                await trio.sleep(NEXT_HOST_INTERVAL / SECOND)

    async def wait_ready(self) -> None:
        """Wait until the lease is live and there is a share of connections."""
        while not (self.may_serve() and self.share):
            await self.changed.wait_for(WATCH_INTERVAL)

    async def claim(
        self, caller: str, request_id: str, fingerprint: str, timeout: Millis = CLAIM_TIMEOUT
    ) -> ClaimAnswer:
        """Claim a request that may run at most once.

        Args:
            caller: Who sent it.
            request_id: The caller's id of it.
            fingerprint: A digest of its body.
            timeout: How long to try, in milliseconds.

        Returns:
            The ledger's answer. Only after ``granted`` may anything be sent; then either
            ``record_outcome`` or ``release_claim`` has to be called.

        Raises:
            AlderhatchError: ``ledger_unavailable`` if there is no answer in time; nothing may be
                sent then, and the claim is taken back behind the scenes.
        """
        if max(len(caller), len(request_id)) > MAX_NAME_LENGTH:
            message = f"over {MAX_NAME_LENGTH} characters"
            raise AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message, "request_id"))
        token = uuid.uuid4().hex
        claim = Claim(caller, request_id, fingerprint, self._me.name, self._me.incarnation, token)
        answer: ClaimAnswer | None = None
        try:
            with trio.move_on_after(timeout / SECOND):
                answer = await self._ask_claim(OPERATIONS.encode(claim))
        finally:
            if answer is None:
                self._owe_release(caller, request_id, token)
        if answer is None or answer.status in _NOT_TAKEN:
            raise _unavailable("no majority of the control hosts recorded the claim in time")
        if answer.status is ClaimStatus.GRANTED and not self.may_serve():
            self._owe_release(caller, request_id, token)
            raise _unavailable("the lease ran out while the claim was recorded")
        if answer.status is ClaimStatus.GRANTED:
            self._tokens[caller, request_id] = token
        return answer

    def record_outcome(self, caller: str, request_id: str, outcome: bytes) -> None:
        """Store how a claimed run ended; it is delivered behind the scenes."""
        token = self._tokens.pop((caller, request_id), None)
        if token is not None:
            record = RecordOutcome(caller, request_id, token, outcome)
            self._owed.add(OPERATIONS.encode(record))

    def release_claim(self, caller: str, request_id: str) -> None:
        """Take a claim back because truly no byte of the request was sent."""
        token = self._tokens.pop((caller, request_id), None)
        if token is not None:
            self._owe_release(caller, request_id, token)

    def report_crash(self, fingerprint: str, server_id: str) -> None:
        """Report that a server crashed while it ran a body with this fingerprint."""
        report = ReportCrash(fingerprint, server_id, self._me.name)
        self._owed.add(OPERATIONS.encode(report))

    async def leave(self, timeout: Millis) -> None:
        """Say goodbye at the end of a planned stop, when all connections are closed.

        Whatever does not get through in time is found out when the lease runs out.
        """
        self._lease.give_up_share()
        self._hurry.request_last()
        goodbye = RemoveEntries([EntryKey(self._me.name, self._me.incarnation)])
        with trio.move_on_after(timeout / SECOND):
            await self._owed.wait_empty()
            await self._hurry.ended.wait()
            while await self._calls.ask([OPERATIONS.encode(goodbye)]) is None:
                await trio.sleep(CLAIM_RETRY / SECOND)

    async def _ask_claim(self, operation: bytes) -> ClaimAnswer:
        while True:
            answers = await self._calls.ask([operation])
            answer = answers[0] if answers else None
            if isinstance(answer, ClaimAnswer) and answer.status is not ClaimStatus.NOT_REGISTERED:
                return answer
            # The claim keeps its token, so that asking again can't grant it to anybody else, nor
            # make this entry's own first try look like somebody else's run in progress.
            await trio.sleep(CLAIM_RETRY / SECOND)

    def _owe_release(self, caller: str, request_id: str, token: str) -> None:
        self._owed.add(OPERATIONS.encode(ReleaseClaim(caller, request_id, token)))

    async def _use_next(self, over: trio.Event) -> None:
        self._places.learn(self.view.controls)
        place = self._places.next()
        why = "closed, silent or without a leader"
        try:
            with trio.CancelScope() as scope:
                scope.deadline = trio.current_time() + self._open_timeout / SECOND
                self._open_timeout = min(2 * self._open_timeout, MAX_OPEN_TIMEOUT)
                await self._use(place, scope, over)
        except LinkClosedError as exc:
            why = str(exc)
        finally:
            over.set()
        log_event(LogEvent.CONTROL_LINK_LOST, control=place.name, why=why)

    async def _use(self, place: ControlPlace, scope: trio.CancelScope, over: trio.Event) -> None:
        peer = Peer(self._me.name, "entry")
        session = ControlSession(
            self._lease, self._calls, self._clock, self._hurry, self.changed.notify
        )
        served_until = self.serve_until
        async with open_link(place.address, place.port, self._codec, self._secret, peer) as link:
            scope.deadline = float("inf")
            self._open_timeout = OPEN_TIMEOUT
            self.control_host = place.name
            self._link = link
            try:
                await session.run(link)
            finally:
                if self.serve_until > served_until:
                    self._places.gave_lease(place)
                self.control_host = None
                self._closed_bytes = self.traffic
                self._link = None
                over.set()

    async def _watch(self) -> None:
        while True:
            now = self._clock.now()
            serves = self._lease.may_serve(now)
            if serves != self._served:
                self._served = serves
                log_event(LogEvent.LEASE_TAKEN if serves else LogEvent.LEASE_LOST)
                self.changed.notify()
            if self._lease.release_share_if_expired(now):
                self.changed.notify()
            ends = (self._lease.serve_until, self._lease.serve_until + SHARE_GRACE_MS)
            next_end = min((end for end in ends if end > now), default=now + WATCH_INTERVAL)
            await self.changed.wait_for(next_end - now)


_NOT_TAKEN = (ClaimStatus.FULL, ClaimStatus.WITHDRAWN, ClaimStatus.NOT_REGISTERED)


def _unavailable(message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.LEDGER_UNAVAILABLE, message, retry_after_ms=500.0))
