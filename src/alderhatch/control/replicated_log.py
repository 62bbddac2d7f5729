"""The interface between the replicated log and the rest of the control process."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from ..clock import Millis


class StateMachine(Protocol):
    """A deterministic state machine: the same commands lead to the same state on every host."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply one committed command and return its result, which the proposer receives.

        Args:
            index: The command's index in the log; each command is applied once, in order.
            command: The command's bytes.
        """

    def snapshot(self) -> bytes:
        """Return the complete state in serialized form."""

    def restore(self, data: bytes) -> None:
        """Replace the complete state with an earlier ``snapshot``."""


class LogStatus(NamedTuple):
    """The state of the replicated log as one host sees it; for dumps, readiness and redirects."""

    host: str
    role: str
    """``leader``, ``follower``, ``candidate`` or ``learner``."""
    term: int
    leader: str | None
    last_index: int
    commit_index: int
    applied_index: int
    snapshot_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    storage_failure: str | None


class SyncStats(NamedTuple):
    """Statistics of a host's journal syncs."""

    number: int
    """Number of syncs; writes that wait at the same time share one."""
    spent: Millis
    """Total time of the syncs, including the wait for a worker thread."""


class ReplicatedLog(Protocol):
    """A log of commands, each committed once a majority of the voters has it on disk."""

    async def propose(self, command: bytes) -> object:
        """Append a command to the log and wait until it is committed and applied on this host.

        Returns:
            What the state machine's ``apply`` returned.

        Raises:
            AlderhatchError: ``no_leader`` if the command will certainly not be committed, as when
                this host is not the leader; ``change_unknown`` if it may or may not be committed;
                ``storage_failed`` if this host's disk has failed.
        """

    async def read_barrier(self) -> int:
        """Wait until everything that was committed before the call is applied on this host.

        Returns:
            The applied index, at which a read of the state is linearizable.

        Raises:
            AlderhatchError: ``no_leader`` if this host can't confirm in time that it is the leader.
        """

    def status(self) -> LogStatus:
        """Return the state of the log as this host currently sees it."""
