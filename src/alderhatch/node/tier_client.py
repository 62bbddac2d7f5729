"""A host's side of the link to the leader, which sends configuration, servers and hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..core.control.configuration_register import StoredConfiguration
from ..core.forwarding.probe_schedule import LEADER_SILENCE_TIMEOUT, LeaderContact
from ..link import Link, LinkClosedError, Peer, open_link
from ..log import log_event
from ..log_events import LogEvent
from ..signal import Signal
from ..task_faults import TaskKind, record_task_fault
from .leader_search import LeaderSearch
from .lease_messages import LEASING_ROLE, LeaseAnswer
from .lease_renewal import apply_lease_answer, ask_for_leases
from .node_state import NodeState
from .tier_messages import (
    ConfigurationNews,
    EvacuationNews,
    Join,
    KeptNews,
    KeptVerdicts,
    Place,
    Pulse,
    QuarantineNews,
    Redirect,
    Report,
    RequestMark,
    ServerNews,
    Standing,
    TierView,
    keys_marked,
)
from .tier_server import HOST_ROLE
from .usable_copies import usable_servers, usable_view

REPORT_INTERVAL: Millis = 500.0
DIAL_STAGGER: Millis = 60.0
"""How long to wait for a host's answer before the next host is queried as well; opening a link
takes some 10 ms."""
CONNECT_TIMEOUT: Millis = 150.0
"""A host without power accepts no connection, and once it is back, the kernel repeats the attempt
only a second after the first. A new attempt finds it sooner."""
REDIAL_INTERVAL: Millis = 120.0
MAX_REMEMBERED_PLACES = 32
"""Places from redirects that are queried after the members of the log and the seeds."""


class TierClient:
    """Finds the leader and follows it for as long as it leads.

    Args:
        join: Returns this host's first message.
        report: Returns this host's periodic report.
        places: Returns the hosts to query for the leader: members of the log, then seeds.
        state: Updated with what the leader sends.
        codec: The codec of the tier's messages.
        secret: The secret that the hosts share.
        rng: Adds jitter to the rounds of hosts that search at the same time; a new generator if
            None.
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
        self._places = places
        self._state = state
        self._codec = codec
        self._secret = secret
        self._rng = rng or Random()
        self._clock = LoopClock()
        self._leader_hint: Place | None = None
        self._redirect_places: list[Place] = []
        self.leader: Place | None = None
        """The leader that this host follows now; None while it searches."""
        self.last_heard_at: Millis = 0.0
        """When the leader's last message arrived; 0 if none has."""
        self._hint_added = Signal()
        self.report_changed = Signal()
        """Notify it when the report has changed and should be sent at once."""

    def contact(self) -> LeaderContact:
        """Return whether a leader is followed, and when one was last heard."""
        return LeaderContact(self.leader is not None, self.last_heard_at)

    async def run(self) -> None:
        """Find and follow leaders until cancelled."""
        while True:
            await self._search()
            await self._hint_added.wait_for(REDIAL_INTERVAL)

    async def _search(self) -> None:
        """Query hosts for the leader in rounds, and follow it while it leads."""
        search = LeaderSearch()
        async with trio.open_nursery() as nursery:
            while not search.leader_found:
                await self._query_round(search, nursery)
                if not search.leader_found:
                    spread = 1.0 + self._rng.random() * (search.backoff_factor - 1.0)
                    await self._hint_added.wait_for(REDIAL_INTERVAL * spread)

    async def _query_round(self, search: LeaderSearch, nursery: trio.Nursery) -> None:
        """Query each known host once.

        If a host names another one as the leader, that one is queried next. Each host is queried
        once per round: an isolated host may keep naming itself or a lost host as the leader, and
        following it each time would keep this host from querying those that know the leader.

        A host that is down or still starting does not answer and uses up its whole timeout. So the
        next host is queried while the answer is pending. With strictly sequential queries, two such
        hosts left a host without a configuration for most of a second after a restart of all hosts.
        """
        search.begin_round([*self._state.controls, *self._places(), *self._redirect_places])
        self._apply_hint(search)
        while not search.is_round_over:
            place = search.next_place()
            if place is not None:
                nursery.start_soon(self._query, place, search)
            with trio.move_on_after(DIAL_STAGGER * search.backoff_factor / SECOND):
                await search.progress.wait()
            search.progress = trio.Event()
            self._apply_hint(search)
        search.end_round()

    def _apply_hint(self, search: LeaderSearch) -> None:
        if self._leader_hint is not None and not search.leader_found:
            search.add_hint(self._leader_hint)
            self._leader_hint = None

    def add_leader_hint(self, leader: Place) -> None:
        """Query a host next that is believed to lead."""
        self._leader_hint = leader
        self._hint_added.notify()

    async def _query(self, place: Place, search: LeaderSearch) -> None:
        """Query a host, and follow it if it is the first one to answer as the leader."""
        peer = Peer(self._join().place.name, HOST_ROLE)
        follows = False
        try:
            with search.begin_query(place):
                async with open_link(
                    place.address, place.port, self._codec, self._secret, peer, CONNECT_TIMEOUT
                ) as link:
                    await link.send(self._join())
                    first = await link.receive()
                    if isinstance(first, KeptVerdicts):
                        self._apply_verdicts(first.fingerprints)
                        first = await link.receive()
                    if isinstance(first, KeptNews):
                        self._apply_kept(first)
                        first = await link.receive()
                    if isinstance(first, Redirect):
                        self._apply_redirect(first)
                        return
                    follows = search.select_leader(place)
                    if follows:
                        await self._follow(place, link, first)
        except LinkClosedError:
            pass
        except Exception as exc:
            # What this host serves by stays in force, and the leader is followed again.
            record_task_fault(TaskKind.LINK, exc)
        finally:
            search.end_query(place)
            if follows:
                log_event(LogEvent.LEADER_LOST, leader=place.name, address=place.address)
                self.leader = None

    def _apply_kept(self, kept: KeptNews) -> None:
        if self._state.is_started:
            return
        self._state.apply_evacuations(kept.evacuations)
        self._state.apply_configuration(StoredConfiguration(*kept.configuration))
        if self._state.view is None:
            self._state.apply_view(usable_view(kept.view, KeptNews.__name__))
        # Without a leader no host sends a Standing message. A standby host needs no servers, so it
        # can serve its callers at once.
        self._state.apply_standing(not kept.view.is_active_host(self._state.name))
        if not self._state.records:
            self._state.apply_servers(usable_servers(kept.servers, KeptNews.__name__), [])

    def _apply_verdicts(self, fingerprints: list[str]) -> None:
        guard = self._state.crash_guard
        crashing = keys_marked(RequestMark.CRASHING, fingerprints)
        guard.apply_quarantine(key.fingerprint for key in crashing)
        guard.restore_suspects(keys_marked(RequestMark.SUSPECT, fingerprints))

    def _apply_redirect(self, redirect: Redirect) -> None:
        known = {(one.address, one.port) for one in self._redirect_places}
        fresh = [one for one in redirect.others if (one.address, one.port) not in known]
        self._redirect_places = [*fresh, *self._redirect_places][:MAX_REMEMBERED_PLACES]
        self._leader_hint = redirect.leader

    async def _follow(self, place: Place, link: Link, first: object) -> None:
        self.leader = place
        self._state.on_new_leader()
        log_event(LogEvent.LEADER_FOUND, leader=place.name, address=place.address)
        self._apply(first)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_reports, link, nursery.cancel_scope)
            if link.peer.role == LEASING_ROLE:
                nursery.start_soon(ask_for_leases, self._state, link, nursery.cancel_scope)
            while True:
                message: object = None
                with trio.move_on_after(LEADER_SILENCE_TIMEOUT / SECOND):
                    try:
                        message = await link.receive()
                    except LinkClosedError:
                        break
                if message is None:
                    await link.abort()
                    break
                if isinstance(message, LeaseAnswer):
                    apply_lease_answer(self._state, message, place.name)
                self._apply(message)
            nursery.cancel_scope.cancel()

    async def _send_reports(self, link: Link, scope: trio.CancelScope) -> None:
        try:
            while True:
                await link.send(self._report())
                await self.report_changed.wait_for(REPORT_INTERVAL)
        except LinkClosedError:
            scope.cancel()

    def _apply(self, message: object) -> None:
        self.last_heard_at = self._clock.now()
        match message:
            case ConfigurationNews(version, packed):
                self._state.apply_configuration(StoredConfiguration(version, packed))
                self.report_changed.notify()
            case ServerNews(complete, changed, gone):
                self._state.apply_standing(False)
                usable = usable_servers(changed, ServerNews.__name__)
                self._state.apply_servers(usable, list(self._state.records) if complete else gone)
                self._state.mark_list_fresh()
            case EvacuationNews(evacuations):
                self._state.apply_evacuations(evacuations)
            case TierView():
                self._state.apply_view(usable_view(message, TierView.__name__))
            case Standing(stands_by):
                self._state.apply_standing(stands_by)
            case QuarantineNews(fingerprints):
                guard = self._state.crash_guard
                crashing = keys_marked(RequestMark.CRASHING, fingerprints)
                guard.apply_quarantine(key.fingerprint for key in crashing)
                guard.apply_suspects(keys_marked(RequestMark.SUSPECT, fingerprints))
            case Pulse(list_is_fresh):
                if list_is_fresh:
                    self._state.mark_list_fresh()
