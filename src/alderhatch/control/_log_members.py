"""Changes of who belongs to the replicated log, as the leader's host makes them."""

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
from ._log_waiters import RefusedError, Waiters, failed
from .log_node_config import LogNodeConfig

MIN_VOTERS = 3
"""With fewer, the loss of one host stops every change; see ``LogMembers.remove``."""
RETRY_PAUSE: Millis = 50.0


class LogMembers:
    """Adds, promotes and removes members, and hands over."""

    def __init__(
        self,
        name: str,
        storage: DataFolder,
        cfg: LogNodeConfig,
        links: LogLinks,
        driver: LogDriver,
        waiters: Waiters,
    ) -> None:
        self._name = name
        self._storage = storage
        self._cfg = cfg
        self._links = links
        self._driver = driver
        self._waiters = waiters
        self._clock = LoopClock()

    @property
    def _leads(self) -> bool:
        return self._driver.node.role is Role.LEADER

    def caught_up(self, name: str) -> bool:
        """Return whether this leader's member runs and has nearly all of the log on disk."""
        member = self._find(name, voter=False) or self._find(name, voter=True)
        return self._leads and member is not None and self._is_caught_up(member)

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
                if remote.cluster_id not in (None, "", self._storage.cluster_id):
                    raise failed(ErrorKind.INVALID_CHANGE, f"{name} belongs to another cluster")
                if remote.outbox is not None:
                    break
                await changed.wait()
            return Member(remote.member_id, name, remote.where.address, remote.where.port)
        raise failed(ErrorKind.NO_LEADER, f"{name} was not reached in time")

    async def promote(self, name: str, in_place_of: str = "") -> None:
        """Turn a learner into a voter once it has caught up.

        A voter of the same name under an older identity, whose disk is gone, is removed first, and
        so is the lost one that the learner replaces: neither answers any more, and a majority that
        counts them is harder to reach.

        Args:
            name: The learner.
            in_place_of: A voter that is lost, if the learner replaces one.

        Raises:
            AlderhatchError: ``no_leader`` if this host doesn't lead or the learner did not catch
                up in time; ``invalid_change`` if there is no such learner.
        """
        learner = self._find(name, voter=False)
        if learner is None:
            raise failed(ErrorKind.INVALID_CHANGE, f"{name} is no learner")
        with trio.move_on_after(self._cfg.request_timeout / SECOND) as waiting:
            while not self._is_caught_up(learner):
                await trio.sleep(RETRY_PAUSE / SECOND)
        if waiting.cancelled_caught:
            raise failed(ErrorKind.NO_LEADER, f"{name} did not catch up in time")
        for lost in (name, in_place_of):
            old = self._find(lost, voter=True)
            if old is not None:
                await self._change(Remove(old.member_id))
        await self._change(Promote(learner.member_id))

    def _is_caught_up(self, member: Member) -> bool:
        node = self._driver.node
        if member.member_id == node.member_id:
            return True
        # What it has acknowledged stays when it goes. With a vote it would only make the majority
        # larger, and beside the voter that it replaces no other could be spared.
        if member.member_id not in node.responsive_members(self._clock.now()):
            return False
        lag = node.commit_index - node.match_index(member.member_id)
        return lag <= self._cfg.raft.max_lag_to_promote

    async def remove(self, name: str) -> None:
        """Remove a host from the cluster.

        Raises:
            AlderhatchError: ``no_leader`` if this host doesn't lead, also when it is itself the
                one to go and has begun to hand over; ``invalid_change`` if there is no such member
                or too few voters would be left.
        """
        if name == self._name:
            await self.hand_over()
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
        self._driver.check_usable()
        waiter = self._waiters.add()
        with self._waiters.forgetting(waiter):
            self._driver.step(ChangeMembership(waiter.tag, change))
            await waiter.wait()

    async def hand_over(self, name: str | None = None) -> None:
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
        with self._waiters.forgetting(waiter):
            with trio.move_on_after(2 * self._cfg.raft.election_timeout / SECOND):
                while self._leads:
                    if waiter.done.is_set():
                        break
                    await trio.sleep(self._cfg.raft.heartbeat / 10 / SECOND)
        if isinstance(waiter.error, RefusedError):
            kind = ErrorKind.INVALID_CHANGE
            if waiter.error.refusal is Refusal.NOT_LEADER:
                kind = ErrorKind.NO_LEADER
            raise failed(kind, waiter.error.message)
        if self._leads:
            raise failed(ErrorKind.NO_LEADER, "nobody took over in time")
