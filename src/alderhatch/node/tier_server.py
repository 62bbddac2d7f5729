"""The leader's side of the links over which the hosts of a tier learn what is in force."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..core.control.configuration_register import TierDirectives
from ..core.forwarding.caller_hosts import (
    MIN_ADVERTISED_HOSTS,
    HostRecord,
    advertised_host_count,
    advertised_hosts,
    rank_hosts,
)
from ..core.forwarding.crash_counter import CrashCounter
from ..core.forwarding.host_demand import HostDemand
from ..core.forwarding.server_record import ServerRecord
from ..link import Link, LinkClosedError
from ..log import log_event
from ..log_events import LogEvent
from ..signal import Signal
from .control_member import ControlMember
from .tier_messages import (
    Introduction,
    Join,
    KeptNews,
    Place,
    Pulse,
    Redirect,
    Report,
    TierView,
)
from .tier_updates import HostMode, SentState, TierUpdates
from .voter_plan import DiskHost

HOST_ROLE = "host"
VIEW_GAP: Millis = 100.0
"""Between two words of who is there. A hundred hosts that join or leave together are told of at
once: told one by one, each would be sent a hundred views."""
SETTLE: Millis = 500.0
"""How long a new leader keeps who is there to itself while hosts are still joining. They have the
last leader's word; a first word of only those that were quickest would send all callers to these.
"""
WATCH_EVERY: Millis = 200.0
PULSE_EVERY: Millis = 500.0
"""How often a host hears that its leader is there when there is no other news."""
SILENT_AFTER: Millis = 1600.0
"""A host that has not reported for so long is dead; three reports fit in."""
CONFIGURATION_GAP: Millis = 150.0
"""Between two configurations over one link. Of several that follow each other closely only the
newest is sent: a burst of large ones would fill the links between zones."""


class _Session:
    """One host that follows this leader."""

    def __init__(self, join: Join, link: Link, scope: trio.CancelScope, now: Millis) -> None:
        self.join = join
        self.link = link
        self.scope = scope
        """Ends the session when it is cancelled."""
        self.heard_at = now
        self.serving = False
        self.disk = join.disk
        self.joined_at = now
        self.duty = HostMode.UNDECIDED
        self.told = SentState()

    def record(self) -> HostRecord:
        """Return the host as callers need to know it."""
        join = self.join
        return HostRecord(
            join.place.name,
            join.zone,
            join.caller_address,
            self.serving,
            join.processor,
            join.place.port,
        )


class TierServer:
    """Keeps a session with each host while this host leads.

    Args:
        member: This host's part in the replicated log.
        orders: Returns what the log's state says that operators have ordered.
        list_is_fresh: Returns whether the list of servers was read lately.
        redirect: Returns what a host is told while this one does not lead.
        kept: Returns what a host, given by name, can serve by; None if this one knows no
            configuration or no other hosts.
        on_introduction: Told of a leader that has introduced itself.
        choose: Returns those of some hosts that callers are sent to, if these are to have so much
            processor time together.
        alive_before: Returns how many hosts there are by the last leader's word.
        codec: The tier's messages.
    """

    def __init__(
        self,
        member: ControlMember | None,
        orders: Callable[[], TierDirectives],
        list_is_fresh: Callable[[], bool],
        redirect: Callable[[], Redirect],
        kept: Callable[[str], KeptNews | None],
        on_introduction: Callable[[Place], None],
        choose: Callable[[Iterable[HostRecord], float], list[HostRecord]],
        previous_host_count: Callable[[], int],
        codec: Codec,
    ) -> None:
        self._member = member
        self._orders = orders
        self._list_is_fresh = list_is_fresh
        self._redirect = redirect
        self._kept = kept
        self._on_introduction = on_introduction
        self._choose = choose
        self._alive_before = previous_host_count
        self._clock = LoopClock()
        self._sessions: dict[str, _Session] = {}
        self._view_due = trio.Event()
        """Set when who is there has changed; replaced when it is told."""
        self._news = TierUpdates(codec.encode)
        self._crashes = CrashCounter()
        self._demand = HostDemand()
        self.updates_pending = Signal()
        """Notified when there is something to tell the hosts."""
        self.role_changed = Signal()
        """Notified when this host may have begun or ceased to lead."""

    @property
    def leads(self) -> bool:
        """Whether this host leads."""
        return self._member is not None and self._member.leads

    def update_server_list(self, records: dict[str, ServerRecord]) -> None:
        """Take a newer list of servers and tell all hosts what changed."""
        if self._news.set_servers(records):
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
        """Follow one host's link until it closes or this host leads no more."""
        first: object = None
        with trio.move_on_after(SILENT_AFTER / SECOND):
            first = await link.receive()
        match first:
            case Introduction(leader):
                self._on_introduction(leader)
            case Join() if self.leads:
                await self._follow(first, link)
            case Join():
                await self._send_on(first, link)

    async def _send_on(self, join: Join, link: Link) -> None:
        redirect = self._redirect()
        kept = self._kept(join.place.name) if redirect.leader is None and not join.started else None
        if kept is not None:
            # Nobody else tells the other host anything without a leader. It would refuse callers
            # whom it can serve as well as this one does.
            await link.send(kept)
        await link.send(redirect)

    async def _follow(self, join: Join, link: Link) -> None:
        name = join.place.name
        async with trio.open_nursery() as nursery:
            session = _Session(join, link, nursery.cancel_scope, self._clock.now())
            self._sessions[name] = session
            if len(self._sessions) <= MIN_ADVERTISED_HOSTS:
                session.duty = HostMode.AT_FIRST
            log_event(LogEvent.HOST_JOINED, host=name, zone=join.zone)
            self._view_due.set()
            try:
                nursery.start_soon(self._tell, session)
                await self._listen(session)
                nursery.cancel_scope.cancel()
            finally:
                if self._sessions.get(name) is session:
                    del self._sessions[name]
                    log_event(LogEvent.HOST_LOST, host=name, silent_ms=self._silence(session))
                    self._view_due.set()

    def _silence(self, session: _Session) -> int:
        return int(self._clock.now() - session.heard_at)

    async def _listen(self, session: _Session) -> None:
        while True:
            try:
                message = await session.link.receive()
            except LinkClosedError:
                return
            if not isinstance(message, Report):
                return
            session.heard_at = self._clock.now()
            session.disk = message.disk
            self._take_crashes(message)
            self._demand.count(message.sends, session.heard_at)
            if message.wants_servers and session.duty is not HostMode.SERVES:
                session.duty = HostMode.SERVES
                self.updates_pending.notify()
            if message.serving != session.serving:
                session.serving = message.serving
                self._view_due.set()

    def _take_crashes(self, report: Report) -> None:
        for fingerprint, server_id in report.crashes:
            if self._crashes.report(fingerprint, server_id, self._clock.now()):
                log_event(LogEvent.REQUEST_QUARANTINED, fingerprint=fingerprint, server=server_id)
                self._view_due.set()

    async def _tell(self, session: _Session) -> None:
        try:
            # The host asks others as well until it hears that this one leads.
            await session.link.send(self._pulse(session))
            while True:
                news = self._news.updates_since(session.told, self._orders(), session.duty)
                session.told = news.told
                for message in news.messages:
                    await session.link.send_encoded(message)
                if news.has_configuration:
                    await trio.sleep(CONFIGURATION_GAP / SECOND)
                elif not news.messages and not await self.updates_pending.wait_for(PULSE_EVERY):
                    await session.link.send(self._pulse(session))
        except LinkClosedError:
            session.scope.cancel()

    def _pulse(self, session: _Session) -> Pulse:
        is_told = session.told.servers.number > 0
        return Pulse(is_told and self._list_is_fresh())

    # All hosts

    async def run(self) -> None:
        """Watch the hosts that follow, and tell who is there, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            nursery.start_soon(self._tell_views)

    async def _watch(self) -> None:
        """End the sessions of hosts that are silent, or all if this host leads no more."""
        watched_at = self._clock.now()
        while True:
            await trio.sleep(WATCH_EVERY / SECOND)
            now = self._clock.now()
            # While this process was busy, nobody read what the hosts had sent. Without the
            # allowance one such time would drop them all, and all would join again at once.
            stall = max(0.0, now - watched_at - WATCH_EVERY)
            watched_at = now
            for session in self._sessions.values():
                session.heard_at = min(now, session.heard_at + stall)
                if not self.leads or now - session.heard_at >= SILENT_AFTER:
                    session.scope.cancel()

    async def _tell_views(self) -> None:
        led_at: Millis | None = None
        while True:
            # A look without a change, as the need and the members of the log may have changed.
            with trio.move_on_after(PULSE_EVERY / SECOND):
                await self._view_due.wait()
            self._view_due = trio.Event()
            if not self.leads:
                led_at = None
                self._news.clear_view()
                continue
            now = self._clock.now()
            led_at = led_at or now
            if now - led_at >= SETTLE or self._all_are_back():
                self._tell_view(now)
            await trio.sleep(VIEW_GAP / SECOND)

    def _tell_view(self, now: Millis) -> None:
        view = self.view()
        has_duties = self._give_duties({host.name for host in view.hosts}, now)
        has_view = self._news.set_view(view)
        if self._news.set_quarantined(self._crashes.refused(now)) or has_view or has_duties:
            self.updates_pending.notify()

    def _give_duties(self, named: set[str], now: Millis) -> bool:
        """Decide who follows the list of servers, and who stands by; return whether any is new.

        Who once serves goes on with it: its connections are open, and it may be needed again.
        """
        is_small = len(self._sessions) <= MIN_ADVERTISED_HOSTS
        is_new = False
        for name, session in self._sessions.items():
            before = session.duty
            if before is not HostMode.SERVES:
                is_settled = now - session.joined_at >= SETTLE
                session.duty = _duty(before, name in named or is_small, is_settled)
            is_new = is_new or session.duty is not before
        return is_new

    def _all_are_back(self) -> bool:
        """Return whether as many hosts follow this leader as followed the last one."""
        return advertised_host_count(len(self._sessions)) >= self._alive_before()

    def view(self) -> TierView:
        """Return who is there now, as far as each host has to know."""
        hosts = [session.record() for session in self._sessions.values()]
        serving = [host for host in hosts if host.serving]
        needed = self._demand.processor_needed()
        # Those that don't serve yet are named as well: a host that keeps the view may be the only
        # one that starts with it.
        chosen = len(self._choose(serving, needed))
        named = {
            host.name
            for host in (*advertised_hosts(hosts, chosen), *advertised_hosts(serving, chosen))
        }
        told = [host for host in rank_hosts(hosts) if host.name in named]
        controls = self._member.controls() if self._member is not None else []
        return TierView(told, controls, needed, advertised_host_count(len(hosts)))


def _duty(before: HostMode, is_needed: bool, is_settled: bool) -> HostMode:
    """Return the duty of a host that is not known to serve.

    Args:
        before: What it was.
        is_needed: Whether it is one of those that should ask servers.
        is_settled: Whether it joined so long ago that those that joined with it are there as well.
    """
    if is_needed:
        return HostMode.SERVES if is_settled else HostMode.AT_FIRST
    return HostMode.STANDS_BY if is_settled else before
