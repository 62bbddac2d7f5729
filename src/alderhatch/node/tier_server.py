"""The leader's side of the links over which it keeps the hosts of a tier up to date."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..core.control.configuration_register import TierDirectives
from ..core.forwarding.caller_hosts import (
    MIN_ADVERTISED_HOSTS,
    HostRecord,
    advertised_host_count,
    advertised_hosts,
    is_usable_host,
    rank_hosts,
)
from ..core.forwarding.crash_counter import MAX_LISTED, CrashCounter, SuspectKey
from ..core.forwarding.host_demand import HostDemand
from ..core.forwarding.probe_schedule import PULSE_INTERVAL
from ..core.forwarding.server_record import ServerRecord
from ..errors import AlderhatchError, ErrorKind, Failure
from ..link import Link, LinkClosedError
from ..log import log_event
from ..log_events import LogEvent
from ..signal import Signal
from .control_member import ControlMember
from .crash_guard import CrashGuard
from .lease_messages import LeaseAnswer, LeaseAsk
from .tier_messages import (
    Introduction,
    Join,
    KeptNews,
    KeptVerdicts,
    MarkedRequest,
    Place,
    Pulse,
    Redirect,
    Report,
    RequestMark,
    TierView,
    read_mark,
)
from .tier_updates import HostMode, SentState, TierUpdates
from .usable_copies import quoted
from .voter_plan import DiskHost

HOST_ROLE = "host"
VIEW_INTERVAL: Millis = 100.0
"""Least time between two views. If a hundred hosts join or leave together, one view covers them
all; otherwise each host would be sent a hundred views."""
SETTLE_TIME: Millis = 500.0
"""How long a new leader sends no view while hosts are still joining. Until then the hosts use the
last leader's view. A first view with only the quickest hosts would send all callers to those."""
WATCH_INTERVAL: Millis = 200.0
SESSION_TIMEOUT: Millis = 1600.0
"""A host that has not reported for this time counts as lost; three reports fit into it."""
MAX_SENDS_REPORTED = 1_000_000
"""More requests than a host sends between two reports."""
CONFIGURATION_INTERVAL: Millis = 150.0
"""Least time between two configurations over one link. Of several in quick succession only the
newest is sent, as a burst of large ones would saturate the links between zones."""


class _Session:
    """The leader's session with one host that follows it."""

    def __init__(self, join: Join, link: Link, scope: trio.CancelScope, now: Millis) -> None:
        self.join = join
        self.link = link
        self.scope = scope
        """Ends the session when it is cancelled."""
        self.heard_at = now
        self.serving = False
        self.disk = join.disk
        self.joined_at = now
        self.mode = HostMode.UNDECIDED
        self.sent_state = SentState()

    def record(self) -> HostRecord:
        """Return the host's record for views."""
        return _host_record(self.join, self.serving)


class TierServer:
    """Keeps a session with each host while this host leads.

    Args:
        member: This host's member of the replicated log; None without a disk.
        directives: Returns the configuration and the evacuations that are in force in the log.
        list_is_fresh: Returns whether the server list was read recently.
        redirect: Returns the answer to a host while this one does not lead.
        retained_state: Returns the state that a host, given by name, can serve from; None if this
            host knows no configuration or no other hosts.
        on_introduction: Called with a leader that has announced itself.
        select_active: Returns the active hosts among some hosts, given the processor time that they
            should have together.
        previous_host_count: Returns the number of hosts in the last leader's view.
        guard: Knows the requests that this host itself refuses, or runs on one server at a time.
        codec: The codec of the tier's messages.
    """

    def __init__(
        self,
        member: ControlMember | None,
        directives: Callable[[], TierDirectives],
        list_is_fresh: Callable[[], bool],
        redirect: Callable[[], Redirect],
        retained_state: Callable[[str], KeptNews | None],
        on_introduction: Callable[[Place], None],
        select_active: Callable[[Iterable[HostRecord], float], list[HostRecord]],
        previous_host_count: Callable[[], int],
        guard: CrashGuard,
        codec: Codec,
    ) -> None:
        self._member = member
        self._directives = directives
        self._list_is_fresh = list_is_fresh
        self._redirect = redirect
        self._retained_state = retained_state
        self._on_introduction = on_introduction
        self._select_active = select_active
        self._previous_host_count = previous_host_count
        self._guard = guard
        self._clock = LoopClock()
        self._sessions: dict[str, _Session] = {}
        self._view_due = trio.Event()
        """Set when the hosts have changed; replaced by a new event when the view is updated."""
        self._updates = TierUpdates(codec.encode)
        self._crashes = CrashCounter()
        self._demand = HostDemand()
        self.updates_pending = Signal()
        """Notified when there are updates for the hosts."""
        self.role_changed = Signal()
        """Notified when this host may have gained or lost leadership."""

    @property
    def leads(self) -> bool:
        """Whether this host leads."""
        return self._member is not None and self._member.leads

    def update_server_list(self, records: dict[str, ServerRecord]) -> None:
        """Replace the server list and send all hosts what changed."""
        if self._updates.set_servers(records):
            self.updates_pending.notify()

    def disk_hosts(self) -> dict[str, DiskHost]:
        """Return the live hosts that have a data folder, by name."""
        return {
            name: DiskHost(session.join.place, session.disk)
            for name, session in self._sessions.items()
            if session.disk is not None
        }

    def has_follower(self, address: str) -> bool:
        """Return whether the host at an address follows this one."""
        return any(one.join.place.address == address for one in self._sessions.values())

    # Links

    async def serve(self, link: Link) -> None:
        """Serve one host's link until it closes or this host no longer leads."""
        first: object = None
        with trio.move_on_after(SESSION_TIMEOUT / SECOND):
            first = await link.receive()
        match first:
            case Introduction(leader):
                self._on_introduction(leader)
            case Join() if self.leads:
                _check_join(first)
                await self._serve_session(first, link)
            case Join():
                await self._redirect_host(first, link)

    async def _redirect_host(self, join: Join, link: Link) -> None:
        redirect = self._redirect()
        retained_state = (
            self._retained_state(join.place.name)
            if redirect.leader is None and not join.started
            else None
        )
        if retained_state is not None:
            # Without a leader the other host gets its state from nowhere else. It would refuse
            # callers that it could serve as well as this host does.
            verdicts = self._kept_verdicts()
            if verdicts.fingerprints:
                await link.send(verdicts)
            await link.send(retained_state)
        await link.send(redirect)

    def _kept_verdicts(self) -> KeptVerdicts:
        refused = list(self._guard.quarantines())
        marked = _marked(refused, self._guard.suspects())
        # The newest quarantines are last.
        return KeptVerdicts(marked[max(0, len(refused) - MAX_LISTED) :])

    async def _serve_session(self, join: Join, link: Link) -> None:
        name = join.place.name
        async with trio.open_nursery() as nursery:
            session = _Session(join, link, nursery.cancel_scope, self._clock.now())
            self._sessions[name] = session
            if len(self._sessions) <= MIN_ADVERTISED_HOSTS:
                session.mode = HostMode.AT_FIRST
            log_event(LogEvent.HOST_JOINED, host=name, zone=join.zone)
            self._view_due.set()
            try:
                nursery.start_soon(self._send_updates, session)
                await self._receive_reports(session)
                nursery.cancel_scope.cancel()
            finally:
                if self._sessions.get(name) is session:
                    del self._sessions[name]
                    log_event(LogEvent.HOST_LOST, host=name, silent_ms=self._silence(session))
                    self._view_due.set()

    def _silence(self, session: _Session) -> int:
        return int(self._clock.now() - session.heard_at)

    async def _receive_reports(self, session: _Session) -> None:
        while True:
            try:
                message = await session.link.receive()
            except LinkClosedError:
                return
            match message:
                case Report():
                    self._apply_report(message, session)
                case LeaseAsk(number):
                    await self._answer_lease_ask(number, session)
                case _:
                    return

    def _apply_report(self, report: Report, session: _Session) -> None:
        session.heard_at = self._clock.now()
        session.disk = report.disk
        self._record_crashes(report)
        self._demand.count(min(max(report.sends, 0), MAX_SENDS_REPORTED), session.heard_at)
        if report.wants_servers and session.mode is not HostMode.SERVES:
            session.mode = HostMode.SERVES
            self.updates_pending.notify()
        if report.serving != session.serving:
            session.serving = report.serving
            self._view_due.set()

    async def _answer_lease_ask(self, number: int, session: _Session) -> None:
        """Confirm the newest configuration if no other host can have accepted a newer one.

        The lease of the log is checked for each answer. A leader that was frozen would otherwise
        confirm a configuration that its successor has replaced, and the host would go on serving
        keys that were taken away. A new leader has the lease only once an entry of its own term is
        committed, so its register has every change that was acknowledged before.
        """
        if number < 1:
            field = f"{LeaseAsk.__name__}.number"
            why = f"{field}: expected a number above 0, got {number}"
            log_event(
                LogEvent.LINK_MESSAGE_REFUSED, peer=session.join.place.name, why=why, field=field
            )
            return
        if self.leads:
            version = self._directives().configuration.version
            await session.link.send(LeaseAnswer(number, version))

    def _record_crashes(self, report: Report) -> None:
        now = self._clock.now()
        for marked, server_id in report.crashes:
            match read_mark(marked):
                case MarkedRequest(RequestMark.CRASHING, key):
                    self._crashes.report_crash(key.fingerprint, server_id, now)
                case MarkedRequest(RequestMark.SUSPECT, key):
                    self._crashes.report_loss(key, server_id, now)
                case MarkedRequest(RequestMark.TRIAL, key):
                    self._crashes.report_trial(key, server_id, now)
                case MarkedRequest(RequestMark.SHARED_TRIAL, key):
                    self._crashes.report_shared_trial(key, server_id, now)
                case MarkedRequest(RequestMark.ANSWERED, key):
                    self._crashes.report_answer(key)
                    self._guard.clear_suspect(key)
        if report.crashes:
            self._view_due.set()

    def _update_quarantined(self, now: Millis) -> bool:
        """Update what hosts are sent about requests that crash servers; return if it changed.

        A new leader has counted nothing itself; it begins with what it was told as a host.
        """
        for fingerprint in self._crashes.decide(now):
            servers = self._crashes.crashed_servers(fingerprint)
            log_event(
                LogEvent.REQUEST_QUARANTINED,
                fingerprint=fingerprint,
                server=servers[-1],
                servers=servers,
            )
        refused = {*self._crashes.refused(now), *self._guard.quarantines()}
        suspects = {*self._crashes.suspects(now), *self._guard.told_suspects()}
        return self._updates.set_quarantined(_marked(sorted(refused), suspects))

    async def _send_updates(self, session: _Session) -> None:
        try:
            # The host queries others as well until it knows that this one leads.
            await session.link.send(self._pulse(session))
            self._update_quarantined(self._clock.now())
            while True:
                updates = self._updates.updates_since(
                    session.sent_state, self._directives(), session.mode
                )
                session.sent_state = updates.told
                for message in updates.messages:
                    await session.link.send_encoded(message)
                if updates.has_configuration:
                    await trio.sleep(CONFIGURATION_INTERVAL / SECOND)
                elif not updates.messages and not await self.updates_pending.wait_for(
                    PULSE_INTERVAL
                ):
                    await session.link.send(self._pulse(session))
        except LinkClosedError:
            session.scope.cancel()

    def _pulse(self, session: _Session) -> Pulse:
        has_servers = session.sent_state.servers.number > 0
        return Pulse(has_servers and self._list_is_fresh())

    # All hosts

    async def run(self) -> None:
        """Watch the sessions and keep the view up to date, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            nursery.start_soon(self._update_views)

    async def _watch(self) -> None:
        """End the sessions of silent hosts, or all sessions if this host no longer leads."""
        watched_at = self._clock.now()
        while True:
            await trio.sleep(WATCH_INTERVAL / SECOND)
            now = self._clock.now()
            # While this process was stalled, it did not read the hosts' reports. Without this
            # allowance one stall would drop all hosts, and all would join again at once.
            stall = max(0.0, now - watched_at - WATCH_INTERVAL)
            watched_at = now
            for session in self._sessions.values():
                session.heard_at = min(now, session.heard_at + stall)
                if not self.leads or now - session.heard_at >= SESSION_TIMEOUT:
                    session.scope.cancel()

    async def _update_views(self) -> None:
        leading_since: Millis | None = None
        while True:
            # Also runs without an event, as the processor time needed and the members of the log
            # may have changed.
            with trio.move_on_after(PULSE_INTERVAL / SECOND):
                await self._view_due.wait()
            self._view_due = trio.Event()
            if not self.leads:
                leading_since = None
                self._updates.clear_view()
                continue
            now = self._clock.now()
            leading_since = leading_since or now
            if now - leading_since >= SETTLE_TIME or self._all_hosts_returned():
                self._update_view(now)
            if self._crashes.is_deciding:
                self._view_due.set()
            await trio.sleep(VIEW_INTERVAL / SECOND)

    def _update_view(self, now: Millis) -> None:
        view = self.view()
        modes_changed = self._assign_modes({host.name for host in view.hosts}, now)
        view_changed = self._updates.set_view(view)
        if self._update_quarantined(now) or view_changed or modes_changed:
            self.updates_pending.notify()

    def _assign_modes(self, host_names: set[str], now: Millis) -> bool:
        """Decide which hosts get the server list, the others being on standby.

        A host that serves keeps that mode, as its connections are open and it may be needed again.

        Returns:
            Whether the mode of any host changed.
        """
        is_small = len(self._sessions) <= MIN_ADVERTISED_HOSTS
        has_changed = False
        for name, session in self._sessions.items():
            before = session.mode
            if before is not HostMode.SERVES:
                is_settled = now - session.joined_at >= SETTLE_TIME
                session.mode = _next_mode(before, name in host_names or is_small, is_settled)
            has_changed = has_changed or session.mode is not before
        return has_changed

    def _all_hosts_returned(self) -> bool:
        """Return whether at least as many hosts follow this leader as followed the last one."""
        return advertised_host_count(len(self._sessions)) >= self._previous_host_count()

    def view(self) -> TierView:
        """Return the current view to be sent to each host."""
        hosts = [session.record() for session in self._sessions.values()]
        serving = [host for host in hosts if host.serving]
        needed = self._demand.processor_needed()
        # Hosts that don't serve yet are included: after a restart, a host with this view in its
        # checkpoint may be the only one that is up.
        chosen = len(self._select_active(serving, needed))
        host_names = {
            host.name
            for host in (*advertised_hosts(hosts, chosen), *advertised_hosts(serving, chosen))
        }
        listed = [host for host in rank_hosts(hosts) if host.name in host_names]
        controls = self._member.controls() if self._member is not None else []
        return TierView(listed, controls, needed, advertised_host_count(len(hosts)))


def _host_record(join: Join, serving: bool) -> HostRecord:
    place = join.place
    return HostRecord(
        place.name, join.zone, join.caller_address, serving, join.processor, place.port
    )


def _check_join(join: Join) -> None:
    """Check what the views of all hosts will name.

    Raises:
        AlderhatchError: If no host could connect to the one that joins.
    """
    record = _host_record(join, False)
    if not is_usable_host(record):
        message = f"a host that can't be used: {quoted(record)}"
        raise AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message, Join.__name__))


def _next_mode(before: HostMode, is_needed: bool, is_settled: bool) -> HostMode:
    """Return the next mode of a host whose mode is not ``SERVES``.

    Args:
        before: The previous mode.
        is_needed: Whether the host should query servers.
        is_settled: Whether the host joined long enough ago that hosts that started with it have
            joined as well.
    """
    if is_needed:
        return HostMode.SERVES if is_settled else HostMode.AT_FIRST
    return HostMode.STANDS_BY if is_settled else before


def _marked(refused: Collection[str], suspects: Iterable[SuspectKey]) -> list[str]:
    """Return refused requests and suspects as messages list them."""
    others = sorted(key for key in suspects if key.fingerprint not in refused)
    return [*refused, *(RequestMark.SUSPECT.of(key) for key in others[-MAX_LISTED:])]
