"""Which hosts callers are sent to: the fewest strong ones that bear the load."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

MIN_HOSTS = 4
"""With fewer, the loss of one would take over a quarter of the requests along until callers hear
of it."""
STRONG_SHARE = 0.75
"""A host with at least this part of the strongest one's processor time counts as strong. Between
hosts that differ by less, the spread over availability zones matters more."""
CONNECTIONS_EACH = 4
"""How many connections to each server a host should be able to hold: two for the requests that a
server with two slots runs, one for a hedge beside them, one that was closed a moment ago."""


class HostRecord(NamedTuple):
    """One live host as callers need to know it."""

    name: str
    zone: str
    caller_address: str
    serving: bool
    """Whether callers may be sent to it."""
    processor: float
    """Seconds of processor time that it gets in a second."""


def choose_caller_hosts(
    hosts: Iterable[HostRecord], connections: int, processor_needed: float = 0.0
) -> list[HostRecord]:
    """Return the hosts that callers are sent to, the strongest first.

    A query over a hundred shards keeps a processor busy for tens of milliseconds, so on a host with
    half a core it is late whatever the servers do. And each host that gets requests needs
    connections of its own to every server: with ninety hosts before servers that accept 66
    connections, a server heard from each host once in ten seconds, most connections had timed out
    between two requests, and each query opened dozens. So requests go to few hosts; all others
    stand by.

    Args:
        hosts: The live hosts.
        connections: How many connections each server accepts from all of them.
        processor_needed: How much processor time the chosen ones should have together, in seconds
            a second.
    """
    serving = sorted((host for host in hosts if host.serving), key=lambda host: host.name)
    best = max((host.processor for host in serving), default=0.0)
    seen: Counter[tuple[bool, str]] = Counter()
    ranked: list[tuple[bool, int, str, HostRecord]] = []
    for host in serving:
        weak = host.processor < STRONG_SHARE * best
        seen[weak, host.zone] += 1
        ranked.append((weak, seen[weak, host.zone], host.name, host))
    chosen: list[HostRecord] = []
    has = 0.0
    for weak, _, _, host in sorted(ranked):
        is_enough = len(chosen) >= MIN_HOSTS and has >= processor_needed
        if is_enough and (weak or len(chosen) >= connections // CONNECTIONS_EACH):
            break
        chosen.append(host)
        has += host.processor
    return chosen
