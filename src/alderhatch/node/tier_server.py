"""The leader's side of the links over which the hosts of a tier learn what is in force."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.control.configuration_register import StoredConfiguration
from ..core.forwarding.caller_hosts import HostRecord
from ..core.forwarding.crash_tally import CrashTally
from ..core.forwarding.host_demand import HostDemand
from ..core.forwarding.server_record import ServerRecord
from ..link import Link, LinkClosedError
from ..log import log_event
from ..log_events import LogEvent
from ..signal import Signal
from .control_member import ControlMember
from .tier_messages import (
    ConfigurationNews,
    Introduction,
    Join,
    KeptNews,
    Place,
    Pulse,
    QuarantineNews,
    Redirect,
    Report,
    ServerNews,
    TierView,
)
from .voter_plan import DiskHost

HOST_ROLE = "host"
PULSE_EVERY: Millis = 500.0
"""How often a host hears that its leader is there when there is no other news."""
SILENT_AFTER: Millis = 1600.0
"""A host that has not reported for so long is dead; three reports fit in."""
CONFIGURATION_GAP: Millis = 150.0
"""Between two configurations over one link. Of several that follow each other closely only the
newest is sent: a burst of large ones would fill the links between zones."""


class ServerList(NamedTuple):
    """The list of servers as the leader last read it."""

    number: int
    """Goes up with each change."""
    records: dict[str, ServerRecord]
    """By server id; never changed in place."""


class _Session:
    """One host that follows this leader."""

    def __init__(self, join: Join, link: Link, now: Millis) -> None:
        self.join = join
        self.link = link
        self.heard_at = now
        self.serving = False
        self.disk = join.disk
        self.told_version = 0
        self.told_list = ServerList(0, {})
        self.told_view: TierView | None = None
        self.told_refused: list[str] = []

    def record(self) -> HostRecord:
        """Return the host as callers need to know it."""
        join = self.join
        return HostRecord(
            join.place.name, join.zone, join.caller_address, self.serving, join.processor
        )


class TierServer:
    """Keeps a session with each host while this host leads.

    Args:
        member: This host's part in the replicated log.
        stored: Returns the newest configuration of the log's state.
        list_is_fresh: Returns whether the list of servers was read lately.
        redirect: Returns what a host is told while this one does not lead.
        kept: Returns what this host serves by; None if it knows no configuration or no other hosts.
        on_introduction: Told of a leader that has introduced itself.
    """

    def __init__(
        self,
        member: ControlMember | None,
        stored: Callable[[], StoredConfiguration],
        list_is_fresh: Callable[[], bool],
        redirect: Callable[[], Redirect],
        kept: Callable[[], KeptNews | None],
        on_introduction: Callable[[Place], None],
    ) -> None:
        self._member = member
        self._stored = stored
        self._list_is_fresh = list_is_fresh
        self._redirect = redirect
        self._kept = kept
        self._on_introduction = on_introduction
        self._clock = LoopClock()
        self._sessions: dict[str, _Session] = {}
        self._hosts: list[HostRecord] | None = None
        """The live hosts by name; None if they have to be listed anew. Listed anew for each word to
        each of them, they would cost the leader the square of their number."""
        self._list = ServerList(0, {})
        self._crashes = CrashTally()
        self._demand = HostDemand()
        self.news = Signal()
        """Notified when there is something to tell the hosts."""
        self.role_changed = Signal()
        """Notified when this host may have begun or ceased to lead."""

    @property
    def leads(self) -> bool:
        """Whether this host leads."""
        return self._member is not None and self._member.leads

    def take_list(self, records: dict[str, ServerRecord]) -> None:
        """Take a newer list of servers and tell all hosts what changed."""
        if records != self._list.records:
            self._list = ServerList(self._list.number + 1, records)
            self.news.notify()

    def disk_hosts(self) -> dict[str, DiskHost]:
        """Return the live hosts that have a data folder, by name."""
        return {
            name: DiskHost(session.join.place, session.disk)
            for name, session in self._sessions.items()
            if session.disk is not None
        }

    def follows(self, address: str) -> bool:
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
        kept = self._kept() if redirect.leader is None and not join.started else None
        if kept is not None:
            # Nobody else tells the other host anything without a leader. It would refuse callers
            # whom it can serve as well as this one does.
            await link.send(kept)
        await link.send(redirect)

    async def _follow(self, join: Join, link: Link) -> None:
        session = _Session(join, link, self._clock.now())
        name = join.place.name
        self._sessions[name] = session
        log_event(LogEvent.HOST_JOINED, host=name, zone=join.zone)
        self._hosts_changed()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._tell, session, nursery.cancel_scope)
                nursery.start_soon(self._watch, session, nursery.cancel_scope)
                await self._listen(session)
                nursery.cancel_scope.cancel()
        finally:
            if self._sessions.get(name) is session:
                del self._sessions[name]
                log_event(LogEvent.HOST_LOST, host=name, silent_ms=self._silence(session))
                self._hosts_changed()

    def _hosts_changed(self) -> None:
        self._hosts = None
        self.news.notify()

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
            self._take_sends(message.sends)
            if message.serving != session.serving:
                session.serving = message.serving
                self._hosts_changed()

    def _take_crashes(self, report: Report) -> None:
        for fingerprint, server_id in report.crashes:
            if self._crashes.report(fingerprint, server_id, self._clock.now()):
                log_event(LogEvent.REQUEST_QUARANTINED, fingerprint=fingerprint, server=server_id)
                self.news.notify()

    def _take_sends(self, sends: int) -> None:
        before = self._demand.processor_needed()
        self._demand.count(sends, self._clock.now())
        if self._demand.processor_needed() != before:
            self.news.notify()

    async def _watch(self, session: _Session, scope: trio.CancelScope) -> None:
        while self.leads and self._clock.now() - session.heard_at < SILENT_AFTER:
            await trio.sleep(SILENT_AFTER / 8 / SECOND)
        scope.cancel()

    async def _tell(self, session: _Session, scope: trio.CancelScope) -> None:
        try:
            while True:
                sent = self._news_for(session)
                for message in sent:
                    await session.link.send(message)
                if not sent:
                    if not await self.news.wait_for(PULSE_EVERY):
                        is_told = session.told_list.number > 0
                        await session.link.send(Pulse(is_told and self._list_is_fresh()))
                elif any(isinstance(one, ConfigurationNews) for one in sent):
                    await trio.sleep(CONFIGURATION_GAP / SECOND)
        except LinkClosedError:
            scope.cancel()

    def _news_for(self, session: _Session) -> list[tuple[Any, ...]]:
        news: list[tuple[Any, ...]] = []
        stored = self._stored()
        if stored.version > session.told_version:
            session.told_version = stored.version
            news.append(ConfigurationNews(*stored))
        if self._list.number != session.told_list.number:
            news.append(_difference(session.told_list, self._list))
            session.told_list = self._list
        view = self.view()
        if view != session.told_view:
            session.told_view = view
            news.append(view)
        refused = self._crashes.refused(self._clock.now())
        if refused != session.told_refused:
            session.told_refused = refused
            news.append(QuarantineNews(refused))
        return news

    def view(self) -> TierView:
        """Return who is there now."""
        if self._hosts is None:
            self._hosts = [self._sessions[name].record() for name in sorted(self._sessions)]
        controls = self._member.controls() if self._member is not None else []
        return TierView(self._hosts, controls, self._demand.processor_needed())


def _difference(old: ServerList, new: ServerList) -> ServerNews:
    before = old.records
    changed = [record for name, record in new.records.items() if before.get(name) != record]
    gone = [name for name in before if name not in new.records]
    return ServerNews(old.number == 0, changed, gone)
