"""Decides which entries of the server list count, where entries contradict others."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping

from .server_record import ServerRecord


def distinct_servers(
    listed: Iterable[ServerRecord],
    known: Mapping[str, ServerRecord],
    host_endpoints: Container[tuple[str, int]] = (),
) -> dict[str, ServerRecord]:
    """Return one record for each server ID.

    Another writer of the list may use the ID of a sound server for another address or upstream. If
    its entry took the place of the server's, requests would go to nobody, or to a server that may
    not run them. A server keeps its address as long as it runs, so the entry that agrees with the
    list read before counts, and of new ones the first. Of several entries for one address the last
    counts, as a list that changes between its pages names a server twice.

    An entry with the address at which one of our own hosts accepts callers names no server: a
    request sent there would come back.

    Args:
        listed: The entries in the order of the list.
        known: The servers of the list read before, by ID.
        host_endpoints: The addresses and ports at which our hosts accept callers.
    """
    servers: dict[str, ServerRecord] = {}
    for record in listed:
        if (record.address, record.port) in host_endpoints:
            continue
        accepted = servers.get(record.server_id)
        if accepted is None or _is_same_server(record, accepted):
            servers[record.server_id] = record
            continue
        before = known.get(record.server_id)
        if before is not None and _is_same_server(record, before):
            servers[record.server_id] = record
    return servers


def _is_same_server(one: ServerRecord, other: ServerRecord) -> bool:
    return (one.upstream, one.address, one.port) == (other.upstream, other.address, other.port)
