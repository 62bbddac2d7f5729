"""This host's part in the replicated log, through failures of its disk."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import trio

from ..clock import SECOND, LoopClock, Millis
from ..control._log_links import PeerAddress
from ..control.log_node import LogNode
from ..control.log_node_config import LogNodeConfig
from ..control.replicated_log import LogStatus, StateMachine, SyncFigures
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

REOPEN_PAUSE: Millis = 1 * SECOND
"""How long after a failure of the disk it is tried again."""
CHECK_DISK: Millis = 200.0
RAFT = RaftConfig(
    heartbeat=80.0,
    election_timeout=400.0,
    compact_entries=200,
    compact_bytes=2 * 1024 * 1024,
    keep_entries=20,
)
"""Hosts are small and share their processor with the traffic: heartbeats are rare enough to cost
little between zones, and five of them fit into an election timeout. Few entries are kept, as each
is a whole configuration."""
LOG_CONFIG = LogNodeConfig(raft=RAFT, request_timeout=3500.0, sync_in_thread=True)


class ControlMember:
    """Opens the data folder, takes part in the log, and begins anew after the disk has failed.

    Args:
        place: This host.
        folder: The data folder.
        secret: The secret that the hosts of the tier share.
        state_machine: What the log drives.
        on_role: Called when this host begins or ceases to lead, or another leader is known.
        silent_since: When the process began, if the loop's clock can be compared with it.
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
        self._founds = False
        self._silent_since = silent_since
        self._restart = trio.CancelScope()
        self._leaderless_since: Millis | None = None
        self._leaderless: Millis = 0.0
        self.log: LogNode | None = None
        """The replicated log while the disk works."""
        self.disk: DiskRecord | None = None
        """The identity of the data folder, once it could be opened."""

    async def run(self) -> None:
        """Take part until cancelled."""
        self._leaderless_since = self._clock.now()
        while True:
            with trio.CancelScope() as self._restart:
                try:
                    await self._run_once()
                except (OSError, DataFolderError) as exc:
                    log_event(LogEvent.LOG_STORAGE_FAILED, why=str(exc))
            self.log = None
            self._on_role()
            if not self._founds or self.disk is None:
                await trio.sleep(REOPEN_PAUSE / SECOND)

    async def _run_once(self) -> None:
        folder = await trio.to_thread.run_sync(self._open)
        self.disk = DiskRecord(folder.member_id, folder.cluster_id)
        founders: list[PeerAddress] = []
        if self._founds and not folder.cluster_id:
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
        # Opened again in the same process, this member has answered leaders since.
        self._silent_since = None
        async with trio.open_nursery() as nursery:
            await nursery.start(log.run)
            self.log = log
            self._on_role()
            while log.status().storage_failure is None:
                self.disk = DiskRecord(folder.member_id, folder.cluster_id)
                await trio.sleep(CHECK_DISK / SECOND)
            nursery.cancel_scope.cancel()

    def _open(self) -> DataFolder:
        return DataFolder(DiskFiles(self._folder), self._place.name)

    def _role_changed(self, role: Role, term: int, leader: str | None) -> None:
        now = self._clock.now()
        if leader is None:
            self._leaderless_since = self._leaderless_since or now
        elif self._leaderless_since is not None:
            self._leaderless += now - self._leaderless_since
            self._leaderless_since = None
        self._on_role()

    @property
    def leaderless_time(self) -> Millis:
        """For how long, all together, this host has known no leader of the log."""
        since = self._leaderless_since
        return self._leaderless + (self._clock.now() - since if since is not None else 0.0)

    def sync_figures(self) -> SyncFigures | None:
        """Return how the journal was synced since it was opened; None while the disk fails."""
        return self.log.sync_figures() if self.log is not None else None

    def bootstrap(self) -> None:
        """Found the replicated log with this host as its first member."""
        if self.disk is not None and self.disk.cluster_id:
            return
        self._founds = True
        self._restart.cancel()

    @property
    def leads(self) -> bool:
        """Whether this host holds the leader's lease."""
        return self.log is not None and self.log.holds_lease()

    def status(self) -> LogStatus | None:
        """Return what this host knows of the log; None while its disk fails."""
        return self.log.status() if self.log is not None else None

    def membership(self) -> Membership:
        """Return the members as this host knows them."""
        return self.log.membership if self.log is not None else Membership()

    def leader(self) -> Place | None:
        """Return where the leader is, if this host knows."""
        status = self.status()
        if status is None or status.leader is None:
            return None
        return next((one for one in self.controls() if one.name == status.leader), None)

    def controls(self) -> list[Place]:
        """Return the hosts of the replicated log as this host knows them."""
        members = self.membership().members
        return [Place(one.name, one.address, one.port) for one in members]

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
        """Answer another member over a link that it opened."""
        if self.log is not None:
            await self.log.serve_peer(link)
