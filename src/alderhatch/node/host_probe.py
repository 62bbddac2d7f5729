"""Probes the active hosts as long as there is no leader that reports lost hosts."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.forwarding.caller_hosts import HostRecord
from ..log import log_event
from ..log_events import LogEvent
from .leader_search import ANSWER_TIMEOUT
from .node_state import NodeState
from .tier_client import LEADER_SILENCE_TIMEOUT

PROBE_INTERVAL: Millis = 1 * SECOND
"""Callers cache an address list for seconds, so a lost host need not be detected sooner."""


async def probe_hosts(state: NodeState, has_leader: Callable[[], bool]) -> None:
    """Probe hosts periodically as long as there is no leader; runs until cancelled.

    Args:
        state: Selects the hosts to probe and records the results.
        has_leader: Returns whether this host follows a leader now.
    """
    clock = LoopClock()
    last_followed_at = clock.now()
    while True:
        await trio.sleep(PROBE_INTERVAL / SECOND)
        if has_leader():
            last_followed_at = clock.now()
        elif clock.now() - last_followed_at >= LEADER_SILENCE_TIMEOUT:
            await _probe_all(state)


async def _probe_all(state: NodeState) -> None:
    before = state.unreachable_hosts
    reached: dict[str, bool] = {}
    async with trio.open_nursery() as nursery:
        for host in state.hosts_to_probe():
            nursery.start_soon(_probe_host, host, reached)
    state.record_host_probes(reached)
    if state.unreachable_hosts != before:
        log_event(LogEvent.HOSTS_OUT_OF_REACH, hosts=sorted(state.unreachable_hosts))


async def _probe_host(host: HostRecord, reached: dict[str, bool]) -> None:
    reached[host.name] = False
    address, _, port = host.caller_address.rpartition(":")
    with trio.move_on_after(ANSWER_TIMEOUT / SECOND):
        try:
            stream = await trio.open_tcp_stream(address, int(port))
        except OSError:
            return
        reached[host.name] = True
        await stream.aclose()
