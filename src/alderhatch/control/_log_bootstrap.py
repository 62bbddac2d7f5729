"""Bootstraps the replicated log: creates a cluster with its first membership."""

from __future__ import annotations

import os

import trio

from ..clock import SECOND, Millis
from ..core.raft.log_entry import EntryKind, HardState, LogEntry
from ..core.raft.membership import Member, Membership
from ..log import log_event
from ..log_events import LogEvent
from ..storage.data_folder import DataFolder
from ._log_links import LogLinks, PeerAddress

BOOTSTRAP_TERM = 1
WARNING_DELAY: Millis = 2000.0
"""During a bootstrap all hosts join the new cluster well within this time."""
_CLUSTER_ID_BYTES = 8


class LogBootstrap:
    """Bootstraps the cluster once all founders have reported an empty data folder.

    A host with a replaced disk can't be told from a new host. If it could bootstrap a cluster
    with the hosts that it reaches, there could be two clusters, each with its own rules and
    ledger. Therefore only the first founder by name bootstraps, and only after all other founders
    have reported that they belong to no cluster. A founder that is unreachable or belongs to a
    cluster blocks the bootstrap.
    """

    def __init__(
        self, name: str, founders: tuple[PeerAddress, ...], storage: DataFolder, links: LogLinks
    ) -> None:
        self._name = name
        self._founders = {peer.name: peer for peer in founders}
        self._storage = storage
        self._links = links

    async def run_when_ready(self) -> bool:
        """Bootstrap the cluster if this host is the one to do so, once the conditions hold.

        Returns:
            Whether this host has bootstrapped the cluster.
        """
        if self._name != min(self._founders, default=""):
            return False
        while not self._peers_have_no_cluster():
            await self._links.changed.wait()
        if self._storage.cluster_id:
            return False
        self._bootstrap()
        return True

    async def warn_if_data_lost(self) -> None:
        """Log one warning if this host's folder is empty but a peer belongs to a cluster.

        The operator has to declare the repair; until then this host takes no part.
        """
        while not self._storage.cluster_id:
            await trio.sleep(WARNING_DELAY / SECOND)
            if self._any_peer_has_cluster() and not self._storage.cluster_id:
                log_event(LogEvent.LOG_FOLDER_IS_NEW, member=self._storage.member_id)
                return

    def _other_founders(self) -> list[str]:
        return [name for name in self._founders if name != self._name]

    def _peers_have_no_cluster(self) -> bool:
        peers = self._links.peers
        return all(
            name in peers and peers[name].outbox is not None and peers[name].cluster_id == ""
            for name in self._other_founders()
        )

    def _any_peer_has_cluster(self) -> bool:
        return any(remote.cluster_id for remote in self._links.peers.values())

    def _bootstrap(self) -> None:
        members = []
        for name in sorted(self._founders):
            peer_address = self._founders[name]
            is_self = name == self._name
            member_id = self._storage.member_id if is_self else self._links.peers[name].member_id
            members.append(Member(member_id, name, peer_address.address, peer_address.port))
        membership = Membership(tuple(members))
        entry = LogEntry(1, BOOTSTRAP_TERM, EntryKind.MEMBERSHIP, b"", membership)
        cluster_id = os.urandom(_CLUSTER_ID_BYTES).hex()
        self._storage.bootstrap(cluster_id, HardState(BOOTSTRAP_TERM, ""), entry)
        log_event(LogEvent.LOG_FOUNDED, cluster=cluster_id, members=list(self._founders))
