"""Checks settings beyond the types and ranges of single fields."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from ipaddress import ip_address
from typing import NamedTuple

from .key_lines import KeyPath
from .models import ControlSettings, Endpoint, EntrySettings, NamedEndpoint

MIN_HEARTBEATS_PER_ELECTION_TIMEOUT = 3
"""Fewest missed heartbeats that start an election."""
ELECTION_TIMEOUTS_PER_LEADER_CHANGE = 2
"""Longest change of leader, in election timeouts; a lease has to outlast it."""
MAX_CONTROL_HOSTS = 7


class KeyFault(NamedTuple):
    """A fault at a key, without the file and the line."""

    path: KeyPath
    message: str
    allowed: str


def check_entry(cfg: EntrySettings) -> list[KeyFault]:
    """Return the faults of an entry's settings that the model does not detect."""
    faults = list(_check_ports_differ("callers", cfg.callers, cfg.operators))
    faults += _check_advertised_address(("callers", "address"), cfg.callers)
    if cfg.drain_ms <= cfg.address_ttl_ms:
        # A caller that resolved this entry's address just before the stop may use it for
        # address_ttl_ms. An entry that stops sooner would refuse that caller.
        message = f"{cfg.drain_ms:g} ms is not more than address_ttl_ms, {cfg.address_ttl_ms:g} ms"
        faults.append(KeyFault(("drain_ms",), message, "a duration longer than address_ttl_ms"))
    faults += _check_rule_source(cfg)
    faults += _check_duplicates("controls", "name", [peer.name for peer in cfg.controls])
    faults += _check_duplicates("controls", "port", _format_endpoints(cfg.controls))
    if len(cfg.controls) > MAX_CONTROL_HOSTS:
        message = f"{len(cfg.controls)} control hosts"
        faults.append(KeyFault(("controls",), message, f"at most {MAX_CONTROL_HOSTS}"))
    faults += _check_duplicates("upstreams", "name", [item.name for item in cfg.upstreams])
    for index, upstream in enumerate(cfg.upstreams):
        for fault in _check_duplicates("seeds", "port", _format_endpoints(upstream.seeds)):
            faults.append(fault._replace(path=("upstreams", index, *fault.path)))
    return faults


def check_control(cfg: ControlSettings) -> list[KeyFault]:
    """Return the faults of a control host's settings that the model does not detect."""
    faults = list(_check_ports_differ("links", cfg.links, cfg.operators))
    faults += _check_duplicates("peers", "name", [peer.name for peer in cfg.peers])
    faults += _check_duplicates("peers", "port", _format_endpoints(cfg.peers))
    faults += _check_own_peer(cfg)
    if len(cfg.peers) % 2 == 0:
        # With an even number of hosts the majority is larger, but no more losses are tolerated
        # than with one host fewer: 4 hosts lose their majority at the second loss, as 3 do.
        message = f"{len(cfg.peers)} control hosts tolerate no more losses than one host fewer"
        faults.append(KeyFault(("peers",), message, "1, 3, 5 or 7 hosts"))
    if cfg.election_timeout_ms < MIN_HEARTBEATS_PER_ELECTION_TIMEOUT * cfg.heartbeat_ms:
        # A single delayed heartbeat would start an election. The leader would change without a
        # fault, and changes by operators would sometimes fail with no_leader.
        message = (
            f"{cfg.election_timeout_ms:g} ms is less than three heartbeats "
            f"of {cfg.heartbeat_ms:g} ms"
        )
        allowed = f"at least {MIN_HEARTBEATS_PER_ELECTION_TIMEOUT} times heartbeat_ms"
        faults.append(KeyFault(("election_timeout_ms",), message, allowed))
    if cfg.lease_ms <= ELECTION_TIMEOUTS_PER_LEADER_CHANGE * cfg.election_timeout_ms:
        # Leases would expire during an ordinary change of leader, and all entries would refuse
        # their callers at the same time.
        message = f"{cfg.lease_ms:g} ms is not longer than a change of leader can take"
        allowed = f"more than {ELECTION_TIMEOUTS_PER_LEADER_CHANGE} times election_timeout_ms"
        faults.append(KeyFault(("lease_ms",), message, allowed))
    if cfg.secret_file == cfg.keys_file:
        message = "is the same file as secret_file"
        faults.append(KeyFault(("keys_file",), message, "a separate file"))
    return faults


def _check_rule_source(cfg: EntrySettings) -> Iterator[KeyFault]:
    if cfg.controls and cfg.rules_file is not None:
        # With two sources, each restart would load the file again and revert the rules that
        # control has accepted since.
        message = "conflicts with controls, which provide the rules"
        yield KeyFault(("rules_file",), message, "either controls or rules_file")
    if not cfg.controls and cfg.rules_file is None:
        message = "neither controls nor rules_file is set"
        yield KeyFault(("controls",), message, "either controls or rules_file")
    if cfg.controls and cfg.secret_file is None:
        message = "required for the links to the control hosts"
        yield KeyFault(("secret_file",), message, "a path")


def _check_own_peer(cfg: ControlSettings) -> Iterator[KeyFault]:
    own = next((peer for peer in cfg.peers if peer.name == cfg.name), None)
    if own is None:
        names = ", ".join(peer.name for peer in cfg.peers)
        yield KeyFault(("name",), f"{cfg.name!r} is not among the peers", f"one of {names}")
        return
    if not own.port or not cfg.links.port:
        return
    if (own.address, own.port) != (cfg.links.address, cfg.links.port):
        message = f"peer {own.name!r} is at {own.address}:{own.port}, not at the address of links"
        allowed = f"{cfg.links.address}:{cfg.links.port}"
        index = cfg.peers.index(own)
        yield KeyFault(("peers", index, "port"), message, allowed)


def _check_ports_differ(name: str, first: Endpoint, second: Endpoint) -> Iterator[KeyFault]:
    if first.port and first.port == second.port and _overlap(first, second):
        message = f"port {second.port} is also used by {name}"
        yield KeyFault(("operators", "port"), message, "a separate port")


def _overlap(first: Endpoint, second: Endpoint) -> bool:
    addresses = {ip_address(first.address), ip_address(second.address)}
    return len(addresses) == 1 or any(address.is_unspecified for address in addresses)


def _check_advertised_address(path: KeyPath, endpoint: Endpoint) -> Iterator[KeyFault]:
    if ip_address(endpoint.address).is_unspecified:
        message = f"{endpoint.address} can't be advertised to callers"
        yield KeyFault(path, message, "the address by which callers reach this host")


def _format_endpoints(endpoints: Iterable[Endpoint | NamedEndpoint]) -> list[str]:
    return [f"{item.address}:{item.port}" if item.port else "" for item in endpoints]


def _check_duplicates(table: str, key: str, values: Sequence[str]) -> Iterator[KeyFault]:
    counts = Counter(value for value in values if value)
    for index, value in enumerate(values):
        if counts[value] > 1 and value in values[:index]:
            message = f"{value!r} occurs more than once"
            yield KeyFault((table, index, key), message, "unique values")
