"""One host's part of the replicated log: the state machine with its timers, files and links."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from random import Random

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.raft.effects import Refusal, Role
from ..core.raft.events import (
    AddLearner,
    Change,
    ChangeMembership,
    Promote,
    Proposal,
    Propose,
    ReadBarrier,
    Remove,
    TransferLeadership,
)
from ..core.raft.membership import Member
from ..errors import AlderhatchError, ErrorKind, Failure
from ..link import Link, Peer
from ..settings.models import NamedEndpoint
from ..storage.data_folder import DataFolder
from ._log_driver import LogDriver, RoleCallback
from ._log_founding import LogFounding
from ._log_links import PEER_ROLE, LinkHandlers, LogLinks, PeerAddress
from ._log_waiters import RefusedError, Waiter, Waiters, failed
from .log_messages import PeerHello
from .log_node_config import LogNodeConfig
from .replicated_log import LogStatus, StateMachine

MIN_VOTERS = 3
"""With fewer, the loss of one host stops every change; see ``LogNode.remove_member``."""
RETRY_PAUSE: Millis = 50.0


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
                    nursery.start_soon(self._found)
                task_status.started()
        finally:
            self._waiters.fail_all(ErrorKind.CHANGE_UNKNOWN, "this host is stopping")
            self._storage.close()

    async def serve_peer(self, link: Link) -> None:
        """Answer another control host over a link that it opened, until the link is gone."""
        await self._links.serve(link)

    async def _found(self) -> None:
        founding = LogFounding(self.name, self._founders, self._storage, self._links)
        if await founding.wait():
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
        self._check_usable()
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
        self._check_usable()
        waiter = self._waiters.add()
        self._driver.step(ReadBarrier(waiter.tag))
        await self._wait(waiter, ErrorKind.NO_LEADER)
        return self._driver.node.applied_index

    async def _wait(self, waiter: Waiter, kind: ErrorKind) -> object:
        with self._forgetting(waiter):
            with trio.move_on_after(self._cfg.request_timeout / SECOND):
                try:
                    return await waiter.wait()
                except RefusedError as exc:
                    raise failed(ErrorKind.NO_LEADER, exc.message) from exc
        raise failed(kind, "no majority of the control hosts answered in time")

    @contextmanager
    def _forgetting(self, waiter: Waiter) -> Iterator[None]:
        try:
            yield
        finally:
            self._waiters.forget(waiter)

    def _check_usable(self) -> None:
        failure = self._driver.node.failure
        if failure is not None:
            raise failed(ErrorKind.STORAGE_FAILED, failure)

    # What holds now

    @property
    def is_leader(self) -> bool:
        """Whether this host is the leader; another may already have been elected, see the lease."""
        return self._driver.node.role is Role.LEADER

    @property
    def term(self) -> int:
        """The newest term that this host has seen."""
        return self._driver.node.term

    def leader_lease_until(self, now: Millis) -> Millis:
        """Return until when no other host can have become leader.

        Args:
            now: The loop's time.

        Returns:
            A point in time; this host has no lease if it is not after ``now``.
        """
        return self._driver.node.lease_until(now)

    def holds_lease(self) -> bool:
        """Return whether this host certainly is the only leader at this moment."""
        now = self._clock.now()
        return now < self._driver.node.lease_until(now)

    def caught_up(self, name: str) -> bool:
        """Return whether this leader's member has nearly all of the log on disk."""
        member = self._find(name, voter=False) or self._find(name, voter=True)
        return self.is_leader and member is not None and self._is_caught_up(member)

    def heard_from(self) -> frozenset[str]:
        """Return the names of the members that this leader has heard from lately, itself included.

        A follower returns an empty set.
        """
        node = self._driver.node
        heard = node.heard_from(self._clock.now())
        return frozenset(one.name for one in node.membership.members if one.member_id in heard)

    def status(self) -> LogStatus:
        """Return what this host knows of the log now."""
        return self._driver.status()

    # Membership

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
        if port:
            self._links.know(PeerAddress(name, address, port))
        member = await self._meet(name)
        if self._driver.node.membership.find(member.member_id) is not None:
            raise failed(ErrorKind.INVALID_CHANGE, f"{name} is a member already")
        await self._change(AddLearner(member))

    async def _meet(self, name: str) -> Member:
        with trio.move_on_after(self._cfg.request_timeout / SECOND):
            while True:
                changed = self._links.changed
                remote = self._links.remotes.get(name)
                if remote is None:
                    raise failed(ErrorKind.INVALID_CHANGE, f"no address is known for {name}")
                if remote.outbox is not None:
                    break
                await changed.wait()
            if remote.cluster_id not in ("", self._storage.cluster_id):
                raise failed(ErrorKind.INVALID_CHANGE, f"{name} belongs to another cluster")
            return Member(remote.member_id, name, remote.where.address, remote.where.port)
        raise failed(ErrorKind.NO_LEADER, f"{name} was not reached in time")

    async def promote(self, name: str) -> None:
        """Turn a learner into a voter once it has caught up.

        A voter of the same name under an older identity, whose disk is gone, is removed first: it
        will never answer again, and a majority that counts it is harder to reach.

        Raises:
            AlderhatchError: ``no_leader`` if this host doesn't lead or the learner did not catch
                up in time; ``invalid_change`` if there is no such learner.
        """
        learner = self._find(name, voter=False)
        if learner is None:
            raise failed(ErrorKind.INVALID_CHANGE, f"{name} is no learner")
        with trio.move_on_after(self._cfg.request_timeout / SECOND):
            while not self._is_caught_up(learner):
                await trio.sleep(RETRY_PAUSE / SECOND)
        old = self._find(name, voter=True)
        if old is not None:
            await self._change(Remove(old.member_id))
        await self._change(Promote(learner.member_id))

    def _is_caught_up(self, member: Member) -> bool:
        node = self._driver.node
        if member.member_id == node.member_id:
            return True
        lag = node.commit_index - node.match_index(member.member_id)
        return lag <= self._cfg.raft.max_lag_to_promote

    async def remove_member(self, name: str) -> None:
        """Remove a host from the cluster.

        Raises:
            AlderhatchError: ``no_leader`` if this host doesn't lead, also when it is itself the
                one to go and has begun to hand over; ``invalid_change`` if there is no such member
                or too few voters would be left.
        """
        if name == self.name:
            await self.transfer_leadership()
            raise failed(ErrorKind.NO_LEADER, "ask the new leader to remove this host")
        learner = self._find(name, voter=False)
        voter = self._find(name, voter=True)
        if learner is None and voter is None:
            raise failed(ErrorKind.INVALID_CHANGE, f"{name} is no member")
        if voter is not None and len(self._driver.node.membership.voters) <= MIN_VOTERS:
            message = f"{MIN_VOTERS} voters are the fewest; replace the host instead"
            raise failed(ErrorKind.INVALID_CHANGE, message)
        for member in (learner, voter):
            if member is not None:
                await self._change(Remove(member.member_id))

    def _find(self, name: str, voter: bool) -> Member | None:
        membership = self._driver.node.membership
        members = membership.voters if voter else membership.learners
        return next((one for one in members if one.name == name), None)

    async def _change(self, change: Change) -> None:
        with trio.move_on_after(self._cfg.request_timeout / SECOND):
            while True:
                try:
                    await self._change_once(change)
                    return
                except RefusedError as exc:
                    if exc.refusal is Refusal.INVALID:
                        raise failed(ErrorKind.INVALID_CHANGE, exc.message) from exc
                    if exc.refusal is Refusal.NOT_LEADER:
                        raise failed(ErrorKind.NO_LEADER, exc.message) from exc
                await trio.sleep(RETRY_PAUSE / SECOND)
        raise failed(ErrorKind.CHANGE_UNKNOWN, "the membership change was not committed in time")

    async def _change_once(self, change: Change) -> None:
        self._check_usable()
        waiter = self._waiters.add()
        with self._forgetting(waiter):
            self._driver.step(ChangeMembership(waiter.tag, change))
            await waiter.wait()

    async def transfer_leadership(self, name: str | None = None) -> None:
        """Hand over to another voter, so that a planned stop leaves no time without a leader.

        Args:
            name: To which host; to the one that is furthest on if none is given.

        Raises:
            AlderhatchError: ``no_leader`` if this host doesn't lead, or nobody took over in time;
                ``invalid_change`` if there is no such other voter.
        """
        member = None if name is None else self._find(name, voter=True)
        if name is not None and member is None:
            raise failed(ErrorKind.INVALID_CHANGE, f"{name} is no voter")
        waiter = self._waiters.add()
        self._driver.step(TransferLeadership(waiter.tag, member.member_id if member else None))
        with self._forgetting(waiter):
            with trio.move_on_after(2 * self._cfg.raft.election_timeout / SECOND):
                while self.is_leader:
                    if waiter.done.is_set():
                        break
                    await trio.sleep(self._cfg.raft.heartbeat / 10 / SECOND)
        if isinstance(waiter.error, RefusedError):
            kind = ErrorKind.INVALID_CHANGE
            if waiter.error.refusal is Refusal.NOT_LEADER:
                kind = ErrorKind.NO_LEADER
            raise failed(kind, waiter.error.message)
        if self.is_leader:
            raise failed(ErrorKind.NO_LEADER, "nobody took over in time")
