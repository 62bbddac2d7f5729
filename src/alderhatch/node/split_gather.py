"""Gathers over many shards that several hosts ask for together, seen from the first one."""

from __future__ import annotations

from collections.abc import Iterable

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.forwarding.forward_run import ForwardRun
from ..core.forwarding.gather_plan import GatherPlan, HostShare, plan_gather
from ..core.forwarding.hand_over import AVOID_DURATION, AVOID_SILENT_DURATION
from ..core.forwarding.outcome import Outcome
from ..core.forwarding.parts_bundle import PartsBundle
from ..core.forwarding.route import AllShards, Route
from ..core.forwarding.run_limits import RunTimes, ShareRules, min_parts
from ..core.forwarding.split_run import (
    CancelShare,
    Effect,
    Finish,
    HostSilent,
    QueryHost,
    QueryLocally,
    SplitRun,
)
from ..errors import AlderhatchError, Ran
from ..log import log_event
from ..log_events import LogEvent
from .dialect import CallerRequest
from .gather_messages import PartsNews, PartsRequest, to_parts_bundle
from .hand_over_client import HandOverClient
from .hand_over_link import HandOverLostError
from .hand_over_messages import to_fields
from .node_state import NodeState
from .parts_collector import PartsCollector

LAST_WORD: Millis = 0.5
"""Before the answer is due, so that this host's own parts are in it."""


class SplitGathers:
    """Has other hosts ask for shares of gathers, and merges what they bring.

    Args:
        state: Knows who owns which shard.
        collector: Asks for this host's own share.
        links: The links to other hosts.
    """

    def __init__(self, state: NodeState, collector: PartsCollector, links: HandOverClient) -> None:
        self.state = state
        self.collector = collector
        self.links = links

    def create(self, req: CallerRequest, route: Route, times: RunTimes) -> SplitGather | None:
        """Return a gather that has not asked anybody yet; None if this host does better alone."""
        destination = route.destination
        if not isinstance(destination, AllShards):
            return None
        now = times.arrived
        plan = plan_gather(
            destination.shards,
            self.state.owners,
            self.state.name,
            lambda name: self.links.is_available(name, now),
        )
        if plan is None or not self._is_servable(destination, now):
            return None
        return SplitGather(self, req, route, destination, plan, times)

    def _is_servable(self, destination: AllShards, now: Millis) -> bool:
        """Return whether so many shards have a server that an answer can be had at all.

        If not, this host refuses the request by itself, and its caller hears that nothing ran.
        """
        table = self.state.table
        servable = sum(1 for name in destination.shards if table.count_usable(name, now))
        return servable >= min_parts(len(destination.shards), destination.min_coverage)


class SplitGather:
    """One gather: what each host was asked for, and what came."""

    def __init__(
        self,
        gathers: SplitGathers,
        req: CallerRequest,
        route: Route,
        destination: AllShards,
        plan: GatherPlan,
        times: RunTimes,
    ) -> None:
        self._gathers = gathers
        self._state = gathers.state
        self._req = req
        self._route = route
        self._most_records = destination.top_k
        self._times = times
        self._plan = plan
        self.split = SplitRun(
            plan, min_parts(len(route.upstreams), destination.min_coverage), times
        )
        self.own = self._share(plan.own, False)
        """The run of this host's own share."""
        self._own_number = len(plan.others) if plan.own else None
        self.again: list[ForwardRun] = []
        """Runs for what other hosts did not bring."""
        self._clock = LoopClock()
        self._scopes: dict[int, trio.CancelScope] = {}
        self._outcome: Outcome | None = None
        self._changed = trio.Event()

    async def run(self) -> Outcome:
        """Gather until there is an outcome; if cancelled, so is the work of all hosts."""
        async with trio.open_nursery() as nursery:
            self._carry_out(self.split.start(self._clock.now()), nursery)
            while self._outcome is None:
                self._changed = trio.Event()
                with trio.move_on_at(self.split.next_wake / SECOND):
                    await self._changed.wait()
                now = self._clock.now()
                if self._outcome is None and now >= self.split.next_wake:
                    self._carry_out(self.split.on_timer(now), nursery)
            nursery.cancel_scope.cancel()
        return self._outcome

    def _carry_out(self, effects: list[Effect], nursery: trio.Nursery) -> None:
        for effect in effects:
            match effect:
                case QueryHost(number, share):
                    nursery.start_soon(self._ask_host, number, share, nursery)
                case QueryLocally(number, shards, is_repeat):
                    nursery.start_soon(self._ask_here, number, shards, is_repeat, nursery)
                case HostSilent(number):
                    self._pass_over(
                        number, "it has said nothing for too long", AVOID_SILENT_DURATION
                    )
                case CancelShare(number):
                    if number in self._scopes:
                        self._scopes[number].cancel()
                case Finish(outcome):
                    self._outcome = outcome
        if effects:
            self._changed.set()

    # At this host

    def _share(self, shards: tuple[str, ...], is_repeat: bool) -> ForwardRun:
        times = RunTimes(self._times.arrived, self._times.deadline, self._times.deadline)
        servers: dict[str, frozenset[str]] = {}
        # Who owns a shard may have changed since, so the zone is that of the host that was asked.
        for share in self._plan.others if is_repeat else ():
            again = set(shards).intersection(share.shards)
            servers |= agreed_servers(self._state, self._route, again, share.host.zone)
        rules = ShareRules(servers, is_repeat, self._times.answer_by)
        return ForwardRun(self._route, shards, times, self._state.table, rules)

    async def _ask_here(
        self, number: int, shards: tuple[str, ...], is_repeat: bool, nursery: trio.Nursery
    ) -> None:
        run = self.own
        if number != self._own_number:
            run = self._share(shards, is_repeat)
            self.again.append(run)

        def take(bundle: PartsBundle) -> None:
            self._carry_out(self.split.on_parts(number, bundle, self._clock.now()), nursery)

        word_at = (self._times.answer_by - LAST_WORD,)
        with self._scope(number):
            await self._gathers.collector.collect(self._req, run, word_at, take)
            self._carry_out(self.split.on_end(number, self._clock.now()), nursery)

    def _scope(self, number: int) -> trio.CancelScope:
        scope = self._scopes[number] = trio.CancelScope()
        return scope

    # At other hosts

    async def _ask_host(self, number: int, share: HostShare, nursery: trio.Nursery) -> None:
        def take(news: PartsNews) -> None:
            bundle = to_parts_bundle(news, share.shards, self._most_records)
            self._carry_out(self.split.on_parts(number, bundle, self._clock.now()), nursery)

        with self._scope(number):
            try:
                await self._gathers.links.ask_parts(share.host, self._message(share), take)
            except HandOverLostError as exc:
                self._lost(number, "the way to it is gone", exc.was_sent, nursery)
                return
            except ValueError as exc:
                self._lost(number, f"its answer does not fit: {exc}", True, nursery)
                return
            except AlderhatchError as exc:
                may_have_run = exc.failure.answer.ran is not Ran.NOT_RUN
                self._lost(number, exc.failure.message, may_have_run, nursery)
                return
            self._carry_out(self.split.on_end(number, self._clock.now()), nursery)

    def _lost(self, number: int, why: str, may_have_run: bool, nursery: trio.Nursery) -> None:
        self._pass_over(number, why, AVOID_DURATION)
        now = self._clock.now()
        self._carry_out(self.split.on_lost(number, may_have_run, now), nursery)

    def _pass_over(self, number: int, why: str, span: Millis) -> None:
        share = self._plan.others[number]
        self._gathers.links.avoid(share.host.name, self._clock.now(), span)
        log_event(
            LogEvent.SHARE_LOST,
            request=self._req.request_id,
            host=share.host.name,
            shards=len(share.shards),
            why=why,
        )

    def _message(self, share: HostShare) -> PartsRequest:
        now = self._clock.now()
        http = self._req.http
        return PartsRequest(
            0,
            http.method,
            http.target,
            to_fields(http.fields),
            http.body,
            self._times.deadline - now,
            self._times.answer_by - now,
            list(share.shards),
        )


def agreed_servers(
    state: NodeState, route: Route, shards: Iterable[str], zone: str
) -> dict[str, frozenset[str]]:
    """Return which servers of shards are asked, for those with more than a request may run on.

    Args:
        state: Knows the servers.
        route: The route.
        shards: The shards.
        zone: The availability zone of the host that was asked for them first.
    """
    agreed: dict[str, frozenset[str]] = {}
    for shard in shards:
        servers = state.table.agreed_servers(shard, route.max_servers, zone)
        if servers is not None:
            agreed[shard] = servers
    return agreed
