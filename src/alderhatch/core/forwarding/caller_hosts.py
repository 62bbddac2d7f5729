"""Which hosts callers are sent to: the fewest strong ones that bear the load."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

MIN_ACTIVE_HOSTS = 4
"""With fewer, the loss of one would take over a quarter of the requests along until callers hear
of it."""
STRONG_SHARE = 0.75
"""A host with at least this part of the strongest one's processor time counts as strong. Between
hosts that differ by less, the spread over availability zones matters more."""
CONNECTIONS_EACH = 4
"""How many connections to each server a host should be able to hold: two for the requests that a
server with two slots runs, one for a hedge beside them, one that was closed a moment ago."""
RESERVE = 8
"""How many hosts behind the chosen ones are known by name, to take the place of those that go."""
MIN_ADVERTISED_HOSTS = 16
"""A tier of no more hosts than this knows all of them by name."""
COUNT_BITS = 4
"""The number of live hosts is told with so many binary digits: exact for few, an eighth too large
at most for many."""


class HostRecord(NamedTuple):
    """One live host as callers need to know it."""

    name: str
    zone: str
    caller_address: str
    serving: bool
    """Whether callers may be sent to it."""
    processor: float
    """Seconds of processor time that it gets in a second."""
    link_port: int = 0
    """Where it accepts links of other hosts, at the address of its callers."""


def rank_hosts(hosts: Iterable[HostRecord]) -> list[HostRecord]:
    """Return hosts in the order in which callers are sent to them, whether they serve or not.

    Strong hosts come first, those of different availability zones by turns. Any leading part of the
    order is in the same order when it is ranked by itself.
    """
    by_name = sorted(hosts, key=lambda host: host.name)
    best = max((host.processor for host in by_name), default=0.0)
    seen: Counter[tuple[bool, str]] = Counter()
    ranked: list[tuple[bool, int, str, HostRecord]] = []
    for host in by_name:
        weak = host.processor < STRONG_SHARE * best
        seen[weak, host.zone] += 1
        ranked.append((weak, seen[weak, host.zone], host.name, host))
    return [host for _, _, _, host in sorted(ranked)]


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
    ranked = rank_hosts(host for host in hosts if host.serving)
    best = max((host.processor for host in ranked), default=0.0)
    chosen: list[HostRecord] = []
    has = 0.0
    for host in ranked:
        weak = host.processor < STRONG_SHARE * best
        is_enough = len(chosen) >= MIN_ACTIVE_HOSTS and has >= processor_needed
        if is_enough and (weak or len(chosen) >= connections // CONNECTIONS_EACH):
            break
        chosen.append(host)
        has += host.processor
    return chosen


def advertised_hosts(hosts: Iterable[HostRecord], chosen: int) -> list[HostRecord]:
    """Return the hosts that all others need to know by name: the chosen ones, and a reserve.

    Told of every host, each of hundreds would be sent all of them with each change of any: bytes
    that grow with the square of the hosts, and with the cube while all of them join.

    Args:
        hosts: The live hosts, or those of them that serve.
        chosen: How many of them callers are sent to.
    """
    return rank_hosts(hosts)[: max(MIN_ADVERTISED_HOSTS, chosen + RESERVE)]


def advertised_host_count(alive: int) -> int:
    """Return how many hosts are told to be live, rounded up where they are many.

    Budgets are divided by it, so it is never too small. Rounded, it changes seldom; each change
    would be sent to every host.
    """
    step: int = 1 << max(0, alive.bit_length() - COUNT_BITS)
    return -(-alive // step) * step
