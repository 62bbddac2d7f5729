"""How the hosts of a new cluster agree on its first membership."""

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

FOUNDING_TERM = 1
WARN_AFTER: Millis = 2000.0
"""A host that is being founded with the others joins long before."""
_CLUSTER_ID_BYTES = 8


class LogFounding:
    """Founds the cluster once every founding host was met with an empty data folder.

    A host whose disk was replaced looks like one that was never there. If it could found a cluster
    with whoever it reaches, there would be two, each with its own rules and ledger. So the first
    host by name founds, and only when all the others have told it that they are in no cluster;
    one that was cut off, or remembers a cluster, stops the founding.
    """

    def __init__(
        self, name: str, founders: tuple[PeerAddress, ...], storage: DataFolder, links: LogLinks
    ) -> None:
        self._name = name
        self._founders = {peer.name: peer for peer in founders}
        self._storage = storage
        self._links = links

    async def wait(self) -> bool:
        """Wait until this host founds the cluster, or learns that another is to do so.

        Returns:
            Whether it has founded the cluster.
        """
        if self._name != min(self._founders, default=""):
            return False
        while not self._all_are_empty():
            await self._links.changed.wait()
        if self._storage.cluster_id:
            return False
        self._found()
        return True

    async def warn(self) -> None:
        """Say so once if this host's folder is empty while others remember a cluster.

        The operator has to declare the repair; until then this host does nothing.
        """
        while not self._storage.cluster_id:
            await trio.sleep(WARN_AFTER / SECOND)
            if self._some_remember() and not self._storage.cluster_id:
                log_event(LogEvent.LOG_FOLDER_IS_NEW, member=self._storage.member_id)
                return

    def _others(self) -> list[str]:
        return [name for name in self._founders if name != self._name]

    def _all_are_empty(self) -> bool:
        remotes = self._links.remotes
        return all(
            name in remotes and remotes[name].outbox is not None and remotes[name].cluster_id == ""
            for name in self._others()
        )

    def _some_remember(self) -> bool:
        return any(remote.cluster_id for remote in self._links.remotes.values())

    def _found(self) -> None:
        members = []
        for name in sorted(self._founders):
            where = self._founders[name]
            is_self = name == self._name
            member_id = self._storage.member_id if is_self else self._links.remotes[name].member_id
            members.append(Member(member_id, name, where.address, where.port))
        membership = Membership(tuple(members))
        entry = LogEntry(1, FOUNDING_TERM, EntryKind.MEMBERSHIP, b"", membership)
        cluster_id = os.urandom(_CLUSTER_ID_BYTES).hex()
        self._storage.bootstrap(cluster_id, HardState(FOUNDING_TERM, ""), entry)
        log_event(LogEvent.LOG_FOUNDED, cluster=cluster_id, members=list(self._founders))
