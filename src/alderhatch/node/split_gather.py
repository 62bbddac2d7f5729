"""Gathers over many shards that are split among hosts, at the host that received the request."""

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
from ..errors import AlderhatchError, ErrorKind, Failure, RunStatus
from ..log import log_event
from ..log_events import LogEvent
from .caller_identity import check_still_identified
from .dialect import CallerRequest
from .gather_messages import PartsNews, PartsRequest, to_parts_bundle
from .hand_over_client import HandOverClient
from .hand_over_link import HandOverLostError
from .hand_over_messages import to_fields
from .node_state import NodeState
from .parts_collector import PartsCollector

LOCAL_REPORT_MARGIN: Millis = 0.5
"""How long before the answer is due this host reports its own parts, so that they are in it."""


class SplitGathers:
    """Splits gathers among hosts and merges their parts.

    Args:
        state: The node's state with the owners of the shards.
        collector: Queries this host's own share.
        links: The links to other hosts.
    """

    def __init__(self, state: NodeState, collector: PartsCollector, links: HandOverClient) -> None:
        self.state = state
        self.collector = collector
        self.links = links
        self._active: set[SplitGather] = set()

    def begin(self, gather: SplitGather) -> None:
        """Record a gather that is in progress."""
        self._active.add(gather)

    def finish(self, gather: SplitGather) -> None:
        """Forget a gather that has ended."""
        self._active.discard(gather)

    def end_all(self) -> None:
        """End all gathers, each with the parts that have arrived."""
        for gather in list(self._active):
            gather.end()

    def create(self, req: CallerRequest, route: Route, times: RunTimes) -> SplitGather | None:
        """Return a gather that has not started, or None if it should not be split."""
        destination = route.destination
        if not isinstance(destination, AllShards):
            return None
        if self.state.crash_guard.suspicion(req.fingerprint) is not None:
            # Each host would run it on a server of its own share at the same time.
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
        """Return whether enough shards have a usable server to reach the minimum coverage.

        If not, this host refuses the request on its own, so the caller learns that nothing ran.
        """
        table = self.state.table
        servable = sum(1 for name in destination.shards if table.count_usable(name, now))
        return servable >= min_parts(len(destination.shards), destination.min_coverage)


class SplitGather:
    """One gather: the shares of the hosts and the parts that have arrived."""

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
        self._max_records = destination.top_k
        self._times = times
        self._plan = plan
        self.split = SplitRun(
            plan, min_parts(len(route.upstreams), destination.min_coverage), times
        )
        self.own_run = self._share_run(plan.own, False)
        """The run of this host's own share."""
        self._own_share_number = len(plan.others) if plan.own else None
        self.repeat_runs: list[ForwardRun] = []
        """Runs for shards whose parts other hosts did not deliver."""
        self._clock = LoopClock()
        self._scopes: dict[int, trio.CancelScope] = {}
        self._outcome: Outcome | None = None
        self._is_identity_refused = False
        """Whether a share was refused because of the caller's key, which is logged once."""
        self._changed = trio.Event()
        self._is_ending = False

    def end(self) -> None:
        """End with the parts that have arrived, as the host ends."""
        self._is_ending = True
        self._changed.set()

    async def run(self) -> Outcome:
        """Gather until there is an outcome; cancellation also cancels the other hosts' work."""
        self._gathers.begin(self)
        try:
            return await self._run_to_end()
        finally:
            self._gathers.finish(self)

    async def _run_to_end(self) -> Outcome:
        async with trio.open_nursery() as nursery:
            self._apply(self.split.start(self._clock.now()), nursery)
            while self._outcome is None:
                self._changed = trio.Event()
                with trio.move_on_at(self.split.next_wake / SECOND):
                    await self._changed.wait()
                now = self._clock.now()
                if self._outcome is None and self._is_ending:
                    self._apply(self.split.end(), nursery)
                if self._outcome is None and now >= self.split.next_wake:
                    self._apply(self.split.on_timer(now), nursery)
            nursery.cancel_scope.cancel()
        return self._outcome

    def _apply(self, effects: list[Effect], nursery: trio.Nursery) -> None:
        for effect in effects:
            match effect:
                case QueryHost(number, share):
                    nursery.start_soon(self._query_host, number, share, nursery)
                case QueryLocally(number, shards, is_repeat):
                    nursery.start_soon(self._query_locally, number, shards, is_repeat, nursery)
                case HostSilent(number):
                    self._avoid_host(
                        number, "no report from the host before the timeout", AVOID_SILENT_DURATION
                    )
                case CancelShare(number):
                    if number in self._scopes:
                        self._scopes[number].cancel()
                case Finish(outcome):
                    self._outcome = outcome
        if effects:
            self._changed.set()

    # At this host

    def _share_run(self, shards: tuple[str, ...], is_repeat: bool) -> ForwardRun:
        times = RunTimes(self._times.arrived, self._times.deadline, self._times.deadline)
        servers: dict[str, frozenset[str]] = {}
        # The owner of a shard may have changed since, so the zone is that of the host in the plan.
        for share in self._plan.others if is_repeat else ():
            repeated = set(shards).intersection(share.shards)
            servers |= agreed_servers(self._state, self._route, repeated, share.host.zone)
        rules = ShareRules(servers, is_repeat, self._times.answer_by)
        suspicion = self._state.crash_guard.suspicion(self._req.fingerprint)
        return ForwardRun(self._route, shards, times, self._state.table, rules, suspicion)

    async def _query_locally(
        self, number: int, shards: tuple[str, ...], is_repeat: bool, nursery: trio.Nursery
    ) -> None:
        run = self.own_run
        if number != self._own_share_number:
            try:
                check_still_identified(self._state, self._req, self._route, self._clock.now())
            except AlderhatchError as exc:
                self._on_identity_refused(number, self._state.name, exc.failure, nursery)
                return
            run = self._share_run(shards, is_repeat)
            self.repeat_runs.append(run)

        def handle_parts(bundle: PartsBundle) -> None:
            self._apply(self.split.on_parts(number, bundle, self._clock.now()), nursery)

        report_times = (self._times.answer_by - LOCAL_REPORT_MARGIN,)
        with self._scope(number):
            await self._gathers.collector.collect(self._req, run, report_times, handle_parts)
            self._apply(self.split.on_end(number, self._clock.now()), nursery)

    def _scope(self, number: int) -> trio.CancelScope:
        scope = self._scopes[number] = trio.CancelScope()
        return scope

    # At other hosts

    async def _query_host(self, number: int, share: HostShare, nursery: trio.Nursery) -> None:
        def handle_parts(update: PartsNews) -> None:
            bundle = to_parts_bundle(update, share.shards, self._max_records)
            self._apply(self.split.on_parts(number, bundle, self._clock.now()), nursery)

        with self._scope(number):
            try:
                await self._gathers.links.request_parts(
                    share.host, self._to_message(share), handle_parts, self._req.identity
                )
            except HandOverLostError as exc:
                self._on_host_lost(number, "link to the host lost", exc.was_sent, nursery)
                return
            except ValueError as exc:
                self._on_host_lost(number, f"invalid message from the host: {exc}", True, nursery)
                return
            except AlderhatchError as exc:
                if exc.failure.kind is ErrorKind.UNAUTHORIZED:
                    self._on_identity_refused(number, share.host.name, exc.failure, nursery)
                    return
                may_have_run = exc.failure.answer.ran is not RunStatus.NOT_RUN
                self._on_host_lost(number, exc.failure.message, may_have_run, nursery)
                return
            self._apply(self.split.on_end(number, self._clock.now()), nursery)

    def _on_identity_refused(
        self, number: int, host: str, failure: Failure, nursery: trio.Nursery
    ) -> None:
        """End a share without its parts: no server may be asked for them any more."""
        if not self._is_identity_refused:
            log_event(
                LogEvent.IDENTITY_REFUSED,
                request=self._req.request_id,
                host=host,
                outcome=failure.kind,
                why=failure.message,
            )
        self._is_identity_refused = True
        self._apply(self.split.on_end(number, self._clock.now()), nursery)

    def _on_host_lost(
        self, number: int, why: str, may_have_run: bool, nursery: trio.Nursery
    ) -> None:
        self._avoid_host(number, why, AVOID_DURATION)
        now = self._clock.now()
        self._apply(self.split.on_lost(number, may_have_run, now), nursery)

    def _avoid_host(self, number: int, why: str, duration: Millis) -> None:
        share = self._plan.others[number]
        self._gathers.links.avoid(share.host.name, self._clock.now(), duration)
        log_event(
            LogEvent.SHARE_LOST,
            request=self._req.request_id,
            host=share.host.name,
            shards=len(share.shards),
            why=why,
        )

    def _to_message(self, share: HostShare) -> PartsRequest:
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
    """Return the servers to query for shards with more servers than the route allows.

    All hosts compute the same servers, so a repeated query goes to the same servers.

    Args:
        state: The node's state with the servers.
        route: The route.
        shards: The shards.
        zone: The availability zone of the host that was first asked to query them.
    """
    agreed_by_shard: dict[str, frozenset[str]] = {}
    for shard in shards:
        servers = state.table.agreed_servers(shard, route.max_servers, zone)
        if servers is not None:
            agreed_by_shard[shard] = servers
    return agreed_by_shard
