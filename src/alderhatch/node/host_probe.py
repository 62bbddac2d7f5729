"""Tries the hosts that callers are sent to, while no leader tells who is gone."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.forwarding.caller_hosts import HostRecord
from ..log import log_event
from ..log_events import LogEvent
from .leader_search import DIAL_TIMEOUT
from .node_state import NodeState
from .tier_client import LEADER_SILENCE_TIMEOUT

PROBE_EVERY: Millis = 1 * SECOND
"""Callers keep an answer for seconds, so a host that is gone need not be noticed sooner."""


async def probe_hosts(state: NodeState, has_leader: Callable[[], bool]) -> None:
    """Try hosts again and again while there is no leader, until cancelled.

    Args:
        state: Says whom to try, and takes who was reached.
        has_leader: Returns whether a leader is followed now.
    """
    clock = LoopClock()
    led_at = clock.now()
    while True:
        await trio.sleep(PROBE_EVERY / SECOND)
        if has_leader():
            led_at = clock.now()
        elif clock.now() - led_at >= LEADER_SILENCE_TIMEOUT:
            await _probe(state)


async def _probe(state: NodeState) -> None:
    before = state.unreachable_hosts
    reached: dict[str, bool] = {}
    async with trio.open_nursery() as nursery:
        for host in state.hosts_to_probe():
            nursery.start_soon(_try_host, host, reached)
    state.record_host_probes(reached)
    if state.unreachable_hosts != before:
        log_event(LogEvent.HOSTS_OUT_OF_REACH, hosts=sorted(state.unreachable_hosts))


async def _try_host(host: HostRecord, reached: dict[str, bool]) -> None:
    reached[host.name] = False
    address, _, port = host.caller_address.rpartition(":")
    with trio.move_on_after(DIAL_TIMEOUT / SECOND):
        try:
            stream = await trio.open_tcp_stream(address, int(port))
        except OSError:
            return
        reached[host.name] = True
        await stream.aclose()
