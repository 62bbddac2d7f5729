"""Hands callers' requests over to active hosts and requests shares of gathers from hosts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from math import inf
from random import Random
from typing import NamedTuple

import trio

from ..clock import SECOND, LoopClock, Millis
from ..codec import Codec
from ..core.forwarding.caller_hosts import HostRecord
from ..core.forwarding.hand_over import AVOID_DURATION, HandOverRun, HandOverTargets
from ..core.forwarding.identity import Identity
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse
from ..log import log_event
from ..log_events import LogEvent
from ..loop_tasks import LoopTasks, keep_running
from ..task_faults import TaskKind
from .gather_messages import PartsEnd, PartsRequest
from .hand_over_link import HandOverLink, HandOverLostError, PartsNewsHandler
from .hand_over_messages import (
    MAX_HANDED_BYTES,
    HandedAnswer,
    HandedRefusal,
    HandedRequest,
    check_answer,
    fits_hand_over,
    to_fields,
)
from .identity_messages import with_identity
from .node_state import NodeState

OWNER_LINK_INTERVAL: Millis = 500.0


class HandedResponse(NamedTuple):
    """Another host's response to a request that was handed over."""

    host: str
    """The name of the host that answered."""
    response: HttpResponse


class HandOverClient:
    """Sends requests to other hosts over links that are opened on demand.

    To query servers itself, a standby host would need the list of all servers and a connection to
    each of them for the few requests that it receives. With hundreds of hosts that is many times
    the connections that servers accept, and every change of the list would be sent hundreds of
    times.

    Args:
        state: The node's state: the active hosts and the newest configuration version.
        codec: Encodes the messages between hosts.
        secret: The shared secret of the hosts.
        rng: Spreads the requests over hosts.
        check_hosts: Waits until it is known whether the active hosts can be reached; None if that
            is always known.
    """

    def __init__(
        self,
        state: NodeState,
        codec: Codec,
        secret: bytes,
        rng: Random,
        check_hosts: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._state = state
        self._codec = codec
        self._secret = secret
        self._check_hosts = check_hosts
        self._targets = HandOverTargets(state.name, state.zone, rng)
        self._clock = LoopClock()
        self._tasks = LoopTasks(TaskKind.LINK)
        self._links: dict[str, HandOverLink] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the links until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._tasks.run)
            nursery.start_soon(keep_running, self._keep_owner_links)
            task_status.started()

    async def _keep_owner_links(self) -> None:
        """Keep links to the hosts that own shards open while this host is active.

        If they were opened only with the first split gather, its answer would be late.
        """
        while True:
            await trio.sleep(OWNER_LINK_INTERVAL / SECOND)
            state = self._state
            if not any(host.name == state.name for host in state.caller_hosts):
                continue
            if not state.has_split_gather:
                continue
            now = self._clock.now()
            for host in state.owners.hosts.values():
                if host.name != state.name and self.is_available(host.name, now):
                    self._link_to(host).keep_open()

    def is_available(self, name: str, now: Millis) -> bool:
        """Return whether a host is not avoided at the moment."""
        return not self._targets.is_avoided(name, now)

    def avoid(self, name: str, now: Millis, duration: Millis = AVOID_DURATION) -> None:
        """Avoid a host for a duration; see ``HandOverTargets.avoid``."""
        self._targets.avoid(name, now, duration)

    async def request_parts(
        self,
        host: HostRecord,
        req: PartsRequest,
        on_parts: PartsNewsHandler,
        identity: Identity | None = None,
    ) -> PartsEnd:
        """Have another host query its share of a gather.

        Args:
            host: The other host.
            req: The request for the share.
            on_parts: Handles parts as they arrive; raises ``ValueError`` for an invalid message.
            identity: What was decided about the caller; None without organisations.

        Raises:
            HandOverLostError: If the link to the host is lost or cannot be opened.
            ValueError: If a message of the host is invalid.
            AlderhatchError: If the host refused the request.
        """
        reply = await self._link_to(host).call(with_identity(req, identity), on_parts)
        match reply:
            case PartsEnd():
                return reply
            case HandedAnswer():
                raise ValueError("expected PartsEnd, got HandedAnswer")
            case HandedRefusal():
                raise AlderhatchError(_failure(reply))

    async def hand_over(
        self,
        http: HttpRequest,
        time_left: Millis | None,
        hosts: Sequence[HostRecord] = (),
        identity: Identity | None = None,
    ) -> HandedResponse:
        """Have another host answer a request.

        Args:
            http: The request.
            time_left: How long its caller waits; None if it set no limit.
            hosts: The hosts that may answer it; empty for all active hosts.
            identity: What was decided about the caller; None without organisations.

        Raises:
            AlderhatchError: If no host answers the request; the kind says whether it may have run.
        """
        if not fits_hand_over(http):
            message = f"body exceeds the standby host's limit of {MAX_HANDED_BYTES} bytes"
            raise AlderhatchError(Failure(ErrorKind.TOO_LARGE, message, "body"))
        deadline = inf if time_left is None else self._clock.now() + time_left
        if self._check_hosts is not None:
            await self._check_hosts()
        run = HandOverRun(self._targets, lambda: self._candidates(hosts), deadline)
        while True:
            now = self._clock.now()
            host = run.next_host(now)
            try:
                req = with_identity(self._to_message(http, deadline - now), identity)
                reply = await self._link_to(host).call(req)
                if isinstance(reply, HandedAnswer):
                    check_answer(reply)
                    self._state.record_seen_version(reply.version)
                    return HandedResponse(host.name, _response(reply))
                if isinstance(reply, PartsEnd):
                    raise ValueError("expected HandedAnswer, got PartsEnd")
            except HandOverLostError as exc:
                run.handle_loss(host, exc.was_sent, self._clock.now())
                continue
            except ValueError as exc:
                # The other host may have run it.
                log_event(LogEvent.LINK_MESSAGE_REFUSED, peer=host.name, why=str(exc))
                run.handle_loss(host, True, self._clock.now())
                continue
            run.handle_refusal(host, _failure(reply), self._clock.now())

    def _candidates(self, hosts: Sequence[HostRecord]) -> list[HostRecord]:
        """Return the hosts that may answer now, without those that are known to be lost."""
        state = self._state
        if not hosts:
            return state.caller_hosts
        reachable = [host for host in hosts if host.name not in state.unreachable_hosts]
        # A host that knows servers would rather run the request than give it to another slow one.
        return reachable or (state.caller_hosts if state.hands_over else [])

    def _to_message(self, http: HttpRequest, remaining: Millis) -> HandedRequest:
        return HandedRequest(
            0,
            http.method,
            http.target,
            to_fields(http.fields),
            http.body,
            None if remaining == inf else remaining,
            http.on_used_connection,
            http.round_trip,
            self._state.seen_version,
        )

    def _link_to(self, host: HostRecord) -> HandOverLink:
        existing = self._links.get(host.name)
        if existing is not None and existing.is_open and existing.connects_to(host):
            return existing
        link = HandOverLink(host, self._codec, self._secret, self._state.name)
        self._links[host.name] = link
        self._tasks.start(link.run)
        return link


def _failure(refusal: HandedRefusal) -> Failure:
    return Failure(refusal.kind, refusal.message, refusal.field, refusal.retry_after)


def _response(answer: HandedAnswer) -> HttpResponse:
    fields = [(header.name, header.value) for header in answer.fields]
    return HttpResponse(answer.status, answer.body, answer.content_type, (), fields)
