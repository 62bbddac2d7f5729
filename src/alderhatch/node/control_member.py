"""This host's member of the replicated log, which survives failures of its disk."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import trio

from ..clock import SECOND, LoopClock, Millis
from ..control._log_links import PeerAddress
from ..control.log_node import LogNode
from ..control.log_node_config import LogNodeConfig
from ..control.replicated_log import LogStatus, StateMachine, SyncStats
from ..core.raft.effects import Role
from ..core.raft.membership import Membership
from ..core.raft.raft_config import RaftConfig
from ..errors import AlderhatchError, ErrorKind, Failure
from ..link import Link
from ..log import log_event
from ..log_events import LogEvent
from ..storage.data_folder import DataFolder
from ..storage.data_folder_error import DataFolderError
from ..storage.files import DiskFiles
from .tier_messages import DiskRecord, Place

REOPEN_INTERVAL: Millis = 1 * SECOND
"""How long after a disk failure the data folder is opened again."""
DISK_CHECK_INTERVAL: Millis = 200.0
RAFT = RaftConfig(
    heartbeat=80.0,
    election_timeout=400.0,
    compact_entries=200,
    compact_bytes=2 * 1024 * 1024,
    keep_entries=20,
)
"""Hosts are small and share their processor with the requests, so heartbeats are rare enough to
cost little between zones, yet five of them fit into an election timeout. Few entries are kept
because each one holds a complete configuration."""
LOG_CONFIG = LogNodeConfig(raft=RAFT, request_timeout=3500.0, sync_in_thread=True)


class ControlMember:
    """Opens the data folder, runs the log on it, and restarts both after a disk failure.

    Args:
        place: This host.
        folder: The data folder.
        secret: The secret that the hosts of the tier share.
        state_machine: The state machine of the log.
        on_role: Called when this host gains or loses leadership, or another leader is known.
        silent_since: When the process started; None if the loop's clock can't be compared with
            that time.
    """

    def __init__(
        self,
        place: Place,
        folder: Path,
        secret: bytes,
        state_machine: StateMachine,
        on_role: Callable[[], None],
        silent_since: Millis | None = None,
    ) -> None:
        self._place = place
        self._folder = folder
        self._secret = secret
        self._state_machine = state_machine
        self._on_role = on_role
        self._clock = LoopClock()
        self._bootstraps = False
        self._silent_since = silent_since
        self._run_scope = trio.CancelScope()
        self._leaderless_since: Millis | None = None
        self._leaderless_total: Millis = 0.0
        self.log: LogNode | None = None
        """The replicated log; None while the disk fails."""
        self.disk: DiskRecord | None = None
        """The IDs stored in the data folder; None until it has been opened."""

    async def run(self) -> None:
        """Run the log until cancelled."""
        self._leaderless_since = self._clock.now()
        while True:
            with trio.CancelScope() as self._run_scope:
                try:
                    await self._run_once()
                except (OSError, DataFolderError) as exc:
                    log_event(LogEvent.LOG_STORAGE_FAILED, why=str(exc))
            self.log = None
            self._on_role()
            if not self._bootstraps or self.disk is None:
                await trio.sleep(REOPEN_INTERVAL / SECOND)

    async def _run_once(self) -> None:
        folder = await trio.to_thread.run_sync(self._open)
        self.disk = DiskRecord(folder.member_id, folder.cluster_id)
        founders: list[PeerAddress] = []
        if self._bootstraps and not folder.cluster_id:
            founders = [PeerAddress(*self._place)]
        log = LogNode(
            self._place.name,
            founders,
            folder,
            self._state_machine,
            self._secret,
            LOG_CONFIG,
            self._role_changed,
            silent_since=self._silent_since,
        )
        # Valid only for the first run of the log: before a later run, this member may have answered
        # leaders.
        self._silent_since = None
        async with trio.open_nursery() as nursery:
            await nursery.start(log.run)
            self.log = log
            self._on_role()
            while log.status().storage_failure is None:
                self.disk = DiskRecord(folder.member_id, folder.cluster_id)
                await trio.sleep(DISK_CHECK_INTERVAL / SECOND)
            nursery.cancel_scope.cancel()

    def _open(self) -> DataFolder:
        return DataFolder(DiskFiles(self._folder), self._place.name)

    def _role_changed(self, role: Role, term: int, leader: str | None) -> None:
        now = self._clock.now()
        if leader is None:
            self._leaderless_since = self._leaderless_since or now
        elif self._leaderless_since is not None:
            self._leaderless_total += now - self._leaderless_since
            self._leaderless_since = None
        self._on_role()

    @property
    def leaderless_time(self) -> Millis:
        """The total time for which this host has known no leader of the log."""
        since = self._leaderless_since
        return self._leaderless_total + (self._clock.now() - since if since is not None else 0.0)

    def sync_stats(self) -> SyncStats | None:
        """Return the sync statistics since the journal was opened; None while the disk fails."""
        return self.log.sync_stats() if self.log is not None else None

    def bootstrap(self) -> None:
        """Bootstrap the replicated log with this host as its first member."""
        if self.disk is not None and self.disk.cluster_id:
            return
        self._bootstraps = True
        self._run_scope.cancel()

    @property
    def leads(self) -> bool:
        """Whether this host holds the leader's lease."""
        return self.log is not None and self.log.holds_lease()

    def status(self) -> LogStatus | None:
        """Return the state of the log at this host; None while its disk fails."""
        return self.log.status() if self.log is not None else None

    def membership(self) -> Membership:
        """Return the members as this host knows them."""
        return self.log.membership if self.log is not None else Membership()

    def leader(self) -> Place | None:
        """Return the address of the leader, or None if it is unknown."""
        status = self.status()
        if status is None or status.leader is None:
            return None
        return next((member for member in self.controls() if member.name == status.leader), None)

    def controls(self) -> list[Place]:
        """Return the addresses of the members as this host knows them."""
        members = self.membership().members
        return [Place(member.name, member.address, member.port) for member in members]

    def leading_log(self) -> LogNode:
        """Return the log if this host leads it.

        Raises:
            AlderhatchError: With kind ``no_leader``.
        """
        if self.log is None or not self.log.is_leader:
            raise AlderhatchError(
                Failure(ErrorKind.NO_LEADER, "this host does not lead", None, 500)
            )
        return self.log

    async def serve_peer(self, link: Link) -> None:
        """Serve another member over a link that it opened."""
        if self.log is not None:
            await self.log.serve_peer(link)
