"""One host's part of the replicated log: the state machine with its timers, files and links."""

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
from ._log_driver import LogDriver, RoleCallback
from ._log_founding import LogFounding
from ._log_links import PEER_ROLE, LinkHandlers, LogLinks, PeerAddress
from ._log_members import LogMembers
from ._log_waiters import RefusedError, Waiter, Waiters, failed
from .log_messages import PeerHello
from .log_node_config import LogNodeConfig
from .replicated_log import LogStatus, StateMachine, SyncStats

if TYPE_CHECKING:
    from ..settings.models import NamedEndpoint


class LogNode:
    """The replicated log as one control host takes part in it."""

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
        """Prepare to take part; nothing happens before ``run``.

        Args:
            name: This host's name.
            peers: The control hosts that the cluster is founded with, this one included.
            storage: This host's open data folder; closed when ``run`` ends.
            state_machine: What the committed commands are applied to.
            secret: The secret that the project's processes share.
            cfg: Times and limits.
            on_role: Called when the role, the term or the known leader changes, with the role,
                the term and the leader's host name. It must not block.
            random: Spreads the elections; a fresh one if none is given.
            silent_since: When this process began. It has answered no leader before, so the time
                that it took to start counts for the wait before it may vote.
        """
        self.name = name
        self._cfg = cfg or LogNodeConfig()
        self._storage = storage
        self._clock = LoopClock()
        self._waiters = Waiters()
        self._proposals: list[Proposal] = []
        self._proposed = trio.Event()
        self._founders = tuple(PeerAddress(one.name, one.address, one.port) for one in peers)
        handlers = LinkHandlers(self._on_message, self._on_connected, self._join)
        me = Peer(name, PEER_ROLE)
        self._links = LogLinks(me, secret, self._cfg, self._hello, handlers)
        self._driver = LogDriver(
            name,
            storage,
            state_machine,
            self._cfg,
            self._links,
            self._waiters,
            random or Random(),
            on_role,
            silent_since,
        )
        self._members = LogMembers(
            name, storage, self._cfg, self._links, self._driver, self._waiters
        )
        for peer in self._founders:
            self._links.know(peer)

    # Life

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Take part until cancelled, then close the data folder.

        Args:
            task_status: Told once messages from peers can be taken. A new cluster may not be
                founded yet.
        """
        try:
            async with trio.open_nursery() as nursery:
                self._driver.start()
                nursery.start_soon(self._links.run)
                nursery.start_soon(self._driver.run)
                nursery.start_soon(self._pump_proposals)
                if not self._storage.cluster_id:
                    founding = LogFounding(self.name, self._founders, self._storage, self._links)
                    nursery.start_soon(founding.warn)
                    nursery.start_soon(self._found, founding)
                task_status.started()
        finally:
            self._waiters.fail_all(ErrorKind.CHANGE_UNKNOWN, "this host is stopping")
            self._storage.close()

    async def serve_peer(self, link: Link) -> None:
        """Answer another control host over a link that it opened, until the link is gone."""
        await self._links.serve(link)

    async def _found(self, founding: LogFounding) -> None:
        if await founding.wait():
            self._links.greet_all()
            self._driver.start()

    def _hello(self) -> PeerHello:
        return PeerHello(self._storage.member_id, self._storage.cluster_id)

    def _on_message(self, sender: str, message: object) -> None:
        self._driver.receive(sender, message)

    def _on_connected(self, member_id: str) -> None:
        self._driver.connected(member_id)

    def _join(self, cluster_id: str) -> bool:
        return self._driver.join(cluster_id)

    # The log

    async def propose(self, command: bytes) -> object:
        """Put a command on the log and wait until it is committed and applied here.

        Returns:
            What the state machine's ``apply`` returned.

        Raises:
            AlderhatchError: ``no_leader`` if the command was certainly not taken,
                ``change_unknown`` if it may or may not be committed, ``storage_failed`` if this
                host's disk failed, ``overloaded`` or ``too_large`` if it was not even tried.
        """
        self._driver.check_usable()
        if len(command) > self._cfg.max_command_bytes:
            message = f"a command has at most {self._cfg.max_command_bytes} bytes"
            raise AlderhatchError(Failure(ErrorKind.TOO_LARGE, message))
        if len(self._waiters) >= self._cfg.max_pending:
            raise failed(ErrorKind.OVERLOADED, "too many changes wait for their commit")
        if self._driver.node.role is not Role.LEADER:
            raise failed(ErrorKind.NO_LEADER, "this host is not the leader")
        waiter = self._waiters.add()
        self._proposals.append(Proposal(waiter.tag, command))
        self._proposed.set()
        return await self._wait(waiter, ErrorKind.CHANGE_UNKNOWN)

    async def _pump_proposals(self) -> None:
        while True:
            await self._proposed.wait()
            self._proposed = trio.Event()
            proposals = tuple(self._proposals)
            self._proposals.clear()
            self._driver.step(Propose(proposals))

    async def read_barrier(self) -> int:
        """Wait until all that was committed before the call is applied here.

        Returns:
            The applied index, at which a read of the state is linearizable.

        Raises:
            AlderhatchError: ``no_leader`` if this host doesn't lead, or can't know in time.
        """
        self._driver.check_usable()
        waiter = self._waiters.add()
        self._driver.step(ReadBarrier(waiter.tag))
        await self._wait(waiter, ErrorKind.NO_LEADER)
        return self._driver.node.applied_index

    async def _wait(self, waiter: Waiter, kind: ErrorKind) -> object:
        with self._waiters.forgetting(waiter):
            with trio.move_on_after(self._cfg.request_timeout / SECOND):
                try:
                    return await waiter.wait()
                except RefusedError as exc:
                    raise failed(ErrorKind.NO_LEADER, exc.message) from exc
        raise failed(kind, "no majority of the control hosts answered in time")

    # What holds now

    @property
    def is_leader(self) -> bool:
        """Whether this host is the leader; another may already have been elected, see the lease."""
        return self._driver.node.role is Role.LEADER

    @property
    def term(self) -> int:
        """The newest term that this host has seen."""
        return self._driver.node.term

    def holds_lease(self) -> bool:
        """Return whether this host certainly is the only leader at this moment."""
        now = self._clock.now()
        return now < self._driver.node.lease_until(now)

    def responsive_members(self) -> frozenset[str]:
        """Return the names of the members that this leader has heard from lately, itself included.

        A follower returns an empty set.
        """
        node = self._driver.node
        heard = node.responsive_members(self._clock.now())
        return frozenset(one.name for one in node.membership.members if one.member_id in heard)

    def status(self) -> LogStatus:
        """Return what this host knows of the log now."""
        return self._driver.status()

    def sync_stats(self) -> SyncStats:
        """Return how the journal was synced so far."""
        return self._driver.sync_stats()

    @property
    def membership(self) -> Membership:
        """The newest membership in this host's log."""
        return self._driver.node.membership

    # Membership

    def caught_up(self, name: str) -> bool:
        """Return whether this leader's member runs and has nearly all of the log on disk."""
        return self._members.caught_up(name)

    async def add_learner(self, name: str, address: str = "", port: int = 0) -> None:
        """Let a host with a new data folder receive the log, without a vote yet.

        Args:
            name: The host's name.
            address: Its IP address, if it is not one of the hosts known so far.
            port: Its port.

        Raises:
            AlderhatchError: ``no_leader`` if this host doesn't lead, or the host was not reached
                in time; ``invalid_change`` if it belongs to another cluster or is a member.
        """
        await self._members.add_learner(name, address, port)

    async def promote(self, name: str, in_place_of: str = "") -> None:
        """Turn a learner into a voter once it has caught up.

        A voter of the same name under an older identity, whose disk is gone, is removed first.

        Args:
            name: The learner.
            in_place_of: A voter that is lost, if the learner replaces one; it is removed first.

        Raises:
            AlderhatchError: ``no_leader`` if this host doesn't lead or the learner did not catch
                up in time; ``invalid_change`` if there is no such learner.
        """
        await self._members.promote(name, in_place_of)

    async def remove_member(self, name: str) -> None:
        """Remove a host from the cluster.

        Raises:
            AlderhatchError: ``no_leader`` if this host doesn't lead, also when it is itself the
                one to go and has begun to hand over; ``invalid_change`` if there is no such member
                or too few voters would be left.
        """
        await self._members.remove(name)

    async def transfer_leadership(self, name: str | None = None) -> None:
        """Hand over to another voter, so that a planned stop leaves no time without a leader.

        Args:
            name: To which host; to the one that is furthest on if none is given.

        Raises:
            AlderhatchError: ``no_leader`` if this host doesn't lead, or nobody took over in time;
                ``invalid_change`` if there is no such other voter.
        """
        await self._members.hand_over(name)
