"""Hands requests of callers over to a host that serves them."""

from __future__ import annotations

from math import inf
from random import Random
from typing import NamedTuple

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..core.forwarding.caller_hosts import HostRecord
from ..core.forwarding.hand_over import AVOID_DURATION, HandOverRun, HandOverTargets
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse
from ..loop_tasks import LoopTasks
from .gather_messages import PartsEnd, PartsRequest
from .hand_over_link import HandOverLink, HandOverLostError, TakeNews
from .hand_over_messages import (
    MAX_HANDED_BYTES,
    HandedAnswer,
    HandedRefusal,
    HandedRequest,
    to_fields,
)
from .node_state import NodeState

READY_EVERY: Millis = 500.0


class Handed(NamedTuple):
    """A request that another host answered."""

    host: str
    """The name of that host."""
    response: HttpResponse


class HandOverClient:
    """Keeps links to hosts that serve callers while there are requests for them.

    To ask servers itself, a host that stands by would need a connection to each of them for the few
    requests that come to it, and the list of all servers. With hundreds of hosts that is many times
    what servers accept, and every change of the list would be sent hundreds of times.

    Args:
        state: Knows who serves, and the newest configuration.
        codec: The tier's messages.
        secret: The secret that the hosts share.
        rng: Spreads the requests over hosts.
    """

    def __init__(self, state: NodeState, codec: Codec, secret: bytes, rng: Random) -> None:
        self._state = state
        self._codec = codec
        self._secret = secret
        self._targets = HandOverTargets(state.name, state.zone, rng)
        self._clock = LoopClock()
        self._tasks = LoopTasks()
        self._links: dict[str, HandOverLink] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Keep the links until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._tasks.run)
            nursery.start_soon(self._keep_ready)
            task_status.started()

    async def _keep_ready(self) -> None:
        """Hold links to the hosts that own shards while callers are sent to this one.

        Opened with the first gather that is split, they would make it late.
        """
        while True:
            await trio.sleep(READY_EVERY / SECOND)
            state = self._state
            if not any(host.name == state.name for host in state.caller_hosts):
                continue
            if not state.has_split_gather:
                continue
            now = self._clock.now()
            for host in state.owners.hosts.values():
                if host.name != state.name and self.is_sound(host.name, now):
                    self._link_to(host).keep()

    def is_sound(self, name: str, now: Millis) -> bool:
        """Return whether a host is not passed over just now."""
        return not self._targets.is_avoided(name, now)

    def avoid(self, name: str, now: Millis, span: Millis = AVOID_DURATION) -> None:
        """Pass a host over for a while."""
        self._targets.avoid(name, now, span)

    async def ask_parts(self, host: HostRecord, req: PartsRequest, take: TakeNews) -> PartsEnd:
        """Have a host ask for a share of a gather.

        Args:
            host: The host.
            req: What it is asked for.
            take: Takes the parts as they come; raises ``ValueError`` if they don't fit.

        Raises:
            HandOverLostError: If the way to it is gone.
            ValueError: If what came does not fit.
            AlderhatchError: If it refused.
        """
        reply = await self._link_to(host).call(req, take)
        match reply:
            case PartsEnd():
                return reply
            case HandedAnswer():
                raise ValueError("an answer to another kind of request")
            case HandedRefusal():
                raise AlderhatchError(_failure(reply))

    async def hand_over(self, http: HttpRequest, time_left: Millis | None) -> Handed:
        """Have another host answer a request.

        Args:
            http: The request.
            time_left: How long its caller waits, if it said so.

        Raises:
            AlderhatchError: If no host answers it; its kind says whether it may have run.
        """
        if len(http.body) > MAX_HANDED_BYTES:
            message = f"a host that stands by takes at most {MAX_HANDED_BYTES} bytes"
            raise AlderhatchError(Failure(ErrorKind.TOO_LARGE, message, "body"))
        deadline = inf if time_left is None else self._clock.now() + time_left
        run = HandOverRun(self._targets, lambda: self._state.caller_hosts, deadline)
        while True:
            now = self._clock.now()
            host = run.next_host(now)
            try:
                reply = await self._link_to(host).call(self._message(http, deadline - now))
            except HandOverLostError as exc:
                run.lost(host, exc.was_sent, self._clock.now())
                continue
            if isinstance(reply, HandedAnswer):
                self._state.record_seen_version(reply.version)
                return Handed(host.name, _response(reply))
            if isinstance(reply, PartsEnd):
                run.lost(host, True, self._clock.now())
                continue
            run.refused(host, _failure(reply), self._clock.now())

    def _message(self, http: HttpRequest, left: Millis) -> HandedRequest:
        return HandedRequest(
            0,
            http.method,
            http.target,
            to_fields(http.fields),
            http.body,
            None if left == inf else left,
            http.on_used_connection,
            http.round_trip,
            self._state.seen_version,
        )

    def _link_to(self, host: HostRecord) -> HandOverLink:
        known = self._links.get(host.name)
        if known is not None and known.is_open and known.leads_to(host):
            return known
        link = HandOverLink(host, self._codec, self._secret, self._state.name)
        self._links[host.name] = link
        self._tasks.start(link.run)
        return link


def _failure(refusal: HandedRefusal) -> Failure:
    return Failure(refusal.kind, refusal.message, refusal.field, refusal.retry_after)


def _response(answer: HandedAnswer) -> HttpResponse:
    fields = [(one.name, one.value) for one in answer.fields]
    return HttpResponse(answer.status, answer.body, answer.content_type, (), fields)
