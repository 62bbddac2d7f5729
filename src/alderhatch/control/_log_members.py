"""Membership changes and leadership transfers of the replicated log, on the leader's host."""

from __future__ import annotations

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.raft.effects import Refusal, Role
from ..core.raft.events import (
    AddLearner,
    Change,
    ChangeMembership,
    Promote,
    Remove,
    TransferLeadership,
)
from ..core.raft.membership import Member
from ..errors import ErrorKind
from ..storage.data_folder import DataFolder
from ._log_driver import LogDriver
from ._log_links import LogLinks, PeerAddress
from ._pending_requests import PendingRequests, RefusedError, request_error
from .log_node_config import LogNodeConfig

MIN_VOTERS = 3
"""With fewer voters, the loss of one host would block all changes; see ``LogMembers.remove``."""
RETRY_INTERVAL: Millis = 50.0


class LogMembers:
    """Adds, promotes and removes members, and transfers the leadership."""

    def __init__(
        self,
        name: str,
        storage: DataFolder,
        cfg: LogNodeConfig,
        links: LogLinks,
        driver: LogDriver,
        pending_requests: PendingRequests,
    ) -> None:
        self._name = name
        self._storage = storage
        self._cfg = cfg
        self._links = links
        self._driver = driver
        self._pending = pending_requests
        self._clock = LoopClock()

    @property
    def _is_leader(self) -> bool:
        return self._driver.node.role is Role.LEADER

    def caught_up(self, name: str) -> bool:
        """Return whether a member responds and has nearly all of the log on disk.

        Always False if this host is not the leader.
        """
        member = self._find(name, voter=False) or self._find(name, voter=True)
        return self._is_leader and member is not None and self._is_caught_up(member)

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
        if port:
            self._links.add_peer(PeerAddress(name, address, port))
        member = await self._wait_until_reached(name)
        if self._driver.node.membership.find(member.member_id) is not None:
            raise request_error(ErrorKind.INVALID_CHANGE, f"{name} is already a member")
        await self._change(AddLearner(member))

    async def _wait_until_reached(self, name: str) -> Member:
        with trio.move_on_after(self._cfg.request_timeout / SECOND):
            while True:
                changed = self._links.changed
                remote = self._links.peers.get(name)
                if remote is None:
                    raise request_error(ErrorKind.INVALID_CHANGE, f"no address is known for {name}")
                if remote.cluster_id not in (None, "", self._storage.cluster_id):
                    raise request_error(
                        ErrorKind.INVALID_CHANGE, f"{name} belongs to another cluster"
                    )
                if remote.outbox is not None:
                    break
                await changed.wait()
            return Member(
                remote.member_id, name, remote.peer_address.address, remote.peer_address.port
            )
        raise request_error(
            ErrorKind.NO_LEADER, f"{name} was not reached within the request timeout"
        )

    async def promote(self, name: str, in_place_of: str = "") -> None:
        """Turn a learner into a voter once it has caught up.

        A voter of the same name with an older member ID, whose disk was replaced, is removed first,
        and so is the lost voter that the learner replaces. Neither responds any more, but both
        would still raise the quorum.

        Args:
            name: The learner.
            in_place_of: The lost voter that the learner replaces, if any.

        Raises:
            AlderhatchError: ``no_leader`` if this host is not the leader or the learner did not
                catch up in time; ``invalid_change`` if there is no such learner.
        """
        learner = self._find(name, voter=False)
        if learner is None:
            raise request_error(ErrorKind.INVALID_CHANGE, f"{name} is not a learner")
        with trio.move_on_after(self._cfg.request_timeout / SECOND) as timeout:
            while not self._is_caught_up(learner):
                await trio.sleep(RETRY_INTERVAL / SECOND)
        if timeout.cancelled_caught:
            raise request_error(
                ErrorKind.NO_LEADER, f"{name} did not catch up within the request timeout"
            )
        for lost in (name, in_place_of):
            previous_voter = self._find(lost, voter=True)
            if previous_voter is not None:
                await self._change(Remove(previous_voter.member_id))
        await self._change(Promote(learner.member_id))

    def _is_caught_up(self, member: Member) -> bool:
        node = self._driver.node
        if member.member_id == node.member_id:
            return True
        # A member keeps its match index after it has stopped. With a vote it would only enlarge the
        # quorum: together with the voter that it replaces, two voters would be down, and the loss
        # of another one could not be tolerated.
        if member.member_id not in node.responsive_members(self._clock.now()):
            return False
        lag = node.commit_index - node.match_index(member.member_id)
        return lag <= self._cfg.raft.max_lag_to_promote

    async def remove(self, name: str) -> None:
        """Remove a host from the cluster.

        Raises:
            AlderhatchError: ``no_leader`` if this host is not the leader, or is itself the host to
                remove, in which case it transfers the leadership first; ``invalid_change`` if
                there is no such member or too few voters would be left.
        """
        if name == self._name:
            await self.transfer_to()
            raise request_error(
                ErrorKind.NO_LEADER,
                "this host can't remove itself; ask the new leader to remove it",
            )
        learner = self._find(name, voter=False)
        voter = self._find(name, voter=True)
        if learner is None and voter is None:
            raise request_error(ErrorKind.INVALID_CHANGE, f"{name} is not a member")
        if voter is not None and len(self._driver.node.membership.voters) <= MIN_VOTERS:
            message = f"at least {MIN_VOTERS} voters must remain; replace the host instead"
            raise request_error(ErrorKind.INVALID_CHANGE, message)
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
                        raise request_error(ErrorKind.INVALID_CHANGE, exc.message) from exc
                    if exc.refusal is Refusal.NOT_LEADER:
                        raise request_error(ErrorKind.NO_LEADER, exc.message) from exc
                await trio.sleep(RETRY_INTERVAL / SECOND)
        raise request_error(
            ErrorKind.CHANGE_UNKNOWN,
            "the membership change was not committed within the request timeout",
        )

    async def _change_once(self, change: Change) -> None:
        self._driver.check_usable()
        request = self._pending.add()
        with self._pending.discarding(request):
            self._driver.step(ChangeMembership(request.tag, change))
            await request.wait()

    async def transfer_to(self, name: str | None = None) -> None:
        """Transfer the leadership to another voter, so that a planned stop leaves no leader gap.

        Args:
            name: The new leader's host; if None, the most up-to-date voter.

        Raises:
            AlderhatchError: ``no_leader`` if this host is not the leader, or no voter took over in
                time; ``invalid_change`` if no other voter has that name.
        """
        member = None if name is None else self._find(name, voter=True)
        if name is not None and member is None:
            raise request_error(ErrorKind.INVALID_CHANGE, f"{name} is not a voter")
        request = self._pending.add()
        self._driver.step(TransferLeadership(request.tag, member.member_id if member else None))
        with self._pending.discarding(request):
            with trio.move_on_after(2 * self._cfg.raft.election_timeout / SECOND):
                while self._is_leader:
                    if request.done.is_set():
                        break
                    await trio.sleep(self._cfg.raft.heartbeat / 10 / SECOND)
        if isinstance(request.error, RefusedError):
            kind = ErrorKind.INVALID_CHANGE
            if request.error.refusal is Refusal.NOT_LEADER:
                kind = ErrorKind.NO_LEADER
            raise request_error(kind, request.error.message)
        if self._is_leader:
            raise request_error(
                ErrorKind.NO_LEADER, "no voter took over within two election timeouts"
            )
