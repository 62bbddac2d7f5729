"""A host's side of the link to the leader: what is in force, the servers, and who is there."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..core.control.configuration_register import StoredConfiguration
from ..link import Link, LinkClosedError, Peer, open_link
from ..log import log_event
from ..log_events import LogEvent
from ..signal import Signal
from .leader_search import LeaderSearch
from .node_state import NodeState
from .tier_messages import (
    ConfigurationNews,
    EvacuationNews,
    Join,
    KeptNews,
    Place,
    Pulse,
    QuarantineNews,
    Redirect,
    Report,
    ServerNews,
    Standing,
    TierView,
)
from .tier_server import HOST_ROLE

REPORT_EVERY: Millis = 500.0
LEADER_SILENCE_TIMEOUT: Millis = 1600.0
"""A leader that says nothing for three pulses is gone, or the way to it is."""
STAGGER: Millis = 60.0
"""How long a host is awaited before the next one is asked as well; a link takes some 10 ms."""
REDIAL_INTERVAL: Millis = 120.0
MAX_REMEMBERED = 32
"""Places of hosts met before that are tried when neither seeds nor the log's hosts answer."""


class TierClient:
    """Finds the leader and follows it for as long as it leads.

    Args:
        join: Makes this host's first message.
        report: Makes what this host says of itself.
        places: Returns where to look for the leader: hosts of the log, then seeds.
        state: Takes what the leader says.
        codec: The tier's messages.
        secret: The secret that the hosts share.
        rng: Spreads the rounds of hosts that look at the same time; a fresh one if none is given.
    """

    def __init__(
        self,
        join: Callable[[], Join],
        report: Callable[[], Report],
        places: Callable[[], Iterable[Place]],
        state: NodeState,
        codec: Codec,
        secret: bytes,
        rng: Random | None = None,
    ) -> None:
        self._join = join
        self._report = report
        self._known = places
        self._state = state
        self._codec = codec
        self._secret = secret
        self._rng = rng or Random()
        self._clock = LoopClock()
        self._hint: Place | None = None
        self._met: list[Place] = []
        self.leader: Place | None = None
        """The leader that this host follows now."""
        self.last_heard_at: Millis = 0.0
        """When the leader was last heard."""
        self._introduced = Signal()
        self.report_changed = Signal()
        """To be notified when the report has changed and should go out at once."""

    async def run(self) -> None:
        """Follow whoever leads until cancelled."""
        while True:
            await self._look()
            await self._introduced.wait_for(REDIAL_INTERVAL)

    async def _look(self) -> None:
        """Ask hosts for the leader in rounds, and follow it while it leads."""
        search = LeaderSearch()
        async with trio.open_nursery() as nursery:
            while not search.leader_found:
                await self._ask_round(search, nursery)
                if not search.leader_found:
                    spread = 1.0 + self._rng.random() * (search.backoff_factor - 1.0)
                    await self._introduced.wait_for(REDIAL_INTERVAL * spread)

    async def _ask_round(self, search: LeaderSearch, nursery: trio.Nursery) -> None:
        """Ask each known host once.

        Where a host says that another one leads, that one is next. Each is asked once in a round:
        a host that is cut off from the others may go on naming itself, or one that is gone, and
        whoever believed it each time would never ask those that know better.

        A host that is dark or still starting answers nothing, and takes all the time that it is
        given. So the next one is asked while it is awaited; asked one after the other, two such
        hosts kept a host without a configuration for most of a second after a restart of all.
        """
        search.begin_round([*self._state.controls, *self._known(), *self._met])
        self._take_hint(search)
        while not search.is_round_over:
            place = search.next_place()
            if place is not None:
                nursery.start_soon(self._try, place, search)
            with trio.move_on_after(STAGGER * search.backoff_factor / SECOND):
                await search.progress.wait()
            search.progress = trio.Event()
            self._take_hint(search)
        search.end_round()

    def _take_hint(self, search: LeaderSearch) -> None:
        if self._hint is not None and not search.leader_found:
            search.add_hint(self._hint)
            self._hint = None

    def add_leader_hint(self, leader: Place) -> None:
        """Take a leader's word that it leads."""
        self._hint = leader
        self._introduced.notify()

    async def _try(self, place: Place, search: LeaderSearch) -> None:
        """Ask a host, and follow it if it leads and is the first that does."""
        peer = Peer(self._join().place.name, HOST_ROLE)
        follows = False
        try:
            with search.begin_attempt(place):
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
                    follows = search.select_leader(place)
                    if follows:
                        await self._follow(place, link, first)
        except LinkClosedError:
            pass
        finally:
            search.end_attempt(place)
            if follows:
                log_event(LogEvent.LEADER_LOST, leader=place.name, address=place.address)
                self.leader = None

    def _take_kept(self, kept: KeptNews) -> None:
        if self._state.is_started:
            return
        self._state.apply_evacuations(kept.evacuations)
        self._state.apply_configuration(StoredConfiguration(*kept.configuration))
        if self._state.view is None:
            self._state.apply_view(kept.view)
        # Without a leader nobody tells this host so. As it needs no servers for it, its callers are
        # served at once.
        self._state.apply_standing(not kept.view.is_active_host(self._state.name))
        if not self._state.records:
            self._state.apply_servers(kept.servers, [])

    def _redirected(self, redirect: Redirect) -> None:
        known = {(one.address, one.port) for one in self._met}
        fresh = [one for one in redirect.others if (one.address, one.port) not in known]
        self._met = [*fresh, *self._met][:MAX_REMEMBERED]
        self._hint = redirect.leader

    async def _follow(self, place: Place, link: Link, first: object) -> None:
        self.leader = place
        self._state.on_new_leader()
        log_event(LogEvent.LEADER_FOUND, leader=place.name, address=place.address)
        self._take(first)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_reporting, link, nursery.cancel_scope)
            while True:
                message: object = None
                with trio.move_on_after(LEADER_SILENCE_TIMEOUT / SECOND):
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
                await self.report_changed.wait_for(REPORT_EVERY)
        except LinkClosedError:
            scope.cancel()

    def _take(self, message: object) -> None:
        self.last_heard_at = self._clock.now()
        match message:
            case ConfigurationNews(version, packed):
                self._state.apply_configuration(StoredConfiguration(version, packed))
                self.report_changed.notify()
            case ServerNews(complete, changed, gone):
                self._state.apply_standing(False)
                self._state.apply_servers(changed, list(self._state.records) if complete else gone)
                self._state.mark_list_fresh()
            case EvacuationNews(evacuations):
                self._state.apply_evacuations(evacuations)
            case TierView():
                self._state.apply_view(message)
            case Standing(stands_by):
                self._state.apply_standing(stands_by)
            case QuarantineNews(fingerprints):
                self._state.apply_quarantine(fingerprints)
            case Pulse(list_is_fresh):
                if list_is_fresh:
                    self._state.mark_list_fresh()
