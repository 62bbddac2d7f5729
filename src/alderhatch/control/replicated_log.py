"""What the rest of the control process sees of the replicated log."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from ..clock import Millis


class StateMachine(Protocol):
    """What the log drives. It must come to the same state on every host from the same commands."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply one committed command and return its result to whoever proposed it.

        Args:
            index: The command's place in the log; each is applied once, in order.
            command: The command's bytes.
        """

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by an earlier ``snapshot``."""


class LogStatus(NamedTuple):
    """The replicated log as one host sees it; for dumps, readiness and redirects."""

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
    """How a host's journal was synced so far."""

    number: int
    """How many; changes that wait for the disk together share one."""
    spent: Millis
    """How long they took together, with the wait for a worker thread."""


class ReplicatedLog(Protocol):
    """A log of commands that a majority of the control hosts has on disk."""

    async def propose(self, command: bytes) -> object:
        """Put a command on the log and wait until it is committed and applied here.

        Returns:
            What the state machine's ``apply`` returned.

        Raises:
            AlderhatchError: ``no_leader`` if this host is not the leader, so that the command was
                certainly not taken; ``change_unknown`` if it may or may not be committed;
                ``storage_failed`` if this host's disk failed.
        """

    async def read_barrier(self) -> int:
        """Wait until all that was committed before the call is applied here.

        Returns:
            The applied index, at which a read of the state is linearizable.

        Raises:
            AlderhatchError: ``no_leader`` if that can't be known in time.
        """

    def status(self) -> LogStatus:
        """Return what this host knows of the log now."""
