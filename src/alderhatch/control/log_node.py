"""The replicated log on one host: the Raft node with its timers, files and links."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import TYPE_CHECKING

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.raft.effects import Role
from ..core.raft.events import (
    Proposal,
    Propose,
    ReadBarrier,
)
from ..core.raft.membership import Membership
from ..errors import AlderhatchError, ErrorKind, Failure
from ..link import Link, Peer
from ..storage.data_folder import DataFolder
from ._log_bootstrap import LogBootstrap
from ._log_driver import LogDriver, RoleCallback
from ._log_links import PEER_ROLE, LinkHandlers, LogLinks, PeerAddress
from ._log_members import LogMembers
from ._pending_requests import PendingRequest, PendingRequests, RefusedError, request_error
from .log_messages import PeerHello
from .log_node_config import LogNodeConfig
from .replicated_log import LogStatus, StateMachine, SyncStats

if TYPE_CHECKING:
    from ..settings.models import NamedEndpoint


class LogNode:
    """One control host's member of the replicated log."""

    def __init__(
        self,
        name: str,
        peers: Iterable[NamedEndpoint | PeerAddress],
        storage: DataFolder,
        state_machine: StateMachine,
        secret: bytes,
        cfg: LogNodeConfig | None = None,
        on_role: RoleCallback | None = None,
        random: Random | None = None,
        silent_since: Millis | None = None,
    ) -> None:
        """Create the node; it does nothing before ``run``.

        Args:
            name: This host's name.
            peers: The control hosts that bootstrap the cluster, including this one.
            storage: This host's open data folder; closed when ``run`` ends.
            state_machine: The state machine to which committed commands are applied.
            secret: The secret that the project's processes share.
            cfg: Timeouts and limits.
            on_role: Called when the role, the term or the known leader changes, with the role,
                the term and the leader's host name. It must not block.
            random: Source of the random election timeouts; a new one if None.
            silent_since: When this process started. It has replied to no leader since then, so its
                start-up time counts towards the wait before it may vote.
        """
        self.name = name
        self._cfg = cfg or LogNodeConfig()
        self._storage = storage
        self._clock = LoopClock()
        self._pending = PendingRequests()
        self._proposals: list[Proposal] = []
        self._proposals_added = trio.Event()
        self._founders = tuple(
            PeerAddress(founder.name, founder.address, founder.port) for founder in peers
        )
        handlers = LinkHandlers(self._on_message, self._on_connected, self._join)
        own_peer = Peer(name, PEER_ROLE)
        self._links = LogLinks(own_peer, secret, self._cfg, self._hello, handlers)
        self._driver = LogDriver(
            name,
            storage,
            state_machine,
            self._cfg,
            self._links,
            self._pending,
            random or Random(),
            on_role,
            silent_since,
        )
        self._members = LogMembers(
            name, storage, self._cfg, self._links, self._driver, self._pending
        )
        for peer in self._founders:
            self._links.add_peer(peer)

    # Life cycle

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the member until cancelled, then close the data folder.

        Args:
            task_status: Started once the node can handle messages from peers. A new cluster may
                not be bootstrapped yet.
        """
        try:
            async with trio.open_nursery() as nursery:
                self._driver.start()
                nursery.start_soon(self._links.run)
                nursery.start_soon(self._driver.run)
                nursery.start_soon(self._submit_proposals)
                if not self._storage.cluster_id:
                    bootstrap = LogBootstrap(self.name, self._founders, self._storage, self._links)
                    nursery.start_soon(bootstrap.warn_if_data_lost)
                    nursery.start_soon(self._bootstrap, bootstrap)
                task_status.started()
        finally:
            self._pending.fail_all(ErrorKind.CHANGE_UNKNOWN, "this control host is stopping")
            self._storage.close()

    async def serve_peer(self, link: Link) -> None:
        """Serve a link that another control host has opened, until it closes."""
        await self._links.serve(link)

    async def _bootstrap(self, bootstrap: LogBootstrap) -> None:
        if await bootstrap.run_when_ready():
            self._links.send_hellos()
            self._driver.start()

    def _hello(self) -> PeerHello:
        return PeerHello(self._storage.member_id, self._storage.cluster_id)

    def _on_message(self, sender: str, message: object) -> None:
        self._driver.receive(sender, message)

    def _on_connected(self, member_id: str) -> None:
        self._driver.on_connected(member_id)

    def _join(self, cluster_id: str) -> bool:
        return self._driver.join(cluster_id)

    # Proposals and reads

    async def propose(self, command: bytes) -> object:
        """Append a command to the log and wait until it is committed and applied on this host.

        Returns:
            What the state machine's ``apply`` returned.

        Raises:
            AlderhatchError: ``no_leader`` if the command will certainly not be committed,
                ``change_unknown`` if it may or may not be committed, ``storage_failed`` if this
                host's disk has failed, ``overloaded`` or ``too_large`` if it was not appended.
        """
        self._driver.check_usable()
        if len(command) > self._cfg.max_command_bytes:
            message = f"command too large: the limit is {self._cfg.max_command_bytes} bytes"
            raise AlderhatchError(Failure(ErrorKind.TOO_LARGE, message))
        if len(self._pending) >= self._cfg.max_pending:
            raise request_error(ErrorKind.OVERLOADED, "too many requests to the log are pending")
        if self._driver.node.role is not Role.LEADER:
            raise request_error(ErrorKind.NO_LEADER, "this host is not the leader")
        request = self._pending.add()
        self._proposals.append(Proposal(request.tag, command))
        self._proposals_added.set()
        return await self._wait(request, ErrorKind.CHANGE_UNKNOWN)

    async def _submit_proposals(self) -> None:
        while True:
            await self._proposals_added.wait()
            self._proposals_added = trio.Event()
            proposals = tuple(self._proposals)
            self._proposals.clear()
            self._driver.step(Propose(proposals))

    async def read_barrier(self) -> int:
        """Wait until everything that was committed before the call is applied on this host.

        Returns:
            The applied index, at which a read of the state is linearizable.

        Raises:
            AlderhatchError: ``no_leader`` if this host is not the leader or can't confirm in time
                that it is.
        """
        self._driver.check_usable()
        request = self._pending.add()
        self._driver.step(ReadBarrier(request.tag))
        await self._wait(request, ErrorKind.NO_LEADER)
        return self._driver.node.applied_index

    async def _wait(self, request: PendingRequest, kind: ErrorKind) -> object:
        with self._pending.discarding(request):
            with trio.move_on_after(self._cfg.request_timeout / SECOND):
                try:
                    return await request.wait()
                except RefusedError as exc:
                    raise request_error(ErrorKind.NO_LEADER, exc.message) from exc
        raise request_error(
            kind, "no majority of the control hosts replied within the request timeout"
        )

    # Status

    @property
    def is_leader(self) -> bool:
        """Whether this host sees itself as the leader.

        Another leader may already have been elected; ``holds_lease`` excludes that.
        """
        return self._driver.node.role is Role.LEADER

    @property
    def term(self) -> int:
        """The latest term that this host has seen."""
        return self._driver.node.term

    def holds_lease(self) -> bool:
        """Return whether this host holds the leader lease, so that no other host can be leader."""
        now = self._clock.now()
        return now < self._driver.node.lease_until(now)

    def responsive_members(self) -> frozenset[str]:
        """Return the names of the members that replied to this leader lately, including itself.

        Empty if this host is not the leader.
        """
        node = self._driver.node
        responsive = node.responsive_members(self._clock.now())
        return frozenset(
            member.name for member in node.membership.members if member.member_id in responsive
        )

    def status(self) -> LogStatus:
        """Return the state of the log as this host currently sees it."""
        return self._driver.status()

    def sync_stats(self) -> SyncStats:
        """Return how many times the journal was synced, and the total time that took."""
        return self._driver.sync_stats()

    @property
    def membership(self) -> Membership:
        """The latest membership in this host's log, committed or not."""
        return self._driver.node.membership

    # Membership

    def caught_up(self, name: str) -> bool:
        """Return whether a member responds and has nearly all of the log on disk.

        Always False if this host is not the leader.
        """
        return self._members.caught_up(name)

    async def add_learner(self, name: str, address: str = "", port: int = 0) -> None:
        """Add a host with a new data folder as a learner: it receives the log but has no vote.

        Args:
            name: The host's name.
            address: Its IP address, if this host doesn't know it yet.
            port: Its port.

        Raises:
            AlderhatchError: ``no_leader`` if this host is not the leader, or the new host was not
                reached in time; ``invalid_change`` if the new host belongs to another cluster or
                is already a member.
        """
        await self._members.add_learner(name, address, port)

    async def promote(self, name: str, in_place_of: str = "") -> None:
        """Turn a learner into a voter once it has caught up.

        A voter of the same name with an older member ID, whose disk was replaced, is removed first.

        Args:
            name: The learner.
            in_place_of: The lost voter that the learner replaces, if any; it is removed first.

        Raises:
            AlderhatchError: ``no_leader`` if this host is not the leader or the learner did not
                catch up in time; ``invalid_change`` if there is no such learner.
        """
        await self._members.promote(name, in_place_of)

    async def remove_member(self, name: str) -> None:
        """Remove a host from the cluster.

        Raises:
            AlderhatchError: ``no_leader`` if this host is not the leader, or is itself the host to
                remove, in which case it transfers the leadership first; ``invalid_change`` if
                there is no such member or too few voters would be left.
        """
        await self._members.remove(name)

    async def transfer_leadership(self, name: str | None = None) -> None:
        """Transfer the leadership to another voter, so that a planned stop leaves no leader gap.

        Args:
            name: The new leader's host; if None, the most up-to-date voter.

        Raises:
            AlderhatchError: ``no_leader`` if this host is not the leader, or no voter took over in
                time; ``invalid_change`` if no other voter has that name.
        """
        await self._members.transfer_to(name)
