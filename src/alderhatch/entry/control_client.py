"""The entry's client of control: lease, view of the tier, and run ledger."""

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
from ._control_host_selector import ControlHostSelector
from ._control_session import ControlSession, RenewalTrigger
from ._operation_batcher import OperationBatcher
from ._pending_operations import PendingOperations

MIN_OPEN_TIMEOUT: Millis = 700.0
"""Initial time limit for opening a link to a control host."""
MAX_OPEN_TIMEOUT: Millis = 5.6 * SECOND
"""Upper limit of the open timeout, which doubles with each attempt until a link opens.

When all entries connect simultaneously, a busy control host may accept none of them within the
initial timeout. Entries that retried at a constant timeout would keep it busy indefinitely.
"""
NEXT_HOST_INTERVAL: Millis = 50.0
CLAIM_TIMEOUT: Millis = 2 * SECOND
CLAIM_RETRY_INTERVAL: Millis = 50.0
LEASE_CHECK_INTERVAL: Millis = 1 * SECOND
MAX_ID_LENGTH = 256


class Traffic(NamedTuple):
    """Payload bytes on an entry's links to control."""

    sent: int
    received: int


class ControlClient:
    """Keeps the lease alive through one control host at a time.

    ``view`` is the state in force at this entry; its version never decreases. ``changed`` is
    notified when the view, the lease or the share of connections has changed.
    """

    def __init__(
        self,
        identity: EntryIdentity,
        controls: Sequence[NamedEndpoint],
        secret: bytes,
        clock: Clock | None = None,
    ) -> None:
        """Create a client; ``run`` connects it.

        Args:
            identity: The identity of this entry process.
            controls: The addresses of the initial control hosts; control announces later ones.
            secret: The secret shared by all processes of the tier.
            clock: A monotonic clock; by default that of the event loop.
        """
        self._identity = identity
        self._secret = secret
        self._clock = clock or LoopClock()
        self._codec = Codec(*CONTROL_MESSAGES)
        self._lease = EntryLease(identity)
        self._batcher = OperationBatcher()
        self._pending_operations = PendingOperations(self._batcher)
        self._renewal_trigger = RenewalTrigger()
        self._claim_tokens: dict[tuple[str, str], str] = {}
        # Entries start with different control hosts, so that no host serves all of them.
        self._host_selector = ControlHostSelector(controls, first=sum(identity.name.encode()))
        self._was_serving = False
        self._open_timeout = MIN_OPEN_TIMEOUT
        self.changed = Signal()
        """Notified when the view, the lease or the share has changed."""
        self.control_host: str | None = None
        """The control host at the other end of the open link; None if no link is open."""
        self._link: Link | None = None
        self._closed_traffic = Traffic(0, 0)

    # State in force

    @property
    def view(self) -> EntryView:
        """Rules, settings, roster, quarantines and leaving servers in force at this entry."""
        return self._lease.view

    @property
    def serve_until(self) -> Millis:
        """The time after which no new request is accepted unless the lease is renewed."""
        return self._lease.serve_until

    @property
    def share(self) -> int:
        """The divisor of the connection shares in force at this entry; 0 allows no connection."""
        return self._lease.share

    @property
    def stop_planned(self) -> bool:
        """Whether an operator has planned to stop this entry or let it depart."""
        row = self.view.roster.get(self._identity.name)
        return row is not None and row.leaving

    @property
    def leaving_server_ids(self) -> frozenset[str]:
        """The IDs of servers that receive no new requests."""
        return frozenset(leaving_server.server for leaving_server in self.view.leaving)

    def may_serve(self) -> bool:
        """Return whether the lease is valid now."""
        return self._lease.may_serve(self._clock.now())

    def connection_limit(self, server: Server) -> int:
        """Return the maximum number of connections to one server.

        While the share is being reduced this is already the lower number. Close the surplus
        connections, then call ``confirm_shares``.
        """
        return self._lease.connection_limit(server)

    def owners(self, server: Server) -> tuple[str, ...]:
        """Return the entries that may hold connections to a server, the preferred ones first."""
        return self._lease.owners(server)

    def confirm_shares(self) -> None:
        """Confirm to control that no server has more connections than ``connection_limit``."""
        if self._lease.share_settled():
            self._renewal_trigger.request()

    @property
    def traffic(self) -> Traffic:
        """The payload bytes of all links so far, without frames and headers."""
        link = self._link
        if link is None:
            return self._closed_traffic
        sent, received = self._closed_traffic
        return Traffic(sent + link.sent_bytes, received + link.received_bytes)

    # Operation

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Keep the lease alive until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pending_operations.run)
            nursery.start_soon(self._watch_lease)
            task_status.started()
            while True:
                link_ended = trio.Event()
                # The next link is opened while the previous one closes. Closing can take a second
                # if the other end is unresponsive, and the lease would expire during that time.
                nursery.start_soon(self._use_next_host, link_ended)
                await link_ended.wait()
                await trio.sleep(NEXT_HOST_INTERVAL / SECOND)

    async def wait_ready(self) -> None:
        """Wait until the lease is valid and includes a share of connections."""
        while not (self.may_serve() and self.share):
            await self.changed.wait_for(LEASE_CHECK_INTERVAL)

    async def claim(
        self, caller: str, request_id: str, fingerprint: str, timeout: Millis = CLAIM_TIMEOUT
    ) -> ClaimAnswer:
        """Claim a request that may run at most once.

        Args:
            caller: The name of the caller.
            request_id: The caller's ID of the request.
            fingerprint: A digest of the request body.
            timeout: The time limit in milliseconds.

        Returns:
            The ledger's answer. The request may be sent only if it is ``granted``; then either
            ``record_outcome`` or ``release_claim`` has to be called.

        Raises:
            AlderhatchError: ``bad_request`` if the caller or the request ID is too long;
                ``ledger_unavailable`` if the claim was not recorded in time, or the lease expired
                meanwhile. In these cases nothing may be sent, and a claim that may have been
                recorded is released in the background.
        """
        if max(len(caller), len(request_id)) > MAX_ID_LENGTH:
            message = f"caller or request_id is longer than {MAX_ID_LENGTH} characters"
            raise AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message, "request_id"))
        token = uuid.uuid4().hex
        claim = Claim(
            caller, request_id, fingerprint, self._identity.name, self._identity.incarnation, token
        )
        answer: ClaimAnswer | None = None
        try:
            with trio.move_on_after(timeout / SECOND):
                answer = await self._send_claim(OPERATIONS.encode(claim))
        finally:
            if answer is None:
                self._queue_release(caller, request_id, token)
        if answer is None or answer.status in _NOT_RECORDED:
            raise _ledger_unavailable("no majority of the control hosts recorded the claim in time")
        if answer.status is ClaimStatus.GRANTED and not self.may_serve():
            self._queue_release(caller, request_id, token)
            raise _ledger_unavailable("the lease expired while the claim was recorded")
        if answer.status is ClaimStatus.GRANTED:
            self._claim_tokens[caller, request_id] = token
        return answer

    def record_outcome(self, caller: str, request_id: str, outcome: bytes) -> None:
        """Record the outcome of a claimed run; it is delivered in the background."""
        token = self._claim_tokens.pop((caller, request_id), None)
        if token is not None:
            record = RecordOutcome(caller, request_id, token, outcome)
            self._pending_operations.add(OPERATIONS.encode(record))

    def release_claim(self, caller: str, request_id: str) -> None:
        """Release a claim; only valid if no byte of the request has been sent."""
        token = self._claim_tokens.pop((caller, request_id), None)
        if token is not None:
            self._queue_release(caller, request_id, token)

    def report_crash(self, fingerprint: str, server_id: str) -> None:
        """Report that a server crashed while it ran a request body with this fingerprint."""
        report = ReportCrash(fingerprint, server_id, self._identity.name)
        self._pending_operations.add(OPERATIONS.encode(report))

    async def leave(self, timeout: Millis) -> None:
        """Deregister at the end of a planned stop, when all connections are closed.

        If control can't be reached within the timeout, it notices the end of the entry when the
        lease expires.

        Args:
            timeout: The time limit in milliseconds.
        """
        self._lease.give_up_share()
        self._renewal_trigger.request_final()
        removal = RemoveEntries([EntryKey(self._identity.name, self._identity.incarnation)])
        with trio.move_on_after(timeout / SECOND):
            await self._pending_operations.wait_empty()
            await self._renewal_trigger.final_answered.wait()
            while await self._batcher.submit([OPERATIONS.encode(removal)]) is None:
                await trio.sleep(CLAIM_RETRY_INTERVAL / SECOND)

    async def _send_claim(self, operation: bytes) -> ClaimAnswer:
        while True:
            answers = await self._batcher.submit([operation])
            answer = answers[0] if answers else None
            if isinstance(answer, ClaimAnswer) and answer.status is not ClaimStatus.NOT_REGISTERED:
                return answer
            # Retries use the same token, so that they can't grant the claim to a second holder, nor
            # get ``in_progress`` because of this entry's own first attempt.
            await trio.sleep(CLAIM_RETRY_INTERVAL / SECOND)

    def _queue_release(self, caller: str, request_id: str, token: str) -> None:
        self._pending_operations.add(OPERATIONS.encode(ReleaseClaim(caller, request_id, token)))

    async def _use_next_host(self, link_ended: trio.Event) -> None:
        self._host_selector.set_learned(self.view.controls)
        host = self._host_selector.next_host()
        why = "link closed, host silent or no leader found"
        try:
            with trio.CancelScope() as scope:
                scope.deadline = trio.current_time() + self._open_timeout / SECOND
                self._open_timeout = min(2 * self._open_timeout, MAX_OPEN_TIMEOUT)
                await self._run_session(host, scope, link_ended)
        except LinkClosedError as exc:
            why = str(exc)
        finally:
            link_ended.set()
        log_event(LogEvent.CONTROL_LINK_LOST, control=host.name, why=why)

    async def _run_session(
        self, host: ControlPlace, scope: trio.CancelScope, link_ended: trio.Event
    ) -> None:
        peer = Peer(self._identity.name, "entry")
        session = ControlSession(
            self._lease, self._batcher, self._clock, self._renewal_trigger, self.changed.notify
        )
        served_until = self.serve_until
        async with open_link(host.address, host.port, self._codec, self._secret, peer) as link:
            scope.deadline = float("inf")
            self._open_timeout = MIN_OPEN_TIMEOUT
            self.control_host = host.name
            self._link = link
            try:
                await session.run(link)
            finally:
                if self.serve_until > served_until:
                    self._host_selector.on_lease_granted(host)
                self.control_host = None
                self._closed_traffic = self.traffic
                self._link = None
                link_ended.set()

    async def _watch_lease(self) -> None:
        while True:
            now = self._clock.now()
            serving = self._lease.may_serve(now)
            if serving != self._was_serving:
                self._was_serving = serving
                log_event(LogEvent.LEASE_TAKEN if serving else LogEvent.LEASE_LOST)
                self.changed.notify()
            if self._lease.release_share_if_expired(now):
                self.changed.notify()
            ends = (self._lease.serve_until, self._lease.serve_until + SHARE_GRACE_MS)
            next_end = min((end for end in ends if end > now), default=now + LEASE_CHECK_INTERVAL)
            await self.changed.wait_for(next_end - now)


_NOT_RECORDED = (ClaimStatus.FULL, ClaimStatus.WITHDRAWN, ClaimStatus.NOT_REGISTERED)


def _ledger_unavailable(message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.LEDGER_UNAVAILABLE, message, retry_after_ms=500.0))
