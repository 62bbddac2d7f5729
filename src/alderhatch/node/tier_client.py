"""A host's side of the link to the leader: what is in force, the servers, and who is there."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..core.control.configuration_register import StoredConfiguration
from ..link import Link, LinkClosedError, Peer, open_link
from ..log import log_event
from ..log_events import LogEvent
from ..signal import Signal
from .node_state import NodeState
from .tier_messages import (
    ConfigurationNews,
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
from .tier_server import HOST_ROLE

REPORT_EVERY: Millis = 500.0
LEADER_SILENT: Millis = 1600.0
"""A leader that says nothing for three pulses is gone, or the way to it is."""
DIAL_TIMEOUT: Millis = 400.0
"""Hosts are 3 ms away; one that needs longer is dark, and others wait to be tried."""
STAGGER: Millis = 60.0
"""How long a host is awaited before the next one is asked as well; a link takes some 10 ms."""
REDIAL: Millis = 120.0
MAX_REMEMBERED = 32
"""Places of hosts met before that are tried when neither seeds nor the log's hosts answer."""


class _Search:
    """One round of asking hosts for the leader, a few of them at the same time."""

    def __init__(self, places: Iterable[Place]) -> None:
        self.left = deque(places)
        """Who is to be asked, the next one first."""
        self.progress = trio.Event()
        """Set when a host has answered, or can't."""
        self._asked: set[tuple[str, int]] = set()
        self._dialling: set[trio.CancelScope] = set()
        self.is_settled = False
        """Whether a leader was found."""

    @property
    def is_over(self) -> bool:
        """Whether a leader was found, or nobody is left who could name one."""
        return self.is_settled or not (self.left or self._dialling)

    def next_place(self) -> Place | None:
        """Return who is to be asked next, or None if nobody is left."""
        while self.left:
            place = self.left.popleft()
            if (place.address, place.port) not in self._asked:
                self._asked.add((place.address, place.port))
                return place
        return None

    def begin(self) -> trio.CancelScope:
        """Return what bounds the time for one host's answer."""
        scope = trio.CancelScope(deadline=trio.current_time() + DIAL_TIMEOUT / SECOND)
        self._dialling.add(scope)
        return scope

    def settle_on(self, scope: trio.CancelScope) -> bool:
        """Leave all others for the host that has just answered; False if one was before it."""
        if self.is_settled:
            return False
        self.is_settled = True
        for other in self._dialling - {scope}:
            other.cancel()
        scope.deadline = float("inf")
        self.progress.set()
        return True

    def ended(self, scope: trio.CancelScope) -> None:
        """Take note that a host has answered, or that it can't be asked."""
        self._dialling.discard(scope)
        self.progress.set()


class TierClient:
    """Finds the leader and follows it for as long as it leads.

    Args:
        join: Makes this host's first message.
        report: Makes what this host says of itself.
        places: Returns where to look for the leader: hosts of the log, then seeds.
        state: Takes what the leader says.
        codec: The tier's messages.
        secret: The secret that the hosts share.
    """

    def __init__(
        self,
        join: Callable[[], Join],
        report: Callable[[], Report],
        places: Callable[[], Iterable[Place]],
        state: NodeState,
        codec: Codec,
        secret: bytes,
    ) -> None:
        self._join = join
        self._report = report
        self._known = places
        self._state = state
        self._codec = codec
        self._secret = secret
        self._clock = LoopClock()
        self._hint: Place | None = None
        self._met: list[Place] = []
        self.leader: Place | None = None
        """The leader that this host follows now."""
        self.heard_at: Millis = 0.0
        """When the leader was last heard."""
        self._introduced = Signal()
        self.changed = Signal()
        """To be notified when the report has changed and should go out at once."""

    async def run(self) -> None:
        """Follow whoever leads until cancelled."""
        while True:
            await self._look()
            await self._introduced.wait_for(REDIAL)

    async def _look(self) -> None:
        """Ask hosts for the leader, and follow it while it leads.

        Where a host says that another one leads, that one is next. Each is asked once in a round:
        a host that is cut off from the others may go on naming itself, or one that is gone, and
        whoever believed it each time would never ask those that know better.

        A host that is dark or still starting answers nothing, and takes all the time that it is
        given. So the next one is asked while it is awaited; asked one after the other, two such
        hosts kept a host without a configuration for most of a second after a restart of all.
        """
        search = _Search([*self._state.controls, *self._known(), *self._met])
        async with trio.open_nursery() as nursery:
            self._take_hint(search)
            while not search.is_over:
                place = search.next_place()
                if place is not None:
                    nursery.start_soon(self._try, place, search)
                with trio.move_on_after(STAGGER / SECOND):
                    await search.progress.wait()
                search.progress = trio.Event()
                self._take_hint(search)

    def _take_hint(self, search: _Search) -> None:
        if self._hint is not None and not search.is_settled:
            search.left.appendleft(self._hint)
            self._hint = None

    def introduce(self, leader: Place) -> None:
        """Take a leader's word that it leads."""
        self._hint = leader
        self._introduced.notify()

    async def _try(self, place: Place, search: _Search) -> None:
        """Ask a host, and follow it if it leads and is the first that does."""
        peer = Peer(self._join().place.name, HOST_ROLE)
        follows = False
        dialling = search.begin()
        try:
            with dialling:
                async with open_link(
                    place.address, place.port, self._codec, self._secret, peer
                ) as link:
                    await link.send(self._join())
                    first = await link.receive()
                    if isinstance(first, KeptNews):
                        self._take_kept(first)
                        first = await link.receive()
                    if isinstance(first, Redirect):
                        self._redirected(first)
                        return
                    follows = search.settle_on(dialling)
                    if follows:
                        await self._follow(place, link, first)
        except LinkClosedError:
            pass
        finally:
            search.ended(dialling)
            if follows:
                log_event(LogEvent.LEADER_LOST, leader=place.name, address=place.address)
                self.leader = None

    def _take_kept(self, kept: KeptNews) -> None:
        if self._state.is_started:
            return
        self._state.take_configuration(StoredConfiguration(*kept.configuration))
        if self._state.view is None:
            self._state.take_view(kept.view)
        if not self._state.records:
            self._state.take_servers(kept.servers, [])

    def _redirected(self, redirect: Redirect) -> None:
        known = {(one.address, one.port) for one in self._met}
        fresh = [one for one in redirect.others if (one.address, one.port) not in known]
        self._met = [*fresh, *self._met][:MAX_REMEMBERED]
        self._hint = redirect.leader

    async def _follow(self, place: Place, link: Link, first: object) -> None:
        self.leader = place
        log_event(LogEvent.LEADER_FOUND, leader=place.name, address=place.address)
        self._take(first)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_reporting, link, nursery.cancel_scope)
            while True:
                message: object = None
                with trio.move_on_after(LEADER_SILENT / SECOND):
                    try:
                        message = await link.receive()
                    except LinkClosedError:
                        break
                if message is None:
                    break
                self._take(message)
            nursery.cancel_scope.cancel()

    async def _keep_reporting(self, link: Link, scope: trio.CancelScope) -> None:
        try:
            while True:
                await link.send(self._report())
                await self.changed.wait_for(REPORT_EVERY)
        except LinkClosedError:
            scope.cancel()

    def _take(self, message: object) -> None:
        self.heard_at = self._clock.now()
        match message:
            case ConfigurationNews(version, packed):
                self._state.take_configuration(StoredConfiguration(version, packed))
                self.changed.notify()
            case ServerNews(complete, changed, gone):
                self._state.take_servers(changed, list(self._state.records) if complete else gone)
                self._state.list_is_fresh()
            case TierView():
                self._state.take_view(message)
            case QuarantineNews(fingerprints):
                self._state.take_quarantine(fingerprints)
            case Pulse(list_is_fresh):
                if list_is_fresh:
                    self._state.list_is_fresh()
