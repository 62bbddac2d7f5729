"""Checks that compare one setting with another."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from ipaddress import ip_address
from typing import NamedTuple

from .key_lines import KeyPath
from .models import ControlSettings, Endpoint, EntrySettings, NamedEndpoint

HEARTBEATS_PER_ELECTION = 3
"""Heartbeats that have to be missed, at least, before an election starts."""
ELECTIONS_PER_LEASE = 2
"""A change of leader takes up to two election timeouts; a lease has to outlast it."""
MAX_CONTROLS = 7


class CrossFault(NamedTuple):
    """Two settings that do not go together."""

    path: KeyPath
    message: str
    allowed: str


def check_entry(cfg: EntrySettings) -> list[CrossFault]:
    """Return what does not go together in an entry's settings."""
    faults = list(_check_listeners("callers", cfg.callers, cfg.operators))
    faults += _check_reachable(("callers", "address"), cfg.callers)
    if cfg.drain_ms <= cfg.address_ttl_ms:
        # A caller that was told of this entry just before the stop keeps the address for
        # address_ttl_ms. An entry that stops sooner refuses it on a connection it may still use.
        message = f"{cfg.drain_ms:g} ms is not more than address_ttl_ms, {cfg.address_ttl_ms:g} ms"
        faults.append(CrossFault(("drain_ms",), message, "a span longer than address_ttl_ms"))
    faults += _check_source_of_rules(cfg)
    faults += _check_duplicates("controls", "name", [peer.name for peer in cfg.controls])
    faults += _check_duplicates("controls", "port", _endpoints(cfg.controls))
    if len(cfg.controls) > MAX_CONTROLS:
        message = f"{len(cfg.controls)} control hosts"
        faults.append(CrossFault(("controls",), message, f"at most {MAX_CONTROLS}"))
    faults += _check_duplicates("upstreams", "name", [one.name for one in cfg.upstreams])
    for index, upstream in enumerate(cfg.upstreams):
        for fault in _check_duplicates("seeds", "port", _endpoints(upstream.seeds)):
            faults.append(fault._replace(path=("upstreams", index, *fault.path)))
    return faults


def check_control(cfg: ControlSettings) -> list[CrossFault]:
    """Return what does not go together in a control host's settings."""
    faults = list(_check_listeners("links", cfg.links, cfg.operators))
    faults += _check_duplicates("peers", "name", [peer.name for peer in cfg.peers])
    faults += _check_duplicates("peers", "port", _endpoints(cfg.peers))
    faults += _check_own_peer(cfg)
    if len(cfg.peers) % 2 == 0:
        # An even number needs a larger majority than the odd one below it, yet survives no more
        # losses: 4 hosts stop at the second loss, as 3 do.
        message = f"{len(cfg.peers)} control hosts survive no more losses than one host fewer"
        faults.append(CrossFault(("peers",), message, "1, 3, 5 or 7 hosts"))
    if cfg.election_timeout_ms < HEARTBEATS_PER_ELECTION * cfg.heartbeat_ms:
        # One delayed heartbeat would already start an election, so leaders would change under
        # no fault at all; operators would see changes fail with no_leader now and then.
        message = (
            f"{cfg.election_timeout_ms:g} ms is under three heartbeats of {cfg.heartbeat_ms:g}"
        )
        allowed = f"{HEARTBEATS_PER_ELECTION} times heartbeat_ms or more"
        faults.append(CrossFault(("election_timeout_ms",), message, allowed))
    if cfg.lease_ms <= ELECTIONS_PER_LEASE * cfg.election_timeout_ms:
        # Leases would run out during an ordinary change of leader, and every entry would refuse
        # its callers at once.
        message = f"{cfg.lease_ms:g} ms does not outlast a change of leader"
        allowed = f"more than {ELECTIONS_PER_LEASE} times election_timeout_ms"
        faults.append(CrossFault(("lease_ms",), message, allowed))
    if cfg.secret_file == cfg.keys_file:
        message = "is the same file as secret_file"
        faults.append(CrossFault(("keys_file",), message, "a file of its own"))
    return faults


def _check_source_of_rules(cfg: EntrySettings) -> Iterator[CrossFault]:
    if cfg.controls and cfg.rules_file is not None:
        # Two sources of rules would disagree sooner or later, and the file would win after
        # each restart: an accepted list would revert.
        message = "given together with controls, which hand out the rules"
        yield CrossFault(("rules_file",), message, "either controls or rules_file")
    if not cfg.controls and cfg.rules_file is None:
        message = "the entry has no source of rules"
        yield CrossFault(("controls",), message, "either controls or rules_file")
    if cfg.controls and cfg.secret_file is None:
        message = "needed for the links to the control hosts"
        yield CrossFault(("secret_file",), message, "a path")


def _check_own_peer(cfg: ControlSettings) -> Iterator[CrossFault]:
    own = next((peer for peer in cfg.peers if peer.name == cfg.name), None)
    if own is None:
        names = ", ".join(peer.name for peer in cfg.peers)
        yield CrossFault(("name",), f"{cfg.name!r} is not among the peers", f"one of {names}")
        return
    if not own.port or not cfg.links.port:
        return
    if (own.address, own.port) != (cfg.links.address, cfg.links.port):
        message = f"the peer {own.name!r} is at {own.address}:{own.port}, not where links listens"
        allowed = f"{cfg.links.address}:{cfg.links.port}"
        index = cfg.peers.index(own)
        yield CrossFault(("peers", index, "port"), message, allowed)


def _check_listeners(name: str, first: Endpoint, second: Endpoint) -> Iterator[CrossFault]:
    if first.port and first.port == second.port and _overlap(first, second):
        message = f"port {second.port} is also that of {name}"
        yield CrossFault(("operators", "port"), message, "a port of its own")


def _overlap(first: Endpoint, second: Endpoint) -> bool:
    addresses = {ip_address(first.address), ip_address(second.address)}
    return len(addresses) == 1 or any(address.is_unspecified for address in addresses)


def _check_reachable(path: KeyPath, endpoint: Endpoint) -> Iterator[CrossFault]:
    if ip_address(endpoint.address).is_unspecified:
        message = f"{endpoint.address} can't be told to callers"
        yield CrossFault(path, message, "the address by which callers reach this host")


def _endpoints(endpoints: Iterable[Endpoint | NamedEndpoint]) -> list[str]:
    return [f"{one.address}:{one.port}" if one.port else "" for one in endpoints]


def _check_duplicates(table: str, key: str, values: Sequence[str]) -> Iterator[CrossFault]:
    counts = Counter(value for value in values if value)
    for index, value in enumerate(values):
        if counts[value] > 1 and value in values[:index]:
            message = f"{value!r} is given twice"
            yield CrossFault((table, index, key), message, "each once")
