"""Chooses the active hosts, which callers are sent to: the fewest strong ones for the load."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from .host_demand import TARGET_UTILIZATION
from .server_record import MAX_PORT, is_ip_address, is_name, parse_endpoint

MIN_ACTIVE_HOSTS = 4
"""With fewer, the loss of one would affect over a quarter of the requests until callers learn of
it."""
STRONG_CPU_FRACTION = 0.75
"""A host with at least this fraction of the strongest one's processor time counts as strong.
Between hosts that differ by less, the spread over availability zones matters more."""
MIN_HOSTS_BESIDE_SLOW = 2
"""With at least this many other active hosts, one that is too slow for the gathers is not needed to
replace a lost one."""
MIN_CONNECTIONS_PER_SERVER = 4
"""How many connections to each server a host should be able to hold: two for the requests that a
server with two slots runs, one for a hedge, one that was closed a moment ago."""
RESERVE_HOSTS = 8
"""How many hosts behind the active ones are advertised by name as replacements."""
MIN_ADVERTISED_HOSTS = 16
"""In a tier of no more hosts than this, every host is advertised by name."""
MAX_PROCESSOR = 10_000.0
"""Seconds of processor time in a second; no host has more."""
HOST_COUNT_BITS = 4
"""The advertised number of live hosts keeps so many significant bits: it is exact when small and at
most an eighth too large otherwise."""


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
    """The port for links from other hosts, at the address for callers."""


def caller_endpoint(host: HostRecord) -> tuple[str, int]:
    """Return the address and port at which a host accepts callers; port 0 if it names none."""
    return parse_endpoint(host.caller_address)


def is_usable_host(host: HostRecord) -> bool:
    """Return whether a record, as another host tells it, names a host that can be connected to."""
    address, port = caller_endpoint(host)
    return (
        is_name(host.name)
        and is_name(host.zone)
        and is_ip_address(address)
        and 0 < port <= MAX_PORT
        and 0 <= host.link_port <= MAX_PORT
        and 0 <= host.processor <= MAX_PROCESSOR
    )


def is_weak(processor: float, best_processor: float) -> bool:
    """Return whether a host is weak beside another one, by the processor time of both."""
    return processor < STRONG_CPU_FRACTION * best_processor


def rank_hosts(hosts: Iterable[HostRecord]) -> list[HostRecord]:
    """Return hosts in the order in which callers are sent to them, whether they serve or not.

    Strong hosts come first, alternating between availability zones. Any prefix of the order keeps
    its order when it is ranked by itself.
    """
    by_name = sorted(hosts, key=lambda host: host.name)
    best_processor = max((host.processor for host in by_name), default=0.0)
    zone_counts: Counter[tuple[bool, str]] = Counter()
    ranked: list[tuple[bool, int, str, HostRecord]] = []
    for host in by_name:
        weak = is_weak(host.processor, best_processor)
        zone_counts[weak, host.zone] += 1
        ranked.append((weak, zone_counts[weak, host.zone], host.name, host))
    return [host for _, _, _, host in sorted(ranked)]


def choose_caller_hosts(
    hosts: Iterable[HostRecord],
    connections: int,
    processor_needed: float = 0.0,
    gather_processor: float = 0.0,
) -> list[HostRecord]:
    """Return the active hosts, the strongest first.

    A query over a hundred shards keeps a processor busy for tens of milliseconds, so a host with
    half a core is late however fast the servers are. Each active host also needs its own
    connections to every server: with ninety hosts and servers that accept 66 connections, a server
    heard from each host once in ten seconds, most connections had timed out between two requests,
    and each query opened dozens. So requests go to few hosts and all others are on standby.

    Callers spread evenly over the active hosts, whatever their strength. A weak host that is too
    slow for a gather answers it late even when it is idle, so such hosts are active only while the
    others are so busy that they would be no faster.

    Args:
        hosts: The live hosts.
        connections: How many connections each server accepts from all of them.
        processor_needed: How much processor time the active hosts should have together, in seconds
            per second.
        gather_processor: The processor time with which a host answers any gather in time, in
            seconds per second.
    """
    ranked = rank_hosts(host for host in hosts if host.serving)
    best_processor = max((host.processor for host in ranked), default=0.0)
    max_hosts = connections // MIN_CONNECTIONS_PER_SERVER
    chosen: list[HostRecord] = []
    total_processor = 0.0
    fast_processor = 0.0
    for host in ranked:
        weak = is_weak(host.processor, best_processor)
        slow = weak and host.processor < gather_processor
        is_enough = total_processor >= processor_needed
        if slow and not is_enough:
            speed = host.processor / best_processor
            is_enough = not _are_saturated(fast_processor, processor_needed, speed)
        min_hosts = MIN_HOSTS_BESIDE_SLOW if slow else MIN_ACTIVE_HOSTS
        may_be_surplus = not weak and len(chosen) < max_hosts
        if is_enough and len(chosen) >= min_hosts and not may_be_surplus:
            break
        chosen.append(host)
        total_processor += host.processor
        fast_processor += 0.0 if slow else host.processor
    return chosen


def _are_saturated(processor: float, processor_needed: float, speed: float) -> bool:
    """Return whether hosts are so busy that a slower host would answer as soon as they do.

    The time of an answer grows with the inverse of the fraction of a host's time that is left.

    Args:
        processor: The processor time of the hosts.
        processor_needed: The processor time with which their utilization would be
            ``TARGET_UTILIZATION``.
        speed: The speed of the slower host, as a fraction of theirs. Its own utilization would be
            ``TARGET_UTILIZATION``.
    """
    load = processor_needed * TARGET_UTILIZATION
    return load > processor * (1.0 - speed * (1.0 - TARGET_UTILIZATION))


def advertised_hosts(hosts: Iterable[HostRecord], chosen: int) -> list[HostRecord]:
    """Return the hosts that all others need to know by name: the active ones and a reserve.

    If every host were advertised, each of hundreds would receive the whole list with every change
    of any: traffic that grows with the square of the number of hosts, and with the cube while all
    of them join.

    Args:
        hosts: The live hosts, or those of them that serve.
        chosen: How many of them are active.
    """
    return rank_hosts(hosts)[: max(MIN_ADVERTISED_HOSTS, chosen + RESERVE_HOSTS)]


def advertised_host_count(live_hosts: int) -> int:
    """Return the number of live hosts to advertise, rounded up where it is large.

    Budgets are divided by it, so it is never too small. Rounding makes it change rarely; each
    change is sent to every host.
    """
    step: int = 1 << max(0, live_hosts.bit_length() - HOST_COUNT_BITS)
    return -(-live_hosts // step) * step
